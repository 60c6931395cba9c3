#include "gossip/lease.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::gossip {

namespace {
// More requests than are sent while a lease lasts.
constexpr std::size_t maxOpenRequests = 8;
constexpr Nanoseconds nanosecondsPerMicrosecond = 1'000;
}  // namespace

std::uint64_t configurationVersion(const RecordTable& recordTable) {
    const Record* record = recordTable.find("config");
    return record ? record->version.major : 0;
}

std::uint64_t LeaseRequests::start(Nanoseconds now) {
    sentAt_[++lastNumber_] = now;
    if (sentAt_.size() > maxOpenRequests) sentAt_.erase(sentAt_.begin());
    return lastNumber_;
}

std::optional<Nanoseconds> LeaseRequests::complete(std::uint64_t number) {
    const auto it = sentAt_.find(number);
    if (it == sentAt_.end()) return {};
    const Nanoseconds sentAt = it->second;
    sentAt_.erase(sentAt_.begin(), std::next(it));
    return sentAt;
}

LeaseRequest LeaseRequest::fromJson(const nlohmann::json& message) {
    return {message.at("t").get<std::uint64_t>()};
}

nlohmann::json LeaseReply::toJson() const {
    return {{"k", kind},
            {"t", number},
            {"left", remaining / nanosecondsPerMicrosecond},
            {"c", unsettled},
            {"edition", configurationVersion}};
}

LeaseReply LeaseReply::fromJson(const nlohmann::json& message) {
    LeaseReply reply;
    reply.number = message.at("t").get<std::uint64_t>();
    reply.remaining = message.at("left").get<std::int64_t>() * nanosecondsPerMicrosecond;
    reply.unsettled = message.at("c").get<std::map<std::string, std::uint64_t>>();
    reply.configurationVersion = message.value("edition", std::uint64_t(0));
    return reply;
}

void HeldLease::applyReply(Nanoseconds requestedAt, const LeaseReply& reply, bool complete) {
    // Counted from the request, which was sent before the grant: the lease ends here no later than it ends at
    // the grantor, however long the reply took.
    const Nanoseconds until = complete && reply.remaining > 0 ? requestedAt + reply.remaining : 0;
    if (until > until_) {
        until_ = until;
        unsettled_ = reply.unsettled;
        return;
    }
    // The longer lease stays, together with its own list. Further unsettled services are added: doubting one
    // too many is safe.
    for (const auto& [service, sequence] : reply.unsettled) {
        auto& known = unsettled_[service];
        known = std::max(known, sequence);
    }
}

bool HeldLease::isSettled(const std::string& service, std::uint64_t sequence) const {
    const auto it = unsettled_.find(service);
    return it == unsettled_.end() || it->second <= sequence;
}

}  // namespace granitereel::gossip
