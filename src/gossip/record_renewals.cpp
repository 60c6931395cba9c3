#include "gossip/record_renewals.hpp"

namespace granitereel::gossip {

bool RecordRenewals::isRenewable(const std::string& name) {
    return name.starts_with("front/") || name.starts_with("member/");
}

void RecordRenewals::received(const std::string& name, Nanoseconds now) {
    if (isRenewable(name)) receivedAt_[name] = now;
}

std::vector<std::string> RecordRenewals::overdue(Nanoseconds now) const {
    std::vector<std::string> names;
    for (const auto& [name, receivedAt] : receivedAt_)
        if (now - receivedAt >= renewalTimeout) names.push_back(name);
    return names;
}

bool RecordRenewals::startOwnRenewal(Nanoseconds now) {
    if (ownRenewedAt_ == 0) ownRenewedAt_ = now;  // the first call
    if (now - ownRenewedAt_ < renewalInterval) return false;
    ownRenewedAt_ = now;
    return true;
}

}  // namespace granitereel::gossip
