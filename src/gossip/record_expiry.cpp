#include "gossip/record_expiry.hpp"

#include <algorithm>

namespace granitereel::gossip {

bool Lifetimes::mayEnd(const std::string& name) {
    return name.starts_with("store/") || name.starts_with("front/") || name.starts_with("member/");
}

void Lifetimes::buried(const std::string& name, Nanos now, Nanos age) {
    buriedAt_[name] = now - age;
}

Nanos Lifetimes::age(const std::string& name, Nanos now) const {
    const auto at = buriedAt_.find(name);
    return at == buriedAt_.end() ? 0 : std::max<Nanos>(0, now - at->second);
}

std::vector<std::string> Lifetimes::takeEnded(Nanos now) {
    std::vector<std::string> ended;
    for (const auto& [name, since] : buriedAt_)
        if (now - since >= tombstoneLife) ended.push_back(name);
    for (const std::string& name : ended) buriedAt_.erase(name);
    return ended;
}

bool Lifetimes::passed(Nanos now, bool inContact) {
    inContact_ = inContact;
    if (inContact) {
        contactAt_ = now;
        isolated_ = false;
        return false;
    }
    if (isolated_ || contactAge(now) <= isolationLimit) return false;
    isolated_ = true;
    return true;
}

void Lifetimes::peerContact(Nanos now, Nanos age) {
    if (inContact_) return;
    contactAt_ = std::min(contactAt_.value_or(now), now - age);
}

Nanos Lifetimes::contactAge(Nanos now) const {
    return contactAt_ ? std::max<Nanos>(0, now - *contactAt_) : 0;
}

}  // namespace granitereel::gossip
