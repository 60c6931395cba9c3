#include "control/replica_ages.hpp"

#include <algorithm>

namespace granitereel::control {

void ReplicaAges::update(const RecentReplicas& onRecord, Nanoseconds now) {
    std::erase_if(observations_, [&](const auto& each) { return !onRecord.count(each.first); });
    for (const auto& [replica, recordedAge] : onRecord) {
        const auto [entry, inserted] = observations_.try_emplace(replica, Observation{recordedAge, now});
        if (!inserted && recordedAge > age(replica, now)) entry->second = {recordedAge, now};
    }
}

unsigned ReplicaAges::age(const std::string& replica, Nanoseconds now) const {
    const auto found = observations_.find(replica);
    if (found == observations_.end()) return 0;
    const auto stepsElapsed =
        static_cast<unsigned>(std::max<Nanoseconds>(0, now - found->second.since) / ageStep);
    return std::min(establishedAge, found->second.age + stepsElapsed);
}

}  // namespace granitereel::control
