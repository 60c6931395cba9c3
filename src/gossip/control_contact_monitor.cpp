#include "gossip/control_contact_monitor.hpp"

#include <algorithm>

namespace granitereel::gossip {

namespace {
constexpr Nanoseconds nanosecondsPerMillisecond = 1'000'000;
}  // namespace

std::optional<std::string> ControlContactMonitor::update(Nanoseconds leaseUntil, Nanoseconds now) {
    if (now < leaseUntil) return contactRestored(now);
    if (!hadContact_) return std::nullopt;
    if (!disconnected_) {
        disconnected_ = true;
        disconnectedAt_ = leaseUntil;
        ++statistics_.outages;
        return "contact with control lost";
    }
    if (longOutageReported_ || now - disconnectedAt_ < configurationStaleAfter) return std::nullopt;
    longOutageReported_ = true;
    ++statistics_.longOutages;
    return "no contact with control for " +
           std::to_string((now - disconnectedAt_) / nanosecondsPerMillisecond) +
           " ms: the configuration may be behind";
}

std::optional<std::string> ControlContactMonitor::contactRestored(Nanoseconds now) {
    hadContact_ = true;
    if (!disconnected_) return std::nullopt;
    const Nanoseconds outage = now - disconnectedAt_;
    disconnected_ = longOutageReported_ = false;
    statistics_.longestOutage = std::max(statistics_.longestOutage, outage);
    return "contact with control again after " + std::to_string(outage / nanosecondsPerMillisecond) + " ms";
}

}  // namespace granitereel::gossip
