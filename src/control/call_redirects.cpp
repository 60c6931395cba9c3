#include "control/call_redirects.hpp"

#include <algorithm>
#include <iterator>

namespace granitereel::control {

std::optional<std::string> RedirectHints::longestLease(Nanoseconds now) const {
    const auto found =
        std::max_element(leaseEnd_.begin(), leaseEnd_.end(),
                         [](const auto& one, const auto& other) { return one.second < other.second; });
    if (found == leaseEnd_.end() || found->second <= now) return std::nullopt;
    return found->first;
}

void CallsAwaitingLease::add(std::uint64_t number, std::function<void(Nanoseconds)> run, Nanoseconds now) {
    calls_.push_back({number, std::move(run), now + maxWait});
}

std::vector<CallsAwaitingLease::Call> CallsAwaitingLease::takeExpired(Nanoseconds now) {
    const auto firstExpired = std::stable_partition(calls_.begin(), calls_.end(),
                                                    [now](const Call& call) { return now < call.deadline; });
    std::vector<Call> expired(std::make_move_iterator(firstExpired), std::make_move_iterator(calls_.end()));
    calls_.erase(firstExpired, calls_.end());
    return expired;
}

}  // namespace granitereel::control
