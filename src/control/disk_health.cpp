#include "control/disk_health.hpp"

namespace granitereel::control {

const char* toString(DiskHealth health) {
    switch (health) {
        case DiskHealth::ok:
            return "ok";
        case DiskHealth::slow:
            return "slow";
        case DiskHealth::refuses:
            return "refuses";
    }
    return "unknown";
}

std::optional<std::string> DiskHealthMonitor::update(DiskHealth health, Nanoseconds now) {
    const DiskHealth before = health_;
    if (health == before) return std::nullopt;
    health_ = health;
    if (before == DiskHealth::ok) unhealthySince_ = now;
    if (health != DiskHealth::ok)
        return std::string("the disk is unwell: ") + toString(health) + "; no vote until it is well";
    return "the disk is well again after " + std::to_string((now - unhealthySince_) / milliseconds(1)) +
           " ms";
}

}  // namespace granitereel::control
