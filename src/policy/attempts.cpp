// When a transaction is sent, queued, given up or answered, and what each outcome says of its store.
#include "policy/shared.hpp"

namespace granitereel {

// Client retries are not marked, but a retry gets what is left of the class's timeout, and first requests all
// get the same. So a request with another timeout is a retry, and its target time started with the first one.
// It guards against retries that are late already crowding out what is not, and should catch clients that
// come late from a dead proxy. Where timeouts simply vary, no value gets support and nothing counts as
// waited.
Nanoseconds Router::alreadyWaited(int classIndex, Nanoseconds timeout) {
    UsualTimeout& usual = usualTimeouts_[classIndex];
    // First requests differ by their network delay alone: 2% of the timeout covers it.
    if (std::abs(timeout - usual.value) <= classes_[classIndex].timeout / 50) {
        usual.support = std::min(usual.support + 1, 100.0);
        return 0;
    }
    // A value that a fifth of the requests share keeps its place; another takes over after a few.
    usual.support -= 0.25;
    if (usual.support < 0) usual = {timeout, 1};
    return usual.support < 5 ? 0 : std::max<Nanoseconds>(0, classes_[classIndex].timeout - timeout);
}

// The value that a transaction sent now may be expected to yield per work. Response times are about
// exponential; so one with little time left ranks behind one that has just come.
double Router::valueRate(const Transaction& txn) {
    const TransactionClass& txnClass = classes_[txn.classIndex];
    const double work = usualWork(txn.classIndex);
    auto inTime = [&](Nanoseconds limit) {
        return limit <= now_ ? 0 : 1 - std::exp(-double(limit - now_) / work);
    };
    const double early = inTime(std::min(txn.targetTime, txn.deadline)), late = inTime(txn.deadline) - early;
    return txnClass.value * (early + txnClass.lateValueShare * late) / work;
}

void Router::submit(const std::string& id, int classIndex, const std::string& user, Nanoseconds timeout,
                    int groupNumber, std::optional<Nanoseconds> sinceWrite) {
    auto& slot = transactions_[id];
    slot = std::make_unique<Transaction>();
    Transaction& txn = *slot;
    txn.id = id;
    txn.user = user;
    txn.classIndex = classIndex;
    txn.group = &groups_[groupNumber];
    txn.arrivedAt = now_;
    txn.targetTime = now_ + classes_.at(classIndex).targetLatency - alreadyWaited(classIndex, timeout);
    txn.deadline = now_ + timeout;
    if (sinceWrite) txn.minPosition = now_ - *sinceWrite;
    if (classes_[classIndex].consistency == Consistency::session && config_.sessionWritesTracked) {
        // Iterators of the two maps must not be compared with each other: that is undefined.
        auto write = sessionWrites_.find(user);
        const bool newer = write != sessionWrites_.end();
        if (!newer) write = olderSessionWrites_.find(user);
        txn.minPosition = newer || write != olderSessionWrites_.end() ? write->second : forgottenWritesFloor_;
    }
    route(txn);
}

void Router::route(Transaction& txn) {
    if (isHopeless(txn) || txn.attempts >= config_.maxAttempts) return finishUnserved(txn);
    if (Store* store = selectStore(*txn.group, txn)) return startAttempt(txn, *store);
    enqueue(txn);
}

void Router::startAttempt(Transaction& txn, Store& store) {
    if (!mayStartAttempt(txn, store)) return finishUnserved(txn);
    const TransactionClass& txnClass = classes_[txn.classIndex];
    store.attempts.push_back({txn.id, txn.attempts++, txn.classIndex, now_, false, false, tierOf(txnClass)});
    watchStore(store);
    ++txn.inFlight;
    ++txn.maybeReached;
    ++store.reads[tierOf(txnClass)];
    const Nanoseconds pace = static_cast<Nanoseconds>(usualWork(txn.classIndex) / store.window);
    store.pacedUntil = std::max(store.pacedUntil, now_ - 2 * pace) + pace;
    // Granted work first, as it expires.
    const bool byGrant = now_ < store.grantedUntil && store.grantedWork >= usualWork(txn.classIndex);
    if (warmShare(store) < 1) (byGrant ? store.grantedWork : store.warmUpCredit) -= usualWork(txn.classIndex);
    if (store.suspectSince || store.unreachableSince) {
        store.trialInterval = std::min(2 * store.trialInterval, milliseconds(2000));
        store.nextTrialAt = now_ + store.trialInterval;
    }
    output_.startAttempt(txn.id, store.id, 0);
    txn.resume = [this, &txn, sentAt = now_, zone = store.zone](AttemptOutcome outcome) {
        const bool neverRan = outcome == AttemptOutcome::overloaded ||
                              outcome == AttemptOutcome::unreachable || outcome == AttemptOutcome::notSent ||
                              outcome == AttemptOutcome::notEligible;
        if (!neverRan && !txn.mayHaveRunSince) txn.mayHaveRunSince = sentAt, txn.pinnedZone = zone;
        if (!neverRan && classes_[txn.classIndex].retrySafety == RetrySafety::unsafe)
            return finishUnserved(txn);
        route(txn);
    };
}

void Router::attemptEnded(const std::string& id, int attemptNumber, const std::string& storeId,
                          AttemptOutcome outcome, Nanoseconds delay, Role role,
                          std::optional<Nanoseconds> position, bool answered) {
    Store* store = findStore(storeId);
    if (!store) return;
    auto attempt = std::find_if(store->attempts.begin(), store->attempts.end(), [&](const Attempt& each) {
        return each.number == attemptNumber && each.transaction == id;
    });
    if (attempt == store->attempts.end()) return;
    const Attempt ended = *attempt;
    // An invalid response still shows that the store is there and works: any store may give one.
    if (outcome <= AttemptOutcome::notEligible) recordResponse(*store, outcome != AttemptOutcome::overloaded);
    store->attempts.erase(attempt);
    --store->reads[ended.tier];
    // An attempt that began at a primary says so even if the role was lost while it ran: it speaks for its
    // send time. Else a primary that hands over seems to lose and win the role each time.
    if (role != Role::unknown) updateRole(*store, role, role == Role::primary ? ended.sentAt : now_, true);
    // A commit's position is rounded up to the next millisecond, a replica's is rounded down.
    if (position)
        updatePosition(
            *store,
            *position - (classes_[ended.classIndex].consistency == Consistency::write ? milliseconds(1) : 0));
    recordOutcome(*store, ended, outcome, delay);

    if (Transaction* found = findTransaction(id)) {
        Transaction& txn = *found;
        --txn.inFlight;
        if (outcome == AttemptOutcome::unreachable || outcome == AttemptOutcome::notSent) --txn.maybeReached;
        if (outcome == AttemptOutcome::succeeded && position && config_.sessionWritesTracked &&
            classes_[txn.classIndex].consistency == Consistency::write) {
            // Two generations of session writes bound the memory; a forgotten user gets the newest of its
            // generation, which asks for more than needed. 20,000 is some minutes of writes.
            if (sessionWrites_.size() >= 20'000) {
                for (auto& [user, write] : olderSessionWrites_)
                    forgottenWritesFloor_ = std::max(forgottenWritesFloor_, write);
                olderSessionWrites_ = std::move(sessionWrites_);
                sessionWrites_.clear();
            }
            Nanoseconds& write = sessionWrites_[txn.user];
            write = std::max(write, *position);
        }
        if (answered) {
            removeTransaction(txn);
        } else if (txn.resume) {
            auto resume = std::move(txn.resume);
            txn.resume = nullptr;
            resume(outcome);
        }
    }
    // A few at each outcome, all of them in runPeriodicTasks().
    retryQueued(groups_[store->group], 4);
}

// What an attempt's outcome says of its store.
void Router::recordOutcome(Store& store, const Attempt& attempt, AttemptOutcome outcome, Nanoseconds delay) {
    const TransactionClass& txnClass = classes_[attempt.classIndex];
    // Time in flight beyond the usual, which was paced already, is paced now: five seconds ahead at most, or
    // so far that all proxies together still try a jammed store ten times a second. Credited back is only
    // work done or found not eligible sooner: a store that rejects attempts fast would be free.
    if (double(delay) > slowFactor * usualWork(attempt.classIndex) &&
        (outcome == AttemptOutcome::succeeded || outcome == AttemptOutcome::timedOut))
        slowSuccesses_.add(now_, healthHalfLife, outcome == AttemptOutcome::succeeded ? 1 : 0);
    const double excess = (double(delay) - usualWork(attempt.classIndex)) / store.window;
    const bool pathSlow = isPathSlow(store);
    const bool overran = excess > 0 && !pathSlow && outcome != AttemptOutcome::unreachable;
    if (store.window < 1 &&
        (overran || outcome == AttemptOutcome::succeeded || outcome == AttemptOutcome::notEligible))
        store.pacedUntil = std::min(store.pacedUntil + static_cast<Nanoseconds>(excess),
                                    now_ + std::max(healthHalfLife, proxyCount_ * milliseconds(100)));
    if (outcome == AttemptOutcome::unreachable || outcome == AttemptOutcome::connectionLost)
        markUnhealthy(store, true);
    // Rejected at once: the process is gone, or accepts no more connections; a probe shows which.
    store.lastRefused = outcome == AttemptOutcome::unreachable && delay < milliseconds(50);
    store.refused |= store.lastRefused;
    // The store may be gone, or only the connection: a probe shows which.
    if (outcome == AttemptOutcome::connectionLost || store.lastRefused) probeStore(store);
    auto shrink = [&](double factor) {
        // Once in a few intervals: responses that were delayed together are one sign.
        if (now_ - store.windowReducedAt < period_ * 5 / 2) return;
        store.windowReducedAt = now_;
        // All proxies together keep some attempts in flight, and each goes on learning.
        const double minWindow = std::min(0.25, 2.0 / proxyCount_);
        store.window =
            std::max(minWindow, factor * std::min(store.window, double(store.attempts.size()) + 1));
    };
    if (outcome == AttemptOutcome::overloaded) shrink(0.7);
    // A store that rejects work at once looks idle, and would attract ever more; one that lets work time out
    // draws the next as soon as its slots are free. Either is left alone for an interval, doubled after each
    // further failure, 32 intervals at most, until one succeeds. It guards against stores that are full, out
    // of slots or nearly dead, and should also catch any that fail fast; a full group waits that much longer.
    const bool tooSlow = outcome == AttemptOutcome::timedOut && double(delay) > usualWork(attempt.classIndex);
    if (outcome == AttemptOutcome::overloaded || outcome == AttemptOutcome::error ||
        outcome == AttemptOutcome::connectionLost || tooSlow) {
        store.consecutiveFailures = std::min(store.consecutiveFailures + 1, 6);
        store.backoffUntil = now_ + (period_ / 2 << store.consecutiveFailures);
    }
    if (outcome == AttemptOutcome::succeeded) store.consecutiveFailures = 0;
    const bool late = double(delay) > 0.6 * double(txnClass.targetLatency);
    if (outcome == AttemptOutcome::succeeded) store.lateShare.add(now_, healthHalfLife, late ? 1 : 0);
    if (outcome == AttemptOutcome::succeeded || outcome == AttemptOutcome::timedOut)
        zonePaths_[store.zone].lateShare.add(now_, healthHalfLife,
                                             late || outcome == AttemptOutcome::timedOut ? 1 : 0);
    // A timeout is a sign of too long a queue only where responses are late, too. Else the store or the
    // network loses attempts, and fewer of them would change nothing.
    if (outcome == AttemptOutcome::timedOut && !pathSlow &&
        store.lateShare.read(now_, healthHalfLife, 1) > 0.1)
        // A proxy that seldom sends there has few timeouts to learn from.
        shrink(store.window < 1 ? 0.5 : 0.85);
    if (outcome != AttemptOutcome::succeeded) return;
    // Where a tenth of the attempts find a healthy store that accepts no connection, its table is full of
    // other proxies' idle ones, and each proxy closes its own after use. It guards against more proxies than
    // a store takes connections, and should catch tables full otherwise; it costs a handshake an attempt.
    refusals_.add(now_, healthHalfLife, 0);
    if (store.attempts.empty() && refusals_.read(now_, healthHalfLife, 0) > 0.1)
        output_.closeIdleConnections(store.id);
    classWork_[attempt.classIndex].add(now_, workHalfLife, double(delay));
    store.workDone.add(now_, healthHalfLife, usualWork(attempt.classIndex));
    // The window grows with responses in good time where it is the limit, and is reduced when one comes near
    // its target latency: waiting is then better done here, where the highest value goes first. The fiftieth
    // lets a proxy with most of a group's traffic outgrow its share. A replica that slips from half the bound
    // to twice it gets less, too, being overloaded; one further behind is no use for bounded reads anyway.
    const Nanoseconds lag = store.positionUpdatedAt - store.position;
    const bool slipping = lag > probeAge_ && lag < 4 * probeAge_ && !isLong(attempt.classIndex);
    if (slipping || (late && !pathSlow))
        shrink(0.85);
    else if (store.window < 1 ? double(now_ - store.pacedUntil) < usualWork(attempt.classIndex) / store.window
                              : double(store.attempts.size()) + 1 >= 0.75 * store.window)
        store.window += windowStep_ / std::max(3.0 / proxyCount_, store.window) +
                        (store.window < 1 ? 0.15 : 0.02) * store.window;
}

void Router::enqueue(Transaction& txn) {
    txn.resume = [this, &txn](AttemptOutcome) { route(txn); };
    txn.queued = true;
    if (const Store* coldStore = leastBy(
            *txn.group, config_.proxyIndex,
            [&](Store* store) {
                return store->creditExhaustedAt == now_ &&
                       (store == txn.group->primary || isFreshEnough(*store, txn));
            },
            [&](Store* store) { return store != txn.group->primary; }))
        // A tenth more, as its mean may rise meanwhile.
        output_.creditExhausted(coldStore->id, 1.1 * usualWork(txn.classIndex), valueRate(txn) * 1e9,
                                txn.deadline);
    auto before = [&](const Transaction* a, const Transaction* b) {
        const double valueA = valueRate(*a), valueB = valueRate(*b);
        return valueA != valueB ? valueA > valueB : a->arrivedAt < b->arrivedAt;
    };
    auto& queue = txn.group->queue;
    if (!std::exchange(txn.group->hasQueue, true)) queuedGroups_.push_back(txn.group);
    queue.insert(std::upper_bound(queue.begin(), queue.end(), &txn, before), &txn);
}

void Router::retryQueued(Group& group, std::size_t limit) {
    if (group.queue.empty()) return;
    const auto first = group.queue.begin();
    const auto last = first + static_cast<std::ptrdiff_t>(std::min(limit, group.queue.size()));
    const std::vector<Transaction*> batch(first, last);
    group.queue.erase(first, last);
    for (Transaction* txn : batch) {
        txn->queued = false;
        auto resume = std::move(txn->resume);
        resume(AttemptOutcome::notSent);
    }
}

// Whether a transaction can no longer yield any value, or may no longer be sent by the rules.
bool Router::isHopeless(const Transaction& txn) {
    const TransactionClass& txnClass = classes_[txn.classIndex];
    // With less than the usual time left, two in three would come too late. Two ticks for the network.
    const Nanoseconds earliest = now_ + static_cast<Nanoseconds>(usualWork(txn.classIndex)) + 2 * tick_;
    if (earliest > txn.deadline || (txnClass.lateValueShare <= 0 && earliest > txn.targetTime)) return true;
    // What has queued past its target time and for half its timeout, and reached no store, would mostly wait
    // on in vain; its client retries sooner if it is told now. It guards against groups without a primary,
    // and should catch any store that accepts nothing. It may hurt where the wait was nearly over.
    const Nanoseconds queueLimit =
        txn.arrivedAt +
        static_cast<Nanoseconds>(config_.maxQueueShare * double(txn.deadline - txn.arrivedAt));
    if (txn.maybeReached == 0 && earliest > txn.targetTime && now_ + period_ + 2 * tick_ > queueLimit)
        return true;
    return txnClass.retrySafety == RetrySafety::deduplicated && txn.mayHaveRunSince &&
           now_ >= txn.mayHaveRunSince + txnClass.deduplicationWindow;
}

void Router::finishUnserved(Transaction& txn) {
    if (mayReject(txn))
        output_.reject(txn.id, retryAfter_);
    else
        output_.reportIndeterminate(txn.id);
    removeTransaction(txn);
}

void Router::probeStore(Store& store) {
    if (!config_.probesAllowed || store.probing || store.state != StoreState::up) return;
    store.probing = true;
    store.probedAt = now_;
    // Charged as a millisecond of a warming store's work, well over what probes cost.
    if (warmShare(store) < 1) store.warmUpCredit -= 1e6;
    output_.probe(store.id);
}

void Router::probeEnded(const std::string& id, AttemptOutcome outcome) {
    Store* store = findStore(id);
    if (!store) return;
    store->probing = false;
    store->refused |= outcome == AttemptOutcome::unreachable && now_ - store->probedAt < milliseconds(50);
    // A probe's timeout is short. Where the store's zone responded to work lately, it says nothing: the
    // network is slow, or loses messages. Three seconds give a proxy with few transactions some responses.
    const bool slow = outcome == AttemptOutcome::timedOut &&
                      now_ - zonePaths_[store->zone].respondedAt < milliseconds(3000);
    if (outcome == AttemptOutcome::succeeded || outcome == AttemptOutcome::invalidResponse)
        recordResponse(*store, false);
    else if (outcome != AttemptOutcome::overloaded && store->respondedAt < store->probedAt && !slow)
        markUnhealthy(*store, true);
    retryQueued(groups_[store->group], 4);
}

// Looks only at what may need it, as a proxy may know hundreds of stores and use few of them at a time.
void Router::runPeriodicTasks() {
    output_.wakeAt(now_ + period_, 0);
    refreshList();
    std::erase_if(watchedStores_, [](Store* store) {
        store->watched =
            store->state == StoreState::up && (!store->attempts.empty() || store->unreachableSince);
        return !store->watched;
    });
    for (Store* store : watchedStores_) {
        checkSilence(*store);
        for (Attempt& each : store->attempts) checkDelay(each);
        // Without probes the next attempt is the trial, and its time must not be moved on here.
        if (config_.probesAllowed && store->unreachableSince && now_ >= store->nextTrialAt) {
            if (store->trialInterval == firstTrial_) output_.log("store " + store->id + " is out of reach");
            // Of many proxies each probes that much more seldom; for a primary, a whole group waits.
            const Nanoseconds cap = groups_[store->group].primary == store ? firstTrial_ : milliseconds(1000);
            store->trialInterval =
                std::min(2 * store->trialInterval, std::max(cap, proxyCount_ * milliseconds(20)));
            store->nextTrialAt = now_ + store->trialInterval;
            probeStore(*store);
        }
    }
    if (now_ >= nextWorkUpdate_) updateWarmStoreWork();
    for (Group* group : std::exchange(queuedGroups_, {})) {
        group->hasQueue = false;  // until one of its transactions is queued again
        retryQueued(*group, group->queue.size());
    }
}

void Router::updateWarmStoreWork() {
    // Once a second: the sums decay over some seconds.
    nextWorkUpdate_ = now_ + milliseconds(1000);
    double totalWork = 0;
    int warmStores = 0;
    for (auto& [id, store] : stores_) {
        if (store->state != StoreState::up || warmShare(*store) < 1 || store->unreachableSince ||
            store->suspectSince)
            continue;
        // A decaying sum holds 1/ln 2 half-lives' worth.
        totalWork += store->workDone.read(now_, healthHalfLife) * 0.693 / double(healthHalfLife);
        ++warmStores;
    }
    if (warmStores > 0) warmStoreWork_ = totalWork / warmStores;
    // A store is dropped a minute after the list removed it, many times what roles and lists may be late,
    // unless it still works or was never seen to end. It guards against fleets that are replaced for months.
    std::erase_if(stores_, [&](auto& each) {
        Store& store = *each.second;
        Group& group = groups_[store.group];
        if (!store.removedAt || now_ - store.removedAt < milliseconds(60'000) || !store.attempts.empty() ||
            store.probing || &store == group.primary ||
            (store.state == StoreState::up && !store.unreachableSince))
            return false;
        std::erase(group.members, &store);
        std::erase(watchedStores_, &store);
        return group.poolsOutdated = true;
    });
}

}  // namespace granitereel
