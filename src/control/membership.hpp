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
#include "nanos.hpp"
#include "settings/settings.hpp"

namespace granitereel::control {

// What a member's record says of it.
struct MemberStatus {
    bool leaving = false;     // told to end
    bool recovering = false;  // its disk was lost, and it has not read the state yet
    static MemberStatus fromJson(const Json& body);
};

// Bounds of the judgement of who is in reach. Those of `timesFor` follow from guarantees.sync_in_s, within
// half of which a replacement must be complete.
struct ReachabilityTimeouts {
    Nanos maxSilence = millis(600);    // a link that carried nothing for longer is as good as none
    Nanos absentAfter = millis(1000);  // out of reach for longer: absent
    Nanos longAbsentAfter = millis(15'000);
    Nanos startGracePeriod = millis(3000);  // a voter not yet heard in this life is not judged before
    Nanos candidateDelay = millis(300);     // in reach for longer: may get a vote
    Nanos turnLength = millis(500);  // what the first voter in reach has not done the next does after this
};
ReachabilityTimeouts timeoutsFor(int syncIn_ms);

// Asks a voter which registers it holds, and whether it hears a voter that is to be removed as absent. Who is
// asked adopts the epoch first, so that it refuses the messages of earlier ones from then on.
struct SurveyRequest {
    std::uint64_t epoch = 0;
    std::set<std::string> voters;
    std::string absent;  // empty: none
    Json toJson() const;
    static SurveyRequest fromJson(const Json& message);  // throws nlohmann::json::exception
};

struct SurveyReply {
    std::uint64_t epoch = 0;
    std::set<std::string> registers;
    bool reachesAbsent = false;
    Json toJson() const;
    static SurveyReply fromJson(const Json& message);  // throws nlohmann::json::exception
};

class Membership {
public:
    // What it needs of the member that holds it.
    struct Host {
        virtual ~Host() = default;
        // Over the link to that voter; lost where there is none.
        virtual void sendToVoter(const std::string& voter, Json message) = 0;
        virtual bool linkedTo(const std::string& member) const = 0;
        virtual std::set<std::string> heldRegisters() const = 0;
        // Reads a register and has what stands accepted anew by a majority of the present voters.
        virtual void reaccept(const std::string& name, std::function<void(bool accepted)> done) = 0;
        // Writes the next core, where its epoch follows the one that stands.
        virtual void writeVoterSet(const VoterSet& next, std::function<void()> done) = 0;
        virtual void logMembership(std::string line) = 0;
    };

    Membership(std::string self, const settings::Settings& settings, Host& host, Nanos now);

    // What is under way for an earlier epoch is given up.
    void adopt(const VoterSet& voterSet, Nanos now);
    void recordContact(const std::string& member, Nanos now) { lastHeard_[member] = now; }
    // The last one told holds: a member that starts again makes its record anew.
    void updateStatus(const std::string& member, MemberStatus status) { statuses_[member] = status; }
    // Does what this member's turn is; `votes`: whether this member may vote.
    void tick(bool votes, Nanos now);
    // Whether a change is under way or was made a moment ago: then another may follow at once, and `tick` is
    // called with every message, so that the core is between two changes as shortly as can be.
    bool changeInProgress(Nanos now) const;
    SurveyReply answer(const SurveyRequest& request, Nanos now) const;
    void handleReply(const std::string& voter, const SurveyReply& reply, Nanos now);

    bool isReachable(const std::string& member, Nanos now) const;
    bool isLeaving(const std::string& member) const;
    // Whether, from what this member sees, the voters are as they should be, also once those in reach that
    // have just come may vote.
    bool isStable(Nanos now) const { return !nextVoterChange(view(now, CandidateFilter::all)); }

private:
    // A change of voters under way.
    struct PendingChange {
        VoterSet next;
        VoterChange change;
        std::set<std::string> replied, reachesAbsent, registers;  // hearing: those who hear the absent voter
        Nanos startedAt = 0, lastSurveyAt = 0;
        bool reaccepting = false, writing = false;
        std::size_t remainingReaccepts = 0;
        std::uint64_t number = 0;
    };

    enum class CandidateFilter { stable, all };
    VoterView view(Nanos now, CandidateFilter filter) const;
    bool absentFor(const std::string& voter, Nanos bound, Nanos now) const;
    std::size_t turnOrder(Nanos now) const;
    void updateReachability(Nanos now);
    void startChange(const VoterChange& change, Nanos now);
    void sendSurvey(Nanos now);
    void advance(Nanos now);
    void reacceptAll();
    void writeNextVoterSet();
    void abandon(Nanos now, const std::string& cause);

    const std::string self_;
    const ReachabilityTimeouts timeouts_;
    const std::size_t minVoters_;
    Host& host_;
    const Nanos startedAt_;
    VoterSet voterSet_;
    std::map<std::string, Nanos> lastHeard_, unreachableSince_, reachableSince_;
    std::map<std::string, MemberStatus> statuses_;
    std::optional<VoterChange> neededChange_;
    Nanos neededSince_ = 0, noChangeBefore_ = 0, adoptedAt_ = 0;
    std::optional<PendingChange> pendingChange_;
    std::uint64_t lastChangeNumber_ = 0;
};

}  // namespace granitereel::control
