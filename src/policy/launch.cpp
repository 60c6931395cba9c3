// When a transaction is launched, held, given up or answered, and what each ending says of its store.
#include "policy/shared.hpp"

namespace granitereel {

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
    const Nanos half = t.arrived + static_cast<Nanos>(charter_.holdShare * double(t.cutOff - t.arrived));
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



}  // namespace granitereel
