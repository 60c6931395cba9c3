// The interface of the decision module and the state it works on. What is decided, and by which
// figures, stands in src/policy alone.
#pragma once

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "nanos.hpp"

namespace granitereel {

enum class Effect { harmless, stamped, oneShot };
enum class Reach { group, zone, everywhere };  // which stores drop the repeats of a stamped transaction
enum class Need { any, bounded, session, fresh, write };
// The store has answered in all up to missed; spoilt: but nothing that can be believed.
enum class Ending {
    delivered,
    spoilt,
    error,
    full,
    missed,
    timedOut,
    unreachable,
    broken,
    cancelled,
    unsent
};
enum class Role { unknown, primary, replica };
enum class Standing { up, draining, removed };
enum class Pool { premium, freemium, mixed, none };

// What the operators lay down for one kind of transaction.
struct Lane {
    std::string name;
    Need need = Need::any;
    Effect effect = Effect::harmless;
    Reach reach = Reach::everywhere;
    double gain = 1;
    double lateShare = 0;  // of the gain, once the goal time has passed
    Nanos goalTime = 0;
    Nanos cutOff = 0;  // how long a client waits in all, over all its tries
    Nanos window = 0;  // how long repeats of a stamped transaction are dropped
    Nanos bound = 0;   // oldest data a bounded read may see
    bool premium = false;
};

// What the operators lay down for the deployment.
struct Charter {
    std::vector<Lane> lanes;
    int front = 0, fronts = 1, zone = 0;
    int launchLimit = 1;
    bool mayProbe = false, mayCancel = false, adviceHeard = false;
    bool mustAsk = false, storesCheck = false, marksKept = false;
    bool reportsTellRole = false, onlyDrainingBinds = false;
    Nanos catchUpWait = 0;  // how long a store that checks waits to catch up
    Nanos longestAdvice = 0, askWithin = 0, tick = 0, coldTime = 0;
    double coldFrom = 1, fallMultiple = 1;
    double crossingCost = 0;  // of a launch to another zone, as a share of a transaction's gain
    double holdShare = 0.5;  // of its time, a late transaction that reached no store is held at most
    bool nearAnyTier = false;  // the own zone's replica goes before the own tier's, while it is little used
};

// The ways in which a front acts. Launches of a transaction are numbered from 0 in the order made.
class Outlet {
public:
    virtual ~Outlet() = default;
    virtual void launch(const std::string& transaction, const std::string& store, Nanos within) = 0;
    virtual void nack(const std::string& transaction, Nanos comeBackAfter) = 0;
    virtual void writeOff(const std::string& transaction) = 0;
    virtual void cancel(const std::string& transaction, int launchNo) = 0;
    virtual void probe(const std::string& store) = 0;
    virtual void hangUp(const std::string& store) = 0;
    virtual void followList(bool on) = 0;
    virtual void askList() = 0;
    virtual void tell(std::optional<int> front, const std::string& bytes) = 0;  // none: all of them
    virtual void wake(Nanos when, std::int64_t handle) = 0;
    virtual void log(const std::string& line) = 0;
    // The front misses a group's primary. How many fronts look for it at the same time; 0: others do, and will tell
    // this one; none: nobody knows, so as many as there are.
    virtual std::optional<int> seekers(int /*group*/) { return {}; }
    // A transaction waits as a cold store's credit is spent here; others may have some to lend. Its work (ns), what it
    // would earn for a second of it, and until when it waits.
    virtual void scarce(const std::string& /*store*/, double /*work*/, double /*gain*/, Nanos /*until*/) {}
};

// A store that is up and cold, as others may be told of it.
struct ColdStore {
    std::string id;
    Nanos started = 0;
    double part = 0;  // work that this front may give it in any time, as a share of that time, at the least
};

// A sum that halves with each half-life; it is brought up to date when it is read or added to.
struct DecayingSum {
    double sum = 0;
    Nanos at = 0;
    double read(Nanos now, Nanos halfLife) {
        if (now > at) sum *= std::exp2(-double(now - at) / double(halfLife));
        at = now;
        return sum;
    }
    void add(Nanos now, Nanos halfLife, double amount) { sum = read(now, halfLife) + amount; }
};

// A mean over the recent past: the quotient of two such sums.
struct RecentMean {
    DecayingSum total, count;
    void add(Nanos now, Nanos halfLife, double value) {
        total.add(now, halfLife, value);
        count.add(now, halfLife, 1);
    }
    // Counts 'otherwise' as one earlier value, so that it fades as values come in.
    double read(Nanos now, Nanos halfLife, double otherwise) {
        return (total.read(now, halfLife) + otherwise) / (count.read(now, halfLife) + 1);
    }
};

struct Transaction;

// What first tries of a lane are given, learnt from what most tries are given.
struct UsualPatience {
    Nanos value = 0;
    double support = 0;
};

// One launch that is out at a store.
struct Launch {
    std::string transaction;
    int number = 0, lane = 0;
    Nanos sent = 0;
    bool cancelled = false, judged = false;
    int tier = 0;  // as it was counted in its store's load
};

struct Store {
    std::string id;
    int group = 0, zone = 0;
    Standing standing = Standing::up;
    Nanos started = 0;  // when it was last seen to start; 0: long ago
    Nanos goneAt = 0;   // when the list took it out; 0: it did not
    bool listedAsPrimary = false;
    Role role = Role::unknown;
    Nanos roleAsOf = 0, roleHeard = 0, lostRole = 0;
    bool toldReplica = false;  // an answer has said so, and none since that it is the primary
    Nanos position = -1;       // commits up to this time are applied; -1: never told
    Nanos positionTold = 0, probedAt = 0;
    bool probing = false;

