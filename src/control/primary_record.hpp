// The record of a service's primary, as stored in its register and replicated to all processes: which store
// is primary in which term, which member owns the failover, and which replicas there are.
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

// The value of the register "lead/SERVICE".
struct PrimaryRecord {
    std::string store;
    std::uint64_t term = 0, sequence = 0, fencingToken = 0;
    std::string owner;               // the member that owns the failover
    bool settled = false;            // no promotion may be under way
    std::set<std::string> replicas;  // including departed ones that are not released yet
    // Replicas that were added recently, with their ages: a proxy may still be using a record without them.
    RecentReplicas recentReplicas;
    // Addresses of released established replicas: the next store there takes over their logs.
    std::set<std::string> vacatedAddresses;
    std::map<std::string, std::string> addresses;  // of the replicas: the next store there takes over the log
    // The position up to which this store certainly had the previous primary's log when it was promoted;
    // none: unknown.
    std::optional<LogPosition> retained;
};
Json serializePrimaryRecord(const PrimaryRecord& primary);
std::optional<PrimaryRecord> parsePrimaryRecord(const Json& body);

}  // namespace granitereel::control
