// What proposers ask of voters and what voters answer. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "control/ballot.hpp"

namespace granitereel::control {

// Who votes, and since which change of that. A change adds or takes away one voter, so that majorities of an
// epoch and of the next have a member in common; before a further one all registers are accepted anew
// (ControlMember::manage).
struct VoterSet {
    std::uint64_t epoch = 0;  // 0: not known
    std::set<std::string> voters;
    std::size_t majority() const { return voters.size() / 2 + 1; }
};

enum class VotePhase { prepare, accept };

struct VoteRequest {
    VotePhase phase = VotePhase::prepare;
    std::string name;           // the register
    std::uint64_t attempt = 0;  // the proposer's number for its change; comes back in the reply
    Ballot ballot;
    VoterSet voterSet;  // the epoch in which it is asked, and who votes in it
    // prepare: the accepted ballot whose value the proposer holds itself, so that it need not be sent.
    Ballot knownAccepted;
    // accept: the whole value, or a patch (RFC 6902) of the value accepted under `base`.
    Ballot patchBase;
    std::optional<Json> patch;
    Json value;

    Json toJson() const;
    static VoteRequest fromJson(const Json& message);  // throws nlohmann::json::exception
};

enum class VoteKind {
    promised,
    accepted,
    refused,         // `ballot`: what the voter has promised
    needsFullValue,  // it does not hold what the patch is of
    abstains,        // it has no vote at present
};

struct VoteReply {
    VoteKind kind = VoteKind::abstains;
    std::uint64_t attempt = 0;
    Ballot ballot;
    // promised: what it has accepted, and the value unless the proposer holds it.
    Ballot accepted;
    bool learned = false;  // see Slot::learned
    std::optional<Json> value;

    Json toJson() const;
    static VoteReply fromJson(const Json& message);  // throws nlohmann::json::exception
};

bool isVoteRequest(const std::string& kind);
bool isVoteReply(const std::string& kind);

}  // namespace granitereel::control