    Pool pool = Pool::none, lender = Pool::none;  // a lender is named while the replica is borrowed
    int load[2] = {0, 0};                         // reads in flight by tier
    std::vector<Launch> out;
    bool watched = false;

    Nanos heard = 0;
    RecentMean gaps, late;
    DecayingSum borne;  // work done for this front
    double window = 0;  // launches this front keeps out here at most
    Nanos shrunk = 0;
    Nanos suspectSince = 0, awaySince = 0, nextTrial = 0, trialPause = 0;
    Nanos paidUntil = 0;   // launches are paid for, at the rate that a small window allows, up to this time
    int fruitless = 0;     // launches in a row
    bool shut = false;     // turned the last launch's connection away at once
    bool refused = false;  // has done so, or to a probe, since it was last reached
    Nanos restsUntil = 0;
    double coldCredit = 0;
    Nanos coldCreditAt = 0;
    double ceded = 0;  // of what is earned, to others
    double lent = 0;   // work by others' leave
    Nanos lentUntil = 0, lackedAt = 0;
};

// What the stores of a zone together show of the way to it.
struct Way {
    RecentMean late;
    Nanos heard = 0;
};

struct Group {
    std::vector<Store*> members;  // in the order of their ids
    Store* primary = nullptr;
    int target[2] = {0, 0};
    bool redeal = true;
    std::vector<Transaction*> held;
    bool waiting = false;
    Nanos soughtAt = 0, seekersAt = 0;
    std::optional<int> seekers;
};

struct Transaction {
    std::string id, user;
    int lane = 0;
    Group* group = nullptr;
    Nanos arrived = 0, goal = 0, cutOff = 0, mustSee = 0;
    int launches = 0, out = 0;
    int arrivedThere = 0;       // launches that have reached a store, or still may
    Nanos mayHaveRunSince = 0;  // send of the first launch that may have run; 0: none may have
    int boundZone = -1;
    bool held = false;
    std::function<void(Ending)> next;  // what the result of the step under way is handed to
};

class Front {
public:
    Front(const Charter& charter, std::uint64_t seed, Nanos now, Outlet& outlet);

    void clock(Nanos now) { now_ = now; }

    // The list: the entries of one event stand between begin and end.
    void listBegins(bool whole);
    void listEntry(const std::string& store, int group, int zone, Standing standing, Nanos started,
                   bool primary);
    void listEnds();
    void listFailed();

    void take(const std::string& id, int lane, const std::string& user, Nanos patience, int group,
              std::optional<Nanos> sinceWrite);
    void ended(const std::string& id, int launchNo, const std::string& store, Ending how, Nanos delay,
               Role role, std::optional<Nanos> position, bool over);
    void begun(const std::string& id);
    void lapsed(const std::string& id);
    // A handshake was made with the store, beyond what any connection costs; `work`: what it took of a processor.
    void shookHands(const std::string& store, Nanos work);
    void reported(const std::string& store, std::optional<Nanos> position, std::optional<bool> primary);
    // The store itself has said that it lacks what a read needed: its position is this, whatever was held before.
    void lags(const std::string& store, Nanos position);
    void probed(const std::string& store, Ending how);
    void woke(std::int64_t) { round(); }
    // The number of a kind of transaction that was not known at the start, or of one laid down alike before.
    int lane(const Lane& lane);
    // Who a group's primary is, from those who decide it; an empty id: nobody now. Where this is told, it goes
    // before whatever answers say.
    void leads(int group, const std::string& store);
    // Among how many fronts this one counts itself from now on; at the start, as many as the charter says.
    void present(int fronts);
    // Others miss a group's primary, and it is this front's part to look for it.
    void look(int group);
    // Another front holds this store for its group's primary.
    void hinted(const std::string& store);
    // A group's primary, where it is known and answers.
    std::optional<std::string> primaryOf(int group) const;
    // What this front may give cold stores, in order of their ids, and what others have it use or leave. From `cede`
    // on it earns so much less at the store (0: no longer), and by `lend` it may give it so much work (ns) more.
    std::vector<ColdStore> coldStores();
    void cede(const std::string& store, double part);
    void lend(const std::string& store, double work, Nanos until);

