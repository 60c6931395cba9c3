// Which leads may be about to change, as far as a member can tell: from what its own disk has accepted, and
// from what voters answered to its lease's rounds. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control/lease.hpp"
#include "control/succession.hpp"
#include "gossip/record_table.hpp"

namespace granitereel::control {

class UnsettledLeads {
public:
    // What this member's disk now holds accepted of a register; others than leads' are passed over.
    void holds(const std::string& name, const Json& value);
    // What a voter answered. It stands until the board has the change, or as long as a lease can rest on
    // that answer.
    void told(const LeadMarks& marks, Nanoseconds now);

    // As this member answers a round: accepted here, and unsteady or newer than the board.
    LeadMarks own(const gossip::RecordTable& recordTable) const;
    // As it tells those under its lease: its own and those told.
    LeadMarks all(const gossip::RecordTable& recordTable, Nanoseconds now) const;

private:
    struct Held {
        std::uint64_t sequence = 0;
        bool steady = false;
    };
    struct Told {
        std::uint64_t sequence = 0;
        Nanoseconds until = 0;
    };
    std::map<std::string, Held> held_;
    std::map<std::string, Told> told_;
};

}  // namespace granitereel::control
