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
struct StoreCall {
    std::string id, service, address, district, edition, standing, role;
    std::int64_t berths = 0;
    std::int64_t coldLeft_ms = 0;  // how much longer the store is slow from its start
    std::uint64_t number = 0;      // rises with each call of one life of the store
    // Throws nlohmann::json::exception where the body is not of this form.
    static StoreCall fromJson(const std::string& id, const std::string& body);
};

// Asks a voter to hold a store's record in memory. The version 0.0 asks only what it holds.
struct StoreRecordReplicate {
    static constexpr const char* kind = "store_record_replicate";
    std::string life;          // of the asking process
    std::uint64_t number = 0;  // of the question within that life
    std::string name;
    gossip::Record record;
    Json toJson() const;
    // Throws nlohmann::json::exception where it is not of this form.
    static StoreRecordReplicate fromJson(const Json& message);
};

// The answer to StoreRecordReplicate: the record is held, or another of a version not below it stands.
struct StoreRecordHeld {
    static constexpr const char* kind = "store_record_held";
    std::string life;
    std::uint64_t number = 0;
    std::optional<gossip::Record> other;  // none: held
    Json toJson() const;
    // Throws nlohmann::json::exception where it is not of this form.
    static StoreRecordHeld fromJson(const Json& message);
};

class StoreRegistry {
public:
    // What the registry needs of the member it belongs to.
    struct Means {
        virtual ~Means() = default;
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
    StoreRegistry(std::string self, std::string life, std::int64_t beatInterval_ms, Means& means,
                  Nanoseconds now);

    // Calls of stores, to be passed on only while the member holds a lease. What no majority holds by `until`
    // is answered as failed.
    void called(std::uint64_t call, const StoreCall& said, Nanoseconds until, Nanoseconds now);
    void left(std::uint64_t call, const std::string& id, Nanoseconds until, Nanoseconds now);
    // A question of another member. None: not to be answered, as this member may have forgotten what it held.
    std::optional<StoreRecordHeld> hold(const StoreRecordReplicate& asked, Nanoseconds now);
    void held(const std::string& voter, const StoreRecordHeld& answer, Nanoseconds now);
    // The whole board of this voter has been heard.
    void boardHeardFrom(const std::string& voter) { boardsHeard_.insert(voter); }
    void news(const std::string& name, const gossip::Record& record, Nanoseconds now);
    void tick(Nanoseconds now);

    // The longest that a call is counted for.
    static constexpr Nanoseconds heldWithin = milliseconds(850);
    // A question that was not answered is sent again; what it asks is the same.
    static constexpr Nanoseconds askAgain = milliseconds(250);
    // Where a majority of the others does not come, a member that started answers for a majority that counts
    // itself, once all that was asked before its start has ended and links were made anew.
    static constexpr Nanoseconds boardsWithin = heldWithin + milliseconds(700);
    // A call of one life of a store that is under way for so many beats is taken to have been lost.
    static constexpr int lateBeats = 5;
    // A process that did nothing for longer can't tell a store's silence from its own.
    static constexpr Nanoseconds stalled = milliseconds(1000);

private:
    enum class Verdict { unchanged, overtaken, changed, newLife };
    // What this member saw of the present life of a store.
    struct Life {
        std::string address, edition, formerAddress, formerEdition;
        std::uint64_t since = 0;   // the version's major part at which the life began
        std::uint64_t number = 0;  // the highest heard
        Nanoseconds heardAt = 0, formerUntil = 0;
        std::optional<Nanoseconds> warmAt;  // when the store's slow start is over
        void slowUntil(Nanoseconds at) { warmAt = std::min(warmAt.value_or(at), at); }
    };
    // A record whose holders are being counted, for a store that waits for its answer.
    struct Pending {
        std::uint64_t call = 0;
        std::optional<StoreCall> said;  // none: the store leaves
        std::string name;
        gossip::Record record;
        std::set<std::string> holders;
        Nanoseconds until = 0, askedAt = 0;
    };
    Verdict judge(const StoreCall& said, const gossip::Record* known, Nanoseconds now) const;
    bool startedAnew(const StoreCall& said, const Life& life, Nanoseconds now) const;
    void take(std::uint64_t call, const StoreCall& said, Nanoseconds until, Nanoseconds now);
    void takeLeft(std::uint64_t call, const std::string& name, Nanoseconds until, Nanoseconds now);
    void begin(const StoreCall& said, std::uint64_t since, Nanoseconds now);
    void confirm(Pending pending, Nanoseconds now);
    void ask(std::uint64_t number, Pending& pending, Nanoseconds now);
    bool settle(std::uint64_t number);
    bool remembers(Nanoseconds now) const;
    void forgetUnknown(Nanoseconds now);

    const std::string self_, life_;
    const Nanoseconds lateAfter_;
    Means& means_;
    const Nanoseconds startedAt_;
    Nanoseconds tickedAt_, forgotAt_;
    std::set<std::string> boardsHeard_;
    std::map<std::string, Life> lives_;                 // by the record's name
    std::map<std::string, gossip::Version> confirmed_;  // what a majority was seen to hold
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t nextNumber_ = 1;
};

}  // namespace granitereel::control
