// Registers that outlive machines: for each name a value that is changed by a function of what it was, held
// by a majority of the core's disks before anyone is told (CASPaxos, Rystsov 2018: a round of promises, a
// round of acceptances; no log and no leader). Two proposers at once may make each other begin anew; of what
// was once chosen nothing is lost, and no two changes are built on the same value. Free of I/O, clocks and
// chance.
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
#include "nanos.hpp"

namespace granitereel::control {

// What a member's disk holds of a register.
struct Slot {
    Ballot promised, accepted;
    Json value;  // null: never written
    // `accepted` was read from other voters' disks by a recovery: no vote of this disk stands behind it, so
    // it is no evidence that a majority has accepted.
    bool learned = false;
};

Json slotToJson(const Slot& slot);
// Reads what `written` made, and slots of the earlier format, whose ballots carry no life. Throws
// nlohmann::json::exception.
Slot slotFromJson(const Json& json);

// A voter's part in promising and accepting. What it answers must not leave before the slot is on disk.
class Acceptor {
public:
    struct Outcome {
        VoteReply reply;
        bool changed = false;   // the slot is to be written
        bool conflict = false;  // another value came under a ballot accepted here: a proposer's fault
    };

    void load(const std::string& name, Slot slot) { slots_[name] = std::move(slot); }
    // The request's epoch is not looked at.
    Outcome handle(const VoteRequest& request);
    const Slot& slot(const std::string& name) { return slots_[name]; }
    const std::map<std::string, Slot>& slots() const { return slots_; }
    // Takes over what another voter holds, where that is more; says whether anything changed.
    bool mergeRecovered(const std::string& name, const Slot& other);

private:
    Outcome promise(Slot& slot, const VoteRequest& request);
    Outcome accept(Slot& slot, const VoteRequest& request);

    std::map<std::string, Slot> slots_;
};

// A change under way. `change` is given the value as it was (null: none) and returns it as it shall be; it
// may be called more than once, and gives back the same to change nothing.
struct RegisterChange {
    std::string name;
    std::function<Json(const Json&)> apply;
    // The value that now stands, or none if no majority could be had in time: then it may stand or not.
    std::function<void(std::optional<Json>)> done;
    // Has it accepted again by a majority even where it stands unchanged.
    bool forceAccept = false;
};

// The proposers of one member: what is to be said to which members, and what came of it.
class Proposer {
public:
    struct OutgoingRequest {
        std::string to;
        Json message;  // a VoteRequest
    };
    // `held`: what this member's own acceptor holds of a register.
    using LocalSlot = std::function<const Slot&(const std::string& name)>;
    Proposer(ProposerId self, LocalSlot localSlot)
        : self_(std::move(self)), localSlot_(std::move(localSlot)), linkedVoters_{self_.member} {}

    // What is under way begins anew with the voters of a later epoch.
    void setVoters(VoterSet voterSet, Nanos now);
    const VoterSet& voterSet() const { return voterSet_; }
    // A member that has lost its disk answers anew under another incarnation: what it said before counts no
    // more.
    void handleDiskLoss(const std::string& voter, Nanos now);

    void begin(RegisterChange change, Nanos now, Nanos deadline);
    // A link to this voter is there anew: what it has not answered is asked again. Nothing is said to a voter
    // before; of this member itself it need not be told.
    void linkUp(const std::string& voter);
    // There is no link to this voter any more.
    void linkDown(const std::string& voter);
    // A VoteReply to a request of this proposer. What comes behind a change's deadline counts no more, also
    // where this process was frozen and has not ticked since.
    void handleReply(const std::string& from, const Json& answer, Nanos now);
    void tick(Nanos now);
    // Whether no change is under way.
    bool idle() const { return runningChanges_.empty(); }
    std::vector<OutgoingRequest> takeRequests() { return std::exchange(requests_, {}); }
    // What the changes that ended without a majority were short of, for the log.
    std::vector<std::string> takeFailures() { return std::exchange(failures_, {}); }
    // Links carry what is sent or end, so only a voter that abstained is asked again, after this.
    static constexpr Nanos abstentionRetryInterval = millis(400);

private:
    struct PhaseReply {
        Ballot accepted;
        bool learned = false;
    };
    struct RunningChange {
        RegisterChange change;
        Nanos deadline = 0, sentAt = 0, resumeAt = 0;
        Ballot ballot, highestAccepted;
        Json currentValue, newValue, patch;
        bool accepting = false, backingOff = false;
        std::map<std::string, PhaseReply> replies;  // in the present phase
        std::map<std::string, Ballot> promises;  // while accepting: who promised, with what it had accepted
        std::set<std::string> requested,
            lacksPatchBase;  // asked: the phase's question stands on a living link
        int conflicts = 0;
    };
    void prepare(std::uint64_t changeId, RunningChange& running, Nanos now);
    void sendRequest(std::uint64_t changeId, RunningChange& running, const std::string& voter);
    void sendRequests(std::uint64_t changeId, RunningChange& running, Nanos now);
    void handleRefusal(RunningChange& running, const Ballot& promised, Nanos now);
    void handlePromise(std::uint64_t changeId, RunningChange& running, const std::string& from,
                       const VoteReply& reply, Nanos now);
    void advance(std::uint64_t changeId, RunningChange& running, Nanos now);
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
