// Who leads a service, and how the lead passes on: planned, from a primary that winds down, or after a
// primary's death. One member of the core owns this duty for a service at a time; the register of the lead
// carries the fencing token. Free of I/O, clocks and chance. docs/control-safety/promotion.md has the
// argument for why nothing acknowledged is lost and why a late or frozen owner changes nothing.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/outputs.hpp"
#include "control/primary_record.hpp"
#include "control/replica_ages.hpp"
#include "gossip/record_table.hpp"
#include "log_position.hpp"
#include "nanoseconds.hpp"
#include "store_status.hpp"

namespace granitereel::control {

// Over the spans that promotion measures, the steady clocks of two machines differ by less than this.
constexpr Nanoseconds maxClockDrift = milliseconds(50);

// What the platform promises of its promotions, from the settings' guarantees.
struct PlatformGuarantees {
    bool checksFencingToken = false;  // it refuses a fence lower than one it has seen
    Nanoseconds holderLease = 0;      // holders must not take turns within this; 0: nothing said
};

// How a call of POST /promotions ended.
enum class PromotionOutcome {
    accepted,     // the store leads soon, or leads already
    conflict,     // the fence is too low, or the store is not running
    unavailable,  // the platform refused for now: too many calls, or a fault of its own
    unanswered,   // no whole answer in time: it may have been carried out
    notSent,      // its deadline had passed before it could leave
};
// The status of the HTTP answer; `transport::noAnswer` and `transport::notSent` where there was none.
PromotionOutcome promotionOutcomeOf(int status);

// What a majority read of the lead's register showed.
enum class Confirmation {
    current,   // the lead is as expected, and this member holds its lease
    replaced,  // another value stands
    unknown,   // no majority in time, or no lease
};

class Failover {
public:
    // What it needs of the member: the lead's register and the numbers of asks.
    struct Host {
        virtual ~Host() = default;
        virtual Outputs& outputs() = 0;
        virtual std::uint64_t nextRequestId(Failover& asker) = 0;
        // Compare-and-set on `seq`. `done` gets the new value only if this very call wrote it.
        virtual void compareAndSet(const std::string& service, std::uint64_t ifSeq, PrimaryRecord to,
                                   std::function<void(std::optional<PrimaryRecord>)> done) = 0;
        // A majority read begun now; `done` is also told the time.
        virtual void confirmPrimary(const std::string& service, const PrimaryRecord& expected,
                                    std::function<void(Confirmation, Nanoseconds now)> done) = 0;
        virtual const gossip::RecordTable& recordTable() const = 0;
        virtual int syncReplicas(const std::string& service) const = 0;
    };

    // `lease`: how long a front may believe what it was told of the lead without asking again, with the drift
    // of clocks.
    Failover(std::string self, std::string service, Nanoseconds lease, Host& host,
             PlatformGuarantees platform = {});

    // Whether this member is the one that ought to act now.
    void setOwner(bool isOwner, Nanoseconds now);
    void tick(Nanoseconds now);
    // A front can't reach the store, or hears nothing from it.
    void primarySuspected(const std::string& store, Nanoseconds now);
    void statementAnswered(std::uint64_t requestId, std::optional<StoreStatus> status, Nanoseconds now);
    void promotionAnswered(std::uint64_t requestId, PromotionOutcome outcome, Nanoseconds now);
    // For the page of states.
    const char* phase() const;

    // How long after the start of a confirmation a call that rests on it may leave. A statement that leaves
    // then is over before a later owner, who waits `lease` from its own write on, counts any replica as
    // paused.
    Nanoseconds confirmationLifetime() const;
    // How long after its own write this owner waits before it calls the platform.
    Nanoseconds promotionDelay() const;

private:
    enum class Phase { idle, founding, checking, guarding, pausing, promoting, rising, settling };
    enum class Statement { status, pause, resume };
    struct Request {
        std::string store;
        Statement statement;
        Nanoseconds sentAt = 0;
    };
    std::optional<PrimaryRecord> currentPrimary() const;
    std::vector<std::string> listedStores() const;   // stores of the service that may still be there
    std::vector<std::string> knownReplicas() const;  // replicas on record and listed ones
    const Json* storeRecord(const std::string& store) const;
    bool isAccepting(const std::string& store) const;
    // By its record, else by the lead's; empty: not known.
    std::string addressOf(const std::string& store, const PrimaryRecord& primary) const;
    // Whether it is the lead, or another name at the lead's address.
    bool isPrimaryOrAlias(const std::string& store, const PrimaryRecord& primary) const;
    void enterPhase(Phase phase, Nanoseconds now);
    void sendStatement(const std::string& store, Statement statement, const std::string& text,
                       Nanoseconds now);
    void beginAttempt();
    void abandon(const std::string& why, Nanoseconds now);
    bool confirmationValid(Nanoseconds now) const {
        return confirmationStartedAt_ && now - *confirmationStartedAt_ < confirmationLifetime();
    }
    void requestConfirmation(const PrimaryRecord& primary, Nanoseconds now);
    void confirmationEnded(Confirmation confirmation, Nanoseconds startedAt, Nanoseconds now);

