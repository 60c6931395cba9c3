// Replicated registers: each name maps to a value that is changed by a function of its current value and is
// held by a majority of the voters' disks before the change is acknowledged (CASPaxos, Rystsov 2018: one
// round of promises, one round of acceptances; no log and no leader). Concurrent proposers may force each
// other to retry; a chosen value is never lost, and no two changes are based on the same value. Free of
// I/O, clocks and randomness.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/vote.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// State of one register on a voter's disk.
struct Slot {
    Ballot promised, accepted;
    Json value;  // null: never written
    // `accepted` was copied from other voters during recovery. This disk never voted for it, so it must not
    // be counted as evidence that a majority accepted it: a value that was never chosen could be read as
    // chosen.
    bool learned = false;
};

Json slotToJson(const Slot& slot);
// Parses the output of `slotToJson`, and slots of the earlier format, whose ballots have no process
// incarnation. Throws nlohmann::json::exception.
Slot slotFromJson(const Json& json);

// The acceptor of a voter. A reply must not be sent before the slot is synced to disk: a promise or
// acceptance that a crash erases would let two different values be chosen.
class Acceptor {
public:
    struct Outcome {
        VoteReply reply;
        bool changed = false;   // the slot must be written to disk
        bool conflict = false;  // a second value under an already accepted ballot: the proposer is faulty
    };

    void load(const std::string& name, Slot slot) { slots_[name] = std::move(slot); }
    // Does not check the epoch of the request; the caller does.
    Outcome handle(const VoteRequest& request);
    const Slot& slot(const std::string& name) { return slots_[name]; }
    const std::map<std::string, Slot>& slots() const { return slots_; }
    // Merges the slot of another voter where its ballots are higher; returns whether anything changed.
    bool mergeRecovered(const std::string& name, const Slot& other);

private:
    Outcome promise(Slot& slot, const VoteRequest& request);
    Outcome accept(Slot& slot, const VoteRequest& request);

    std::map<std::string, Slot> slots_;
};

// A change of one register. `apply` maps the current value (null: none) to the new one; it may be called
// more than once, and returns its argument to read without writing.
struct RegisterChange {
    std::string name;
    std::function<Json(const Json&)> apply;
    // Receives the chosen value, or nothing if no majority replied in time; the change may then have been
    // chosen or not.
    std::function<void(std::optional<Json>)> done;
    // Runs the accept phase even if the value is unchanged and already chosen.
    bool forceAccept = false;
};

// The proposer of one member: runs any number of changes at a time and produces the requests to voters.
class Proposer {
public:
    struct OutgoingRequest {
        std::string to;
        Json message;  // a VoteRequest
    };
    // Returns the slot of a register in this member's own acceptor.
    using LocalSlot = std::function<const Slot&(const std::string& name)>;
    Proposer(ProposerId self, LocalSlot localSlot)
        : self_(std::move(self)), localSlot_(std::move(localSlot)), linkedVoters_{self_.member} {}

    // Restarts all running changes with the voters of a later epoch.
    void setVoters(VoterSet voterSet, Nanoseconds now);
    const VoterSet& voterSet() const { return voterSet_; }
    // The voter lost its disk and returned under another incarnation. Its earlier promises and acceptances
    // no longer count: counting them could choose a value without a majority of disks behind it.
    void handleDiskLoss(const std::string& voter, Nanoseconds now);

    void begin(RegisterChange change, Nanoseconds now, Nanoseconds deadline);
    // A link to this voter was established: unanswered requests are sent again. Voters without a link are
    // sent nothing; the member itself is always linked.
    void linkUp(const std::string& voter);
    // The last link to this voter was closed.
    void linkDown(const std::string& voter);
    // A VoteReply to a request of this proposer. Replies after the deadline of a change are ignored, even
    // if this process was suspended and has not ticked since.
    void handleReply(const std::string& from, const Json& message, Nanoseconds now);
    void tick(Nanoseconds now);
    // Whether no change is running.
    bool idle() const { return runningChanges_.empty(); }
    std::vector<OutgoingRequest> takeRequests() { return std::exchange(requests_, {}); }
    // Log lines on changes that failed for want of a majority.
    std::vector<std::string> takeFailures() { return std::exchange(failures_, {}); }
    // A link delivers requests or closes, so only voters that abstained need to be asked again, after this
    // interval.
    static constexpr Nanoseconds abstentionRetryInterval = milliseconds(400);

private:
    struct PhaseReply {
        Ballot accepted;
        bool learned = false;
    };
    struct RunningChange {
        RegisterChange change;
        Nanoseconds deadline = 0, sentAt = 0, resumeAt = 0;
        Ballot ballot, highestAccepted;
        Json currentValue, newValue, patch;
        bool accepting = false, backingOff = false;
        std::map<std::string, PhaseReply> replies;  // in the current phase
        // Accept phase: the voters that promised, with the ballots that they had accepted.
        std::map<std::string, Ballot> promises;
        // `requested`: the request of this phase was sent on a live link.
        std::set<std::string> requested, lacksPatchBase;
        int conflicts = 0;
    };
    void prepare(std::uint64_t changeId, RunningChange& running, Nanoseconds now);
    void sendRequest(std::uint64_t changeId, RunningChange& running, const std::string& voter);
    void sendRequests(std::uint64_t changeId, RunningChange& running, Nanoseconds now);
    void handleRefusal(RunningChange& running, const Ballot& promised, Nanoseconds now);
    void handlePromise(std::uint64_t changeId, RunningChange& running, const std::string& from,
                       const VoteReply& reply, Nanoseconds now);
    void advance(std::uint64_t changeId, RunningChange& running, Nanoseconds now);
    bool isAlreadyChosen(const RunningChange& running) const;
    void finish(std::uint64_t changeId, std::optional<Json> value);

    ProposerId self_;
    LocalSlot localSlot_;
    VoterSet voterSet_;
    std::set<std::string> linkedVoters_;
    std::map<std::uint64_t, RunningChange> runningChanges_;
    std::uint64_t nextChangeId_ = 1, highestRound_ = 0;
    std::vector<OutgoingRequest> requests_;
    std::vector<std::string> failures_;
};

}  // namespace granitereel::control
