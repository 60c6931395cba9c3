#include "transport/traffic_counters.hpp"

#include <algorithm>
#include <vector>

namespace granitereel::transport {

namespace {
constexpr Nanos lineEvery = millis(60'000);
}  // namespace

void Traffic::sent(const std::string& kind, std::size_t bytes) {
    Count& count = counts_[kind];
    ++count.messages;
    count.bytes += bytes;
}

bool Traffic::due(Nanos now) {
    if (writtenAt_ == 0) writtenAt_ = now;
    if (now - writtenAt_ < lineEvery) return false;
    writtenAt_ = now;
    return true;
}

std::string Traffic::line() const {
    std::vector<std::pair<std::string, Count>> all(counts_.begin(), counts_.end());
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& a, const auto& b) { return a.second.bytes > b.second.bytes; });
    std::string line;
    for (const auto& [kind, count] : all)
        line += (line.empty() ? "" : " ") + kind + "=" + std::to_string(count.messages) + "/" +
                std::to_string(count.bytes);
    return line;
}

}  // namespace granitereel::transport
