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

LeaseRoundRequest LeaseRounds::begin(const VoterSet& voterSet, const std::string& ownVote, Nanoseconds now) {
    Round& round = rounds_[++lastRound_];
    round.epoch = voterSet.epoch;
    round.sentAt = now;
    if (rounds_.size() > maxPendingRounds) rounds_.erase(rounds_.begin());
    if (!ownVote.empty()) countVote(round, ownVote, voterSet);
    return {lastRound_, voterSet.epoch};
}

void LeaseRounds::answered(const std::string& voter, const LeaseRoundReply& answer,
                           const VoterSet& voterSet) {
    const auto found = rounds_.find(answer.round);
    if (found == rounds_.end()) return;
    // Replies from two epochs do not form a majority of either: two disjoint majorities could both grant
    // leases.
    if (answer.epoch != voterSet.epoch || found->second.epoch != voterSet.epoch) return;
    countVote(found->second, voter, voterSet);
}

void LeaseRounds::countVote(Round& round, const std::string& voter, const VoterSet& voterSet) {
    if (!voterSet.voters.count(voter)) return;
    round.voters.insert(voter);
    if (round.voters.size() >= voterSet.majority())
        expiresAt_ = std::max(expiresAt_, round.sentAt + leaseDuration);
}

}  // namespace granitereel::control
