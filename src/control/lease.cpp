#include "control/lease.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
// Rounds that answers are still awaited for; older ones could extend nothing.
constexpr std::size_t roundsKept = 8;
}  // namespace

Json LeaseQuestion::toJson() const {
    return {{"k", kind}, {"round", round}, {"epoch", epoch}};
}

LeaseQuestion LeaseQuestion::fromJson(const Json& message) {
    return {message.at("round"), message.at("epoch")};
}

Json LeaseAnswer::toJson() const {
    Json marks = Json::object();
    for (const auto& [service, sequence] : unsettled) marks[service] = sequence;
    return {{"k", kind},
            {"round", round},
            {"epoch", epoch},
            {"unsettled", std::move(marks)},
            {"edition", configuration}};
}

LeaseAnswer LeaseAnswer::fromJson(const Json& message) {
    return {message.at("round"), message.at("epoch"), message.at("unsettled").get<LeadMarks>(),
            message.value("edition", std::uint64_t(0))};
}

LeaseQuestion LeaseRounds::begin(const VoterSet& voterSet, const std::string& ownVote, Nanoseconds now) {
    Round& round = rounds_[++last_];
    round.epoch = voterSet.epoch;
    round.sentAt = now;
    if (rounds_.size() > roundsKept) rounds_.erase(rounds_.begin());
    if (!ownVote.empty()) count(round, ownVote, voterSet);
    return {last_, voterSet.epoch};
}

void LeaseRounds::answered(const std::string& voter, const LeaseAnswer& answer, const VoterSet& voterSet) {
    const auto found = rounds_.find(answer.round);
    if (found == rounds_.end()) return;
    // Answers of two epochs are no majority of either.
    if (answer.epoch != voterSet.epoch || found->second.epoch != voterSet.epoch) return;
    count(found->second, voter, voterSet);
}

void LeaseRounds::count(Round& round, const std::string& voter, const VoterSet& voterSet) {
    if (!voterSet.voters.count(voter)) return;
    round.voters.insert(voter);
    if (round.voters.size() >= voterSet.majority()) until_ = std::max(until_, round.sentAt + leaseTime);
}

}  // namespace granitereel::control
