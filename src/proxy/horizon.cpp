#include "proxy/horizon.hpp"

#include <algorithm>

namespace granitereel::proxy {

namespace {
// Pairs closer together than this tell no more; kept for longer than any staleness worth a replica.
constexpr Nanos apart = millis(20);
constexpr std::size_t kept = 400;
}  // namespace

void Horizon::saw(const LogPosition& mark, Nanos asked) {
    // Answers overtake each other: one to a later question may show less than one heard before, and covers
    // its moment all the same only with the greater of both.
    if (!pairs_.empty()) {
        Pair& last = pairs_.back();
        if (asked <= last.asked) return;
        const LogPosition most = std::max(mark, last.mark);
        if (asked - last.asked < apart && pairs_.size() > 1 &&
            asked - pairs_[pairs_.size() - 2].asked < apart) {
            last = {most, asked};
            return;
        }
        pairs_.push_back({most, asked});
    } else {
        pairs_.push_back({mark, asked});
    }
    if (pairs_.size() > kept) pairs_.pop_front();
}

std::optional<LogPosition> Horizon::covering(Nanos since) const {
    return covering(since, 0);
}

std::optional<LogPosition> Horizon::covering(Nanos since, std::uint64_t term) const {
    auto at = std::lower_bound(pairs_.begin(), pairs_.end(), since,
                               [](const Pair& pair, Nanos when) { return pair.asked < when; });
    while (at != pairs_.end() && at->mark.term < term) ++at;
    if (at == pairs_.end()) return {};
    return at->mark;
}

std::optional<Nanos> Horizon::holds(const LogPosition& mark) const {
    auto above = std::upper_bound(pairs_.begin(), pairs_.end(), mark,
                                  [](const LogPosition& m, const Pair& pair) { return m < pair.mark; });
    if (above == pairs_.begin()) return {};
    return std::prev(above)->asked;
}

std::optional<Nanos> Horizon::newest() const {
    if (pairs_.empty()) return {};
    return pairs_.back().asked;
}

}  // namespace granitereel::proxy
