#include "control/failover.hpp"

#include <algorithm>

#include "transport/call_status.hpp"

namespace granitereel::control {

namespace {
// A store that is well answers within a few ms; slow ones within a few times a statement's work. It bounds
// how late a statement may arrive, so the order of PAUSE and RESUME of two owners rests on it.
constexpr int statementTimeout_ms = 300;
// A lead under suspicion is given less: while the register is written and the lease runs out it is asked
// again, and leads on if it answers.
constexpr int checkTimeout_ms = 150;
// A lead that was found well is not looked at again for this long, whoever complains.
constexpr Nanoseconds healthyCooldown = milliseconds(400);
// Asks that got no answer are made again after this.
constexpr Nanoseconds retryInterval = milliseconds(250);
// A call to the platform without an answer is reset after this, so that it arrives by then or never.
constexpr int promotionCallTimeout_ms = 1200;
// "Some hundred ms" after the platform has taken a promotion the store leads, and says so; at most this.
constexpr Nanoseconds maxPromotionTime = milliseconds(1000);
// A promotion that has not shown by then is begun anew, under a higher fence.
constexpr Nanoseconds promotionVisibleTimeout = milliseconds(2500);
// A lead that asks for its term, and one under suspicion, are given up after this.
constexpr Nanoseconds statusTimeout = milliseconds(2000);
// A change of the register ends sooner, with or without a majority.
constexpr Nanoseconds registerWriteTimeout = milliseconds(3000);
// Replicas that were heard as paused are paused again after this, as one may have been started anew.
constexpr Nanoseconds verificationLifetime = milliseconds(1000);
// A planned target that doesn't get what the others have by then is given up, so that those receive again.
constexpr Nanoseconds catchUpTimeout = milliseconds(3000);
// A replica that doesn't answer its RESUME has most likely crashed, and is asked ever less often.
constexpr Nanoseconds maxResumeInterval = milliseconds(4000);
// The platform called the promotion a conflict: the registers and the stores' beats show why by then.
constexpr Nanoseconds conflictCooldown = milliseconds(300);
constexpr Nanoseconds cancelCooldown = milliseconds(1000);
// A promoted store's beat comes at once; its first STATUS waits this much for it.
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
    // A promotion that was taken already must show before another store is chosen.
    const Nanoseconds visibilityDelay = promotionMayBePending_ ? maxPromotionTime : 0;
    wait = std::max(wait, visibilityDelay + maxClockDrift);
    if (!hadPredecessor_) return wait;
    // What the predecessor called rested on a confirmation begun before this owner's write stood.
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
    const gossip::Record* found = host_.recordTable().find("store/" + store);
    return found && found->body.is_object() ? &found->body : nullptr;
}

bool Failover::isAccepting(const std::string& store) const {
    const Json* body = storeRecord(store);
    return body && body->value("standing", "") == "accepting";
}

std::vector<std::string> Failover::listedStores() const {
    std::vector<std::string> result;
    host_.recordTable().forEachWithPrefix("store/", [&](const std::string& name, const gossip::Record& r) {
        if (r.body.is_object() && r.body.value("service", "") == service_) result.push_back(name.substr(6));
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

// STATUS changes nothing and may leave whenever; PAUSE and RESUME only while what they rest on is confirmed.
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

// What was asked and confirmed before is void from here on.
void Failover::beginAttempt() {
    ++attempt_;
    requests_.clear();
    confirmationStartedAt_.reset();
    confirmationPending_ = false;
}

// Ends whatever is under way and changes nothing outside.
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
                                                                   Nanoseconds at) {
        if (attempt == attempt_) confirmationEnded(confirmation, startedAt, at);
    };
    host_.confirmPrimary(service_, primary, ended);
}

void Failover::confirmationEnded(Confirmation confirmation, Nanoseconds startedAt, Nanoseconds now) {
    confirmationPending_ = false;
    if (confirmation == Confirmation::replaced) return abandon("replaced by another owner's change", now);
    if (confirmation == Confirmation::unknown || !isOwner_) return;  // tick() asks again, where it still owns
    confirmationStartedAt_ = startedAt;
    if (!confirmationValid(now)) return;
    if (phase_ == Phase::pausing) pauseReplicas(now);
    if (phase_ == Phase::promoting) sendPromotion(now);
    if (phase_ == Phase::idle) sendResumes(now);
}

// What another began and did not end is taken over by tick().
void Failover::setOwner(bool isOwner, Nanoseconds now) {
    if (isOwner == isOwner_) return;
    isOwner_ = isOwner;
    if (!isOwner) abandon("left to another member", now);
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

// Idle: from the start or the end of a succession until one is due.
void Failover::tickIdle(Nanoseconds now) {
    const auto primary = currentPrimary();
    if (!primary) {
        if (now - lastQueryAt_ >= retryInterval) discoverPrimary(now);
        return;
    }
    if (!primary->settled) {  // begun by a member that is gone, or by this one in an earlier life or attempt
        log("taking over what " + primary->owner + " began");
        return beginFailover(now, false);
    }
    const Json* body = storeRecord(primary->store);
    if (body && body->value("standing", "") == "winding_down" && now >= cooldownUntil_)
        return beginFailover(now, true);
    resumePausedReplicas(*primary, now);
    updateReplicas(*primary, now);
}

// An owner that died behind its last write may have left replicas paused, also some that were not on record
// then. Each is resumed once by each life that owns the lead of a fence.
void Failover::resumePausedReplicas(const PrimaryRecord& primary, Nanoseconds now) {
    if (primary.fencingToken == 0) return;  // nobody was ever paused
    if (primary.fencingToken != resumedFencingToken_) resumed_.clear();
    resumedFencingToken_ = primary.fencingToken;
    for (const std::string& store : primary.replicas)
        if (storeRecord(store) && !resumed_.count(store)) awaitingResume_.insert(store);
    if (awaitingResume_.empty() || now - lastResumeAt_ < resumeInterval_) return;
    lastResumeAt_ = now;
    resumeInterval_ = std::min(2 * resumeInterval_, maxResumeInterval);
    requestConfirmation(primary, now);
}

// Founding: no lead is on record. From the question to the store that says it leads until its answer.
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

// Checking: from a front's complaint until the lead's answer. Another store may lead by then.
void Failover::handleCheckStatus(const Request& request, const std::optional<StoreStatus>& status,
                                 Nanoseconds now) {
    enterPhase(Phase::idle, now);
    const auto primary = currentPrimary();
    if (!primary || primary->store != request.store) return;
    if (!status || !status->primary) return beginFailover(now, false);
    cooldownUntil_ = now + healthyCooldown;
}

// Guarding: from the beginning of a succession until a majority holds that the lead may change. From a lease
// later on no front reads from the old lead without proof. The fence grows each time, so that what an earlier
// owner, life or attempt still sends is of a lower one.
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
        log(planned_ ? "to pass on from " + primary_.store + " which winds down"
                     : "lost, was " + primary_.store + "; fence " + std::to_string(primary_.fencingToken));
        registerWrittenAt_ = 0;  // set by the first tick behind
        phase_ = Phase::pausing;
        lastQueryAt_ = 0;
        pauseTerm_ = primary_.term;
        verificationStartedAt_ = 0;
        promotionSent_ = false;
    };
    host_.compareAndSet(service_, primary->sequence, next, ended);
}

// Pausing: from the register's write until enough replicas were heard to stand still, asked for after the
// wait, or until the old primary turns out to be well, or another to lead already.
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

// Planned: the first that accepts work. It goes on receiving until the others have nothing that it lacks.
bool Failover::chooseTarget() {
    for (const std::string& store : knownReplicas())
        if (isAccepting(store) && (target_.empty() || store < target_)) target_ = store;
    return !target_.empty();
}

void Failover::queryStores(Nanoseconds now) {
    lastQueryAt_ = now;
    if (!planned_) sendStatement(primary_.store, Statement::status, "STATUS", now);
    if (verificationStartedAt_ == 0) {
        // One that was promoted by an owner that did not live to say so ends the wait.
        if (promotionMayBePending_)
            for (const std::string& store : knownReplicas())
                sendStatement(store, Statement::status, "STATUS", now);
        return;
    }
    if (confirmationValid(now)) return pauseReplicas(now);
    requestConfirmation(primary_, now);
}

// Each PAUSE has a term of its own, above all before: it is never said twice, and its row shows that the
// replica stands still since.
void Failover::pauseReplicas(Nanoseconds now) {
    lastQueryAt_ = now;
    ++pauseTerm_;
    if (planned_ && !primaryPosition_) sendStatement(primary_.store, Statement::status, "STATUS", now);
    for (const std::string& store : knownReplicas()) {
        if (planned_ &&
            store == target_)  // shows its row like STATUS, should an earlier owner have paused it
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
        // Perhaps a later term was said to it before, or it leads by now: it is asked for the term it holds.
        if (request.statement == Statement::pause)
            sendStatement(request.store, Statement::status, "STATUS", now);
        return;
    }
    if (request.store == primary_.store) return handleOldPrimaryStatus(request, *status, now);
    if (status->primary && status->term > primary_.term)  // promoted by an owner that did not live to say so
        return completePromotion(request.store, status->term, now);
    if (status->primary && status->term == primary_.term) return adoptRenamedPrimary(request, now);
    const bool target = planned_ && request.store == target_;
    if (request.statement != Statement::pause && !target) {
        // It still receives, or was paused by another: what it says of its position does not last.
        pauseTerm_ = std::max(pauseTerm_, status->fencedTerm) + 1;
        if (verificationStartedAt_ != 0 && confirmationValid(now) && !pausedReplicas_.count(request.store))
            sendPause(request.store, now);
        return;
    }
    if (!target) pausedReplicas_.insert(request.store);
    statuses_[request.store] = *status;
    tryPromote(now);
}

// It lives and leads on, if no promotion can be under way: one that an earlier owner or attempt asked for has
// shown when the wait is over.
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

// Whether no promotion can have been under way when a store that shows the lead's term was asked.
bool Failover::noPromotionPending(const Request& request) const {
    return !promotionMayBePending_ || request.sentAt >= registerWrittenAt_ + promotionDelay();
}

// Only one store leads in a term: the lead crashed, nothing was promoted, and it is back with its log.
void Failover::adoptRenamedPrimary(const Request& request, Nanoseconds now) {
    if (!noPromotionPending(request)) return;
    log(primary_.store + " is back as " + request.store + " and leads on");
    PrimaryRecord next = primary_;
    next.store = request.store;
    std::erase_if(next.replicas, [&](const std::string& store) { return isPrimaryOrAlias(store, next); });
    next.addresses = addressesOf(next.replicas, primary_);
    cooldownUntil_ = now + cancelCooldown;
    writeSettled(std::move(next), now);
}

// Replicas are paused only behind the wait: what an earlier owner said to them is over by now, so only a
// restart can set them going again.
void Failover::restartVerification(Nanoseconds now) {
    verificationStartedAt_ = now;
    requests_.clear();
    statuses_.clear();
    pausedReplicas_.clear();
    queryStores(now);
}

// Whether a replica answered, or the store that its log passed to when it left or crashed: at its address.
bool Failover::isVerified(const std::string& store) const {
    if (statuses_.count(store)) return true;
    const std::string address = addressOf(store, primary_);
    if (address.empty()) return false;
    return std::any_of(statuses_.begin(), statuses_.end(),
                       [&](const auto& each) { return addressOf(each.first, primary_) == address; });
}

// An acknowledged commit is on as many replicas as are synchronous: of any others one may be missing. Where
// the lead itself said how far it was, all that clients were told of under a lease is at or below that; what
// they were told of since, all replicas have that a proxy knew of.
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

// For the log: who was not heard, and how far the others are.
std::string Failover::describeMissing() const {
    std::string result;
    for (const std::string& store : knownReplicas()) {
        const auto status = statuses_.find(store);
        const std::string state = status != statuses_.end()
                                      ? "is at " + granitereel::toString(status->second.receivedPosition)
                                  : isVerified(store) ? "is gone, its log was heard"
                                                      : "was not heard";
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

// Promotes where all that must be heard were heard, no front can still believe in the old lead, and no
// earlier owner's call can still arrive where that matters.
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
        if (target->second.receivedPosition < mostReceived) return;  // asked again until it has it all
        best = target_;
    }
    target_ = best;
    enterPhase(Phase::promoting, now);
    promotionEndedAt_ = 0;
    sendPromotion(now);
}

// Promoting: from the choice of the target until the platform has taken its promotion. Within an attempt
// only this target is asked for; another one needs a new attempt and so a new fence.
void Failover::tickPromoting(Nanoseconds now) {
    if (promotionRequest_ != 0) return;
    if (now - verificationStartedAt_ <= verificationLifetime) {
        if (now - promotionEndedAt_ >= retryInterval) sendPromotion(now);
        return;
    }
    // What was heard has aged: a replica may have been started since.
    if (promotionSent_) return beginFailover(now, planned_);
    enterPhase(Phase::pausing, now);
    restartVerification(now);
}

// The call leaves only while the confirmation that it rests on is fresh, and never beside another of ours.
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
    if (outcome == PromotionOutcome::conflict) {  // a newer owner, or it does not run: begin again, above
        cooldownUntil_ = now + conflictCooldown;
        return abandon("promotion of " + target_ + " was a conflict", now);
    }
    log("promotion of " + target_ + (outcome == PromotionOutcome::unanswered ? " not answered" : " refused"));
}

