// What a proxy knows of a service's primary, and whether it may report the success of a write there to
// the client. A promotion compares what the replicas have received at some time after its register was
// written, and a replica that restarts in between may receive more. So a success may be reported only if
// it arrived while no promotion can have made that comparison yet, or if the promoted store is known to
// have the write. Invariant: a write that was reported as successful is in the log of every later
// primary; otherwise a failover would lose an acknowledged commit. Free of I/O and clocks.
// docs/control-safety/promotion.md has the argument.
#pragma once

#include <cstdint>
#include <optional>

#include "log_position.hpp"
#include "nanoseconds.hpp"

namespace granitereel::proxy {

// A write that its store has acknowledged, but that has not been reported to its client yet.
struct AcknowledgedWrite {
    std::optional<LogPosition> position;  // of the store's log after the write
    std::uint64_t term = 0;               // in which the store was primary
    Nanoseconds answeredAt = 0;           // when the store's response was received
};

// Whether an acknowledged write survives failover.
enum class WriteDurability {
    durable,    // every later primary has it
    undecided,  // a promotion that lacks it may be under way
    unknown,    // another store is primary, and nothing shows that it has the write
};

class PrimaryEvidence {
public:
    // Applies the primary record. `retained`: the part of the previous primary's log that the present
    // one certainly had when it was promoted. A new term discards the settled time granted for the
    // previous one.
    void updateRecord(std::uint64_t term, std::optional<LogPosition> retained);
    // Extends the settled time: a lease under which the recorded primary is settled runs until
    // `until`, and no promotion compares the replicas' logs before then. Like a lease, it is never
    // shortened.
    void extendSettled(Nanoseconds until);
    bool isSettled(Nanoseconds now) const { return now < settledUntil_; }
    Nanoseconds settledUntil() const { return settledUntil_; }
    std::uint64_t term() const { return term_; }
    WriteDurability durabilityOf(const AcknowledgedWrite& write) const;

private:
    std::uint64_t term_ = 0;
    std::optional<LogPosition> retained_;
    Nanoseconds settledUntil_ = 0;
};

}  // namespace granitereel::proxy