    // For a caller that needs a while to connect: whether a launch may still be written to its store.
    bool mayStillGo(const std::string& id, const std::string& store) const;
    // Whether the store is in the list, or was until lately.
    bool knows(const std::string& store) const { return stores_.count(store) > 0; }
    // For a caller that ends: the transaction gets its final answer now.
    void giveUp(const std::string& id);

private:
    friend struct Bench;  // the tests build state directly

    // list and roles
    void weighLanes();
    void tendList();
    void standDown(Store& store, Standing standing);
    void tellRole(Store& store, Role role, Nanos asOf, bool byAnswer);
    void setPrimary(Group& group, Store* store);
    void seekPrimary(Group& group);
    Store* pickForWrite(Group& group, const Transaction& transaction);
    // pools
    void deal(Group& group);
    void giveBack(Group& group, int tier);
    int poolLoad(const Store& store, int tier) const;
    int poolSize(const Group& group, Pool pool) const;
    // freshness
    void tellPosition(Store& store, Nanos position);
    bool freshEnough(const Store& store, const Transaction& transaction) const;
    bool mayCatchUp(const Store& store, const Transaction& transaction) const;
    bool mayReadPrimary(const Store& store) const;
    bool probeIsDue(const Store& store) const;
    // health
    void hear(Store& store, bool byWork);
    void distrust(Store& store, bool away);
    void recall(Store& store);
    void judgeSilence(Store& store);
    void judgeDelay(Launch& launch);
    bool slowWay(const Store& store);
    bool wellEnough(const Store& store) const;
    double coldShare(const Store& store) const;
    double coldRate(const Store& store) const;
    void earn(Store& store);
    bool coldRoom(Store& store, double work);
    double workOf(int lane);
    double quickestWork();
    double meanWork();
    bool hasRoom(Store& store, const Transaction& transaction);
    // pick
    bool zoneCounts(const Store& store) const;
    Store* pickReplica(Group& group, const Transaction& transaction);
    bool isLong(int lane);
    Store* pickForLong(Group& group, const Transaction& transaction);
    bool awaitsReport(const Group& group, const Transaction& transaction) const;
    Store* pick(Group& group, const Transaction& transaction);
    // launch and outcome
    Nanos alreadyWaited(int lane, Nanos patience);
    double gainNow(const Transaction& transaction);
    void route(Transaction& transaction);
    void launch(Transaction& transaction, Store& store);
    void settleAccount(Store& store, const Launch& launch, Ending how, Nanos delay);
    void hold(Transaction& transaction);
    void serveHeld(Group& group, std::size_t most);
    bool hopeless(const Transaction& transaction);
    void finish(Transaction& transaction);
    void forget(Transaction& transaction);
    void probe(Store& store);
    void round();
    void weighWarmStores();
    void watch(Store& store);
    // rule guards
    bool mayLaunch(const Transaction& transaction, const Store& store) const;
    bool mayNack(const Transaction& transaction) const;

    Store* find(const std::string& id) const {
        const auto found = stores_.find(id);
        return found == stores_.end() ? nullptr : found->second.get();
    }
    Transaction* inHand(const std::string& id) const {
        const auto found = transactions_.find(id);
        return found == transactions_.end() ? nullptr : found->second.get();
    }

    Outlet& out_;
    std::minstd_rand chance_;
    Nanos now_ = 0;
    std::vector<Lane> lanes_;
    std::vector<RecentMean> laneTime_;
    std::vector<UsualPatience> usualPatience_;
    const Charter charter_;
    int fronts_;
    bool probeTellsRole_;
    Nanos advice_, askEvery_, tick_, beat_, firstTrial_, probeAge_;
    double coldFactor_, step_;

    std::map<std::string, std::unique_ptr<Store>> stores_;
    std::map<int, Group> groups_;
    std::map<int, Way> ways_;  // by zone
    std::unordered_map<std::string, std::unique_ptr<Transaction>> transactions_;
    std::unordered_map<std::string, Nanos> marks_, olderMarks_;
    Nanos markFloor_ = 0;
    std::vector<Store*> unseen_, watched_;
    std::vector<Group*> waiting_;  // those that hold transactions
    Nanos askAt_ = 0, weighAt_ = 0, refreshedAt_ = 0;
    RecentMean slowCame_;  // share that came in the end of launches that were out for long
    RecentMean shut_;      // share of launches that found a store well but shut to them
    double bearing_ = 0;   // work a second that a warm store does for this front
};

}  // namespace granitereel
