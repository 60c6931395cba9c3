// Records that only one process makes (fronts, members) are renewed by it now and then, so that one whose
// process died without a word can be told from one that lives. Free of I/O and clocks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "nanos.hpp"

namespace granitereel::gossip {

// How often an owner in contact with control renews its record: some 100 bytes for every process.
constexpr Nanos renewEvery = millis(15 * 60'000);
// A record that was not renewed for so long is taken down; an owner that lives puts it anew when it hears so.
constexpr Nanos renewedWithin = 4 * renewEvery;
// An owner without contact for so long reckons with its record's end.
constexpr Nanos presumedGoneAfter = 2 * renewEvery;

class Renewals {
public:
    // Whether records of this name are renewed by their owners.
    static bool renewed(const std::string& name);

    // The record came, or a later version of it.
    void came(const std::string& name, Nanos now);
    void gone(const std::string& name) { cameAt_.erase(name); }
    // Records that were not renewed in time, by what this process heard. One that was without contact for
    // long holds them unconfirmed first (lifetimes.hpp), a shorter absence is far below the time.
    std::vector<std::string> overdue(Nanos now) const;
    // Whether this process's own records are to be renewed now; if so they count as renewed.
    bool renewOwn(Nanos now);

private:
    std::map<std::string, Nanos> cameAt_;
    Nanos ownRenewedAt_ = 0;
};

}  // namespace granitereel::gossip
