// Which stores are usable, how much load each may get, and how much a warming one may get.
#include "policy/shared.hpp"

namespace granitereel {

double Router::usualWork(int classIndex) {
    // Before there are responses, a quarter of the target latency: operators set targets at several times the
    // usual work, and a proxy with few transactions must not take long work for silence meanwhile.
    return classWork_[classIndex].read(now_, workHalfLife, double(classes_[classIndex].targetLatency) / 4);
}

double Router::shortestWork() {
    double shortest = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < classes_.size(); ++index)
        shortest = std::min(shortest, usualWork(static_cast<int>(index)));
    return shortest;
}

double Router::meanWork() {
    double mean = 0;
    for (std::size_t index = 0; index < classes_.size(); ++index)
        mean += usualWork(static_cast<int>(index)) / double(classes_.size());
    return mean;
}

void Router::recordResponse(Store& store, bool byWork) {
    if (byWork) {
        Nanoseconds since = store.respondedAt;
        if (!store.attempts.empty()) since = std::max(since, store.attempts.front().sentAt);
        if (store.respondedAt > 0) store.responseGaps.add(now_, healthHalfLife, double(now_ - since));
        store.respondedAt = zonePaths_[store.zone].respondedAt = now_;
        if (store.suspectSince) {
            output_.log("store " + store.id + " answers again");
            store.pacedUntil = std::min(store.pacedUntil, now_);  // what its silence cost says nothing now
        }
        store.suspectSince = 0;
    }
    if (store.unreachableSince) {
        // A probe got a response: the store was well, but accepted no connection.
        if (!byWork && std::exchange(store.lastRefused, false)) refusals_.add(now_, healthHalfLife, 1);
        if (now_ - store.unreachableSince >= firstTrial_)
            output_.log("store " + store.id + " is reachable again");
        // After a second or more it may have restarted, which the list may report much later. A dead process
        // refuses connections meanwhile; one that was only cut off doesn't, and comes back warm.
        if (store.refused && now_ - store.unreachableSince > milliseconds(1000)) store.startedAt = now_;
        store.pacedUntil = std::min(store.pacedUntil, now_);
        store.nextTrialAt = now_;  // it was silent first, perhaps from the same cause
        store.unreachableSince = 0;
    }
    store.refused = false;
}

void Router::markUnhealthy(Store& store, bool unreachable) {
    Nanoseconds& since = unreachable ? store.unreachableSince : store.suspectSince;
    if (since) return;
    since = now_;
    watchStore(store);
    store.trialInterval = firstTrial_;
    store.nextTrialAt = now_ + store.trialInterval;
    if (!unreachable) output_.log("store " + store.id + " is silent");
    // Attempts at an unreachable store aren't cancelled: they fail by themselves, or go on.
    if (!unreachable) cancelAttempts(store);
}

// Cancels the attempts that can safely run elsewhere.
void Router::cancelAttempts(Store& store) {
    if (!config_.cancelAllowed) return;
    for (Attempt& attempt : store.attempts) {
        if (attempt.cancelled || classes_[attempt.classIndex].retrySafety != RetrySafety::idempotent)
            continue;
        if (!transactions_.count(attempt.transaction)) continue;
        attempt.cancelled = true;
        output_.cancel(attempt.transaction, attempt.number);
    }
}

// Silence counts from the last response, or from the oldest attempt that ought to be quick.
void Router::checkSilence(Store& store) {
    if (store.suspectSince || store.unreachableSince) return;
    const double shortest = shortestWork();
    Nanoseconds since = std::numeric_limits<Nanoseconds>::max();
    for (const Attempt& attempt : store.attempts)
        if (!attempt.cancelled && usualWork(attempt.classIndex) < 4 * shortest)
            since = std::min(since, attempt.sentAt);
    if (since == std::numeric_limits<Nanoseconds>::max()) return;
    const double silence = double(now_ - std::max(since, store.respondedAt));
    // Gaps are about exponential: one of 8 means is seen once in 3000. The further periods tolerate short
    // stalls.
    const double usualGap = store.responseGaps.read(now_, healthHalfLife, shortest / 2);
    if (silence > 8 * usualGap + double(5 * period_)) markUnhealthy(store, false);
}

// A first, idempotent attempt that took much of its class's usual time is cancelled if it can still be in
// time elsewhere and most recent ones of that age never ended. One in four is left, to go on measuring this.
// It guards against connections that go silent while their store responds to others, and should also catch
// lost or truncated responses. It may hurt where work varies so much that slow looks lost.
void Router::checkDelay(Attempt& attempt) {
    const double work = usualWork(attempt.classIndex);
    if (attempt.delayChecked || attempt.cancelled || double(now_ - attempt.sentAt) < slowFactor * work)
        return;
    attempt.delayChecked = true;
    const Transaction* txn = findTransaction(attempt.transaction);
    if (!config_.cancelAllowed || !txn ||
        classes_[attempt.classIndex].retrySafety != RetrySafety::idempotent || attempt.number > 0 ||
        now_ + static_cast<Nanoseconds>(work) > txn->targetTime ||
        slowSuccesses_.read(now_, healthHalfLife, 1) > 0.5 || random_() % 4 == 0)
        return;
    attempt.cancelled = true;
    output_.cancel(attempt.transaction, attempt.number);
}

// Whether the network path to another zone, not the stores there, makes responses late: most from there are
// late, at least twice the share of the own zone's; a proxy with few transactions knows more of a zone than
// of each store. It guards against links that delay or lose data, and should catch cut ones; it may hurt
// where all stores of a zone are overloaded.
bool Router::isPathSlow(const Store& store) {
    if (store.zone == config_.zone) return false;
    const double lateThere = zonePaths_[store.zone].lateShare.read(now_, healthHalfLife, 0);
    return lateThere > 0.5 &&
           lateThere > 2 * zonePaths_[config_.zone].lateShare.read(now_, healthHalfLife, 0);
}