// Rising: from the platform's answer until the target's beat says that it leads, or a while has passed.
void Failover::tickRising(Nanoseconds now) {
    const Json* body = storeRecord(target_);
    const bool visible =
        body && body->value("role", "") == "head_office" && now - phaseSince_ > heartbeatDelay;
    if (!visible && now - phaseSince_ <= promotionVisibleTimeout) return;
    enterPhase(Phase::settling, now);
    lastQueryAt_ = now;
    sendStatement(target_, Statement::status, "STATUS", now);
}

// Settling: until the target itself answers that it leads, and in which term.
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
    // A promotion in between may have cut its log back.
    const bool ours = promotionSent_ && store == target_ && term == primary_.term + 1;
    next.retained = ours ? std::optional(targetPosition_) : std::nullopt;
    next.store = store;
    next.term = term;
    cooldownUntil_ = now + healthyCooldown;
    writeSettled(std::move(next), now);
}

// Nothing was promoted: replicas go on, and the lead is as it was.
void Failover::cancelFailover(Nanoseconds now) {
    cooldownUntil_ = now + cancelCooldown;
    writeSettled(primary_, now);
}

// Replicas are resumed only once it stands that the lead is steady: a later owner may have paused them.
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
        // All of them: an earlier owner may have been cut off before it had resumed what it paused.
        for (const std::string& store : knownReplicas()) awaitingResume_.insert(store);
        awaitingResume_.insert(primary_.store);
        std::erase_if(awaitingResume_,
                      [&](const std::string& store) { return isPrimaryOrAlias(store, *written); });
        resumedFencingToken_ = written->fencingToken;
        resumed_.clear();
        resumeInterval_ = retryInterval;
        // A PAUSE of an earlier owner, or one of ours, may still arrive until then.
        pausesMayArriveUntil_ = std::max(registerWrittenAt_ + maxLease_, pausesExpireAt_);
        lastResumeAt_ = startedAt;
        confirmationStartedAt_ = startedAt;
        sendResumes(startedAt);
    };
    host_.compareAndSet(service_, primary_.sequence, next, ended);
}

// RESUME changes nothing where a replica receives, so it is said again until it was answered.
void Failover::sendResumes(Nanoseconds now) {
    std::erase_if(awaitingResume_, [&](const std::string& store) { return !storeRecord(store); });
    for (const std::string& store : awaitingResume_) sendStatement(store, Statement::resume, "RESUME", now);
}

}  // namespace granitereel::control
