// The services whose primary may be about to change, as far as this member knows: from values accepted on its
// own disk, and from the voters' replies to its lease rounds. No proxy may treat such a service's record as
// current under this member's lease, or it could use a replaced primary. No I/O.
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
    // A value that this member's disk now holds as accepted. Registers of other kinds are ignored.
    void accepted(const std::string& name, const Json& value);
    // A voter's reply. Kept until the records include the change, or as long as a lease can depend on the
    // reply.
    void reported(const UnsettledSequences& sequences, Nanoseconds now);

    // This member's own reply to a round: values accepted here that are unsettled or newer than the records.
    UnsettledSequences acceptedLocally(const gossip::RecordTable& recordTable) const;
    // What holders of a lease from this member get: its own and the reported ones.
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
