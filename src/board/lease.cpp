#include "board/lease.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::board {

namespace {
// Questions that may be open at once: more than a lease's time holds of them.
constexpr std::size_t openMost = 8;
}  // namespace

std::uint64_t LeaseQuestions::ask(Nanos now) {
    sentAt_[++last_] = now;
    if (sentAt_.size() > openMost) sentAt_.erase(sentAt_.begin());
    return last_;
}

std::optional<Nanos> LeaseQuestions::answered(std::uint64_t number) {
    const auto at = sentAt_.find(number);
    if (at == sentAt_.end()) return {};
    const Nanos sent = at->second;
    sentAt_.erase(sentAt_.begin(), std::next(at));
    return sent;
}

void HeldLease::granted(Nanos asked, Nanos left, const nlohmann::json& unsettled) {
    auto heard = unsettled.get<std::map<std::string, std::uint64_t>>();
    // Counted from the question, which is before the grant.
    const Nanos until = left > 0 ? asked + left : 0;
    if (until > until_) {
        until_ = until;
        unsettled_ = std::move(heard);
        return;
    }
    // The longer lease stays, with its own list; what else is in doubt is added, as caution harms nobody.
    for (const auto& [service, sequence] : heard) {
        auto& known = unsettled_[service];
        known = std::max(known, sequence);
    }
}

bool HeldLease::settles(const std::string& service, std::uint64_t sequence) const {
    const auto at = unsettled_.find(service);
    return at == unsettled_.end() || at->second <= sequence;
}

}  // namespace granitereel::board
