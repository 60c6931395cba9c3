// Which store a transaction goes to: the admission of PLB (III.D, Algorithm 1) and departures from it.
#include "policy/shared.hpp"

namespace granitereel {

// Whether a store ranks behind one in this proxy's zone. Not where its window is below one attempt: this
// proxy's read counts then say nothing, and nothing would keep a zone's proxies off one store.
bool Router::yieldsToOwnZone(const Store& store) const {
    return store.window >= 1 && store.zone != config_.zone;
}

Store* Router::selectReplica(Group& group, const Transaction& txn) {
    const int tier = tierOf(classes_[txn.classIndex]);
    if (group.poolsOutdated) assignPools(group);
    returnBorrowed(group, tier);
    bool ownZoneFirst = config_.crossZoneCost > 0, allowSlowPaths = false;
    auto usable = [&](Store* store) {
        return store->state == StoreState::up && store != group.primary && isUsable(*store) &&
               isFreshEnough(*store, txn) && (allowSlowPaths || !isPathSlow(*store)) &&
               !(ownZoneFirst && yieldsToOwnZone(*store)) && hasRoom(*store, txn);
    };
    auto leastLoaded = [&](auto admits, auto load) {
        return leastBy(
            group, config_.proxyIndex, [&](Store* store) { return admits(store) && usable(store); },
            [&](Store* store) {
                return std::tuple{isPathSlow(*store), load(store), yieldsToOwnZone(*store)};
            });
    };
    auto own = [&](Store* store) { return store->pool == poolOf(tier); };
    auto ownLoad = [&](Store* store) { return poolLoad(*store, tier); };
    // The replica that would be used if it were known to be fresh enough is probed for its position.
    Store* toProbe = nullptr;
    for (Store* store : group.members)
        if ((own(store) || store->pool == Pool::mixed) && store->state == StoreState::up &&
            isUsable(*store) && probeIsDue(*store) && !isPathSlow(*store) && hasRoom(*store, txn) &&
            (!toProbe || ownLoad(store) < ownLoad(toProbe)))
            toProbe = store;
    // Where stores check freshness, one that is probably fresh enough is read without a probe, as its
    // response tells; one a second is probed all the same, to know the positions of unread replicas.
    const bool readWillTell = config_.storesCheckFreshness && toProbe && mayCatchUp(*toProbe, txn);
    if (toProbe && classes_[txn.classIndex].consistency != Consistency::eventual &&
        (!readWillTell || now_ - lastExtraProbe_ >= milliseconds(1000))) {
        if (readWillTell) lastExtraProbe_ = now_;
        probeStore(*toProbe);
    }

    auto borrow = [&](Store* store) {
        store->lender = store->pool;
        store->pool = poolOf(tier);
        return store;
    };
    auto mixed = [&](Store* store) { return store->pool == Pool::mixed; };
    auto bothLoads = [](Store* store) { return store->reads[0] + store->reads[1]; };
    // Departure: where crossing zones costs, the design's steps are taken with the own zone's replicas first,
    // then with all; up to twice the threshold while under a tenth of the zone's responses are late. It may
    // hurt where the own zone's are slower than their reads in flight show.
    const bool zoneOnTime = zonePaths_[config_.zone].lateShare.read(now_, healthHalfLife, 0) < 0.1;
    for (;; ownZoneFirst = false) {
        Store* ownLeast = leastLoaded(own, ownLoad);
        if (ownLeast && ownLoad(ownLeast) < (ownZoneFirst && zoneOnTime ? 2 * fullThreshold : fullThreshold))
            return ownLeast;
        // Mixed first: least reads of the borrower's tier, then of the other.
        if (Store* store = leastLoaded(
                mixed, [&](Store* each) { return each->reads[tier] * 1000 + each->reads[1 - tier]; }))
            return borrow(store);
        if (tier == 0 && poolSize(group, Pool::freemium) - 1 >= minFreemiumReplicas) {
            const int currentLoad = ownLeast ? ownLoad(ownLeast) : std::numeric_limits<int>::max();
            auto lighter = [&](Store* store) {
                return store->pool == Pool::freemium && bothLoads(store) < currentLoad;
            };
            if (Store* store = leastLoaded(lighter, bothLoads)) return borrow(store);
        }
        if (tier == 1 && poolSize(group, Pool::premium) - 1 >= group.poolTarget[0]) {
            auto empty = [&](Store* store) { return store->pool == Pool::premium && store->reads[0] == 0; };
            if (Store* store = leastLoaded(empty, [](Store* each) { return each->reads[1]; }))
                return borrow(store);
        }
        // Departure: with one replica a tier, the own zone's is the other tier's for half of the reads. While
        // its reads of both tiers stay below the threshold it is used without being borrowed; it guards
        // against needless cross-zone reads, and may hurt where the other tier's burst comes a moment later.
        if (ownZoneFirst && config_.preferZoneOverTier && zoneOnTime)
            if (Store* store = leastLoaded([](Store*) { return true; }, bothLoads);
                store && bothLoads(store) < fullThreshold)
                return store;
        if (ownZoneFirst) continue;
        if (ownLeast) return ownLeast;
        break;
    }
    allowSlowPaths = true;
    // Departure: no own replica qualifies. One of the other tier that does is used, not borrowed, before the
    // primary.
    return leastLoaded([](Store*) { return true; }, bothLoads);
}

// Departure: a long transaction that needs no fresh data goes to the first usable replica by id. It stalls
// log replay where it runs; spread over the pools it would make every replica too stale for other reads,
// which then fall on the primary. All proxies know the same ids, and few know which lags most. It should also
// hold when the log is slow for other reasons. It may hurt where most work is long, or lists differ.
Store* Router::selectForLong(Group& group, const Transaction& txn) {
    for (Store* store : group.members)
        if (store->state == StoreState::up && store != group.primary && isUsable(*store) &&
            hasRoom(*store, txn))
            return store;
    return nullptr;
}

bool Router::isLong(int classIndex) {
    // Four times the shortest work: reports are far above this in every deployment, plain reads far below.
    return classes_[classIndex].consistency == Consistency::eventual &&
           usualWork(classIndex) > 4 * shortestWork();
}

// Departure: where a replica that is probably fresh enough has just been probed, a read waits for the
// response rather than load the primary: proxies with few reads know no position fresh enough. It should also
// hold where responses carry none. It may hurt where the network is slow: so for a tenth of the target at
// most.
bool Router::awaitsReport(const Group& group, const Transaction& txn) const {
    const TransactionClass& txnClass = classes_[txn.classIndex];
    if (txnClass.consistency != Consistency::bounded && txnClass.consistency != Consistency::session)
        return false;
    if (config_.storesCheckFreshness || now_ - txn.arrivedAt > txnClass.targetLatency / 10) return false;
    const Nanoseconds needed =
        txnClass.consistency == Consistency::bounded ? now_ - txnClass.maxStaleness : txn.minPosition;
    return std::any_of(group.members.begin(), group.members.end(), [&](const Store* store) {
        // At its last report, it lagged by less than the class allows.
        return store->probing &&
               (store->position < 0 || now_ - (store->positionUpdatedAt - store->position) > needed);
    });
}

Store* Router::selectStore(Group& group, const Transaction& txn) {
    const Consistency consistency = classes_[txn.classIndex].consistency;
    if (consistency == Consistency::write) return selectForWrite(group, txn);
    if (isLong(txn.classIndex))
        if (Store* first = selectForLong(group, txn)) return first;
    if (consistency != Consistency::strong)
        if (Store* replica = selectReplica(group, txn)) return replica;
    if (awaitsReport(group, txn)) return nullptr;
    Store* primary = group.primary;
    if (!primary || !isUsable(*primary)) searchPrimary(group);
    if (config_.storesCheckFreshness && consistency != Consistency::strong) {
        // Stores that check freshness: the least-behind replica, if it may catch up while it waits. One too
        // far behind would only delay the transaction. Lags within the bound rank alike.
        Store* best = leastBy(
            group, config_.proxyIndex,
            [&](Store* store) {
                return store->state == StoreState::up && store != primary && isUsable(*store) &&
                       mayCatchUp(*store, txn) && hasRoom(*store, txn);
            },
            [&](Store* store) {
                const Nanoseconds lag =
                    store->position < 0 ? 0 : (store->positionUpdatedAt - store->position) / (2 * probeAge_);
                return std::tuple{isPathSlow(*store), lag, store->reads[0] + store->reads[1],
                                  yieldsToOwnZone(*store)};
            });
        if (best && txn.attempts + 1 < config_.maxAttempts) return best;
    }
    if (primary && mayReadPrimary(*primary) && isUsable(*primary) && hasRoom(*primary, txn)) return primary;
    return nullptr;
}

}  // namespace granitereel
