// Who votes: one member's view of which members are in reach, and the changes of voters that it carries
// through. One voter at a time: a majority of the present voters says which registers it holds (a census),
// each of these is accepted anew by a majority, then the next core is written to the register "core". What to
// change is decided in voter_policy. Free of I/O, clocks and chance.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/register.hpp"
#include "control/voter_policy.hpp"
#include "nanoseconds.hpp"
#include "settings/settings.hpp"

namespace granitereel::control {

// What a member's record says of it.
struct MemberStanding {
    bool leaving = false;     // told to end
    bool recovering = false;  // its disk was lost, and it has not read the state yet
    static MemberStanding fromJson(const Json& body);
};

// Bounds of the judgement of who is in reach. Those of `timesFor` follow from guarantees.sync_in_s, within
// half of which a replacement must be complete.
struct MembershipTimes {
    Nanoseconds silence = milliseconds(600);  // a link that carried nothing for longer is as good as none
    Nanoseconds absent = milliseconds(1000);  // out of reach for longer: absent
    Nanoseconds absentForGood = milliseconds(15'000);
    Nanoseconds afterStart = milliseconds(3000);  // a voter not yet heard in this life is not judged before
    Nanoseconds settle = milliseconds(300);       // in reach for longer: may get a vote
    Nanoseconds turn =
        milliseconds(500);  // what the first voter in reach has not done the next does after this
};
MembershipTimes timesFor(int syncIn_ms);

// Asks a voter which registers it holds, and whether it hears a voter that is to be removed as absent. Who is
// asked adopts the epoch first, so that it refuses the messages of earlier ones from then on.
struct CensusRequest {
    std::uint64_t epoch = 0;
    std::set<std::string> voters;
    std::string absent;  // empty: none
    Json toJson() const;
    static CensusRequest fromJson(const Json& message);  // throws nlohmann::json::exception
};

struct CensusReply {
    std::uint64_t epoch = 0;
    std::set<std::string> registers;
    bool hearsAbsent = false;
    Json toJson() const;
    static CensusReply fromJson(const Json& message);  // throws nlohmann::json::exception
};

class Membership {
public:
    // What it needs of the member that holds it.
    struct Means {
        virtual ~Means() = default;
        // Over the link to that voter; lost where there is none.
        virtual void sendToVoter(const std::string& voter, Json message) = 0;
        virtual bool linkedTo(const std::string& member) const = 0;
        virtual std::set<std::string> registersHeld() const = 0;
        // Reads a register and has what stands accepted anew by a majority of the present voters.
        virtual void acceptAnew(const std::string& name, std::function<void(bool accepted)> done) = 0;
        // Writes the next core, where its epoch follows the one that stands.
        virtual void writeCore(const Core& next, std::function<void()> done) = 0;
        virtual void logMembership(std::string line) = 0;
    };

    Membership(std::string self, const settings::Settings& settings, Means& means, Nanoseconds now);

    // What is under way for an earlier epoch is given up.
    void adopted(const Core& core, Nanoseconds now);
    void heard(const std::string& member, Nanoseconds now) { lastHeard_[member] = now; }
    // The last one told holds: a member that starts again makes its record anew.
    void told(const std::string& member, MemberStanding standing) { standing_[member] = standing; }
    // Does what this member's turn is; `votes`: whether this member may vote.
    void tick(bool votes, Nanoseconds now);
    // Whether a change is under way or was made a moment ago: then another may follow at once, and `tick` is
    // called with every message, so that the core is between two changes as shortly as can be.
    bool changing(Nanoseconds now) const;
    CensusReply answer(const CensusRequest& request, Nanoseconds now) const;
    void heard(const std::string& voter, const CensusReply& reply, Nanoseconds now);

    bool inReach(const std::string& member, Nanoseconds now) const;
    bool leaves(const std::string& member) const;
    // Whether, from what this member sees, the voters are as they should be, also once those in reach that
    // have just come may vote.
    bool settled(Nanoseconds now) const { return !nextVoterChange(view(now, Newcomers::all)); }

private:
    // A change of voters under way.
    struct Reform {
        Core next;
        VoterChange change;
        std::set<std::string> heard, hearing, registers;  // hearing: those who hear the absent voter
        Nanoseconds since = 0, askedAt = 0;
        bool accepting = false, writing = false;
        std::size_t acceptancesLeft = 0;
        std::uint64_t number = 0;
    };

    enum class Newcomers { settled, all };
    VoterView view(Nanoseconds now, Newcomers newcomers) const;
    bool absentFor(const std::string& voter, Nanoseconds bound, Nanoseconds now) const;
    std::size_t rank(Nanoseconds now) const;
    void observe(Nanoseconds now);
    void begin(const VoterChange& change, Nanoseconds now);
    void ask(Nanoseconds now);
    void proceed(Nanoseconds now);
    void acceptAll();
    void write();
    void giveUp(Nanoseconds now, const std::string& cause);

    const std::string self_;
    const MembershipTimes times_;
    const std::size_t fewestVoters_;
    Means& means_;
    const Nanoseconds startedAt_;
    Core core_;
    std::map<std::string, Nanoseconds> lastHeard_, awaySince_, presentSince_;
    std::map<std::string, MemberStanding> standing_;
    std::optional<VoterChange> needed_;
    Nanoseconds neededSince_ = 0, notBefore_ = 0, adoptedAt_ = 0;
    std::optional<Reform> reform_;
    std::uint64_t lastReform_ = 0;
};

}  // namespace granitereel::control