bool Router::isUsable(const Store& store) const {
    if (store.unreachableSince && config_.probesAllowed) return false;  // the periodic probes find out
    if (now_ < store.backoffUntil) return false;
    return (!store.suspectSince && !store.unreachableSince) || now_ >= store.nextTrialAt;
}

double Router::warmShare(const Store& store) const {
    if (store.startedAt == 0 || now_ - store.startedAt >= config_.warmUpTime) return 1;
    return config_.coldCapacityShare +
           (1 - config_.coldCapacityShare) * double(now_ - store.startedAt) / double(config_.warmUpTime);
}

double Router::warmUpRate(const Store& store) const {
    // Where nothing is known of warm stores, this proxy's share of one core.
    return warmShare(store) * warmUpFactor_ * std::max(warmStoreWork_, 1.0 / proxyCount_);
}

// A warming store's credit starts below zero by a random part of one attempt, and accrues over six seconds at
// most per call. It guards against many proxies, each of which may send less than one attempt during the
// warm-up, sending their first ones together; it should also catch a crowd that moves to a cold store when
// others fail. It may hurt where a proxy calls this seldom: it then sends less than its share.
bool Router::hasWarmUpCredit(Store& store, double work) {
    if (warmShare(store) >= 1) return true;
    // A long transaction alone is a large part of a warming store's budget.
    const double mean = meanWork();
    if (work > 2 * mean) return false;
    if (store.warmUpCreditAt < store.startedAt) {
        store.warmUpCreditAt = now_;
        store.warmUpCredit = -mean * double(random_()) / double(std::minstd_rand::max());
        store.offeredRate = store.grantedWork = 0;
    }
    accrueCredit(store);
    store.warmUpCredit = std::min(work, store.warmUpCredit);
    if (store.warmUpCredit > 0 || (now_ < store.grantedUntil && store.grantedWork >= work)) return true;
    store.creditExhaustedAt = now_;
    return false;
}

void Router::accrueCredit(Store& store) {
    const double rate = std::max(0.0, warmUpRate(store) - store.offeredRate);
    store.warmUpCredit += rate * double(std::min(now_ - store.warmUpCreditAt, milliseconds(6000)));
    store.warmUpCreditAt = now_;
}

// One whose probes and handshakes cost more than an attempt has no credit to offer.
std::vector<ColdStore> Router::coldStores() {
    std::vector<ColdStore> coldStores;
    for (const auto& [id, store] : stores_) {
        if (store->state != StoreState::up || warmShare(*store) >= 1) continue;
        const bool overdrawn = store->warmUpCreditAt >= store->startedAt && store->warmUpCredit < -meanWork();
        // workDone halves in healthHalfLife: within that time it falls by a half at most.
        const double share =
            warmShare(*store) * warmUpFactor_ * std::max(warmStoreWork_ / 2, 1.0 / proxyCount_);
        coldStores.push_back({id, store->startedAt, overdrawn ? 0 : share});
    }
    return coldStores;
}

// Credit accrued so far at the old rate is kept; none accrues later for time that was offered.
void Router::offerCredit(const std::string& id, double rate) {
    Store* store = findStore(id);
    if (!store || warmShare(*store) >= 1) return;
    if (store->warmUpCreditAt >= store->startedAt) accrueCredit(*store);
    store->offeredRate = rate;
}

// Work beyond what this proxy accrues itself: other proxies accrue as much less. The earlier expiry applies
// to all grants.
void Router::grantCredit(const std::string& id, double work, Nanoseconds until) {
    Store* store = findStore(id);
    if (!store || warmShare(*store) >= 1) return;
    const bool addsToGrant = now_ < store->grantedUntil && store->grantedWork > 0;
    store->grantedWork = addsToGrant ? store->grantedWork + work : work;
    store->grantedUntil = addsToGrant ? std::min(store->grantedUntil, until) : until;
    retryQueued(groups_[store->group], 4);
}

bool Router::hasRoom(Store& store, const Transaction& txn) {
    // Reads that spill over to the primary get half of its window, or 1.4 of their part of the value per
    // work, theirs and the best write's, where that is more: equal values leave writes a third.
    const Consistency consistency = classes_[txn.classIndex].consistency;
    double share = 1;
    if (groups_[store.group].primary == &store && consistency != Consistency::write &&
        consistency != Consistency::strong) {
        double bestWriteRate = 0;
        for (std::size_t index = 0; index < classes_.size(); ++index)
            if (classes_[index].consistency == Consistency::write)
                bestWriteRate = std::max(bestWriteRate, classes_[index].value / usualWork(index));
        const double readValueRate = classes_[txn.classIndex].value / usualWork(txn.classIndex);
        share = std::clamp(1.4 * readValueRate / (readValueRate + bestWriteRate), 0.5, 1.0);
    }
    const double window = share * store.window;
    // A window below one is kept by pacing: each attempt uses its time in flight divided by the window, and
    // two may run ahead: a write and the reads that follow it come together. So all proxies keep in flight
    // what they would with one window, however slow the responses. Spilt reads run ahead by their part alone.
    const double allowance = 2 * (1 - share) * usualWork(txn.classIndex) / window;
    if (window < 1 &&
        (store.attempts.size() >= 2 || store.pacedUntil > now_ - static_cast<Nanoseconds>(allowance)))
        return false;
    if (window >= 1 && double(store.attempts.size()) >= window) return false;
    return hasWarmUpCredit(store, usualWork(txn.classIndex));
}

}  // namespace granitereel
