// Ballots of the registers: a round and the proposer that opened it. Free of I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace granitereel::control {

using Json = nlohmann::json;

// One life of one member. Two lives never share an identity: `life` is raised and synced at each start, and
// `incarnation` is drawn anew where the disk that counts the lives was lost.
struct ProposerId {
    std::string member;                    // its control address
    std::string incarnation;               // empty: written by a version that had none
    std::uint64_t processIncarnation = 0;  // starts of this incarnation, from 1
    auto operator<=>(const ProposerId&) const = default;
};

// Totally ordered, by round first. A proposer opens a round at most once in a life, so a ballot has at most
// one value.
struct Ballot {
    std::uint64_t round = 0;  // 0: none
    ProposerId proposer;
    auto operator<=>(const Ballot&) const = default;
};

// {"round", "member", "incarnation", "life"}; null for no ballot.
Json toJson(const Ballot& ballot);
// Throws nlohmann::json::exception where it is not of this form.
Ballot ballotFromJson(const Json& json);

// Name under which a member's disk holds the number of its present life.
inline constexpr const char* processIncarnationKey = "life";
// The life to be written, synced, at `lifeKey` before a member starts on this disk.
std::uint64_t nextProcessIncarnation(const std::map<std::string, Json>& disk);

}  // namespace granitereel::control
