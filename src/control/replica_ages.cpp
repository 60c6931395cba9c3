#include "control/replica_ages.hpp"

#include <algorithm>

namespace granitereel::control {

void ReplicaAges::note(const YoungReplicas& onRecord, Nanoseconds now) {
    std::erase_if(seen_, [&](const auto& each) { return !onRecord.count(each.first); });
    for (const auto& [replica, told] : onRecord) {
        const auto [at, first] = seen_.try_emplace(replica, Seen{told, now});
        if (!first && told > age(replica, now)) at->second = {told, now};
    }
}

unsigned ReplicaAges::age(const std::string& replica, Nanoseconds now) const {
    const auto found = seen_.find(replica);
    if (found == seen_.end()) return 0;
    const auto passed = static_cast<unsigned>(std::max<Nanoseconds>(0, now - found->second.since) / step);
    return std::min(grownUp, found->second.age + passed);
}

}  // namespace granitereel::control
