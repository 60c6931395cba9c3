// Turns the stores' registrations into shared records: decides which call changes a record, which one is
// outdated, and when a change may be acknowledged. Invariant: an acknowledged change is held in memory by a
// majority of the voters; otherwise the failure of one member could undo it. Deterministic: no I/O, clocks or
// randomness.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "control/outputs.hpp"
#include "control/register.hpp"
#include "gossip/record_table.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// The body of PUT /stores/ID.
struct StoreRegistration {
    std::string id, service, address, district, softwareVersion, status, role;
    std::int64_t connectionSlots = 0;
    std::int64_t warmUpLeft_ms = 0;  // remaining warm-up time after the store's start
    std::uint64_t number = 0;        // increases with each call of one incarnation of the store
    // Throws nlohmann::json::exception if the body is malformed.
    static StoreRegistration fromJson(const std::string& id, const std::string& body);
};

// Asks a voter to hold a store's record in memory. With version 0.0 it only asks which record the voter
// holds.
struct StoreReplicationRequest {
    static constexpr const char* kind = "store_record_replicate";
    std::string processIncarnation;  // of the requesting process
    std::uint64_t number = 0;        // of the request, within that incarnation
    std::string name;
    gossip::Record record;
    Json toJson() const;
    // Throws nlohmann::json::exception if it is malformed.
    static StoreReplicationRequest fromJson(const Json& message);
};

// The reply to StoreReplicationRequest: the voter holds the record, or another one whose version is not
// lower.
struct StoreReplicationReply {
    static constexpr const char* kind = "store_record_held";
    std::string processIncarnation;
    std::uint64_t number = 0;
    std::optional<gossip::Record> other;  // none: the record is held
    Json toJson() const;
    // Throws nlohmann::json::exception if it is malformed.
    static StoreReplicationReply fromJson(const Json& message);
};

class StoreRegistry {
public:
    // Interface to the owning member.
    struct Host {
        virtual ~Host() = default;
        virtual const gossip::RecordTable& recordTable() const = 0;
        // Publishes a record; one whose version is not above the current one changes nothing.
        virtual void putRecord(const std::string& name, gossip::Record record) = 0;
        // Whether this record has not been renewed for so long that others may have dropped it
        // (board::Gossip).
        virtual bool unconfirmed(const std::string& name) const = 0;
        virtual void sendTo(const std::string& voter, Json message) = 0;
        virtual const VoterSet& voterSet() const = 0;
        virtual void answerStore(std::uint64_t callId, CallOutcome kind) = 0;
    };
    // `processIncarnation`: unique among all processes whose replies could arrive here.
    StoreRegistry(std::string self, std::string processIncarnation, std::int64_t beatInterval_ms, Host& host,
                  Nanoseconds now);

    // Calls by stores; valid only while the member holds a lease. A change that no majority holds by
    // `deadline` is answered as failed.
    void registerStore(std::uint64_t callId, const StoreRegistration& registration, Nanoseconds deadline,
                       Nanoseconds now);
    void deregisterStore(std::uint64_t callId, const std::string& id, Nanoseconds deadline, Nanoseconds now);
    // A request by another member. None: not answered, since this member may have lost records that it held
    // before a restart.
    std::optional<StoreReplicationReply> replicate(const StoreReplicationRequest& request, Nanoseconds now);
    void replicationAnswered(const std::string& voter, const StoreReplicationReply& answer, Nanoseconds now);
    // All records of this voter have been received.
    void recordsReceivedFrom(const std::string& voter) { recordsReceived_.insert(voter); }
    void recordChanged(const std::string& name, const gossip::Record& record, Nanoseconds now);
    void tick(Nanoseconds now);

    // Maximum time that a call waits for a majority.
    static constexpr Nanoseconds maxPendingTime = milliseconds(850);
    // Interval after which an unanswered replication request is repeated unchanged.
    static constexpr Nanoseconds retryInterval = milliseconds(250);
    // If no majority of the other voters sends its records, a restarted member counts itself in the majority
    // after this: all requests from before its start have ended by then, and links have been re-established.
    static constexpr Nanoseconds recordsTimeout = maxPendingTime + milliseconds(700);
    // A store's call that has been in flight for this many heartbeats counts as lost.
    static constexpr int maxMissedHeartbeats = 5;
    // After a pause of its own longer than this, a process can't tell whether a store was silent.
    static constexpr Nanoseconds stallThreshold = milliseconds(1000);

private:
    enum class Verdict { unchanged, outdated, changed, newIncarnation };
    // What this member knows of a store's current incarnation.
    struct Incarnation {
        std::string address, softwareVersion, previousAddress, previousSoftwareVersion;
        std::uint64_t startedAtVersion = 0;  // the record version's major part at which it began
        std::uint64_t number = 0;            // the highest received
        Nanoseconds lastHeartbeatAt = 0, previousUntil = 0;
        std::optional<Nanoseconds> warmAt;  // when the store's warm-up ends
        void setWarmAt(Nanoseconds at) { warmAt = std::min(warmAt.value_or(at), at); }
    };
    // A record that is being replicated, for a store that waits for the response.
    struct Pending {
        std::uint64_t callId = 0;
        std::optional<StoreRegistration> registration;  // none: the store deregisters
        std::string name;
        gossip::Record record;
        std::set<std::string> holders;
        Nanoseconds deadline = 0, sentAt = 0;
    };
    Verdict classify(const StoreRegistration& registration, const gossip::Record* known,
                     Nanoseconds now) const;
    bool isNewIncarnation(const StoreRegistration& registration, const Incarnation& incarnation,
                          Nanoseconds now) const;
    void handleRegistration(std::uint64_t callId, const StoreRegistration& registration, Nanoseconds deadline,
                            Nanoseconds now);
    void handleDeregistration(std::uint64_t callId, const std::string& name, Nanoseconds deadline,
                              Nanoseconds now);
    void beginIncarnation(const StoreRegistration& registration, std::uint64_t startedAtVersion,
                          Nanoseconds now);
    void replicateToMajority(Pending pending, Nanoseconds now);
    void sendToVoters(std::uint64_t number, Pending& pending, Nanoseconds now);
    bool completeIfHeldByMajority(std::uint64_t number);
    bool recordsComplete(Nanoseconds now) const;
    void dropUnknownStores(Nanoseconds now);

    const std::string self_, processIncarnation_;
    const Nanoseconds heartbeatTimeout_;
    Host& host_;
    const Nanoseconds startedAt_;
    Nanoseconds lastTickAt_, lastDropAt_;
    std::set<std::string> recordsReceived_;
    std::map<std::string, Incarnation> incarnations_;       // by the record's name
    std::map<std::string, gossip::Version> majorityHolds_;  // versions known to be held by a majority
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t nextNumber_ = 1;
};

}  // namespace granitereel::control
