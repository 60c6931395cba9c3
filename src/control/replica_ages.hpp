// Tracks how long replicas have been in the primary record. A proxy that lost contact keeps using its last
// record for a bounded time (board::recordsRestedOnFor): once a replica has been on record for longer, every
// proxy that still does so knows of it. Ages are stored in the record, in whole steps, so that they survive
// the member that counts them. Time between two steps, or while no member counts, is never added: an age may
// be too low but not too high, which would let a promotion rely on a replica that a proxy doesn't know. No
// I/O or clocks.
#pragma once

#include <map>
#include <string>

#include "gossip/lease.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// Recently added replicas that a proxy may not know yet, with their ages in steps.
using RecentReplicas = std::map<std::string, unsigned>;

class ReplicaAges {
public:
    // In steps. From this age on every proxy knows the replica, even one that uses a record from before its
    // last lease and whose clock is slow.
    static constexpr unsigned establishedAge = 3;
    static constexpr Nanoseconds ageStep =
        (gossip::recordsUsableAfterLease + milliseconds(5000)) / establishedAge;

    // Takes in the ages in the current record.
    void update(const RecentReplicas& onRecord, Nanoseconds now);
    // In steps, at most `establishedAge`; 0: not seen on record yet.
    unsigned age(const std::string& replica, Nanoseconds now) const;

private:
    struct Observation {
        unsigned age = 0;  // in steps, at `since`
        Nanoseconds since = 0;
    };
    std::map<std::string, Observation> observations_;
};

}  // namespace granitereel::control
