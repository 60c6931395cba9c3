// What stores say of themselves, as records of the board: which call is news, which one was overtaken, and
// when a change may be acknowledged: once a majority of the voters holds it in memory. Free of I/O, clocks
// and chance.
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
    std::int64_t warmUpLeft_ms = 0;  // how much longer the store is slow from its start
    std::uint64_t number = 0;        // rises with each call of one life of the store
    // Throws nlohmann::json::exception where the body is not of this form.
    static StoreRegistration fromJson(const std::string& id, const std::string& body);
};

// Asks a voter to hold a store's record in memory. The version 0.0 asks only what it holds.
struct StoreReplicationRequest {
    static constexpr const char* kind = "store_record_replicate";
    std::string processIncarnation;  // of the asking process
    std::uint64_t number = 0;        // of the question within that life
    std::string name;
    gossip::Record record;
    Json toJson() const;
    // Throws nlohmann::json::exception where it is not of this form.
    static StoreReplicationRequest fromJson(const Json& message);
};

// The answer to StoreRecordReplicate: the record is held, or another of a version not below it stands.
struct StoreReplicationReply {
    static constexpr const char* kind = "store_record_held";
    std::string processIncarnation;
    std::uint64_t number = 0;
    std::optional<gossip::Record> other;  // none: held
    Json toJson() const;
    // Throws nlohmann::json::exception where it is not of this form.
    static StoreReplicationReply fromJson(const Json& message);
};

class StoreRegistry {
public:
    // What the registry needs of the member it belongs to.
    struct Host {
        virtual ~Host() = default;
        virtual const gossip::RecordTable& recordTable() const = 0;
        // A record for all; those of a version not above the one that stands change nothing.
        virtual void putRecord(const std::string& name, gossip::Record record) = 0;
        // Whether this record was missed for so long that it may be gone elsewhere (board::Gossip).
        virtual bool unconfirmed(const std::string& name) const = 0;
        virtual void sendTo(const std::string& voter, Json message) = 0;
        virtual const VoterSet& voterSet() const = 0;
        virtual void answerStore(std::uint64_t call, CallOutcome kind) = 0;
    };
    // `life`: differs from that of every other process whose answers could come in.
    StoreRegistry(std::string self, std::string processIncarnation, std::int64_t beatInterval_ms, Host& host,
                  Nanoseconds now);

    // Calls of stores, to be passed on only while the member holds a lease. What no majority holds by `until`
    // is answered as failed.
    void registerStore(std::uint64_t call, const StoreRegistration& registration, Nanoseconds deadline,
                       Nanoseconds now);
    void deregisterStore(std::uint64_t call, const std::string& id, Nanoseconds deadline, Nanoseconds now);
    // A question of another member. None: not to be answered, as this member may have forgotten what it held.
    std::optional<StoreReplicationReply> replicate(const StoreReplicationRequest& request, Nanoseconds now);
    void replicationAnswered(const std::string& voter, const StoreReplicationReply& answer, Nanoseconds now);
    // The whole board of this voter has been heard.
    void recordsReceivedFrom(const std::string& voter) { recordsReceived_.insert(voter); }
    void recordChanged(const std::string& name, const gossip::Record& record, Nanoseconds now);
    void tick(Nanoseconds now);

    // The longest that a call is counted for.
    static constexpr Nanoseconds maxPendingTime = milliseconds(850);
    // A question that was not answered is sent again; what it asks is the same.
    static constexpr Nanoseconds retryInterval = milliseconds(250);
    // Where a majority of the others does not come, a member that started answers for a majority that counts
    // itself, once all that was asked before its start has ended and links were made anew.
    static constexpr Nanoseconds recordsTimeout = maxPendingTime + milliseconds(700);
    // A call of one life of a store that is under way for so many beats is taken to have been lost.
    static constexpr int maxMissedHeartbeats = 5;
    // A process that did nothing for longer can't tell a store's silence from its own.
    static constexpr Nanoseconds stallThreshold = milliseconds(1000);

private:
    enum class Verdict { unchanged, outdated, changed, newIncarnation };
    // What this member saw of the present life of a store.
    struct Incarnation {
        std::string address, softwareVersion, previousAddress, previousSoftwareVersion;
        std::uint64_t startedAtVersion = 0;  // the version's major part at which the life began
        std::uint64_t number = 0;            // the highest heard
        Nanoseconds lastHeartbeatAt = 0, previousUntil = 0;
        std::optional<Nanoseconds> warmAt;  // when the store's slow start is over
        void setWarmAt(Nanoseconds at) { warmAt = std::min(warmAt.value_or(at), at); }
    };
    // A record whose holders are being counted, for a store that waits for its answer.
    struct Pending {
        std::uint64_t call = 0;
        std::optional<StoreRegistration> registration;  // none: the store leaves
        std::string name;
        gossip::Record record;
        std::set<std::string> holders;
        Nanoseconds deadline = 0, sentAt = 0;
    };
    Verdict classify(const StoreRegistration& registration, const gossip::Record* known,
                     Nanoseconds now) const;
    bool isNewIncarnation(const StoreRegistration& registration, const Incarnation& incarnation,
                          Nanoseconds now) const;
    void handleRegistration(std::uint64_t call, const StoreRegistration& registration, Nanoseconds deadline,
                            Nanoseconds now);
    void handleDeregistration(std::uint64_t call, const std::string& name, Nanoseconds deadline,
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
    std::map<std::string, gossip::Version> majorityHolds_;  // what a majority was seen to hold
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t nextNumber_ = 1;
};

}  // namespace granitereel::control
