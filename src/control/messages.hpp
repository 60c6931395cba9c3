// Messages between members of control: on a new link, about the voter set, and to a member that lost its
// disk. Each `fromJson` throws nlohmann::json::exception on malformed input. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "control/register.hpp"
#include "control/vote.hpp"

namespace granitereel::control {

// The first message on a link, from both sides. An agent sends only `sender` "front" and its station.
struct Hello {
    static constexpr const char* kind = "hello";
    static constexpr const char* memberSender = "member";
    std::string sender, member, station, district, incarnation;
    std::optional<VoterSet> voterSet;  // sent by the side that was dialled: its current voter set, if known
    Json toJson() const;
    static Hello fromJson(const Json& message);
};

// Reply to a request of an earlier epoch.
struct CurrentVoterSet {
    static constexpr const char* kind = "stale";
    VoterSet voterSet;
    Json toJson() const;
    static CurrentVoterSet fromJson(const Json& message);
};

// Requests the slots on the disk of a voter, in this epoch.
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
    std::map<std::string, Slot> slots;  // by register name
    Json toJson() const;
    static StateReply fromJson(const Json& message);
};

}  // namespace granitereel::control
