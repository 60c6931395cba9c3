// The decisions of granitereel: which store runs a transaction, when, and what its client is told.
//
// One Front serves one front. Its interface, and the Outlet through which it acts, stand in front.hpp. The
// caller sets the clock, then hands over what has come in, in the order of arrival: list entries,
// transactions, endings of launches, reports, probe results and its own timers. The Front keeps no threads,
// and sees nothing else. Read it in the order of its sections; docs/design.md tells which parts come from the
// paper.
#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "front.hpp"

namespace granitereel {

namespace {
constexpr auto tierOf = [](const Lane& lane) { return lane.premium ? 0 : 1; };
constexpr auto poolOf = [](int tier) { return tier == 0 ? Pool::premium : Pool::freemium; };
}  // namespace

Front::Front(const Charter& charter, std::uint64_t seed, Nanos now, Outlet& outlet)
    : out_(outlet),
      chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483647)),
      now_(now),
      charter_(charter) {
    chance_.discard(2);  // else seeds that lie close together begin alike
    lanes_ = charter.lanes;
    laneTime_.resize(lanes_.size());
    usualPatience_.resize(lanes_.size());
    present(charter.fronts);
    probeTellsRole_ = charter.mayProbe && charter.reportsTellRole;
    tick_ = std::max<Nanos>(charter.tick, millis(1));
    // A cold store gets at most this multiple of what its share of the warm stores' work would be. As none
    // bears more than it can do, 0.7 leaves room for chance and handshakes; beyond 2 it would only queue.
    coldFactor_ = std::min(2.0, 0.7 * charter.fallMultiple);
    // Clients that heed advice are asked to stay away a tenth of the longest they would heed.
    advice_ = charter.adviceHeard ? charter.longestAdvice / 10 : 0;
    // The list is asked again after 0.7 of the time in which silence counts as having been told; where none
    // is stated, of ten seconds, as a list that comes by itself is seldom later.
    askEvery_ = (charter.askWithin > 0 ? charter.askWithin : millis(10'000)) * 7 / 10;
    weighLanes();
    askAt_ = now_;
    out_.wake(now_, 0);
}

void Front::weighLanes() {
    // Premium covers the read lanes of the highest worth (step 2 of the design): the gain for each second of
    // goal time, as a lane that may take long can do with what the others leave.
    auto worth = [](const Lane& lane) { return lane.gain / double(std::max<Nanos>(lane.goalTime, 1)); };
    double top = 0;
    Nanos bound = 0;
    for (const Lane& lane : lanes_) {
        if (lane.need == Need::write || lane.need == Need::fresh) continue;
        top = std::max(top, worth(lane));
        if (lane.need == Need::bounded) bound = bound == 0 ? lane.bound : std::min(bound, lane.bound);
    }
    for (Lane& lane : lanes_) lane.premium = worth(lane) >= top;
    // Between two rounds of the front's own clockwork: a tenth of the shortest goal time, 20 ms at most. The
    // first trial of a doubtful store comes soon, as most troubles are short; each later one after twice
    // that.
    beat_ = millis(20);
    for (const Lane& lane : lanes_) beat_ = std::max(tick_, std::min(beat_, lane.goalTime / 10));
    firstTrial_ = beat_ * 25 / 2;
    // Half the tightest bound; without a bounded lane, a quarter of a second for the sessions' sake.
    probeAge_ = bound > 0 ? bound / 2 : millis(250);
}

int Front::lane(const Lane& lane) {
    for (std::size_t i = 0; i < lanes_.size(); ++i)
        if (lanes_[i].name == lane.name) return static_cast<int>(i);
    lanes_.push_back(lane);
    laneTime_.emplace_back();
    usualPatience_.emplace_back();
    weighLanes();
    return static_cast<int>(lanes_.size()) - 1;
}

// Windows that have been learnt go on from where they are.
void Front::present(int fronts) {
    fronts_ = std::max(1, fronts);
    // Growth and shrinking of a window meet where it is in proportion to the root of this step. By the square
    // of the front's share, all fronts together keep out the same; twice the share was the best tried.
    step_ = 4.0 / (fronts_ * fronts_);
}

// ---- list and roles -------------------------------------------------------------------------------

void Front::tendList() {
    if (!charter_.mustAsk || now_ < askAt_) return;
    askAt_ = now_ + askEvery_;
    out_.followList(true);
}

void Front::listBegins(bool whole) {
    unseen_.clear();
    if (whole)
        for (auto& [id, store] : stores_)
            if (store->standing != Standing::removed) unseen_.push_back(store.get());
}

void Front::listEntry(const std::string& id, int groupNo, int zone, Standing standing, Nanos started,
                      bool primary) {
    std::erase_if(unseen_, [&](Store* s) { return s->id == id; });
    Group& group = groups_[groupNo];
    auto& slot = stores_[id];
    if (!slot) {
        slot = std::make_unique<Store>();
        slot->id = id;
        slot->group = groupNo;
        slot->zone = zone;
        slot->started = started;
        // What all fronts together keep out at a store before they have seen it work: about what a store of a
        // few cores answers well within most goal times.
        slot->window = 24.0 / fronts_;
        group.members.push_back(slot.get());
        std::sort(group.members.begin(), group.members.end(), [](auto* a, auto* b) { return a->id < b->id; });
        group.redeal = true;
    }
    Store& store = *slot;
    store.goneAt = 0;
    if (started > store.started) {  // it has started again: cold, and perhaps no longer the primary
        store.started = started;
        store.suspectSince = store.awaySince = 0;
    }
    if (standing != store.standing) standDown(store, standing);
    const bool newlyNamed = primary && !store.listedAsPrimary && standing == Standing::up;
    if (newlyNamed && !group.primary && !store.toldReplica) setPrimary(group, &store);
    store.listedAsPrimary = primary;
}

void Front::listEnds() {
    for (Store* store : unseen_) standDown(*store, Standing::removed);
    unseen_.clear();
    for (auto& [no, group] : groups_)
        if (group.redeal) deal(group);
}

void Front::listFailed() {
    // Half a second to a second and a half, by chance, as fronts that failed together shan't call together.
    askAt_ = std::min(askAt_, now_ + millis(500 + chance_() % 1000));
}

void Front::standDown(Store& store, Standing standing) {
    if (standing == Standing::removed) store.goneAt = now_;
    if (standing == Standing::removed && charter_.onlyDrainingBinds && store.standing == Standing::up) return;
    store.standing = standing;
    watch(store);
    Group& group = groups_[store.group];
    group.redeal = true;
    if (group.primary == &store && standing != Standing::up) setPrimary(group, nullptr);
}

// Positions are times, so a report that says 'primary' tells when it was made. Of two statements the later
// one holds.
void Front::tellRole(Store& store, Role role, Nanos asOf, bool byAnswer) {
    store.roleHeard = now_;
    if (asOf < store.roleAsOf) return;
    // A primary that hands over turns writes away but still calls itself one to reads; and no store that lost
    // the role has it back within a second.
    if (role == Role::primary && store.lostRole && asOf < store.lostRole + millis(1000)) return;
    if (byAnswer) store.toldReplica = role == Role::replica;
    store.role = role;
    store.roleAsOf = asOf;
    Group& group = groups_[store.group];
    if (role == Role::replica && group.primary == &store) {
        store.lostRole = now_;
        setPrimary(group, nullptr);
    }
    if (role == Role::primary && group.primary != &store && store.standing == Standing::up &&
        (!group.primary || group.primary->roleAsOf < asOf))
        setPrimary(group, &store);
}

void Front::setPrimary(Group& group, Store* store) {
    if (group.primary == store) return;
    const Store* named = store ? store : group.primary;
    out_.log("group " + std::to_string(named->group) + (store ? ": primary is " : ": primary lost, was ") +
             named->id);
    group.primary = store;
    group.redeal = true;
}

void Front::leads(int groupNo, const std::string& id) {
    Group& group = groups_[groupNo];
    Store* store = find(id);
    for (Store* member : group.members) {
        member->role = member == store ? Role::primary : Role::replica;
        member->toldReplica = member != store;
    }
    setPrimary(group, store && store->standing == Standing::up ? store : nullptr);
}

void Front::seekPrimary(Group& group) {
    if (!probeTellsRole_ || group.members.empty()) return;
    if (now_ - group.seekersAt >= 10 * beat_) {
        group.seekersAt = now_;
        group.seekers = out_.seekers(group.members.front()->group);
    }
    // Five looks a second: a switch takes seconds. A look costs each member a probe, so that of many fronts
    // all together send the group some 300 probes a second, not each member so many (fleet days: herd and
    // join, two seeds each, a tenth to a third fewer probes).
    const auto members = Nanos(group.members.size());
    const int seekers = group.seekers.value_or(fronts_);
    if (seekers == 0 || now_ - group.soughtAt < std::max(10 * beat_, seekers * members * millis(3))) return;
    group.soughtAt = now_;
    for (Store* store : group.members) probe(*store);
}

// For all fronts that miss it, so not paced by their number.
void Front::look(int groupNo) {
    const auto found = groups_.find(groupNo);
    if (found == groups_.end() || !probeTellsRole_ || now_ - found->second.soughtAt < 10 * beat_) return;
    found->second.soughtAt = now_;
    for (Store* store : found->second.members) probe(*store);
}

// A hint where to look, never leave to write: what the store itself says counts.
void Front::hinted(const std::string& id) {
    Store* store = find(id);
    if (!store || !probeTellsRole_ || groups_[store->group].primary == store) return;
    probe(*store);
}

std::optional<std::string> Front::primaryOf(int groupNo) const {
    const auto found = groups_.find(groupNo);
    if (found == groups_.end() || !found->second.primary || !wellEnough(*found->second.primary)) return {};
    return found->second.primary->id;
}

Store* Front::pickForWrite(Group& group, const Transaction& transaction) {
    if (!group.primary || !wellEnough(*group.primary)) seekPrimary(group);
    if (group.primary) {
        if (!wellEnough(*group.primary)) return nullptr;
        return hasRoom(*group.primary, transaction) ? group.primary : nullptr;
    }
    // Unknown: members in order, past each that has said within the last second that it is none. The last
    // launch is kept for the primary.
    if (transaction.launches + 1 >= charter_.launchLimit) return nullptr;
    for (Store* store : group.members) {
        if (store->standing != Standing::up || !wellEnough(*store) || !hasRoom(*store, transaction)) continue;
        if (store->role == Role::replica && now_ - store->roleHeard < millis(1000)) continue;
        return store;
    }
    return nullptr;
}

// ---- pools ----------------------------------------------------------------------------------------

namespace {
// The threshold at which a replica counts as full for a tier, and the watermarks below which a tier gives
// borrowed replicas back: the design's starting values.
constexpr int theta = 2;
constexpr double alpha[2] = {0.60, 0.80};
constexpr int freemiumFloor = 1;
}  // namespace

void Front::deal(Group& group) {
    group.redeal = false;
    std::vector<Store*> replicas;
    for (Store* store : group.members) {
        store->pool = store->lender = Pool::none;
        if (store->standing == Standing::up && store != group.primary) replicas.push_back(store);
    }
    const int n = static_cast<int>(replicas.size());
    group.target[0] = group.target[1] = 0;
    if (n == 0) return;
    group.target[0] = std::clamp(static_cast<int>(std::lround(0.4 * n)), 1, std::max(1, n - 1));
    group.target[1] = std::min(std::max(1, static_cast<int>(std::lround(0.4 * n))), n - group.target[0]);
    for (int i = 0; i < n; ++i) {
        Store* store = replicas[(i + charter_.front) % n];
        store->pool = i < group.target[0]                     ? Pool::premium
                      : i < group.target[0] + group.target[1] ? Pool::freemium
                                                              : Pool::mixed;
    }
}

int Front::poolLoad(const Store& store, int tier) const {
    return store.lender == Pool::none ? store.load[tier] : store.load[0] + store.load[1];
}

int Front::poolSize(const Group& group, Pool pool) const {
    return static_cast<int>(std::count_if(group.members.begin(), group.members.end(),
                                          [&](const Store* s) { return s->pool == pool; }));
}

void Front::giveBack(Group& group, int tier) {
    const int watermark = static_cast<int>(alpha[tier] * theta);
    const bool eased = std::any_of(group.members.begin(), group.members.end(), [&](const Store* s) {
        return s->pool == poolOf(tier) && s->lender == Pool::none && s->load[tier] < watermark;
    });
    if (!eased) return;
    for (Store* store : group.members) {
        if (store->pool != poolOf(tier) || store->lender == Pool::none || store->load[tier] > 0) continue;
        const int lender = store->lender == Pool::premium ? 0 : 1;
        const bool below =
            store->lender != Pool::mixed && poolSize(group, store->lender) < group.target[lender];
        store->pool = below ? store->lender : Pool::mixed;
        store->lender = Pool::none;
    }
}

// ---- freshness ------------------------------------------------------------------------------------

void Front::tellPosition(Store& store, Nanos position) {
    store.position = std::max(store.position, position);
    store.positionTold = now_;
}

bool Front::freshEnough(const Store& store, const Transaction& transaction) const {
    const Lane& lane = lanes_[transaction.lane];
    switch (lane.need) {
        case Need::any:
            return true;
        case Need::bounded:
            // A millisecond is kept against rounding on the way.
            return store.position >= now_ - lane.bound + millis(1);
        case Need::session:
            return transaction.mustSee == 0 || store.position >= transaction.mustSee;
        default:
            return false;
    }
}

// Whether a replica that applies the log as fast as it comes would meet the need by the end of its wait. One
// that was never asked may: what does not hold, the store itself says.
bool Front::mayCatchUp(const Store& store, const Transaction& transaction) const {
    const Lane& lane = lanes_[transaction.lane];
    const Nanos lag = store.positionTold - store.position;
    const Nanos need = lane.need == Need::bounded ? now_ - lane.bound : transaction.mustSee;
    return store.position < 0 || now_ + charter_.catchUpWait - lag >= need;
}

bool Front::mayReadPrimary(const Store& store) const {
    return store.standing == Standing::up && !store.toldReplica;
}

// A replica is asked when its known position is older than half the bound and no answer has renewed it. One
// that lags is not asked again before it can have caught up by some part: a quarter of its lag, two seconds
// at most, keeps probes few where the log is slow everywhere.
bool Front::probeIsDue(const Store& store) const {
    if (now_ - store.position <= probeAge_) return false;
    const Nanos lag = std::min((store.positionTold - store.position) / 4, millis(2000));
    return now_ - std::max(store.positionTold, store.probedAt) > std::max(probeAge_, lag);
}

// ---- health ---------------------------------------------------------------------------------------

namespace {
// Gaps between answers, and work borne, are remembered for less than most troubles and more than chance.
constexpr Nanos healthMemory = millis(5'000);
// Half-life of a lane's mean time: long, since the lanes' work does not change within a day.
constexpr Nanos laneMemory = millis(30'000);
// This multiple of the usual time is seen once in 150 where times are exponential, as they are about.
constexpr double muchOf = 5;
}  // namespace

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

// ---- pick -----------------------------------------------------------------------------------------

namespace {
// The member with the least key of those that a condition admits. Of equals the first counted from the
// front's number on, as pools are dealt: fronts with few reads find all loads alike, and would else flock to
// one.
template <class Admits, class Key>
Store* leastOf(const Group& group, int front, Admits admits, Key key) {
    Store* best = nullptr;
    const std::size_t n = group.members.size();
    for (std::size_t i = 0; i < n; ++i) {
        Store* s = group.members[(i + static_cast<std::size_t>(front)) % n];
        if (admits(s) && (!best || key(s) < key(best))) best = s;
    }
    return best;
}
}  // namespace

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

// ---- launch and outcome ---------------------------------------------------------------------------

// Clients that ask again are not marked, but a try is given what is left of the lane's cut-off, and first
// tries are all given alike. So a try with another patience is a repeat, and its goal time started with the
// first try. It guards against repeats of what is late already crowding out what is not, and should catch
// clients that come late by way of a dead front. Where patience simply varies no value finds support, and
// nobody has waited.
Nanos Front::alreadyWaited(int lane, Nanos patience) {
    UsualPatience& usual = usualPatience_[lane];
    // First tries differ by the way to the front alone: 2% of the cut-off covers it.
    if (std::abs(patience - usual.value) <= lanes_[lane].cutOff / 50) {
        usual.support = std::min(usual.support + 1, 100.0);
        return 0;
    }
    // A value that a fifth of the tries share keeps its place; another takes over in a few tries.
    usual.support -= 0.25;
    if (usual.support < 0) usual = {patience, 1};
    return usual.support < 5 ? 0 : std::max<Nanos>(0, lanes_[lane].cutOff - patience);
}

// What a transaction launched now may be expected to earn for the room it takes. Answers come about
// exponentially; so one with little time left gives way to one that has just come.
double Front::gainNow(const Transaction& t) {
    const Lane& lane = lanes_[t.lane];
    const double work = workOf(t.lane);
    auto inTime = [&](Nanos limit) { return limit <= now_ ? 0 : 1 - std::exp(-double(limit - now_) / work); };
    const double early = inTime(std::min(t.goal, t.cutOff)), late = inTime(t.cutOff) - early;
    return lane.gain * (early + lane.lateShare * late) / work;
}

void Front::take(const std::string& id, int lane, const std::string& user, Nanos patience, int groupNo,
                 std::optional<Nanos> sinceWrite) {
    auto& slot = transactions_[id];
    slot = std::make_unique<Transaction>();
    Transaction& t = *slot;
    t.id = id;
    t.user = user;
    t.lane = lane;
    t.group = &groups_[groupNo];
    t.arrived = now_;
    t.goal = now_ + lanes_.at(lane).goalTime - alreadyWaited(lane, patience);
    t.cutOff = now_ + patience;
    if (sinceWrite) t.mustSee = now_ - *sinceWrite;
    if (lanes_[lane].need == Need::session && charter_.marksKept) {
        // Iterators of the two generations are not compared with each other: that is undefined.
        auto mark = marks_.find(user);
        const bool newer = mark != marks_.end();
        if (!newer) mark = olderMarks_.find(user);
        t.mustSee = newer || mark != olderMarks_.end() ? mark->second : markFloor_;
    }
    route(t);
}

void Front::route(Transaction& t) {
    if (hopeless(t) || t.launches >= charter_.launchLimit) return finish(t);
    if (Store* store = pick(*t.group, t)) return launch(t, *store);
    hold(t);
}

void Front::launch(Transaction& t, Store& store) {
    if (!mayLaunch(t, store)) return finish(t);
    const Lane& lane = lanes_[t.lane];
    store.out.push_back({t.id, t.launches++, t.lane, now_, false, false, tierOf(lane)});
    watch(store);
    ++t.out;
    ++t.arrivedThere;
    ++store.load[tierOf(lane)];
    const Nanos turn = static_cast<Nanos>(workOf(t.lane) / store.window);
    store.paidUntil = std::max(store.paidUntil, now_ - 2 * turn) + turn;
    // What is lent first, as it does not keep.
    const bool byLoan = now_ < store.lentUntil && store.lent >= workOf(t.lane);
    if (coldShare(store) < 1) (byLoan ? store.lent : store.coldCredit) -= workOf(t.lane);
    if (store.suspectSince || store.awaySince) {
        store.trialPause = std::min(2 * store.trialPause, millis(2000));
        store.nextTrial = now_ + store.trialPause;
    }
    out_.launch(t.id, store.id, 0);
    t.next = [this, &t, sent = now_, zone = store.zone](Ending how) {
        const bool neverRan = how == Ending::full || how == Ending::unreachable || how == Ending::unsent ||
                              how == Ending::missed;
        if (!neverRan && !t.mayHaveRunSince) t.mayHaveRunSince = sent, t.boundZone = zone;
        if (!neverRan && lanes_[t.lane].effect == Effect::oneShot) return finish(t);
        route(t);
    };
}

void Front::ended(const std::string& id, int launchNo, const std::string& storeId, Ending how, Nanos delay,
                  Role role, std::optional<Nanos> position, bool over) {
    Store* store = find(storeId);
    if (!store) return;
    auto launch = std::find_if(store->out.begin(), store->out.end(),
                               [&](const Launch& l) { return l.number == launchNo && l.transaction == id; });
    if (launch == store->out.end()) return;
    const Launch done = *launch;
    // A spoilt answer tells no less that the store is there and works: any store may give one.
    if (how <= Ending::missed) hear(*store, how != Ending::full);
    store->out.erase(launch);
    --store->load[done.tier];
    // A launch that began at a primary says so even if the role was lost while it ran: it speaks for the time
    // of its sending. Else a primary that hands over seems to lose and win the role with each answer.
    if (role != Role::unknown) tellRole(*store, role, role == Role::primary ? done.sent : now_, true);
    // A commit is told rounded up to the next millisecond, a position rounded down.
    if (position) tellPosition(*store, *position - (lanes_[done.lane].need == Need::write ? millis(1) : 0));
    settleAccount(*store, done, how, delay);

    if (Transaction* found = inHand(id)) {
        Transaction& t = *found;
        --t.out;
        if (how == Ending::unreachable || how == Ending::unsent) --t.arrivedThere;
        if (how == Ending::delivered && position && charter_.marksKept &&
            lanes_[t.lane].need == Need::write) {
            // Two generations of marks bound the memory; a forgotten one is answered by the newest of its
            // generation, which asks for more than needed. 20,000 is some minutes of writes.
            if (marks_.size() >= 20'000) {
                for (auto& [user, mark] : olderMarks_) markFloor_ = std::max(markFloor_, mark);
                olderMarks_ = std::move(marks_);
                marks_.clear();
            }
            Nanos& mark = marks_[t.user];
            mark = std::max(mark, *position);
        }
        if (over) {
            forget(t);
        } else if (t.next) {
            auto step = std::move(t.next);
            t.next = nullptr;
            step(how);
        }
    }
    // A few at each answer, all of them in round().
    serveHeld(groups_[store->group], 4);
}

// What a launch's ending says of its store.
void Front::settleAccount(Store& store, const Launch& launch, Ending how, Nanos delay) {
    const Lane& lane = lanes_[launch.lane];
    // What it was out beyond the usual time that it has paid for is paid now, five seconds ahead at most, or
    // so far that all fronts together still try a store that is jammed ten times a second. Only what was
    // worked on or missed sooner is paid back: a store that turns launches away fast would cost nothing else.
    if (double(delay) > muchOf * workOf(launch.lane) && (how == Ending::delivered || how == Ending::timedOut))
        slowCame_.add(now_, healthMemory, how == Ending::delivered ? 1 : 0);
    const double beyond = (double(delay) - workOf(launch.lane)) / store.window;
    const bool farOff = slowWay(store);
    const bool owes = beyond > 0 && !farOff && how != Ending::unreachable;
    if (store.window < 1 && (owes || how == Ending::delivered || how == Ending::missed))
        store.paidUntil = std::min(store.paidUntil + static_cast<Nanos>(beyond),
                                   now_ + std::max(healthMemory, fronts_ * millis(100)));
    if (how == Ending::unreachable || how == Ending::broken) distrust(store, true);
    // Turned away at once: the process is gone, or takes no further connection; a probe tells which.
    store.shut = how == Ending::unreachable && delay < millis(50);
    store.refused |= store.shut;
    // Either may be the store's end or only the connection's: a probe tells soon.
    if (how == Ending::broken || store.shut) probe(store);
    auto shrink = [&](double share) {
        // Once in a few beats: answers that were held up together are one sign.
        if (now_ - store.shrunk < beat_ * 5 / 2) return;
        store.shrunk = now_;
        // All fronts together go on keeping out some launches, and each goes on learning.
        const double least = std::min(0.25, 2.0 / fronts_);
        store.window = std::max(least, share * std::min(store.window, double(store.out.size()) + 1));
    };
    if (how == Ending::full) shrink(0.7);
    // A store that turns work away at once looks idle, and would draw ever more; one that lets work lapse
    // draws the next as soon as its slots are free. Either rests for a beat, twice as long after each further
    // fruitless launch, 32 beats at most, until it delivers. It guards against stores that are full, out of
    // slots or all but dead, and should catch any that fail fast; a full group waits that much longer.
    const bool tooLong = how == Ending::timedOut && double(delay) > workOf(launch.lane);
    if (how == Ending::full || how == Ending::error || how == Ending::broken || tooLong) {
        store.fruitless = std::min(store.fruitless + 1, 6);
        store.restsUntil = now_ + (beat_ / 2 << store.fruitless);
    }
    if (how == Ending::delivered) store.fruitless = 0;
    const bool late = double(delay) > 0.6 * double(lane.goalTime);
    if (how == Ending::delivered) store.late.add(now_, healthMemory, late ? 1 : 0);
    if (how == Ending::delivered || how == Ending::timedOut)
        ways_[store.zone].late.add(now_, healthMemory, late || how == Ending::timedOut ? 1 : 0);
    // A client that would not wait longer is a sign of too long a queue where answers come late, too. Where
    // they don't, the store or the way to it loses launches, and fewer of them would change nothing.
    if (how == Ending::timedOut && !farOff && store.late.read(now_, healthMemory, 1) > 0.1)
        // A front that seldom launches there has few lapses to learn from.
        shrink(store.window < 1 ? 0.5 : 0.85);
    if (how != Ending::delivered) return;
    // Where a tenth of the launches find a store that is well but takes no connection, its table is full of
    // others' idle ones, and each front gives back its own after use. It guards against more fronts than a
    // store takes connections, and should catch tables full for other reasons; it costs a handshake a launch.
    shut_.add(now_, healthMemory, 0);
    if (store.out.empty() && shut_.read(now_, healthMemory, 0) > 0.1) out_.hangUp(store.id);
    laneTime_[launch.lane].add(now_, laneMemory, double(delay));
    store.borne.add(now_, healthMemory, workOf(launch.lane));
    // The window grows with answers in good time where it binds, and shrinks when one comes near its goal
    // time: waiting then is better done here, where the highest gain goes first. The fiftieth lets a front
    // with most of a group's traffic outgrow its share. A replica that slips from half the bound to twice it
    // gets less, too, being crowded; further behind it is a lost cause for bounded reads, and may as well
    // work.
    const Nanos lag = store.positionTold - store.position;
    const bool slipping = lag > probeAge_ && lag < 4 * probeAge_ && !isLong(launch.lane);
    if (slipping || (late && !farOff))
        shrink(0.85);
    else if (store.window < 1 ? double(now_ - store.paidUntil) < workOf(launch.lane) / store.window
                              : double(store.out.size()) + 1 >= 0.75 * store.window)
        store.window +=
            step_ / std::max(3.0 / fronts_, store.window) + (store.window < 1 ? 0.15 : 0.02) * store.window;
}

void Front::hold(Transaction& t) {
    t.next = [this, &t](Ending) { route(t); };
    t.held = true;
    if (const Store* cold = leastOf(
            *t.group, charter_.front,
            [&](Store* s) { return s->lackedAt == now_ && (s == t.group->primary || freshEnough(*s, t)); },
            [&](Store* s) { return s != t.group->primary; }))
        // A tenth more, as its mean may rise meanwhile.
        out_.scarce(cold->id, 1.1 * workOf(t.lane), gainNow(t) * 1e9, t.cutOff);
    auto before = [&](const Transaction* a, const Transaction* b) {
        const double x = gainNow(*a), y = gainNow(*b);
        return x != y ? x > y : a->arrived < b->arrived;
    };
    auto& held = t.group->held;
    if (!std::exchange(t.group->waiting, true)) waiting_.push_back(t.group);
    held.insert(std::upper_bound(held.begin(), held.end(), &t, before), &t);
}

void Front::serveHeld(Group& group, std::size_t most) {
    if (group.held.empty()) return;
    const auto first = group.held.begin();
    const auto last = first + static_cast<std::ptrdiff_t>(std::min(most, group.held.size()));
    const std::vector<Transaction*> batch(first, last);
    group.held.erase(first, last);
    for (Transaction* t : batch) {
        t->held = false;
        auto step = std::move(t->next);
        step(Ending::unsent);
    }
}

// Whether a transaction can no longer earn anything, or no longer be launched by the rules.
bool Front::hopeless(const Transaction& t) {
    const Lane& lane = lanes_[t.lane];
    // With less than the usual time left, two in three would come too late. Two ticks for the way back.
    const Nanos soonest = now_ + static_cast<Nanos>(workOf(t.lane)) + 2 * tick_;
    if (soonest > t.cutOff || (lane.lateShare <= 0 && soonest > t.goal)) return true;
    // What has waited here past its goal time and for half its time, and reached no store, would mostly wait
    // on in vain; its client asks again sooner if it is told now. It guards against groups without a primary,
    // and should catch any store that takes nothing. It may hurt where the wait would have ended just after.
    const Nanos half = t.arrived + (t.cutOff - t.arrived) / 2;
    if (t.arrivedThere == 0 && soonest > t.goal && now_ + beat_ + 2 * tick_ > half) return true;
    return lane.effect == Effect::stamped && t.mayHaveRunSince && now_ >= t.mayHaveRunSince + lane.window;
}

void Front::finish(Transaction& t) {
    if (mayNack(t))
        out_.nack(t.id, advice_);
    else
        out_.writeOff(t.id);
    forget(t);
}

void Front::giveUp(const std::string& id) {
    if (Transaction* t = inHand(id)) finish(*t);
}

void Front::forget(Transaction& t) {
    if (t.held) std::erase(t.group->held, &t);
    if (t.out > 0 && charter_.mayCancel)
        for (Store* store : t.group->members)
            for (Launch& launch : store->out)
                if (!launch.cancelled && launch.transaction == t.id) {
                    launch.cancelled = true;
                    out_.cancel(launch.transaction, launch.number);
                }
    transactions_.erase(t.id);
}

// The answer of a streamed lane has begun: the client has it now, and no time binds it any more.
void Front::begun(const std::string& id) {
    if (Transaction* t = inHand(id)) t->goal = t->cutOff = std::numeric_limits<Nanos>::max();
}

void Front::lapsed(const std::string& id) {
    if (Transaction* t = inHand(id)) forget(*t);
}

void Front::probe(Store& store) {
    if (!charter_.mayProbe || store.probing || store.standing != Standing::up) return;
    store.probing = true;
    store.probedAt = now_;
    // Booked as a millisecond of a cold store's work, well over what probes cost.
    if (coldShare(store) < 1) store.coldCredit -= 1e6;
    out_.probe(store.id);
}

void Front::probed(const std::string& id, Ending how) {
    Store* store = find(id);
    if (!store) return;
    store->probing = false;
    store->refused |= how == Ending::unreachable && now_ - store->probedAt < millis(50);
    // A probe's time is short. Where work from the store's zone was answered lately, it says nothing that it
    // ran out: the way is slow, or loses messages. Three seconds give a front with few transactions some
    // answers.
    const bool slow = how == Ending::timedOut && now_ - ways_[store->zone].heard < millis(3000);
    if (how == Ending::delivered || how == Ending::spoilt)
        hear(*store, false);
    else if (how != Ending::full && store->heard < store->probedAt && !slow)
        distrust(*store, true);
    serveHeld(groups_[store->group], 4);
}

void Front::reported(const std::string& id, std::optional<Nanos> position, std::optional<bool> primary) {
    Store* store = find(id);
    if (!store) return;
    if (position) tellPosition(*store, *position);
    if (primary && position) tellRole(*store, *primary ? Role::primary : Role::replica, *position, false);
}

void Front::lags(const std::string& id, Nanos position) {
    Store* store = find(id);
    if (!store) return;
    store->position = position;
    store->positionTold = now_;
}

// What it cost the store is taken to be what it cost here, and is booked to a cold one as work: a crowd of
// new connections alone could push it over.
void Front::shookHands(const std::string& id, Nanos work) {
    Store* store = find(id);
    if (store && coldShare(*store) < 1) store->coldCredit -= double(work);
}

// The front's own clockwork. It looks at what may need it alone, as a front may know hundreds of stores and
// use few of them at a time.
void Front::round() {
    out_.wake(now_ + beat_, 0);
    tendList();
    std::erase_if(watched_, [](Store* s) {
        s->watched = s->standing == Standing::up && (!s->out.empty() || s->awaySince);
        return !s->watched;
    });
    for (Store* store : watched_) {
        judgeSilence(*store);
        for (Launch& each : store->out) judgeDelay(each);
        // Without probes the next launch is the trial, and its time must not be moved on here.
        if (charter_.mayProbe && store->awaySince && now_ >= store->nextTrial) {
            if (store->trialPause == firstTrial_) out_.log("store " + store->id + " is out of reach");
            // Each front of many asks that much more seldom; for a primary, a whole group waits.
            const Nanos longest = groups_[store->group].primary == store ? firstTrial_ : millis(1000);
            store->trialPause = std::min(2 * store->trialPause, std::max(longest, fronts_ * millis(20)));
            store->nextTrial = now_ + store->trialPause;
            probe(*store);
        }
    }
    if (now_ >= weighAt_) weighWarmStores();
    for (Group* group : std::exchange(waiting_, {})) {
        group->waiting = false;  // until one of its transactions is held again
        serveHeld(*group, group->held.size());
    }
}

void Front::weighWarmStores() {
    // Once a second: what is weighed is remembered for some seconds.
    weighAt_ = now_ + millis(1000);
    double borne = 0;
    int warm = 0;
    for (auto& [id, store] : stores_) {
        if (store->standing != Standing::up || coldShare(*store) < 1 || store->awaySince ||
            store->suspectSince)
            continue;
        // A decaying sum of halves holds 1/ln 2 half-lives' worth.
        borne += store->borne.read(now_, healthMemory) * 0.693 / double(healthMemory);
        ++warm;
    }
    if (warm > 0) bearing_ = borne / warm;
    // A store is forgotten a minute after the list took it out, many times what roles and lists may be late,
    // unless it still works or was never seen to end. It guards against fleets that are replaced for months.
    std::erase_if(stores_, [&](auto& each) {
        Store& store = *each.second;
        Group& group = groups_[store.group];
        if (!store.goneAt || now_ - store.goneAt < millis(60'000) || !store.out.empty() || store.probing ||
            &store == group.primary || (store.standing == Standing::up && !store.awaySince))
            return false;
        std::erase(group.members, &store);
        std::erase(watched_, &store);
        return group.redeal = true;
    });
}

// Has the round look at a store until it is quiet again.
void Front::watch(Store& store) {
    if (!std::exchange(store.watched, true)) watched_.push_back(&store);
}

// ---- rule guards ----------------------------------------------------------------------------------

bool Front::mayLaunch(const Transaction& t, const Store& store) const {
    const Lane& lane = lanes_[t.lane];
    if (store.standing != Standing::up || t.out > 0 || t.launches >= charter_.launchLimit) return false;
    if (!t.mayHaveRunSince || lane.effect == Effect::harmless) return true;
    if (lane.effect == Effect::oneShot || now_ >= t.mayHaveRunSince + lane.window) return false;
    return lane.reach != Reach::zone || store.zone == t.boundZone;
}

// Between the pick and the first byte on the wire lies the connecting. It guards against a list or an answer
// that comes meanwhile, and a position grown too old; it costs a launch of the few that a transaction has.
bool Front::mayStillGo(const std::string& id, const std::string& storeId) const {
    const Transaction* t = inHand(id);
    const Store* store = find(storeId);
    if (!t || !store || store->standing != Standing::up) return false;
    const Need need = lanes_[t->lane].need;
    if (need == Need::any || need == Need::write || charter_.storesCheck || freshEnough(*store, *t))
        return true;
    return t->group->primary == store && mayReadPrimary(*store);
}

bool Front::mayNack(const Transaction& t) const {
    const Lane& lane = lanes_[t.lane];
    if (lane.effect == Effect::harmless) return true;
    if (lane.effect == Effect::stamped && lane.reach == Reach::everywhere) return true;
    return t.out == 0 && !t.mayHaveRunSince;
}

}  // namespace granitereel
