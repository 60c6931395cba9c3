// Changes of the voter set: one member's view of which members are reachable, and the changes it carries
// out. One voter changes at a time: a majority of the current voters reports which registers they hold (a
// survey), each of these is accepted again by a majority, then the next voter set is written to the
// register "core". voter_policy decides what to change. Free of I/O, clocks and randomness.
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

// Status that a member publishes in its record.
struct MemberStatus {
    bool leaving = false;     // shutting down
    bool recovering = false;  // its disk was lost and the state is not restored yet
    static MemberStatus fromJson(const Json& body);
};

// Timeouts for judging reachability. `timeoutsFor` derives them from guarantees.sync_in_s: a replacement
// must be complete within half of it.
struct ReachabilityTimeouts {
    Nanoseconds maxSilence = milliseconds(600);    // a link without messages for longer counts as down
    Nanoseconds absentAfter = milliseconds(1000);  // unreachable for longer: absent
    Nanoseconds longAbsentAfter = milliseconds(15'000);
    Nanoseconds startGracePeriod =
        milliseconds(3000);  // voters not heard since the own start are not judged before
    Nanoseconds candidateDelay = milliseconds(300);  // reachable for longer: may become a voter
    Nanoseconds turnLength = milliseconds(500);      // how long a member waits for each one before it to act
};
ReachabilityTimeouts timeoutsFor(int syncIn_ms);

// Asks a voter which registers it holds, and whether it can reach a voter that is to be removed as absent.
// The voter adopts the epoch first and from then on refuses requests of earlier epochs: otherwise a
// majority of an old epoch could choose a value that the survey misses.
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
    // Services of the member that owns the Membership.
    struct Host {
        virtual ~Host() = default;
        // Sent over the link to that voter; dropped if there is none.
        virtual void sendToVoter(const std::string& voter, Json message) = 0;
        virtual bool linkedTo(const std::string& member) const = 0;
        virtual std::set<std::string> heldRegisters() const = 0;
        // Reads a register and has its value accepted again by a majority of the current voters.
        virtual void reaccept(const std::string& name, std::function<void(bool accepted)> done) = 0;
        // Writes the next voter set, if its epoch directly follows the chosen one.
        virtual void writeVoterSet(const VoterSet& next, std::function<void()> done) = 0;
        virtual void logMembership(std::string line) = 0;
    };

    Membership(std::string self, const settings::Settings& settings, Host& host, Nanoseconds now);

    // Abandons a change started in an earlier epoch.
    void adopt(const VoterSet& voterSet, Nanoseconds now);
    void recordContact(const std::string& member, Nanoseconds now) { lastContact_[member] = now; }
    // The last status wins: a member that restarts publishes its record anew.
    void updateStatus(const std::string& member, MemberStatus status) { statuses_[member] = status; }
    // Starts or advances a change when it is this member's turn. `votes`: whether this member may vote.
    void tick(bool votes, Nanoseconds now);
    // Whether a change is in progress or has just completed. Another may then follow at once, and `tick` is
    // called on every message, which keeps the time between two dependent changes short.
    bool changeInProgress(Nanoseconds now) const;
    SurveyReply answer(const SurveyRequest& request, Nanoseconds now) const;
    void handleReply(const std::string& voter, const SurveyReply& reply, Nanoseconds now);

    bool isReachable(const std::string& member, Nanoseconds now) const;
    bool isLeaving(const std::string& member) const;
    // Whether no change of voters is needed from this member's view, even once all reachable candidates may
    // vote.
    bool isStable(Nanoseconds now) const { return !nextVoterChange(view(now, CandidateFilter::all)); }

private:
    // A change of voters in progress.
    struct PendingChange {
        VoterSet next;
        VoterChange change;
        std::set<std::string> replied, votersReachingAbsent, registers;
        Nanoseconds startedAt = 0, lastSurveyAt = 0;
        bool reaccepting = false, writing = false;
        std::size_t remainingReaccepts = 0;
        std::uint64_t number = 0;
    };

    enum class CandidateFilter { stable, all };
    VoterView view(Nanoseconds now, CandidateFilter filter) const;
    bool absentFor(const std::string& voter, Nanoseconds bound, Nanoseconds now) const;
    std::size_t turnOrder(Nanoseconds now) const;
    void updateReachability(Nanoseconds now);
    void startChange(const VoterChange& change, Nanoseconds now);
    void sendSurvey(Nanoseconds now);
    void advance(Nanoseconds now);
    void reacceptAll();
    void writeNextVoterSet();
    void abandon(Nanoseconds now, const std::string& cause);

    const std::string self_;
    const ReachabilityTimeouts timeouts_;
    const std::size_t minVoters_;
    Host& host_;
    const Nanoseconds startedAt_;
    VoterSet voterSet_;
    std::map<std::string, Nanoseconds> lastContact_, unreachableSince_, reachableSince_;
    std::map<std::string, MemberStatus> statuses_;
    std::optional<VoterChange> neededChange_;
    Nanoseconds neededSince_ = 0, noChangeBefore_ = 0, adoptedAt_ = 0;
    std::optional<PendingChange> pendingChange_;
    std::uint64_t lastChangeNumber_ = 0;
};

}  // namespace granitereel::control
