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
#include "nanoseconds.hpp"

namespace granitereel::control {

// What a member's disk holds of a register.
struct Slot {
    Ballot promised, accepted;
    Json value;  // null: never written
    // `accepted` was read from other voters' disks by a recovery: no vote of this disk stands behind it, so
    // it is no evidence that a majority has accepted.
    bool learned = false;
};

Json written(const Slot& slot);
// Reads what `written` made, and slots of the earlier format, whose ballots carry no life. Throws
// nlohmann::json::exception.
Slot readSlot(const Json& text);

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
    Outcome answer(const VoteRequest& request);
    const Slot& at(const std::string& name) { return slots_[name]; }
    const std::map<std::string, Slot>& all() const { return slots_; }
    // Takes over what another voter holds, where that is more; says whether anything changed.
    bool merge(const std::string& name, const Slot& other);

private:
    Outcome promise(Slot& slot, const VoteRequest& request);
    Outcome accept(Slot& slot, const VoteRequest& request);

    std::map<std::string, Slot> slots_;
};

// A change under way. `change` is given the value as it was (null: none) and returns it as it shall be; it
// may be called more than once, and gives back the same to change nothing.
struct Change {
    std::string name;
    std::function<Json(const Json&)> change;
    // The value that now stands, or none if no majority could be had in time: then it may stand or not.
    std::function<void(std::optional<Json>)> done;
    // Has it accepted again by a majority even where it stands unchanged.
    bool anew = false;
};

// The proposers of one member: what is to be said to which members, and what came of it.
class Proposer {
public:
    struct Said {
        std::string to;
        Json message;  // a VoteRequest
    };
    // `held`: what this member's own acceptor holds of a register.
    using Held = std::function<const Slot&(const std::string& name)>;
    Proposer(ProposerId self, Held held)
        : self_(std::move(self)), held_(std::move(held)), linked_{self_.member} {}

    // What is under way begins anew with the voters of a later epoch.
    void core(Core core, Nanoseconds now);
    const Core& core() const { return core_; }
    // A member that has lost its disk answers anew under another incarnation: what it said before counts no
    // more.
    void forgets(const std::string& voter, Nanoseconds now);

    void begin(Change change, Nanoseconds now, Nanoseconds until);
    // A link to this voter is there anew: what it has not answered is asked again. Nothing is said to a voter
    // before; of this member itself it need not be told.
    void reached(const std::string& voter);
    // There is no link to this voter any more.
    void lost(const std::string& voter);
    // A VoteReply to a request of this proposer. What comes behind a change's deadline counts no more, also
    // where this process was frozen and has not ticked since.
    void heard(const std::string& from, const Json& answer, Nanoseconds now);
    void tick(Nanoseconds now);
    // Whether no change is under way.
    bool idle() const { return running_.empty(); }
    std::vector<Said> takeSaid() { return std::exchange(said_, {}); }
    // What the changes that ended without a majority were short of, for the log.
    std::vector<std::string> takeFailures() { return std::exchange(failures_, {}); }
    // Links carry what is sent or end, so only a voter that abstained is asked again, after this.
    static constexpr Nanoseconds again = milliseconds(400);

private:
    struct Answer {
        Ballot accepted;
        bool learned = false;
    };
    struct Running {
        Change change;
        Nanoseconds until = 0, sentAt = 0, resumeAt = 0;
        Ballot ballot, best;
        Json was, value, patch;
        bool accepting = false, paused = false;
        std::map<std::string, Answer> answered;   // in the present phase
        std::map<std::string, Ballot> promisers;  // while accepting: who promised, with what it had accepted
        std::set<std::string> asked, lacksBase;   // asked: the phase's question stands on a living link
        int clashes = 0;
    };
    void prepare(std::uint64_t no, Running& running, Nanoseconds now);
    void ask(std::uint64_t no, Running& running, const std::string& voter);
    void askAll(std::uint64_t no, Running& running, Nanoseconds now);
    void refused(Running& running, const Ballot& promised, Nanoseconds now);
    void promised(std::uint64_t no, Running& running, const std::string& from, const VoteReply& reply,
                  Nanoseconds now);
    void proceed(std::uint64_t no, Running& running, Nanoseconds now);
    bool chosenAlready(const Running& running) const;
    void end(std::uint64_t no, std::optional<Json> value);

    ProposerId self_;
    Held held_;
    Core core_;
    std::set<std::string> linked_;
    std::map<std::uint64_t, Running> running_;
    std::uint64_t nextNo_ = 1, highestRound_ = 0;
    std::vector<Said> said_;
    std::vector<std::string> failures_;
};

}  // namespace granitereel::control
