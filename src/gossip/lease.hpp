// The lease under which the records of primaries may be trusted as they stand in the record table, without
// asking the voters; as it is held by a process that got it from one nearer to the voters: an agent from its
// parent, a proxy from its agent. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "gossip/record_table.hpp"
#include "nanoseconds.hpp"

namespace granitereel::gossip {

// For how long after the end of its last lease a process may rely on what the records named then. Control
// makes up for the changes that they lack since (docs/control-safety/promotion.md).
constexpr Nanoseconds recordsUsableAfterLease = milliseconds(20'000);

// The version of the configuration in a record table; 0: none.
std::uint64_t configurationVersion(const RecordTable& recordTable);

// The invariant that the receiver of a lease checks at each one that it accepts: the grantor's configuration
// must have arrived before. Otherwise a process would serve under a valid lease by an outdated configuration.
constexpr const char* configurationBeforeLease = "the grantor's configuration arrives before its lease";

// Sent by a process further from the voters to one nearer to them.
struct LeaseRequest {
    static constexpr const char* kind = "lease?";
    std::uint64_t number = 0;
    nlohmann::json toJson() const { return {{"k", kind}, {"t", number}}; }
    static LeaseRequest fromJson(const nlohmann::json& message);  // throws nlohmann::json::exception
};

// What remains of the grantor's lease, counted from when the request was sent, and the services whose primary
// may be changing.
struct LeaseReply {
    static constexpr const char* kind = "lease";
    std::uint64_t number = 0;
    Nanoseconds remaining = 0;  // in whole microseconds on the wire; 0 or less: no lease
    // For each service whose primary is unsettled: the sequence number from which on the service's record
    // proves the primary again.
    std::map<std::string, std::uint64_t> unsettled;
    // The version of the configuration that the grantor held when it replied; 0: none. A receiver whose
    // exchange with the grantor is complete holds this version or a later one.
    std::uint64_t configurationVersion = 0;
    nlohmann::json toJson() const;
    static LeaseReply fromJson(const nlohmann::json& message);  // throws nlohmann::json::exception
};

// The open lease requests on one link. A reply counts once, for its own request, and closes all earlier ones.
// Numbers keep growing across links: a late reply from an earlier link must match no request, or its lease
// would be counted from too late a time.
class LeaseRequests {
public:
    // Returns the number of a request that is sent at `now`.
    std::uint64_t start(Nanoseconds now);
    // Returns when the request was sent; nullopt: it is not open.
    std::optional<Nanoseconds> complete(std::uint64_t number);
    // The link is gone or was replaced: no reply is expected any more.
    void clear() { sentAt_.clear(); }

private:
    std::uint64_t lastNumber_ = 0;
    std::map<std::uint64_t, Nanoseconds> sentAt_;
};

// A lease together with the services whose primary was known to be unsettled when it was granted: the voters
// of one round answered both. The time of one grant is never combined with the list of another: otherwise the
// holder could trust, under the longer lease, a primary that the voters of that lease had reported as
// unsettled.
class HeldLease {
public:
    // Applies the reply to a request that was sent at `requestedAt`. `complete`: whether this process holds
    // all records that the grantor held; otherwise the reply's unsettled services are added, and its time
    // does not count.
    void applyReply(Nanoseconds requestedAt, const LeaseReply& reply, bool complete);
    bool valid(Nanoseconds now) const { return now < until_; }
    // At least 0.
    Nanoseconds remaining(Nanoseconds now) const { return until_ > now ? until_ - now : 0; }
    Nanoseconds until() const { return until_; }
    // Whether a record of the service's primary with this sequence number is proof of the primary.
    bool isSettled(const std::string& service, std::uint64_t sequence) const;
    const std::map<std::string, std::uint64_t>& unsettled() const { return unsettled_; }

private:
    Nanoseconds until_ = 0;
    std::map<std::string, std::uint64_t> unsettled_;
};

}  // namespace granitereel::gossip
