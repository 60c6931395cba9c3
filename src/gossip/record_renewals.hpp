// Records that only their owner writes (those of proxies and of members) are renewed by it at intervals, so
// that the record of a process that died without deleting it can be told from that of a live one. Free of I/O
// and clocks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "nanoseconds.hpp"

namespace granitereel::gossip {

// How often an owner in contact with control renews its record: some 100 bytes for each process.
constexpr Nanoseconds renewalInterval = milliseconds(15 * 60'000);
// A record that was not renewed for this long is deleted; an owner that is alive publishes it again when it
// receives the tombstone.
constexpr Nanoseconds renewalTimeout = 4 * renewalInterval;
// An owner that was without contact for this long assumes that its record has been deleted.
constexpr Nanoseconds presumedExpiredAfter = 2 * renewalInterval;

class RecordRenewals {
public:
    // Whether records of this name are renewed by their owners.
    static bool isRenewable(const std::string& name);

    // The record, or a later version of it, was received.
    void received(const std::string& name, Nanoseconds now);
    void erase(const std::string& name) { receivedAt_.erase(name); }
    // Records that were not renewed in time, as far as this process received it. A process that was without
    // contact for long marks them unconfirmed first (record_expiry.hpp); shorter outages are far below the
    // timeout.
    std::vector<std::string> overdue(Nanoseconds now) const;
    // Whether this process's own records are due for renewal; if so, they count as renewed at `now`.
    bool startOwnRenewal(Nanoseconds now);

private:
    std::map<std::string, Nanoseconds> receivedAt_;
    Nanoseconds ownRenewedAt_ = 0;
};

}  // namespace granitereel::gossip
