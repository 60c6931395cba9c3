// Ballots of the replicated registers: a round number and the proposer that opened it. Free of I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace granitereel::control {

using Json = nlohmann::json;

// One process of one member. No two processes ever share an identity, or a ballot could be used for two
// different values: `processIncarnation` is incremented and synced at each start, and `incarnation` is
// drawn anew when the disk that keeps that counter was lost.
struct ProposerId {
    std::string member;                    // control address of the member
    std::string incarnation;               // of the disk; empty: written by a version without incarnations
    std::uint64_t processIncarnation = 0;  // number of starts on this disk, from 1
    auto operator<=>(const ProposerId&) const = default;
};

// Totally ordered, by round first. A process opens each round at most once, so at most one value is ever
// proposed under a ballot.
struct Ballot {
    std::uint64_t round = 0;  // 0: no ballot
    ProposerId proposer;
    auto operator<=>(const Ballot&) const = default;
};

// {"round", "member", "incarnation", "life"}; null for no ballot.
Json toJson(const Ballot& ballot);
// Throws nlohmann::json::exception on malformed input.
Ballot ballotFromJson(const Json& json);

// Disk record that holds the number of the member's current process.
inline constexpr const char* processIncarnationKey = "life";
// The number of the process that is about to start. It must be written and synced under
// `processIncarnationKey` before the member starts; otherwise two processes could use the same ballots.
std::uint64_t nextProcessIncarnation(const std::map<std::string, Json>& disk);

}  // namespace granitereel::control
