// What members of control say to each other on a new link, about who votes, and to a member whose disk was
// lost. Each `fromJson` throws nlohmann::json::exception where the message is not of its form. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/register.hpp"
#include "control/vote.hpp"

namespace granitereel::control {

// The first message on a link, of both sides. An agent says `sender` "front" and its station only.
struct Hello {
    static constexpr const char* kind = "hello";
    static constexpr const char* memberSender = "member";
    std::string sender, member, station, district, incarnation;
    std::optional<VoterSet> voterSet;  // of who was dialled: the present one, as far as it knows
    Json toJson() const;
    static Hello fromJson(const Json& message);
};

// A later epoch than that of what was asked.
struct CurrentVoterSet {
    static constexpr const char* kind = "stale";
    VoterSet voterSet;
    Json toJson() const;
    static CurrentVoterSet fromJson(const Json& message);
};

// Asks for what a voter's disk holds, in this epoch.
struct StateRequest {
    static constexpr const char* kind = "dump?";
    VoterSet voterSet;
    std::string onlyRegister;  // one register; empty: all
    Json toJson() const;
    static StateRequest fromJson(const Json& message);
};

struct StateReply {
    static constexpr const char* kind = "dump";
    std::uint64_t epoch = 0;
    std::map<std::string, Slot> slots;  // by register
    Json toJson() const;
    static StateReply fromJson(const Json& message);
};

}  // namespace granitereel::control
