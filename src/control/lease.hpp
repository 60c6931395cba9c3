// A member's lease: for how long it may vouch for primary records. It is granted by a majority of the voters
// of one epoch, each of which answers a round with the primaries that may be about to change. Without the
// majority, a member that is cut off would keep vouching for a replaced primary. No I/O; times are of this
// member's steady clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "control/vote.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// Services whose primary may change or has changed, each with the sequence number of that change.
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
    std::uint64_t configurationRevision = 0;  // that the voter holds; 0: none
    Json toJson() const;
    static LeaseRoundReply fromJson(const Json& message);  // throws nlohmann::json::exception
};

class LeaseRounds {
public:
    // Lifetime of the lease, counted from when the round's request was sent: a slow reply never extends it.
    static constexpr Nanoseconds leaseDuration = milliseconds(700);

    // Starts a round in the current epoch. `ownVote`: this member's name if it is a voter, else empty.
    LeaseRoundRequest begin(const VoterSet& voterSet, const std::string& ownVote, Nanoseconds now);
    // A reply counts only if its epoch, the round's and this member's current one are the same.
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
