#include "proxy/replica_evidence.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::proxy {

void ReplicaEvidence::updateRecord(std::uint64_t term, std::set<std::string> replicas) {
    if (term != term_) received_.clear();
    term_ = term;
    replicas_ = std::move(replicas);
}

void ReplicaEvidence::recordStatus(const std::string& replica, const StoreStatus& status) {
    if (status.primary || status.term != term_ || status.receivedPosition.term != term_) return;
    LogPosition& highest = received_[replica];
    highest = std::max(highest, status.receivedPosition);
}

bool ReplicaEvidence::mayLack(const std::string& replica, const LogPosition& position) const {
    const auto found = received_.find(replica);
    return position.term != term_ || found == received_.end() || found->second < position;
}

bool ReplicaEvidence::allHave(const LogPosition& position, int syncReplicas) const {
    const auto required = static_cast<std::size_t>(std::max(1, syncReplicas));
    return replicas_.size() >= required &&
           std::none_of(replicas_.begin(), replicas_.end(),
                        [&](const std::string& replica) { return mayLack(replica, position); });
}

}  // namespace granitereel::proxy
