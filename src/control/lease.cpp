#include "control/lease.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
// Rounds whose replies are still counted; older ones could no longer extend the lease.
constexpr std::size_t maxPendingRounds = 8;
}  // namespace

Json LeaseRoundRequest::toJson() const {
    return {{"k", kind}, {"round", round}, {"epoch", epoch}};
}

LeaseRoundRequest LeaseRoundRequest::fromJson(const Json& message) {
    return {message.at("round"), message.at("epoch")};
}

Json LeaseRoundReply::toJson() const {
    Json sequences = Json::object();
    for (const auto& [service, sequence] : unsettled) sequences[service] = sequence;
    return {{"k", kind},
            {"round", round},
            {"epoch", epoch},
            {"unsettled", std::move(sequences)},
            {"edition", configurationRevision}};
}

LeaseRoundReply LeaseRoundReply::fromJson(const Json& message) {
    return {message.at("round"), message.at("epoch"), message.at("unsettled").get<UnsettledSequences>(),
            message.value("edition", std::uint64_t(0))};
}

LeaseRoundRequest LeaseRounds::begin(const Core& core, const std::string& ownVote, Nanos now) {
    Round& round = rounds_[++lastRound_];
    round.epoch = core.epoch;
    round.sentAt = now;
    if (rounds_.size() > maxPendingRounds) rounds_.erase(rounds_.begin());
    if (!ownVote.empty()) countVote(round, ownVote, core);
    return {lastRound_, core.epoch};
}

void LeaseRounds::answered(const std::string& voter, const LeaseRoundReply& answer, const Core& core) {
    const auto found = rounds_.find(answer.round);
    if (found == rounds_.end()) return;
    // Replies from two epochs do not form a majority of either: two disjoint majorities could both grant
    // leases.
    if (answer.epoch != core.epoch || found->second.epoch != core.epoch) return;
    countVote(found->second, voter, core);
}

void LeaseRounds::countVote(Round& round, const std::string& voter, const Core& core) {
    if (!core.voters.count(voter)) return;
    round.voters.insert(voter);
    if (round.voters.size() >= core.majority())
        expiresAt_ = std::max(expiresAt_, round.sentAt + leaseDuration);
}

}  // namespace granitereel::control
