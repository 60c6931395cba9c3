#include "control/failover.hpp"

#include <algorithm>

#include "transport/call_status.hpp"

namespace granitereel::control {

namespace {
// Healthy stores answer within a few ms, slow ones within a few times a statement's processing time. This
// bounds how late a statement can arrive; the ordering of PAUSE and RESUME statements of two owners depends
// on it.
constexpr int statementTimeout_ms = 300;
// Shorter for a suspected primary: it is asked again while the register is written and the lease runs out,
// and remains primary if it answers.
constexpr int checkTimeout_ms = 150;
// Suspicions are ignored for this long after the primary was found healthy.
constexpr Nanoseconds healthyCooldown = milliseconds(400);
// Interval after which unanswered requests are repeated.
constexpr Nanoseconds retryInterval = milliseconds(250);
// An unanswered platform call is reset after this, so it can't arrive any later.
constexpr int promotionCallTimeout_ms = 1200;
// Upper bound of the platform's "some hundred ms" from accepting a promotion until the store is primary and
// reports it.
constexpr Nanoseconds maxPromotionTime = milliseconds(1000);
// A promotion that is not visible after this is started again with a higher fencing token.
constexpr Nanoseconds promotionVisibleTimeout = milliseconds(2500);
// Limit of the founding and checking phases.
constexpr Nanoseconds statusTimeout = milliseconds(2000);
// Limit of the guarding phase; a register write ends sooner, with or without a majority.
constexpr Nanoseconds registerWriteTimeout = milliseconds(3000);
// Collected positions expire after this and replicas are paused again, since one may have restarted, which
// ends its pause.
constexpr Nanoseconds verificationLifetime = milliseconds(1000);
// A planned failover whose target doesn't catch up within this is cancelled, so that the paused replicas
// receive again.
constexpr Nanoseconds catchUpTimeout = milliseconds(3000);
// A replica that doesn't answer RESUME has most likely crashed; retries back off up to this interval.
constexpr Nanoseconds maxResumeInterval = milliseconds(4000);
// After a promotion conflict: by then the register and the stores' heartbeats show its cause.
constexpr Nanoseconds conflictCooldown = milliseconds(300);
constexpr Nanoseconds cancelCooldown = milliseconds(1000);
// A promoted store sends a heartbeat at once; the first STATUS waits this long for it.
constexpr Nanoseconds heartbeatDelay = milliseconds(50);
}  // namespace

PromotionOutcome promotionOutcomeOf(int status) {
    switch (status) {
        case 200:
            return PromotionOutcome::accepted;
        case 409:
            return PromotionOutcome::conflict;
        case transport::noResponse:
            return PromotionOutcome::unanswered;
        case transport::notSent:
            return PromotionOutcome::notSent;
        default:
            return PromotionOutcome::unavailable;
    }
}

Failover::Failover(std::string self, std::string service, Nanoseconds lease, Host& host,
                   PlatformGuarantees platform)
    : self_(std::move(self)),
      service_(std::move(service)),
      maxLease_(lease),
      platform_(platform),
      host_(host),
      resumeInterval_(retryInterval) {}

const char* Failover::phase() const {
    static const char* const names[] = {"idle",    "founding",  "checking", "guarding",
                                        "pausing", "promoting", "rising",   "settling"};
    return names[static_cast<int>(phase_)];
}

Nanoseconds Failover::confirmationLifetime() const {
    return std::max<Nanoseconds>(0, maxLease_ - maxClockDrift - milliseconds(statementTimeout_ms));
}

Nanoseconds Failover::promotionDelay() const {
    Nanoseconds wait = maxLease_;
    // A promotion that the platform has already accepted must become visible before another store is chosen;
    // otherwise two stores could be promoted.
    const Nanoseconds visibilityDelay = promotionMayBePending_ ? maxPromotionTime : 0;
    wait = std::max(wait, visibilityDelay + maxClockDrift);
    if (!hadPredecessor_) return wait;
    // The predecessor's calls depend on a confirmation that started before this owner's write was chosen.
    const bool mustHaveArrived =
        promotionMayBePending_ || !platform_.checksFencingToken || platform_.holderLease > 0;
    const Nanoseconds arrivalDelay = mustHaveArrived ? milliseconds(promotionCallTimeout_ms) : 0;
    return std::max(wait, confirmationLifetime() + arrivalDelay + visibilityDelay + maxClockDrift +
                              platform_.holderLease);
}

void Failover::log(const std::string& line) {
    host_.outputs().push_back(ToLog{"lead of " + service_ + ": " + line});
}

std::optional<PrimaryRecord> Failover::currentPrimary() const {
    const gossip::Record* record = host_.recordTable().find("lead/" + service_);
    return record ? parsePrimaryRecord(record->body) : std::nullopt;
}

const Json* Failover::storeRecord(const std::string& store) const {
    const gossip::Record* record = host_.recordTable().find("store/" + store);
    return record && record->body.is_object() ? &record->body : nullptr;
}

bool Failover::isAccepting(const std::string& store) const {
    const Json* body = storeRecord(store);
    return body && body->value("standing", "") == "accepting";
}

std::vector<std::string> Failover::listedStores() const {
    std::vector<std::string> result;
    host_.recordTable().forEachWithPrefix(
        "store/", [&](const std::string& name, const gossip::Record& other) {
            if (other.body.is_object() && other.body.value("service", "") == service_)
                result.push_back(name.substr(6));
        });
    return result;
}

std::vector<std::string> Failover::knownReplicas() const {
    std::set<std::string> result = primary_.replicas;
    for (const std::string& store : listedStores()) result.insert(store);
    result.erase(primary_.store);
    return {result.begin(), result.end()};
}

void Failover::enterPhase(Phase phase, Nanoseconds now) {
    phase_ = phase;
    phaseSince_ = now;
}

// STATUS changes nothing and may be sent at any time. PAUSE and RESUME are sent only while the confirmation
// is valid; otherwise a superseded owner could pause or resume replicas that a later owner has counted.
void Failover::sendStatement(const std::string& store, Statement statement, const std::string& text,
                             Nanoseconds now) {
    const Json* body = storeRecord(store);
    if (!body) return;
    const bool changes = statement != Statement::status;
    const std::uint64_t requestId = host_.nextRequestId(*this);
    requests_[requestId] = Request{store, statement, now};
    const int timeout_ms = phase_ == Phase::checking ? checkTimeout_ms : statementTimeout_ms;
    const Nanoseconds notAfter =
        changes ? confirmationStartedAt_.value_or(0) + confirmationLifetime() : noDeadline;
    host_.outputs().push_back(
        ToStore{requestId, store, service_, body->value("address", ""), text, timeout_ms, notAfter});
}

// Invalidates all requests and confirmations of the previous attempt.
void Failover::beginAttempt() {
    ++attempt_;
    requests_.clear();
    confirmationStartedAt_.reset();
    confirmationPending_ = false;
}

// Stops the current attempt without any external effect.
void Failover::abandon(const std::string& why, Nanoseconds now) {
    if (phase_ != Phase::idle) log(why);
    beginAttempt();
    awaitingResume_.clear();
    enterPhase(Phase::idle, now);
}

void Failover::requestConfirmation(const PrimaryRecord& primary, Nanoseconds now) {
    if (confirmationPending_) return;
    confirmationPending_ = true;
    const auto ended = [this, startedAt = now, attempt = attempt_](Confirmation confirmation,
                                                                   Nanoseconds endedAt) {
        if (attempt == attempt_) confirmationEnded(confirmation, startedAt, endedAt);
    };
    host_.confirmPrimary(service_, primary, ended);
}

void Failover::confirmationEnded(Confirmation confirmation, Nanoseconds startedAt, Nanoseconds now) {
    confirmationPending_ = false;
    if (confirmation == Confirmation::replaced)
        return abandon("abandoned: another owner changed the record", now);
    if (confirmation == Confirmation::unknown || !isOwner_) return;  // tick() retries while it is owner
    confirmationStartedAt_ = startedAt;
    if (!confirmationValid(now)) return;
    if (phase_ == Phase::pausing) pauseReplicas(now);
    if (phase_ == Phase::promoting) sendPromotion(now);
    if (phase_ == Phase::idle) sendResumes(now);
}

// A failover that another owner left unfinished is taken over by tick().
void Failover::setOwner(bool isOwner, Nanoseconds now) {
    if (isOwner == isOwner_) return;
    isOwner_ = isOwner;
    if (!isOwner) abandon("ownership moved to another member", now);
}

void Failover::primarySuspected(const std::string& store, Nanoseconds now) {
    const auto primary = currentPrimary();
    if (!isOwner_ || phase_ != Phase::idle || !primary || primary->store != store || now < cooldownUntil_)
        return;
    beginAttempt();
    enterPhase(Phase::checking, now);
    sendStatement(store, Statement::status, "STATUS", now);
}

void Failover::tick(Nanoseconds now) {
    updateReplicaAges(now);
    if (!isOwner_ || writePending_) return;
    switch (phase_) {
        case Phase::idle:
            return tickIdle(now);
        case Phase::founding:
        case Phase::checking:
            if (now - phaseSince_ > statusTimeout) enterPhase(Phase::idle, now);
            return;
        case Phase::guarding:
            if (now - phaseSince_ > registerWriteTimeout) enterPhase(Phase::idle, now);
            return;
        case Phase::pausing:
            return tickPausing(now);
        case Phase::promoting:
            return tickPromoting(now);
        case Phase::rising:
            return tickRising(now);
        case Phase::settling:
            return tickSettling(now);
    }
}

// Idle: no failover is in progress.
void Failover::tickIdle(Nanoseconds now) {
    const auto primary = currentPrimary();
    if (!primary) {
        if (now - lastQueryAt_ >= retryInterval) discoverPrimary(now);
        return;
    }
    if (!primary->settled) {  // left by a previous owner, or by an earlier incarnation or attempt of this one
        log("taking over what " + primary->owner + " began");
        return beginFailover(now, false);
    }
    const Json* body = storeRecord(primary->store);
    if (body && body->value("standing", "") == "winding_down" && now >= cooldownUntil_)
        return beginFailover(now, true);
    resumePausedReplicas(*primary, now);
    updateReplicas(*primary, now);
}

// An owner that failed after its last register write may have left replicas paused, even some that were not
// on record at the time. Each incarnation of an owner resumes every replica once per fencing token.
void Failover::resumePausedReplicas(const PrimaryRecord& primary, Nanoseconds now) {
    if (primary.fencingToken == 0) return;  // no replica was ever paused
    if (primary.fencingToken != resumedFencingToken_) resumed_.clear();
    resumedFencingToken_ = primary.fencingToken;
    for (const std::string& store : primary.replicas)
        if (storeRecord(store) && !resumed_.count(store)) awaitingResume_.insert(store);
    if (awaitingResume_.empty() || now - lastResumeAt_ < resumeInterval_) return;
    lastResumeAt_ = now;
    resumeInterval_ = std::min(2 * resumeInterval_, maxResumeInterval);
    requestConfirmation(primary, now);
}

// Founding: no primary is on record. Asks the first store that reports the primary role for its status.
void Failover::discoverPrimary(Nanoseconds now) {
    for (const std::string& store : listedStores()) {
        const Json* body = storeRecord(store);
        if (body->value("role", "") != "head_office") continue;
        beginAttempt();
        enterPhase(Phase::founding, now);
        lastQueryAt_ = now;
        return sendStatement(store, Statement::status, "STATUS", now);
    }
}

void Failover::handleDiscoveryStatus(const Request& request, const std::optional<StoreStatus>& status,
                                     Nanoseconds now) {
    enterPhase(Phase::idle, now);
    if (!status || !status->primary) return;
    PrimaryRecord primary;
    primary.store = request.store;
    primary.term = status->term;
    primary.sequence = 1;
    primary.owner = self_;
    primary.settled = true;
    for (const std::string& store : listedStores())
        if (store != request.store) primary.replicas.insert(store);
    primary.addresses = addressesOf(primary.replicas, primary);
    writePending_ = true;
    host_.compareAndSet(service_, 0, primary, [this](std::optional<PrimaryRecord> written) {
        writePending_ = false;
        if (written) log("is " + written->store + " in term " + std::to_string(written->term));
    });
}

// Checking: ends with the suspected primary's answer. Another store may be primary by now.
void Failover::handleCheckStatus(const Request& request, const std::optional<StoreStatus>& status,
                                 Nanoseconds now) {
    enterPhase(Phase::idle, now);
    const auto primary = currentPrimary();
    if (!primary || primary->store != request.store) return;
    if (!status || !status->primary) return beginFailover(now, false);
    cooldownUntil_ = now + healthyCooldown;
}

// Guarding: writes the record as unsettled, with a new fencing token, to a majority. Once a full lease has
// passed after that write, no proxy reads from the old primary without proof. The token grows with every
// attempt, so that promotion calls still in flight from an earlier owner, incarnation or attempt carry a
// lower one.
void Failover::beginFailover(Nanoseconds now, bool planned) {
    const auto primary = currentPrimary();
    if (!primary) return;
    beginAttempt();
    planned_ = planned && primary->settled;
    hadPredecessor_ = primary->fencingToken > 0 && primary->fencingToken != ownFencingToken_;
    promotionMayBePending_ = !primary->settled;
    statuses_.clear();
    primaryPosition_.reset();
    pausedReplicas_.clear();
    awaitingResume_.clear();
    resumed_.clear();
    target_.clear();
    enterPhase(Phase::guarding, now);
    PrimaryRecord next = *primary;
    next.settled = false;
    next.owner = self_;
    ++next.fencingToken;
    ++next.sequence;
    writePending_ = true;
    const auto ended = [this, startedAt = now, attempt = attempt_](std::optional<PrimaryRecord> written) {
        writePending_ = false;
        if (!written || attempt != attempt_) return;
        primary_ = *written;
        ownFencingToken_ = primary_.fencingToken;
        confirmationStartedAt_ = startedAt;
        log(planned_ ? "planned failover from " + primary_.store + ", which is shutting down"
                     : "lost, was " + primary_.store + "; fence " + std::to_string(primary_.fencingToken));
        registerWrittenAt_ = 0;  // set by the next tick
        phase_ = Phase::pausing;
        lastQueryAt_ = 0;
        pauseTerm_ = primary_.term;
        verificationStartedAt_ = 0;
        promotionSent_ = false;
    };
    host_.compareAndSet(service_, primary->sequence, next, ended);
}

// Pausing: after promotionDelay(), replicas are paused until enough of them are verified. Ends early if the
// old primary turns out to be healthy or another store is already primary.
void Failover::tickPausing(Nanoseconds now) {
    if (registerWrittenAt_ == 0) registerWrittenAt_ = phaseSince_ = now;
    if (planned_ && target_.empty() && !chooseTarget()) return cancelFailover(now);
    if (planned_ && now - registerWrittenAt_ > promotionDelay() + catchUpTimeout) {
        log("not passed on to " + target_ + ": " + describeMissing());
        return cancelFailover(now);
    }
    if (now - lastQueryAt_ >= retryInterval) queryStores(now);
    tryPromote(now);
}

// Planned failover: the first replica, by name, that accepts work. It keeps receiving until it has everything
// that the others have.
bool Failover::chooseTarget() {
    for (const std::string& store : knownReplicas())
        if (isAccepting(store) && (target_.empty() || store < target_)) target_ = store;
    return !target_.empty();
}

void Failover::queryStores(Nanoseconds now) {
    lastQueryAt_ = now;
    if (!planned_) sendStatement(primary_.store, Statement::status, "STATUS", now);
    if (verificationStartedAt_ == 0) {
        // A store that was promoted by an owner that failed before recording it ends the wait.
        if (promotionMayBePending_)
            for (const std::string& store : knownReplicas())
                sendStatement(store, Statement::status, "STATUS", now);
        return;
    }
    if (confirmationValid(now)) return pauseReplicas(now);
    requestConfirmation(primary_, now);
}

// Each PAUSE carries a new term above all earlier ones. A PAUSE is therefore never repeated, and its response
// proves that the replica has received nothing since.
void Failover::pauseReplicas(Nanoseconds now) {
    lastQueryAt_ = now;
    ++pauseTerm_;
    if (planned_ && !primaryPosition_) sendStatement(primary_.store, Statement::status, "STATUS", now);
    for (const std::string& store : knownReplicas()) {
        // RESUME returns the target's status as STATUS does, and ends a pause by an earlier owner.
        if (planned_ && store == target_)
            sendStatement(store, Statement::resume, "RESUME", now);
        else if (!pausedReplicas_.count(store))
            sendPause(store, now);
    }
}

void Failover::sendPause(const std::string& store, Nanoseconds now) {
    pausesExpireAt_ = *confirmationStartedAt_ + confirmationLifetime() + milliseconds(statementTimeout_ms);
    sendStatement(store, Statement::pause, "PAUSE " + std::to_string(pauseTerm_), now);
}

void Failover::handleStatusWhilePausing(const Request& request, const std::optional<StoreStatus>& status,
                                        Nanoseconds now) {
    if (!status) {
        // It may hold a later term, or be primary by now: its status shows the term.
        if (request.statement == Statement::pause)
            sendStatement(request.store, Statement::status, "STATUS", now);
        return;
    }
    if (request.store == primary_.store) return handleOldPrimaryStatus(request, *status, now);
    // Promoted by an owner that failed before recording it.
    if (status->primary && status->term > primary_.term)
        return completePromotion(request.store, status->term, now);
    if (status->primary && status->term == primary_.term) return adoptRenamedPrimary(request, now);
    const bool target = planned_ && request.store == target_;
    if (request.statement != Statement::pause && !target) {
        // It still receives, or was paused by another owner who may resume it: its position may change and
        // must not be counted.
        pauseTerm_ = std::max(pauseTerm_, status->fencedTerm) + 1;
        if (verificationStartedAt_ != 0 && confirmationValid(now) && !pausedReplicas_.count(request.store))
            sendPause(request.store, now);
        return;
    }
    if (!target) pausedReplicas_.insert(request.store);
    statuses_[request.store] = *status;
    tryPromote(now);
}

// The old primary answers. It stays primary only if no promotion can be under way: one requested by an
// earlier owner or attempt is visible once promotionDelay() has passed.
void Failover::handleOldPrimaryStatus(const Request& request, const StoreStatus& status, Nanoseconds now) {
    if (!status.primary || status.term != primary_.term) return;
    if (planned_) {
        if (!primaryPosition_) primaryPosition_ = status.receivedPosition;
        return tryPromote(now);
    }
    if (!noPromotionPending(request)) return;
    log(primary_.store + " answers again and leads on");
    cancelFailover(now);
}

// Whether no promotion can have been under way when the status request was sent.
bool Failover::noPromotionPending(const Request& request) const {
    return !promotionMayBePending_ || request.sentAt >= registerWrittenAt_ + promotionDelay();
}

// A term has only one primary: the recorded one crashed, nothing was promoted, and it is back with its log
// under another name.
void Failover::adoptRenamedPrimary(const Request& request, Nanoseconds now) {
    if (!noPromotionPending(request)) return;
    log(primary_.store + " is back as " + request.store + " and remains primary");
    PrimaryRecord next = primary_;
    next.store = request.store;
    std::erase_if(next.replicas, [&](const std::string& store) { return isPrimaryOrAlias(store, next); });
    next.addresses = addressesOf(next.replicas, primary_);
    cooldownUntil_ = now + cancelCooldown;
    writeSettled(std::move(next), now);
}

// Runs only after promotionDelay(): statements of an earlier owner can't arrive any more by then, so only a
// restart can end a pause.
void Failover::restartVerification(Nanoseconds now) {
    verificationStartedAt_ = now;
    requests_.clear();
    statuses_.clear();
    pausedReplicas_.clear();
    queryStores(now);
}

// Whether the replica's log position is known: it answered itself, or the store now at its address did, which
// took over its log when it left or crashed.
bool Failover::isVerified(const std::string& store) const {
    if (statuses_.count(store)) return true;
    const std::string address = addressOf(store, primary_);
    if (address.empty()) return false;
    return std::any_of(statuses_.begin(), statuses_.end(),
                       [&](const auto& each) { return addressOf(each.first, primary_) == address; });
}

// Invariant: every acknowledged write is on some verified replica; promoting without it would lose the write.
// An acknowledged write is on at least as many replicas as are synchronous, so one fewer than these may be
// missing. If the primary itself reported its position, every write acknowledged under a lease is at or below
// it; writes acknowledged since are on every replica that a proxy knew of, hence on any established one.
bool Failover::enoughReplicasVerified() const {
    if (primaryPosition_ && establishedReplicaVerified()) return true;
    std::vector<std::string> required = knownReplicas();
    std::erase_if(required, [&](const std::string& store) { return isPrimaryOrAlias(store, primary_); });
    const auto verified = static_cast<std::size_t>(std::count_if(
        required.begin(), required.end(), [&](const std::string& store) { return isVerified(store); }));
    const auto syncCount = static_cast<std::size_t>(std::max(0, host_.syncReplicas(service_)));
    const std::size_t mayBeMissing =
        syncCount == 0 ? required.size() - std::min<std::size_t>(1, required.size()) : syncCount - 1;
    return !statuses_.empty() && verified + mayBeMissing >= required.size();
}

bool Failover::establishedReplicaVerified() const {
    return std::any_of(primary_.replicas.begin(), primary_.replicas.end(), [&](const std::string& store) {
        return !primary_.recentReplicas.count(store) && isVerified(store);
    });
}

// For the log: which replicas are not verified, and the positions of the others.
std::string Failover::describeMissing() const {
    std::string result;
    for (const std::string& store : knownReplicas()) {
        const auto status = statuses_.find(store);
        const std::string state = status != statuses_.end()
                                      ? "is at " + granitereel::toString(status->second.receivedPosition)
                                  : isVerified(store) ? "has left, its log position is known"
                                                      : "did not answer";
        if (!result.empty()) result.append(", ");
        result.append(store).append(" ").append(state);
    }
    return result;
}

std::string Failover::mostAdvancedReplica() const {
    std::string best;
    for (const auto& [store, status] : statuses_) {
        if (best.empty()) {
            best = store;
            continue;
        }
        const LogPosition& mostReceived = statuses_.at(best).receivedPosition;
        const bool preferred = isAccepting(store) && !isAccepting(best);
        if (mostReceived < status.receivedPosition || (mostReceived == status.receivedPosition && preferred))
            best = store;
    }
    return best;
}

// Starts the promotion once promotionDelay() has passed and enough replicas are verified. By then no proxy's
// lease on the old primary is still valid, and no call of an earlier owner can still arrive where that
// matters: promoting sooner could leave two primaries serving or lose acknowledged writes.
void Failover::tryPromote(Nanoseconds now) {
    if (registerWrittenAt_ == 0 || now - registerWrittenAt_ < promotionDelay()) return;
    if (verificationStartedAt_ == 0 || now - verificationStartedAt_ > verificationLifetime)
        return restartVerification(now);
    if (!enoughReplicasVerified()) return;
    std::string best = mostAdvancedReplica();
    if (planned_) {
        const auto target = statuses_.find(target_);
        if (target == statuses_.end()) return;
        const LogPosition mostReceived =
            std::max(primaryPosition_.value_or(LogPosition()), statuses_.at(best).receivedPosition);
        if (target->second.receivedPosition < mostReceived) return;  // asked again until it has caught up
        best = target_;
    }
    target_ = best;
    enterPhase(Phase::promoting, now);
    promotionEndedAt_ = 0;
    sendPromotion(now);
}

// Promoting: until the platform accepts the promotion. Invariant: one attempt, and so one fencing token,
// promotes only one target; otherwise the platform could promote two stores with the same token.
void Failover::tickPromoting(Nanoseconds now) {
    if (promotionRequest_ != 0) return;
    if (now - verificationStartedAt_ <= verificationLifetime) {
        if (now - promotionEndedAt_ >= retryInterval) sendPromotion(now);
        return;
    }
    // The verification has expired: a replica may have restarted since.
    if (promotionSent_) return beginFailover(now, planned_);
    enterPhase(Phase::pausing, now);
    restartVerification(now);
}

// The call is sent only while the confirmation and the verification are valid, and with no other call in
// progress.
void Failover::sendPromotion(Nanoseconds now) {
    if (promotionRequest_ != 0) return;
    if (now - verificationStartedAt_ > verificationLifetime) return;
    if (!confirmationValid(now)) return requestConfirmation(primary_, now);
    promotionSent_ = true;
    targetPosition_ = statuses_.at(target_).receivedPosition;
    promotionRequest_ = host_.nextRequestId(*this);
    promotionAttempt_ = attempt_;
    log("promoting " + target_ + " with fence " + std::to_string(primary_.fencingToken));
    host_.outputs().push_back(ToPlatform{promotionRequest_, service_, target_, self_, primary_.fencingToken,
                                         promotionCallTimeout_ms,
                                         *confirmationStartedAt_ + confirmationLifetime()});
}

void Failover::promotionAnswered(std::uint64_t requestId, PromotionOutcome outcome, Nanoseconds now) {
    if (requestId != promotionRequest_) return;
    promotionRequest_ = 0;
    promotionEndedAt_ = now;
    if (phase_ != Phase::promoting || promotionAttempt_ != attempt_) return;  // of an earlier attempt
    if (outcome == PromotionOutcome::accepted) return enterPhase(Phase::rising, now);
    if (outcome == PromotionOutcome::notSent) return;
    if (outcome == PromotionOutcome::conflict) {
        // A newer owner exists, or the store is not running: a retry needs a new token.
        cooldownUntil_ = now + conflictCooldown;
        return abandon("promotion of " + target_ + " rejected as a conflict", now);
    }
    log("promotion of " + target_ + (outcome == PromotionOutcome::unanswered ? " not answered" : " refused"));
}

// Rising: until the target's heartbeat reports the primary role, or promotionVisibleTimeout has passed.
void Failover::tickRising(Nanoseconds now) {
    const Json* body = storeRecord(target_);
    const bool visible =
        body && body->value("role", "") == "head_office" && now - phaseSince_ > heartbeatDelay;
    if (!visible && now - phaseSince_ <= promotionVisibleTimeout) return;
    enterPhase(Phase::settling, now);
    lastQueryAt_ = now;
    sendStatement(target_, Statement::status, "STATUS", now);
}

// Settling: until the target itself confirms that it is primary, and in which term.
void Failover::tickSettling(Nanoseconds now) {
    if (now - phaseSince_ > promotionVisibleTimeout) return beginFailover(now, planned_);
    if (now - lastQueryAt_ < retryInterval) return;
    lastQueryAt_ = now;
    sendStatement(target_, Statement::status, "STATUS", now);
}

void Failover::statementAnswered(std::uint64_t requestId, std::optional<StoreStatus> status,
                                 Nanoseconds now) {
    const auto entry = requests_.find(requestId);
    if (entry == requests_.end()) return;  // of an earlier attempt
    const Request request = entry->second;
    requests_.erase(entry);
    switch (phase_) {
        case Phase::idle:
            if (request.statement == Statement::resume && status && request.sentAt >= pausesMayArriveUntil_) {
                awaitingResume_.erase(request.store);
                resumed_.insert(request.store);
            }
            if (status) handleReleaseStatus(request, *status, now);
            return;
        case Phase::founding:
            return handleDiscoveryStatus(request, status, now);
        case Phase::checking:
            return handleCheckStatus(request, status, now);
        case Phase::pausing:
            return handleStatusWhilePausing(request, status, now);
        case Phase::settling:
            if (status && status->primary && request.store == target_)
                completePromotion(request.store, status->term, now);
            return;
        case Phase::guarding:
        case Phase::promoting:
        case Phase::rising:
            return;
    }
}

void Failover::completePromotion(const std::string& store, std::uint64_t term, Nanoseconds now) {
    PrimaryRecord next = primary_;
    next.replicas.insert(primary_.store);
    next.replicas.erase(store);
    next.addresses = addressesOf(next.replicas, primary_);
    // Known only if this attempt promoted it directly into the next term: a promotion in between may have
    // truncated its log.
    const bool ours = promotionSent_ && store == target_ && term == primary_.term + 1;
    next.retained = ours ? std::optional(targetPosition_) : std::nullopt;
    next.store = store;
    next.term = term;
    cooldownUntil_ = now + healthyCooldown;
    writeSettled(std::move(next), now);
}

// Nothing was promoted: the primary stays, and the replicas resume.
void Failover::cancelFailover(Nanoseconds now) {
    cooldownUntil_ = now + cancelCooldown;
    writeSettled(primary_, now);
}

// Replicas are resumed only after the settled record is chosen. Before that, a later owner may have paused
// them and counted their positions.
void Failover::writeSettled(PrimaryRecord next, Nanoseconds now) {
    beginAttempt();
    next.settled = true;
    ++next.sequence;
    enterPhase(Phase::idle, now);
    writePending_ = true;
    const auto ended = [this, startedAt = now, attempt = attempt_](std::optional<PrimaryRecord> written) {
        writePending_ = false;
        if (!written || attempt != attempt_) return;
        log("is " + written->store + " in term " + std::to_string(written->term));
        // All replicas: an earlier owner may have lost contact before it resumed those that it had paused.
        for (const std::string& store : knownReplicas()) awaitingResume_.insert(store);
        awaitingResume_.insert(primary_.store);
        std::erase_if(awaitingResume_,
                      [&](const std::string& store) { return isPrimaryOrAlias(store, *written); });
        resumedFencingToken_ = written->fencingToken;
        resumed_.clear();
        resumeInterval_ = retryInterval;
        // A PAUSE of an earlier owner, or of this one, may arrive until then; a RESUME sent earlier doesn't
        // count.
        pausesMayArriveUntil_ = std::max(registerWrittenAt_ + maxLease_, pausesExpireAt_);
        lastResumeAt_ = startedAt;
        confirmationStartedAt_ = startedAt;
        sendResumes(startedAt);
    };
    host_.compareAndSet(service_, primary_.sequence, next, ended);
}

// RESUME has no effect on a replica that is not paused, so it is repeated until it is answered.
void Failover::sendResumes(Nanoseconds now) {
    std::erase_if(awaitingResume_, [&](const std::string& store) { return !storeRecord(store); });
    for (const std::string& store : awaitingResume_) sendStatement(store, Statement::resume, "RESUME", now);
}

}  // namespace granitereel::control
