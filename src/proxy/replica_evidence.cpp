#include "proxy/replica_evidence.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::proxy {

void ReplicaEvidence::recorded(std::uint64_t term, std::set<std::string> replicas) {
    if (term != term_) received_.clear();
    term_ = term;
    replicas_ = std::move(replicas);
}

void ReplicaEvidence::told(const std::string& replica, const StoreStatus& row) {
    if (row.primary || row.term != term_ || row.receivedPosition.term != term_) return;
    LogPosition& most = received_[replica];
    most = std::max(most, row.receivedPosition);
}

bool ReplicaEvidence::lacks(const std::string& replica, const LogPosition& position) const {
    const auto found = received_.find(replica);
    return position.term != term_ || found == received_.end() || found->second < position;
}

bool ReplicaEvidence::holds(const LogPosition& position, int syncReplicas) const {
    const auto needed = static_cast<std::size_t>(std::max(1, syncReplicas));
    return replicas_.size() >= needed &&
           std::none_of(replicas_.begin(), replicas_.end(),
                        [&](const std::string& replica) { return lacks(replica, position); });
}

}  // namespace granitereel::proxy
