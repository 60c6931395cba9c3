#include "proxy/commit_horizon.hpp"

#include <algorithm>

namespace granitereel::proxy {

namespace {
// Pairs closer together than this carry no useful extra information. The history reaches further back
// than any staleness at which a replica read is worthwhile.
constexpr Nanoseconds minPairSpacing = milliseconds(20);
constexpr std::size_t maxPairs = 400;
}  // namespace

void CommitHorizon::observe(const LogPosition& position, Nanoseconds sentAt) {
    // Responses on different connections overtake each other: the response to a later query may carry
    // a lower position than one that was received earlier. It covers its own send time only with the
    // higher of both.
    if (!pairs_.empty()) {
        Pair& last = pairs_.back();
        if (sentAt <= last.sentAt) return;
        const LogPosition highest = std::max(position, last.position);
        if (sentAt - last.sentAt < minPairSpacing && pairs_.size() > 1 &&
            sentAt - pairs_[pairs_.size() - 2].sentAt < minPairSpacing) {
            last = {highest, sentAt};
            return;
        }
        pairs_.push_back({highest, sentAt});
    } else {
        pairs_.push_back({position, sentAt});
    }
    if (pairs_.size() > maxPairs) pairs_.pop_front();
}

std::optional<LogPosition> CommitHorizon::positionCovering(Nanoseconds since) const {
    return positionCovering(since, 0);
}

std::optional<LogPosition> CommitHorizon::positionCovering(Nanoseconds since, std::uint64_t term) const {
    auto found = std::lower_bound(pairs_.begin(), pairs_.end(), since,
                                  [](const Pair& pair, Nanoseconds when) { return pair.sentAt < when; });
    while (found != pairs_.end() && found->position.term < term) ++found;
    if (found == pairs_.end()) return {};
    return found->position;
}

std::optional<Nanoseconds> CommitHorizon::coveredUntil(const LogPosition& position) const {
    auto above =
        std::upper_bound(pairs_.begin(), pairs_.end(), position,
                         [](const LogPosition& wanted, const Pair& pair) { return wanted < pair.position; });
    if (above == pairs_.begin()) return {};
    return std::prev(above)->sentAt;
}

std::optional<Nanoseconds> CommitHorizon::newestTime() const {
    if (pairs_.empty()) return {};
    return pairs_.back().sentAt;
}

}  // namespace granitereel::proxy
