// Registers that outlive machines: for each name a value that is changed by a function of what it was, held
// by a majority of the core's disks before anyone is told (CASPaxos, Rystsov 2018: a round of promises, a
// round of acceptances; no log and no leader). Two proposers at once may make each other begin anew; of what
// was once chosen nothing is lost, and no two changes are built on the same value. Free of I/O, clocks and
// chance.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "nanos.hpp"

namespace granitereel::control {

using Json = nlohmann::json;

struct Ballot {
    std::uint64_t round = 0;
    std::string by;  // a member; breaks ties
    auto operator<=>(const Ballot&) const = default;
};

// Who votes, and since which change of that. A change adds or takes away one voter, so that majorities of an
// epoch and of the next have a member in common; before a further one all registers are accepted anew
// (Membership).
struct Core {
    std::uint64_t epoch = 0;  // 0: not known
    std::set<std::string> voters;
    std::size_t majority() const { return voters.size() / 2 + 1; }
};

// What a member's disk holds of a register.
struct Slot {
    Ballot promised, accepted;
    Json value;  // null: never written
};

Json written(const Slot& slot);
Slot readSlot(const Json& text);  // throws nlohmann::json::exception

// A member's part in promising and accepting. What it answers must not leave before the slot is on disk.
class Acceptor {
public:
    void load(const std::string& name, Slot slot) { slots_[name] = std::move(slot); }
    // Whether it promised to take nothing of a lower ballot.
    bool promise(const std::string& name, const Ballot& ballot);
    bool accept(const std::string& name, const Ballot& ballot, const Json& value);
    const Slot& at(const std::string& name) { return slots_[name]; }
    const std::map<std::string, Slot>& all() const { return slots_; }
    // Takes over what another member holds, where that is more; says whether anything changed.
    bool merge(const std::string& name, const Slot& other);

private:
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
        // {"k": "prepare" | "accept", "n", "r", "b", "t", "e": epoch, "c": voters, ("v")}; a question's "hr",
        // "hb" say which accepted value the asker holds itself, so that it need not be sent.
        Json message;
    };
    // `held`: what this member's own acceptor holds of a register.
    using Held = std::function<const Slot&(const std::string& name)>;
    Proposer(std::string self, Held held) : self_(std::move(self)), held_(std::move(held)) {}

    // What is under way begins anew with the voters of a later epoch.
    void core(Core core, Nanos now);
    const Core& core() const { return core_; }
    // A member that has lost its disk answers anew under another incarnation: what it said before counts no
    // more.
    void forgets(const std::string& voter);

    void begin(Change change, Nanos now, Nanos until);
    // A link to this voter is there anew: what it has not answered is asked again.
    void reached(const std::string& voter);
    // An answer to a message of ours: {"k": "promised" | "accepted" | "refused", "t", "r", "b", ("ar", "ab",
    // "av")}.
    void heard(const std::string& from, const Json& answer, Nanos now);
    void tick(Nanos now);
    // Whether no change is under way.
    bool idle() const { return running_.empty(); }
    std::vector<Said> takeSaid() { return std::exchange(said_, {}); }
    // What the changes that ended without a majority were short of, for the log.
    std::vector<std::string> takeFailures() { return std::exchange(failures_, {}); }
    // Links carry what is sent or end, so questions are repeated seldom: a voter may have had no vote yet.
    static constexpr Nanos again = millis(400);

private:
    struct Running {
        Change change;
        Nanos until = 0, sentAt = 0, resumeAt = 0;
        Ballot ballot, best;
        Json was, value, patch;
        bool accepting = false, paused = false;
        std::map<std::string, Ballot> answered, promised;  // with what each had accepted
        int clashes = 0;
    };
    void prepare(std::uint64_t no, Running& running, Nanos now);
    void ask(std::uint64_t no, Running& running, const std::string& voter);
    void askAll(std::uint64_t no, Running& running, Nanos now);
    void proceed(std::uint64_t no, Running& running, Nanos now);
    void end(std::uint64_t no, std::optional<Json> value);

    std::string self_;
    Held held_;
    Core core_;
    std::map<std::uint64_t, Running> running_;
    std::uint64_t nextNo_ = 1, highestRound_ = 0;
    std::vector<Said> said_;
    std::vector<std::string> failures_;
};

}  // namespace granitereel::control
