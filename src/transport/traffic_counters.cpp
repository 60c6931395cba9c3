#include "transport/traffic_counters.hpp"

#include <algorithm>
#include <vector>

namespace granitereel::transport {

namespace {
constexpr Nanoseconds reportInterval = milliseconds(60'000);
}  // namespace

void TrafficCounters::count(const std::string& kind, std::size_t bytes) {
    Total& total = totals_[kind];
    ++total.messages;
    total.bytes += bytes;
}

bool TrafficCounters::reportDue(Nanoseconds now) {
    if (reportedAt_ == 0) reportedAt_ = now;
    if (now - reportedAt_ < reportInterval) return false;
    reportedAt_ = now;
    return true;
}

std::string TrafficCounters::summary() const {
    std::vector<std::pair<std::string, Total>> totals(totals_.begin(), totals_.end());
    std::stable_sort(totals.begin(), totals.end(),
                     [](const auto& a, const auto& b) { return a.second.bytes > b.second.bytes; });
    std::string text;
    for (const auto& [kind, total] : totals)
        text += (text.empty() ? "" : " ") + kind + "=" + std::to_string(total.messages) + "/" +
                std::to_string(total.bytes);
    return text;
}

}  // namespace granitereel::transport
