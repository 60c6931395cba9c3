// The lease of a member: for how long it may tell others which leads stand. It is had from a majority of the
// voters of one epoch, each of which answers a round's question with the leads that may be about to change.
// Free of I/O; times are of this member's steady clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "control/vote.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// Services whose lead may change or has changed, each with the sequence number of that change.
using UnsettledSequences = std::map<std::string, std::uint64_t>;

struct LeaseRoundRequest {
    static constexpr const char* kind = "round";
    std::uint64_t round = 0, epoch = 0;
    Json toJson() const;
    static LeaseRoundRequest fromJson(const Json& message);  // throws nlohmann::json::exception
};

struct LeaseRoundReply {
    static constexpr const char* kind = "roundok";
    std::uint64_t round = 0, epoch = 0;
    UnsettledSequences unsettled;
    std::uint64_t configurationRevision = 0;  // the version that the voter holds; 0: none
    Json toJson() const;
    static LeaseRoundReply fromJson(const Json& message);  // throws nlohmann::json::exception
};

class LeaseRounds {
public:
    // How long what was told of leads may be believed, counted from when the question for it was sent.
    static constexpr Nanoseconds leaseDuration = milliseconds(700);

    // Begins a round in this epoch. `ownVote`: the voter that this member is, or empty.
    LeaseRoundRequest begin(const VoterSet& voterSet, const std::string& ownVote, Nanoseconds now);
    // Counts only where round, answer and this member's present epoch are one.
    void answered(const std::string& voter, const LeaseRoundReply& answer, const VoterSet& voterSet);
    Nanoseconds expiresAt() const { return expiresAt_; }

private:
    struct Round {
        std::uint64_t epoch = 0;
        Nanoseconds sentAt = 0;
        std::set<std::string> voters;
    };
    void countVote(Round& round, const std::string& voter, const VoterSet& voterSet);

    std::map<std::uint64_t, Round> rounds_;
    std::uint64_t lastRound_ = 0;
    Nanoseconds expiresAt_ = 0;
};

}  // namespace granitereel::control
