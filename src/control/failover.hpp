// Failover of one service's primary: planned, when the primary shuts down, or unplanned, after it has failed.
// At any time one voting member owns the failover of a service; the register that holds the primary record
// carries the fencing token. Deterministic: no I/O, clocks or randomness. docs/control-safety/promotion.md
// has the argument for why no acknowledged write is lost and why a late or stalled owner changes nothing.
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

// Bound on how far the steady clocks of two machines drift apart over the intervals that failover measures.
constexpr Nanoseconds maxClockDrift = milliseconds(50);

// What the platform guarantees for promotion calls; from the `guarantees` section of the settings.
struct PlatformGuarantees {
    bool checksFencingToken = false;  // it rejects fencing tokens below the highest it has seen
    Nanoseconds holderLease = 0;      // two owners' calls must be this far apart; 0: not specified
};

// Result of a POST /promotions call.
enum class PromotionOutcome {
    accepted,     // the store becomes primary shortly, or is primary already
    conflict,     // the fencing token is too low, or the store is not running
    unavailable,  // temporary refusal: rate limit or an internal error of the platform
    unanswered,   // no complete response in time: it may have taken effect
    notSent,      // its deadline passed before the request could be sent
};
// `status`: of the HTTP response, or `transport::noAnswer` or `transport::notSent` if there was none.
PromotionOutcome promotionOutcomeOf(int status);

// Result of a majority read of the primary's register.
enum class Confirmation {
    current,   // the record is as expected, and this member holds its lease
    replaced,  // the register holds another value
    unknown,   // no majority in time, or no lease
};

class Failover {
public:
    // Interface to the owning member: the primary's register, request ids and the shared records.
    struct Host {
        virtual ~Host() = default;
        virtual Outputs& outputs() = 0;
        virtual std::uint64_t nextRequestId(Failover& asker) = 0;
        // Compare-and-set on the record's sequence number. `done` gets the new value only if this very call
        // wrote it.
        virtual void compareAndSet(const std::string& service, std::uint64_t expectedSequence,
                                   PrimaryRecord next,
                                   std::function<void(std::optional<PrimaryRecord>)> done) = 0;
        // A majority read started now; `done` also receives the time at which it completed.
        virtual void confirmPrimary(const std::string& service, const PrimaryRecord& expected,
                                    std::function<void(Confirmation, Nanoseconds now)> done) = 0;
        virtual const gossip::RecordTable& recordTable() const = 0;
        virtual int syncReplicas(const std::string& service) const = 0;
    };

    // `lease`: how long a proxy may use a primary record without renewing its lease, including clock drift.
    Failover(std::string self, std::string service, Nanoseconds lease, Host& host,
             PlatformGuarantees platform = {});

    // Whether this member is responsible for the service's failover now.
    void setOwner(bool isOwner, Nanoseconds now);
    void tick(Nanoseconds now);
    // A proxy reports that it can't connect to the store or receives no response from it.
    void primarySuspected(const std::string& store, Nanoseconds now);
    void statementAnswered(std::uint64_t requestId, std::optional<StoreStatus> status, Nanoseconds now);
    void promotionAnswered(std::uint64_t requestId, PromotionOutcome outcome, Nanoseconds now);
    // The phase's name as shown by GET /state.
    const char* phase() const;

    // How long after the start of a confirmation a call that depends on it may still be sent. Invariant: such
    // a statement has ended before a later owner, who waits for `lease` after its own register write, counts
    // any replica as paused. Otherwise a late RESUME could restart a replica whose log position was already
    // counted.
    Nanoseconds confirmationLifetime() const;
    // How long this owner waits after its own register write before it calls the platform.
    Nanoseconds promotionDelay() const;

private:
    enum class Phase {
        idle,
        founding,   // no primary on record: asking a store that reports the role
        checking,   // asking a suspected primary for its status
        guarding,   // writing the new fencing token to the register
        pausing,    // pausing replicas and collecting their log positions
        promoting,  // calling the platform
        rising,     // waiting for the promoted store's heartbeat
        settling    // asking the promoted store for its status
    };
    enum class Statement { status, pause, resume };
    struct Request {
        std::string store;
        Statement statement;
        Nanoseconds sentAt = 0;
    };
    std::optional<PrimaryRecord> currentPrimary() const;
    std::vector<std::string> listedStores() const;   // the service's stores with a live record
    std::vector<std::string> knownReplicas() const;  // of the primary record, and listed stores
    const Json* storeRecord(const std::string& store) const;
    bool isAccepting(const std::string& store) const;
    // From the store's own record, else from the primary record; empty: unknown.
    std::string addressOf(const std::string& store, const PrimaryRecord& primary) const;
    // Whether the store is the primary, or another name at the primary's address.
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
                                                   const PrimaryRecord& previous) const;
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

    // Incremented for each new attempt: responses to requests of earlier attempts are ignored.
    std::uint64_t attempt_ = 0;
    std::map<std::uint64_t, Request> requests_;
    bool confirmationPending_ = false;
    std::optional<Nanoseconds> confirmationStartedAt_;  // start of the last confirmation of `primary_`
    std::uint64_t ownFencingToken_ = 0;                 // the last one that this incarnation wrote
    bool hadPredecessor_ = false;         // another owner may have called the platform with the token before
    bool promotionMayBePending_ = false;  // the record was unsettled: a promotion may be under way

    std::uint64_t pauseTerm_ = 0;
    std::string target_;
    Nanoseconds verificationStartedAt_ = 0;  // 0: promotionDelay() has not passed yet
    std::map<std::string, StoreStatus> statuses_;
    std::optional<LogPosition> primaryPosition_;  // planned: of the primary, read after promotionDelay()
    std::set<std::string> pausedReplicas_;        // acknowledged a PAUSE of this verification
    Nanoseconds pausesExpireAt_ = 0;              // no PAUSE of this owner can arrive after this

    // The platform call in progress, 0: none, and the attempt that it belongs to.
    std::uint64_t promotionRequest_ = 0, promotionAttempt_ = 0;
    Nanoseconds promotionEndedAt_ = 0;
    bool promotionSent_ = false;  // in this attempt
    LogPosition targetPosition_;  // of the target when the promotion call was sent

    ReplicaAges replicaAges_;
    Nanoseconds agesUpdatedAt_ = 0;
    Nanoseconds departureSeenAt_ = 0;  // when a recorded replica was first found to have left; 0: none
    // Replicas to be resumed, and those that this incarnation has resumed under resumedFencingToken_.
    std::set<std::string> awaitingResume_, resumed_;
    std::uint64_t resumedFencingToken_ = 0;
    Nanoseconds lastResumeAt_ = 0, resumeInterval_, pausesMayArriveUntil_ = 0;
};

}  // namespace granitereel::control
