// Proof, without control, that a write is kept: every replica on record has received it. Whatever store is
// promoted next then has it, too, as the rows that a promotion rests on are taken of replicas that stand
// still. Only what a replica says on a connection counts that was open while the lead was settled: so it has
// not started since, and a pause for the promotion under way, if it has come already, still holds. Free of
// I/O and clocks. docs/control-safety/promotion.md has the argument.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "log_position.hpp"
#include "nanos.hpp"
#include "store_status.hpp"

namespace granitereel::proxy {

class ReplicaEvidence {
public:
    // The record of the lead. A new term ends what replicas said in the one before.
    void recorded(std::uint64_t term, std::set<std::string> replicas);
    const std::set<std::string>& replicas() const { return replicas_; }
    // What a replica said on a connection that was open while the lead was settled.
    void told(const std::string& replica, const StoreStatus& row);
    // Whether each replica on record, and as many as are synchronous, has received the position in its term.
    bool holds(const LogPosition& position, int syncReplicas) const;
    // Whether a replica is still to be asked about the position.
    bool lacks(const std::string& replica, const LogPosition& position) const;

private:
    std::uint64_t term_ = 0;
    std::set<std::string> replicas_;
    std::map<std::string, LogPosition> received_;
};

}  // namespace granitereel::proxy
