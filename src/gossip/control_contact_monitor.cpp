#include "gossip/control_contact_monitor.hpp"

#include <algorithm>

namespace granitereel::gossip {

namespace {
constexpr Nanos nanosInMilli = 1'000'000;
}  // namespace

std::optional<std::string> ContactWatch::seen(Nanos contactUntil, Nanos now) {
    if (now < contactUntil) return regained(now);
    if (!hadContact_) return std::nullopt;
    if (!lost_) {
        lost_ = true;
        lostAt_ = contactUntil;
        ++figures_.losses;
        return "contact with control lost";
    }
    if (told_ || now - lostAt_ < behindAfter) return std::nullopt;
    told_ = true;
    ++figures_.longLosses;
    return "no contact with control for " + std::to_string((now - lostAt_) / nanosInMilli) +
           " ms: the configuration may be behind";
}

std::optional<std::string> ContactWatch::regained(Nanos now) {
    hadContact_ = true;
    if (!lost_) return std::nullopt;
    const Nanos away = now - lostAt_;
    lost_ = told_ = false;
    figures_.longest = std::max(figures_.longest, away);
    return "contact with control again after " + std::to_string(away / nanosInMilli) + " ms";
}

}  // namespace granitereel::gossip
