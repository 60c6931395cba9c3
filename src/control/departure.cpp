#include "control/departure.hpp"

#include <algorithm>
#include <iterator>

namespace granitereel::control {

namespace {
// Asked again, as a link may have been made anew.
constexpr Nanoseconds askAgain = milliseconds(300);
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

void Departure::begin(Nanoseconds within, Nanoseconds now) {
    if (std::exchange(begun_, true)) return;
    until_ = now + within;
}

void Departure::heard(const std::string& voter, const FlushReply& reply) {
    if (flushing_ && reply.number >= firstNumber_) flushed_.insert(voter);
}

void Departure::proceed(bool handedOver, const std::set<std::string>& votersInReach, const Send& send,
                        Nanoseconds now) {
    if (!begun_ || over_) return;
    over_ = now >= until_;
    if (!std::exchange(flushing_, handedOver) && flushing_) {
        flushed_.clear();
        firstNumber_ = number_ + 1;
        askedAt_ = now - askAgain;
    }
    if (!flushing_) return;
    std::set<std::string> unflushed;
    std::set_difference(votersInReach.begin(), votersInReach.end(), flushed_.begin(), flushed_.end(),
                        std::inserter(unflushed, unflushed.end()));
    if (unflushed.empty()) over_ = true;
    if (over_ || now - askedAt_ < askAgain) return;
    askedAt_ = now;
    const FlushRequest request{++number_};
    for (const std::string& voter : unflushed) send(voter, request.toJson());
}

}  // namespace granitereel::control