    void tickIdle(Nanoseconds now);
    void tickPausing(Nanoseconds now);
    void tickPromoting(Nanoseconds now);
    void tickRising(Nanoseconds now);
    void tickSettling(Nanoseconds now);
    void updateReplicas(const PrimaryRecord& primary, Nanoseconds now);
    void writeReplicas(const PrimaryRecord& primary, std::set<std::string> replicas, RecentReplicas recent);
    std::map<std::string, std::string> addressesOf(const std::set<std::string>& stores,
                                                   const PrimaryRecord& before) const;
    bool hasLeft(const std::string& store) const;
    void beginReplicaRelease(const PrimaryRecord& primary, Nanoseconds now);
    void handleReleaseStatus(const Request& request, const StoreStatus& status, Nanoseconds now);
    bool isVerified(const std::string& store) const;
    void discoverPrimary(Nanoseconds now);
    void handleDiscoveryStatus(const Request& request, const std::optional<StoreStatus>& status,
                               Nanoseconds now);
    void handleCheckStatus(const Request& request, const std::optional<StoreStatus>& status, Nanoseconds now);
    void beginFailover(Nanoseconds now, bool planned);
    bool chooseTarget();
    void queryStores(Nanoseconds now);
    void pauseReplicas(Nanoseconds now);
    void sendPause(const std::string& store, Nanoseconds now);
    void handleStatusWhilePausing(const Request& request, const std::optional<StoreStatus>& status,
                                  Nanoseconds now);
    void handleOldPrimaryStatus(const Request& request, const StoreStatus& status, Nanoseconds now);
    bool noPromotionPending(const Request& request) const;
    void adoptRenamedPrimary(const Request& request, Nanoseconds now);
    void restartVerification(Nanoseconds now);
    bool enoughReplicasVerified() const;
    bool establishedReplicaVerified() const;
    bool inheritsEstablishedLog(const std::string& store, const PrimaryRecord& primary) const;
    std::set<std::string> nextVacatedAddresses(const PrimaryRecord& primary,
                                               const std::set<std::string>& replicas) const;
    void updateReplicaAges(Nanoseconds now);
    RecentReplicas recentAmong(const std::set<std::string>& replicas, const PrimaryRecord& primary,
                               Nanoseconds now) const;
    std::string mostAdvancedReplica() const;
    std::string describeMissing() const;
    void tryPromote(Nanoseconds now);
    void sendPromotion(Nanoseconds now);
    void completePromotion(const std::string& store, std::uint64_t term, Nanoseconds now);
    void cancelFailover(Nanoseconds now);
    void writeSettled(PrimaryRecord next, Nanoseconds now);
    void sendResumes(Nanoseconds now);
    void resumePausedReplicas(const PrimaryRecord& primary, Nanoseconds now);
    void log(const std::string& line);

    const std::string self_, service_;
    const Nanoseconds maxLease_;
    const PlatformGuarantees platform_;
    Host& host_;
    Phase phase_ = Phase::idle;
    Nanoseconds phaseSince_ = 0, registerWrittenAt_ = 0, cooldownUntil_ = 0, lastQueryAt_ = 0;
    bool isOwner_ = false, planned_ = false, writePending_ = false;
    PrimaryRecord primary_;

    // Grows with each beginning anew: what was asked in an earlier attempt is answered in vain.
    std::uint64_t attempt_ = 0;
    std::map<std::uint64_t, Request> requests_;
    bool confirmationPending_ = false;
    std::optional<Nanoseconds> confirmationStartedAt_;  // when the last confirmation of `lead_` began
    std::uint64_t ownFencingToken_ = 0;                 // the last one that this life wrote
    bool hadPredecessor_ = false;         // someone else may have called the platform under the fence before
    bool promotionMayBePending_ = false;  // the lead was unsteady already: a promotion may be under way

    std::uint64_t pauseTerm_ = 0;
    std::string target_;
    Nanoseconds verificationStartedAt_ = 0;  // 0: the wait is not over
    std::map<std::string, StoreStatus> statuses_;
    std::optional<LogPosition> primaryPosition_;  // planned: of the lead's row, asked for behind the wait
    std::set<std::string> pausedReplicas_;        // answered a PAUSE of this verification
    Nanoseconds pausesExpireAt_ = 0;              // by then every PAUSE of ours has arrived, or never will

    std::uint64_t promotionRequest_ = 0,
                  promotionAttempt_ = 0;  // the call to the platform under way; 0: none
    Nanoseconds promotionEndedAt_ = 0;
    bool promotionSent_ = false;  // in this attempt
    LogPosition targetPosition_;  // of the target's row that the call rested on

    ReplicaAges replicaAges_;
    Nanoseconds agesUpdatedAt_ = 0;
    Nanoseconds departureSeenAt_ = 0;  // since when a replica on record is known to have left; 0: none has
    std::set<std::string> awaitingResume_, resumed_;  // resumed_: under resumedFence_, by this life
    std::uint64_t resumedFencingToken_ = 0;
    Nanoseconds lastResumeAt_ = 0, resumeInterval_, pausesMayArriveUntil_ = 0;
};

}  // namespace granitereel::control
