// For how long replicas have been on the record of a lead. A proxy that is cut off rests on the record that
// it had for a bounded time (board::recordsRestedOnFor): once a replica is older than that, any proxy that
// still does so knows of it. Ages are kept in the record, in whole steps, so that they outlive the member
// that counts them; what passes between two steps or while nobody counts is left out, never made up. Free of
// I/O and clocks.
#pragma once

#include <map>
#include <string>

#include "gossip/lease.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// Replicas that a proxy may not know of yet, with their ages in steps.
using RecentReplicas = std::map<std::string, unsigned>;

class ReplicaAges {
public:
    // A replica of so many steps is young no more: any proxy that rests on a record knows of it, also one
    // that counts from a lease before and whose clock is slow.
    static constexpr unsigned establishedAge = 3;
    static constexpr Nanoseconds ageStep =
        (gossip::recordsUsableAfterLease + milliseconds(5000)) / establishedAge;

    // What the record says now.
    void update(const RecentReplicas& onRecord, Nanoseconds now);
    // In steps, at most `grownUp`; 0: not seen on record yet.
    unsigned age(const std::string& replica, Nanoseconds now) const;

private:
    struct Observation {
        unsigned age = 0;  // at `since`, in steps
        Nanoseconds since = 0;
    };
    std::map<std::string, Observation> observations_;
};

}  // namespace granitereel::control
