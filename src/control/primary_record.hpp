// The record of a service's lead, as its register holds it and as all are told: who leads in which term, who
// owns the duty, and who its replicas are.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "control/replica_ages.hpp"
#include "log_position.hpp"

namespace granitereel::control {

using Json = nlohmann::json;

// What the register "lead/SERVICE" holds.
struct PrimaryRecord {
    std::string store;
    std::uint64_t term = 0, sequence = 0, fencingToken = 0;
    std::string owner;               // the member that owns the duty
    bool settled = false;            // no promotion may be under way
    std::set<std::string> replicas;  // also those that left and were not released yet
    // Of the replicas those that are on record for a short while only: a proxy may rest on a record without
    // them.
    RecentReplicas recentReplicas;
    // Addresses of released replicas that were not young: a log passes on to the next store there.
    std::set<std::string> vacatedAddresses;
    std::map<std::string, std::string> addresses;  // of the replicas: a log passes on at its address
    // Of the log of the lead before, what this store had for certain when it was promoted; none: not known.
    std::optional<LogPosition> retained;
};
Json toJson(const PrimaryRecord& primary);
std::optional<PrimaryRecord> parsePrimaryRecord(const Json& body);

}  // namespace granitereel::control
