// Requests of proposers to voters, and the replies. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "control/ballot.hpp"

namespace granitereel::control {

// The voting members and the epoch in which they vote. Consecutive epochs differ by exactly one voter, so
// their majorities intersect. Majorities two epochs apart need not intersect; therefore all registers are
// accepted again by a majority before the next change (Membership), or a chosen value could be lost.
struct VoterSet {
    std::uint64_t epoch = 0;  // 0: unknown
    std::set<std::string> voters;
    std::size_t majority() const { return voters.size() / 2 + 1; }
};

enum class VotePhase { prepare, accept };

struct VoteRequest {
    VotePhase phase = VotePhase::prepare;
    std::string name;           // register name
    std::uint64_t attempt = 0;  // identifies the proposer's change; echoed in the reply
    Ballot ballot;
    VoterSet voterSet;  // epoch and voters that the proposer counts majorities in
    // prepare: the accepted ballot whose value the proposer already holds and need not be sent.
    Ballot knownAccepted;
    // accept: either the full value, or a patch (RFC 6902) against the value accepted under `patchBase`.
    Ballot patchBase;
    std::optional<Json> patch;
    Json value;

    Json toJson() const;
    static VoteRequest fromJson(const Json& message);  // throws nlohmann::json::exception
};

enum class VoteKind {
    promised,
    accepted,
    refused,         // `ballot` is the higher ballot that the voter has promised
    needsFullValue,  // the voter does not hold the value that the patch applies to
    abstains,        // the voter may not vote at the moment
};

struct VoteReply {
    VoteKind kind = VoteKind::abstains;
    std::uint64_t attempt = 0;
    Ballot ballot;
    // promised: the last accepted ballot, and its value unless the proposer holds it already.
    Ballot accepted;
    bool learned = false;  // see Slot::learned
    std::optional<Json> value;

    Json toJson() const;
    static VoteReply fromJson(const Json& message);  // throws nlohmann::json::exception
};

bool isVoteRequest(const std::string& kind);
bool isVoteReply(const std::string& kind);

}  // namespace granitereel::control
