#include "control/recovery.hpp"

namespace granitereel::control {

void Recovery::epochChanged() {
    repliedVoters_.clear();
    lastRequestAt_ = 0;
}

bool Recovery::shouldRequestNow(const VoterSet& voterSet, const std::string& self, Nanoseconds now) {
    if (voterSet.epoch == 0) return false;
    if (voterSet.voters.count(self) && now < notBefore_) return false;
    if (lastRequestAt_ != 0 && now - lastRequestAt_ < requestInterval) return false;
    lastRequestAt_ = now;
    return true;
}

bool Recovery::recordReply(const VoterSet& voterSet, const std::string& voter, std::uint64_t epoch) {
    if (lastRequestAt_ == 0 || epoch != voterSet.epoch || !voterSet.voters.count(voter)) return false;
    repliedVoters_.insert(voter);
    return true;
}

bool Recovery::isComplete(const VoterSet& voterSet, std::uint64_t newestEpoch) const {
    return newestEpoch <= voterSet.epoch && repliedVoters_.size() >= voterSet.majority();
}

}  // namespace granitereel::control
