#include "control/contact.hpp"

#include <algorithm>
#include <iterator>

namespace granitereel::control {

std::optional<std::string> Contacts::best(Nanoseconds now) const {
    const auto at = std::max_element(until_.begin(), until_.end(), [](const auto& one, const auto& other) {
        return one.second < other.second;
    });
    if (at == until_.end() || at->second <= now) return std::nullopt;
    return at->first;
}

void WaitingCalls::add(std::uint64_t number, std::function<void(Nanoseconds)> run, Nanoseconds now) {
    calls_.push_back({number, std::move(run), now + waits});
}

std::vector<WaitingCalls::Call> WaitingCalls::takeOverdue(Nanoseconds now) {
    const auto first = std::stable_partition(calls_.begin(), calls_.end(),
                                             [now](const Call& call) { return now < call.until; });
    std::vector<Call> over(std::make_move_iterator(first), std::make_move_iterator(calls_.end()));
    calls_.erase(first, calls_.end());
    return over;
}

}  // namespace granitereel::control
