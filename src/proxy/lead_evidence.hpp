// What a proxy knows of a service's lead, and whether the success of a write there may be told to its client.
// A promotion counts what the replicas have received some time after its register was written, and a replica
// that starts again meanwhile may receive more. So a success counts only if it came while no promotion can
// have counted yet, or if the promoted store is known to have it. Free of I/O and clocks.
// docs/control-safety/promotion.md has the argument.
#pragma once

#include <cstdint>
#include <optional>

#include "log_position.hpp"
#include "nanos.hpp"

namespace granitereel::proxy {

// A write that its store has acknowledged, and whose client was not told yet.
struct AcknowledgedWrite {
    std::optional<LogPosition> position;  // of the store's log behind the write
    std::uint64_t term = 0;               // in which the store led
    Nanos answeredAt = 0;                 // when the answer came
};

// What becomes of an acknowledged write.
enum class WriteFate {
    kept,     // every later lead has it
    open,     // a promotion may be passing it over
    unknown,  // another store leads, and nothing shows that it has the write
};

class LeadEvidence {
public:
    // The record of the lead. `retained`: of the log of the lead before, what the present one had for certain
    // when it was promoted. A new term ends what was granted for the one before.
    void recorded(std::uint64_t term, std::optional<LogPosition> retained);
    // A lease under which the recorded lead is settled runs until then: until then no promotion counts what
    // the replicas have. It is never taken back, as leases aren't either.
    void settledUntil(Nanos until);
    bool settled(Nanos now) const { return now < settledUntil_; }
    Nanos settledUntil() const { return settledUntil_; }
    std::uint64_t term() const { return term_; }
    WriteFate fateOf(const AcknowledgedWrite& write) const;

private:
    std::uint64_t term_ = 0;
    std::optional<LogPosition> retained_;
    Nanos settledUntil_ = 0;
};

}  // namespace granitereel::proxy
