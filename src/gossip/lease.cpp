#include "gossip/lease.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::gossip {

namespace {
// Questions that may be open at once: more than a lease's time holds of them.
constexpr std::size_t openMost = 8;
constexpr Nanos nanosInMicro = 1'000;
}  // namespace

std::uint64_t configurationVersion(const Board& board) {
    const Record* record = board.find("config");
    return record ? record->version.major : 0;
}

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

LeaseRequest LeaseRequest::fromJson(const nlohmann::json& message) {
    return {message.at("t").get<std::uint64_t>()};
}

nlohmann::json LeaseReply::toJson() const {
    return {{"k", kind},
            {"t", number},
            {"left", left / nanosInMicro},
            {"c", unsettled},
            {"edition", configuration}};
}

LeaseReply LeaseReply::fromJson(const nlohmann::json& message) {
    LeaseReply reply;
    reply.number = message.at("t").get<std::uint64_t>();
    reply.left = message.at("left").get<std::int64_t>() * nanosInMicro;
    reply.unsettled = message.at("c").get<std::map<std::string, std::uint64_t>>();
    reply.configuration = message.value("edition", std::uint64_t(0));
    return reply;
}

void HeldLease::granted(Nanos asked, const LeaseReply& reply, bool counts) {
    // Counted from the question, which is before the grant.
    const Nanos until = counts && reply.left > 0 ? asked + reply.left : 0;
    if (until > until_) {
        until_ = until;
        unsettled_ = reply.unsettled;
        return;
    }
    // The longer lease stays, with its own list; what else is in doubt is added, as caution harms nobody.
    for (const auto& [service, sequence] : reply.unsettled) {
        auto& known = unsettled_[service];
        known = std::max(known, sequence);
    }
}

bool HeldLease::settles(const std::string& service, std::uint64_t sequence) const {
    const auto at = unsettled_.find(service);
    return at == unsettled_.end() || at->second <= sequence;
}

}  // namespace granitereel::gossip
