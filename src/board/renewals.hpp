// Records that only one process makes (fronts, members) are renewed by it now and then, so that one whose
// process died without a word can be told from one that lives. Free of I/O and clocks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "nanoseconds.hpp"

namespace granitereel::board {

// How often an owner in contact with control renews its record: some 100 bytes for every process.
constexpr Nanoseconds renewEvery = milliseconds(15 * 60'000);
// A record that was not renewed for so long is taken down; an owner that lives puts it anew when it hears so.
constexpr Nanoseconds renewedWithin = 4 * renewEvery;
// An owner without contact for so long reckons with its record's end.
constexpr Nanoseconds presumedGoneAfter = 2 * renewEvery;

class Renewals {
public:
    // Whether records of this name are renewed by their owners.
    static bool renewed(const std::string& name);

    // The record came, or a later version of it.
    void came(const std::string& name, Nanoseconds now);
    void gone(const std::string& name) { cameAt_.erase(name); }
    // Records that were not renewed in time, by what this process heard. One that was without contact for
    // long holds them unconfirmed first (lifetimes.hpp), a shorter absence is far below the time.
    std::vector<std::string> overdue(Nanoseconds now) const;
    // Whether this process's own records are to be renewed now; if so they count as renewed.
    bool renewOwn(Nanoseconds now);

private:
    std::map<std::string, Nanoseconds> cameAt_;
    Nanoseconds ownRenewedAt_ = 0;
};

}  // namespace granitereel::board
