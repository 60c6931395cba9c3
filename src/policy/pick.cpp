// Which store a transaction goes to: the admission of PLB (III.D, Algorithm 1) and what departs from it.
#include "policy/shared.hpp"

namespace granitereel {

// Whether a store gives way to one in this front's zone. Not where its window is below one launch: this
// front's loads then say nothing, so nothing would hold a zone's fronts back from one store.
bool Front::zoneCounts(const Store& store) const {
    return store.window >= 1 && store.zone != charter_.zone;
}

Store* Front::pickReplica(Group& group, const Transaction& transaction) {
    const int tier = tierOf(lanes_[transaction.lane]);
    if (group.redeal) deal(group);
    giveBack(group, tier);
    bool near = charter_.crossingCost > 0, anyWay = false;
    auto usable = [&](Store* s) {
        return s->standing == Standing::up && s != group.primary && wellEnough(*s) &&
               freshEnough(*s, transaction) && (anyWay || !slowWay(*s)) && !(near && zoneCounts(*s)) &&
               hasRoom(*s, transaction);
    };
    auto least = [&](auto admits, auto load) {
        return leastOf(
            group, charter_.front, [&](Store* s) { return admits(s) && usable(s); },
            [&](Store* s) {
                return std::tuple{slowWay(*s), load(s), zoneCounts(*s)};
            });
    };
    auto own = [&](Store* s) { return s->pool == poolOf(tier); };
    auto ownLoad = [&](Store* s) { return poolLoad(*s, tier); };
    // The replica that would be used if it were known to be fresh enough is asked how fresh it is.
    Store* wanted = nullptr;
    for (Store* s : group.members)
        if ((own(s) || s->pool == Pool::mixed) && s->standing == Standing::up && wellEnough(*s) &&
            probeIsDue(*s) && !slowWay(*s) && hasRoom(*s, transaction) &&
            (!wanted || ownLoad(s) < ownLoad(wanted)))
            wanted = s;
    // Where stores check, one that may well be fresh enough is read without being asked, as its answer tells;
    // one a second is asked all the same, so that what no read goes to stays known.
    const bool answerTells = charter_.storesCheck && wanted && mayCatchUp(*wanted, transaction);
    if (wanted && lanes_[transaction.lane].need != Need::any &&
        (!answerTells || now_ - refreshedAt_ >= millis(1000))) {
        if (answerTells) refreshedAt_ = now_;
        probe(*wanted);
    }

    auto borrow = [&](Store* s) {
        s->lender = s->pool;
        s->pool = poolOf(tier);
        return s;
    };
    auto mixed = [&](Store* s) { return s->pool == Pool::mixed; };
    auto bothLoads = [](Store* s) { return s->load[0] + s->load[1]; };
    // Departure: where crossing zones costs, the design's steps are gone through with the own zone's replicas
    // first, then with all; up to twice the threshold while under a tenth of the zone's answers come late. It
    // may hurt where the own zone's are slower than their reads in flight tell.
    const bool calm = ways_[charter_.zone].late.read(now_, healthMemory, 0) < 0.1;
    for (;; near = false) {
        Store* ownLeast = least(own, ownLoad);
        if (ownLeast && ownLoad(ownLeast) < (near && calm ? 2 * theta : theta)) return ownLeast;
        // Mixed first: least load of the borrower, then of the other tier.
        if (Store* s = least(mixed, [&](Store* m) { return m->load[tier] * 1000 + m->load[1 - tier]; }))
            return borrow(s);
        if (tier == 0 && poolSize(group, Pool::freemium) - 1 >= freemiumFloor) {
            const int mine = ownLeast ? ownLoad(ownLeast) : std::numeric_limits<int>::max();
            auto lighter = [&](Store* s) { return s->pool == Pool::freemium && bothLoads(s) < mine; };
            if (Store* s = least(lighter, bothLoads)) return borrow(s);
        }
        if (tier == 1 && poolSize(group, Pool::premium) - 1 >= group.target[0]) {
            auto empty = [&](Store* s) { return s->pool == Pool::premium && s->load[0] == 0; };
            if (Store* s = least(empty, [](Store* m) { return m->load[1]; })) return borrow(s);
        }
        // Departure: with one replica a tier, the own zone's is the other tier's for half of the reads.
        // While its reads of both tiers stay below the threshold it is used without being borrowed; it guards
        // against crossing zones for nothing, and may hurt where the other tier's burst comes a moment later.
        if (near && charter_.nearAnyTier && calm)
            if (Store* s = least([](Store*) { return true; }, bothLoads); s && bothLoads(s) < theta) return s;
        if (near) continue;
        if (ownLeast) return ownLeast;
        break;
    }
    anyWay = true;
    // Departure: no own replica will do. A replica of the other tier that will do is used, without being
    // borrowed, before the primary is burdened.
    return least([](Store*) { return true; }, bothLoads);
}

// Departure: a long transaction that needs no fresh data goes to the first replica by id that will do. It
// stops the application of the log where it runs; spread over the pools it would make every replica unfit for
// other reads, and these fall on the primary. All fronts know the same ids, and few know who lags most. It
// should also hold when the log is slow for other reasons. It may hurt where long work is most of the load,
// or lists differ.
Store* Front::pickForLong(Group& group, const Transaction& transaction) {
    for (Store* s : group.members)
        if (s->standing == Standing::up && s != group.primary && wellEnough(*s) && hasRoom(*s, transaction))
            return s;
    return nullptr;
}

bool Front::isLong(int lane) {
    // Four times the quickest lane: reports stand far above this in every deployment, plain reads far below.
    return lanes_[lane].need == Need::any && workOf(lane) > 4 * quickestWork();
}

// Departure: where a replica that may well be fresh enough has just been asked how fresh it is, a read waits
// for the answer rather than burden the primary: fronts with few reads know no position young enough. It
// should also hold where answers tell none. It may hurt where the way is slow: so for a tenth of the goal
// time at most.
bool Front::awaitsReport(const Group& group, const Transaction& transaction) const {
    const Lane& lane = lanes_[transaction.lane];
    if (lane.need != Need::bounded && lane.need != Need::session) return false;
    if (charter_.storesCheck || now_ - transaction.arrived > lane.goalTime / 10) return false;
    const Nanos need = lane.need == Need::bounded ? now_ - lane.bound : transaction.mustSee;
    return std::any_of(group.members.begin(), group.members.end(), [&](const Store* s) {
        // When last told, it lagged by less than the need allows.
        return s->probing && (s->position < 0 || now_ - (s->positionTold - s->position) > need);
    });
}

Store* Front::pick(Group& group, const Transaction& transaction) {
    const Need need = lanes_[transaction.lane].need;
    if (need == Need::write) return pickForWrite(group, transaction);
    if (isLong(transaction.lane))
        if (Store* first = pickForLong(group, transaction)) return first;
    if (need != Need::fresh)
        if (Store* replica = pickReplica(group, transaction)) return replica;
    if (awaitsReport(group, transaction)) return nullptr;
    Store* primary = group.primary;
    if (!primary || !wellEnough(*primary)) seekPrimary(group);
    if (charter_.storesCheck && need != Need::fresh) {
        // Stores that check for themselves: the least-behind replica, if it may catch up while it waits. One
        // that lags too far for that would only hold the transaction up. Lags within the bound are alike.
        Store* best = leastOf(
            group, charter_.front,
            [&](Store* s) {
                return s->standing == Standing::up && s != primary && wellEnough(*s) &&
                       mayCatchUp(*s, transaction) && hasRoom(*s, transaction);
            },
            [&](Store* s) {
                const Nanos lag = s->position < 0 ? 0 : (s->positionTold - s->position) / (2 * probeAge_);
                return std::tuple{slowWay(*s), lag, s->load[0] + s->load[1], zoneCounts(*s)};
            });
        if (best && transaction.launches + 1 < charter_.launchLimit) return best;
    }
    if (primary && mayReadPrimary(*primary) && wellEnough(*primary) && hasRoom(*primary, transaction))
        return primary;
    return nullptr;
}

}  // namespace granitereel
