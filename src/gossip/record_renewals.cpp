#include "gossip/record_renewals.hpp"

namespace granitereel::gossip {

bool Renewals::renewed(const std::string& name) {
    return name.starts_with("front/") || name.starts_with("member/");
}

void Renewals::came(const std::string& name, Nanos now) {
    if (renewed(name)) cameAt_[name] = now;
}

std::vector<std::string> Renewals::overdue(Nanos now) const {
    std::vector<std::string> names;
    for (const auto& [name, at] : cameAt_)
        if (now - at >= renewedWithin) names.push_back(name);
    return names;
}

bool Renewals::renewOwn(Nanos now) {
    if (ownRenewedAt_ == 0) ownRenewedAt_ = now;  // the start
    if (now - ownRenewedAt_ < renewEvery) return false;
    ownRenewedAt_ = now;
    return true;
}

}  // namespace granitereel::gossip
