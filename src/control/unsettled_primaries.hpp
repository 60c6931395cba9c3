// Which leads may be about to change, as far as a member can tell: from what its own disk has accepted, and
// from what voters answered to its lease's rounds. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control/failover.hpp"
#include "control/lease.hpp"
#include "gossip/record_table.hpp"

namespace granitereel::control {

class UnsettledPrimaries {
public:
    // What this member's disk now holds accepted of a register; others than leads' are passed over.
    void accepted(const std::string& name, const Json& value);
    // What a voter answered. It stands until the board has the change, or as long as a lease can rest on
    // that answer.
    void reported(const UnsettledSequences& sequences, Nanoseconds now);

    // As this member answers a round: accepted here, and unsteady or newer than the board.
    UnsettledSequences acceptedLocally(const gossip::RecordTable& recordTable) const;
    // As it tells those under its lease: its own and those told.
    UnsettledSequences all(const gossip::RecordTable& recordTable, Nanoseconds now) const;

private:
    struct Accepted {
        std::uint64_t sequence = 0;
        bool settled = false;
    };
    struct Reported {
        std::uint64_t sequence = 0;
        Nanoseconds expiresAt = 0;
    };
    std::map<std::string, Accepted> accepted_;
    std::map<std::string, Reported> reported_;
};

}  // namespace granitereel::control
