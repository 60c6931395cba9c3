#include "control/graceful_shutdown.hpp"

#include <algorithm>
#include <iterator>

namespace granitereel::control {

namespace {
// Repeats the request, as a link may have been replaced.
constexpr Nanoseconds flushRetryInterval = milliseconds(300);
}  // namespace

Json FlushRequest::toJson() const {
    return {{"k", "flush?"}, {"number", number}};
}
FlushRequest FlushRequest::fromJson(const Json& message) {
    return {message.at("number").get<std::uint64_t>()};
}
Json FlushReply::toJson() const {
    return {{"k", "flushed"}, {"number", number}};
}
FlushReply FlushReply::fromJson(const Json& message) {
    return {message.at("number").get<std::uint64_t>()};
}

void GracefulShutdown::begin(Nanoseconds timeout, Nanoseconds now) {
    if (std::exchange(started_, true)) return;
    deadline_ = now + timeout;
}

void GracefulShutdown::handleReply(const std::string& voter, const FlushReply& reply) {
    if (flushing_ && reply.number >= firstFlushNumber_) flushed_.insert(voter);
}

void GracefulShutdown::proceed(bool handedOver, const std::set<std::string>& reachableVoters,
                               const Send& send, Nanoseconds now) {
    if (!started_ || finished_) return;
    finished_ = now >= deadline_;
    if (!std::exchange(flushing_, handedOver) && flushing_) {
        flushed_.clear();
        firstFlushNumber_ = lastRequestNumber_ + 1;
        lastRequestAt_ = now - flushRetryInterval;
    }
    if (!flushing_) return;
    std::set<std::string> unflushed;
    std::set_difference(reachableVoters.begin(), reachableVoters.end(), flushed_.begin(), flushed_.end(),
                        std::inserter(unflushed, unflushed.end()));
    if (unflushed.empty()) finished_ = true;
    if (finished_ || now - lastRequestAt_ < flushRetryInterval) return;
    lastRequestAt_ = now;
    const FlushRequest request{++lastRequestNumber_};
    for (const std::string& voter : unflushed) send(voter, request.toJson());
}

}  // namespace granitereel::control
