#include "gossip/record_expiry.hpp"

#include <algorithm>

namespace granitereel::gossip {

bool RecordExpiry::canBeDeleted(const std::string& name) {
    return name.starts_with("store/") || name.starts_with("front/") || name.starts_with("member/");
}

void RecordExpiry::addTombstone(const std::string& name, Nanoseconds now, Nanoseconds age) {
    deletedAt_[name] = now - age;
}

Nanoseconds RecordExpiry::tombstoneAge(const std::string& name, Nanoseconds now) const {
    const auto it = deletedAt_.find(name);
    return it == deletedAt_.end() ? 0 : std::max<Nanoseconds>(0, now - it->second);
}

std::vector<std::string> RecordExpiry::takeExpired(Nanoseconds now) {
    std::vector<std::string> expired;
    for (const auto& [name, deletedAt] : deletedAt_)
        if (now - deletedAt >= tombstoneLifetime) expired.push_back(name);
    for (const std::string& name : expired) deletedAt_.erase(name);
    return expired;
}

bool RecordExpiry::advance(Nanoseconds now, bool connected) {
    connected_ = connected;
    if (connected) {
        connectedAt_ = now;
        isolated_ = false;
        return false;
    }
    if (isolated_ || connectivityAge(now) <= maxIsolation) return false;
    isolated_ = true;
    return true;
}

void RecordExpiry::peerConnectivity(Nanoseconds now, Nanoseconds age) {
    if (connected_) return;
    connectedAt_ = std::min(connectedAt_.value_or(now), now - age);
}

Nanoseconds RecordExpiry::connectivityAge(Nanoseconds now) const {
    return connectedAt_ ? std::max<Nanoseconds>(0, now - *connectedAt_) : 0;
}

}  // namespace granitereel::gossip
