// Which stores are well, how much each may be given, and what a cold one bears.
#include "policy/shared.hpp"

namespace granitereel {

double Front::workOf(int lane) {
    // Before answers tell, a quarter of the goal time: operators set goals at some times the usual work, and
    // a front that has few transactions must not take long work for silence meanwhile.
    return laneTime_[lane].read(now_, laneMemory, double(lanes_[lane].goalTime) / 4);
}

double Front::quickestWork() {
    double quickest = std::numeric_limits<double>::max();
    for (std::size_t lane = 0; lane < lanes_.size(); ++lane)
        quickest = std::min(quickest, workOf(static_cast<int>(lane)));
    return quickest;
}

double Front::meanWork() {
    double mean = 0;
    for (std::size_t lane = 0; lane < lanes_.size(); ++lane)
        mean += workOf(static_cast<int>(lane)) / double(lanes_.size());
    return mean;
}

void Front::hear(Store& store, bool byWork) {
    if (byWork) {
        Nanos since = store.heard;
        if (!store.out.empty()) since = std::max(since, store.out.front().sent);
        if (store.heard > 0) store.gaps.add(now_, healthMemory, double(now_ - since));
        store.heard = ways_[store.zone].heard = now_;
        if (store.suspectSince) {
            out_.log("store " + store.id + " answers again");
            store.paidUntil = std::min(store.paidUntil, now_);  // what was owed for its silence says no more
        }
        store.suspectSince = 0;
    }
    if (store.awaySince) {
        // A probe is answered: the store was well, but took no connection.
        if (!byWork && std::exchange(store.shut, false)) shut_.add(now_, healthMemory, 1);
        if (now_ - store.awaySince >= firstTrial_) out_.log("store " + store.id + " is reachable again");
        // Away for a second or more, it may have started again, and the list may tell so much later. A dead
        // process refuses connections meanwhile; what was only cut off gives no sign, and comes back warm.
        if (store.refused && now_ - store.awaySince > millis(1000)) store.started = now_;
        store.paidUntil = std::min(store.paidUntil, now_);
        store.nextTrial = now_;  // it was silent before it was away: its silence may have had the same cause
        store.awaySince = 0;
    }
    store.refused = false;
}

void Front::distrust(Store& store, bool away) {
    Nanos& since = away ? store.awaySince : store.suspectSince;
    if (since) return;
    since = now_;
    watch(store);
    store.trialPause = firstTrial_;
    store.nextTrial = now_ + store.trialPause;
    if (!away) out_.log("store " + store.id + " is silent");
    // Of a store out of reach, nothing is called back: its launches break by themselves, or go on.
    if (!away) recall(store);
}

// Calls back what can safely run elsewhere.
void Front::recall(Store& store) {
    if (!charter_.mayCancel) return;
    for (Launch& launch : store.out) {
        if (launch.cancelled || lanes_[launch.lane].effect != Effect::harmless) continue;
        if (!transactions_.count(launch.transaction)) continue;
        launch.cancelled = true;
        out_.cancel(launch.transaction, launch.number);
    }
}

// Silence counts from the last answer, or from the oldest launch that ought to be quick.
void Front::judgeSilence(Store& store) {
    if (store.suspectSince || store.awaySince) return;
    const double quickest = quickestWork();
    Nanos since = std::numeric_limits<Nanos>::max();
    for (const Launch& launch : store.out)
        if (!launch.cancelled && workOf(launch.lane) < 4 * quickest) since = std::min(since, launch.sent);
    if (since == std::numeric_limits<Nanos>::max()) return;
    const double silence = double(now_ - std::max(since, store.heard));
    // Gaps are about exponential: one of 8 means is seen once in 3000. The further beats forgive the short
    // stalls that every store has.
    const double usual = store.gaps.read(now_, healthMemory, quickest / 2);
    if (silence > 8 * usual + double(5 * beat_)) distrust(store, false);
}

// A first, harmless launch out for much of its lane's time is called back if it can still be in time
// elsewhere and most that were out so long of late never came. One in four is left, so that this stays known.
// It guards against connections that fall silent while their store goes on answering, and should catch
// answers that get lost or stop short. It may hurt where work varies so much that slow looks lost.
void Front::judgeDelay(Launch& launch) {
    const double work = workOf(launch.lane);
    if (launch.judged || launch.cancelled || double(now_ - launch.sent) < muchOf * work) return;
    launch.judged = true;
    const Transaction* t = inHand(launch.transaction);
    if (!charter_.mayCancel || !t || lanes_[launch.lane].effect != Effect::harmless || launch.number > 0 ||
        now_ + static_cast<Nanos>(work) > t->goal || slowCame_.read(now_, healthMemory, 1) > 0.5 ||
        chance_() % 4 == 0)
        return;
    launch.cancelled = true;
    out_.cancel(launch.transaction, launch.number);
}

// Whether the way to another zone, not the stores there, makes answers late: most from there are, and at
// least twice as many as from the own zone; a front with few transactions knows more of a zone than of each
// store. It guards against links that slow or lose what is sent, and should catch cut ones; it may hurt where
// all stores of a zone are crowded.
bool Front::slowWay(const Store& store) {
    if (store.zone == charter_.zone) return false;
    const double there = ways_[store.zone].late.read(now_, healthMemory, 0);
    return there > 0.5 && there > 2 * ways_[charter_.zone].late.read(now_, healthMemory, 0);
}

bool Front::wellEnough(const Store& store) const {
    if (store.awaySince && charter_.mayProbe) return false;  // the probes of round() find out
    if (now_ < store.restsUntil) return false;
    return (!store.suspectSince && !store.awaySince) || now_ >= store.nextTrial;
}

double Front::coldShare(const Store& store) const {
    if (store.started == 0 || now_ - store.started >= charter_.coldTime) return 1;
    return charter_.coldFrom +
           (1 - charter_.coldFrom) * double(now_ - store.started) / double(charter_.coldTime);
}

double Front::coldRate(const Store& store) const {
    // Where nothing is known of warm stores, this front's part of one core.
    return coldShare(store) * coldFactor_ * std::max(bearing_, 1.0 / fronts_);
}

// A cold store's credit starts below nought by a random part of one launch, and grows by six seconds' worth a
// look at most. It guards against many fronts, each of which may send less than one launch in the whole time,
// sending their first ones together; it should also catch a crowd that turns to a cold store at once when
// others fail. It may hurt where a front looks seldom: then it sends less than its share.
bool Front::coldRoom(Store& store, double work) {
    if (coldShare(store) >= 1) return true;
    // A long transaction is a large part of a cold store's budget by itself.
    const double mean = meanWork();
    if (work > 2 * mean) return false;
    if (store.coldCreditAt < store.started) {
        store.coldCreditAt = now_;
        store.coldCredit = -mean * double(chance_()) / double(std::minstd_rand::max());
        store.ceded = store.lent = 0;
    }
    earn(store);
    store.coldCredit = std::min(work, store.coldCredit);
    if (store.coldCredit > 0 || (now_ < store.lentUntil && store.lent >= work)) return true;
    store.lackedAt = now_;
    return false;
}

void Front::earn(Store& store) {
    const double rate = std::max(0.0, coldRate(store) - store.ceded);
    store.coldCredit += rate * double(std::min(now_ - store.coldCreditAt, millis(6000)));
    store.coldCreditAt = now_;
}

// One whose probes and handshakes have cost more than a launch has nothing to spare.
std::vector<ColdStore> Front::coldStores() {
    std::vector<ColdStore> cold;
    for (const auto& [id, store] : stores_) {
        if (store->standing != Standing::up || coldShare(*store) >= 1) continue;
        const bool owes = store->coldCreditAt >= store->started && store->coldCredit < -meanWork();
        // What is borne is remembered by halves of healthMemory: within that time it falls by a half at most.
        const double least = coldShare(*store) * coldFactor_ * std::max(bearing_ / 2, 1.0 / fronts_);
        cold.push_back({id, store->started, owes ? 0 : least});
    }
    return cold;
}

// What was earned before at the old rate is kept; nothing is earned later for a time in which it was ceded.
void Front::cede(const std::string& id, double part) {
    Store* store = find(id);
    if (!store || coldShare(*store) >= 1) return;
    if (store->coldCreditAt >= store->started) earn(*store);
    store->ceded = part;
}

// Work beyond what this front earns itself: others earn as much less. Of two loans the sooner end binds both.
void Front::lend(const std::string& id, double work, Nanos until) {
    Store* store = find(id);
    if (!store || coldShare(*store) >= 1) return;
    const bool more = now_ < store->lentUntil && store->lent > 0;
    store->lent = more ? store->lent + work : work;
    store->lentUntil = more ? std::min(store->lentUntil, until) : until;
    serveHeld(groups_[store->group], 4);
}

bool Front::hasRoom(Store& store, const Transaction& transaction) {
    // Reads that spill over to the primary get half of its window, or 1.4 of their part of the gain for the
    // work, theirs and the best write's, where that is more: equal gains leave writes a third.
    const Need need = lanes_[transaction.lane].need;
    double share = 1;
    if (groups_[store.group].primary == &store && need != Need::write && need != Need::fresh) {
        double best = 0;
        for (std::size_t lane = 0; lane < lanes_.size(); ++lane)
            if (lanes_[lane].need == Need::write) best = std::max(best, lanes_[lane].gain / workOf(lane));
        const double mine = lanes_[transaction.lane].gain / workOf(transaction.lane);
        share = std::clamp(1.4 * mine / (mine + best), 0.5, 1.0);
    }
    const double window = share * store.window;
    // A window below one is kept by payment: each launch pays the time that it is out, divided by the window,
    // and two may run ahead: a write and the reads that follow it come together. So all fronts keep out what
    // they would with one window, however slow the answers. Spilt reads run ahead by their part alone.
    const double ahead = 2 * (1 - share) * workOf(transaction.lane) / window;
    if (window < 1 && (store.out.size() >= 2 || store.paidUntil > now_ - static_cast<Nanos>(ahead)))
        return false;
    if (window >= 1 && double(store.out.size()) >= window) return false;
    return coldRoom(store, workOf(transaction.lane));
}

}  // namespace granitereel
