// Proof, without control, that a write is durable: every recorded replica has received it. Any store that
// is promoted next then has it, too, because a promotion relies on statuses that are taken while the
// replicas receive nothing. Only statuses read on a connection that was opened while the primary was
// settled count: the replica has not restarted since then, so if it has already been paused for a
// promotion under way, the pause still holds. Without this rule, a restarted replica could report a write
// that it received after the promotion had counted without it, and the write would be reported as
// successful and then lost. Free of I/O and clocks. docs/control-safety/promotion.md has the argument.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "log_position.hpp"
#include "nanoseconds.hpp"
#include "store_status.hpp"

namespace granitereel::proxy {

class ReplicaEvidence {
public:
    // Applies the primary record. A new term discards the statuses reported in the previous one.
    void updateRecord(std::uint64_t term, std::set<std::string> replicas);
    const std::set<std::string>& replicas() const { return replicas_; }
    // Records a status that the replica reported on a connection opened while the primary was
    // settled.
    void recordStatus(const std::string& replica, const StoreStatus& status);
    // Whether every recorded replica, and at least as many as are synchronous, has received the
    // position in its term.
    bool allHave(const LogPosition& position, int syncReplicas) const;
    // Whether the replica is not known to have the position and still has to be queried.
    bool mayLack(const std::string& replica, const LogPosition& position) const;

private:
    std::uint64_t term_ = 0;
    std::set<std::string> replicas_;
    std::map<std::string, LogPosition> received_;
};

}  // namespace granitereel::proxy
