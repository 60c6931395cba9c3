#include "control/recovery.hpp"

namespace granitereel::control {

void Recovery::epochChanged() {
    answered_.clear();
    askedAt_ = 0;
}

bool Recovery::askNow(const Core& core, const std::string& self, Nanoseconds now) {
    if (core.epoch == 0) return false;
    if (core.voters.count(self) && now < notBefore_) return false;
    if (askedAt_ != 0 && now - askedAt_ < askEvery) return false;
    askedAt_ = now;
    return true;
}

bool Recovery::answered(const Core& core, const std::string& voter, std::uint64_t epoch) {
    if (askedAt_ == 0 || epoch != core.epoch || !core.voters.count(voter)) return false;
    answered_.insert(voter);
    return true;
}

bool Recovery::complete(const Core& core, std::uint64_t newestEpoch) const {
    return newestEpoch <= core.epoch && answered_.size() >= core.majority();
}

}  // namespace granitereel::control
