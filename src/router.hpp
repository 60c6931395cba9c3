// The routing state machine: its interface and its state. All routing decisions and their constants are in
// src/policy.
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

#include "nanoseconds.hpp"

namespace granitereel {

// Whether a transaction that may have run already may run again: always, only where stores drop duplicates of
// it, or never.
enum class RetrySafety { idempotent, deduplicated, unsafe };
// Which stores drop duplicates of a deduplicated transaction.
enum class DeduplicationScope { group, zone, global };
// What a read may see: any state, data of a maximum age, its session's own writes, the latest; or a write.
enum class Consistency { eventual, bounded, session, strong, write };
// Up to notEligible the store has responded; an invalidResponse contains nothing that can be trusted. A
// notEligible store lags too far for the read, or is not the primary.
enum class AttemptOutcome {
    succeeded,
    invalidResponse,
    error,
    overloaded,
    notEligible,
    timedOut,
    unreachable,
    connectionLost,
    cancelled,
    notSent
};
enum class Role { unknown, primary, replica };
enum class StoreState { up, draining, removed };
enum class Pool { premium, freemium, mixed, none };

// The operators' settings for one class of transactions.
struct TransactionClass {
    std::string name;
    Consistency consistency = Consistency::eventual;
    RetrySafety retrySafety = RetrySafety::idempotent;
    DeduplicationScope deduplicationScope = DeduplicationScope::global;
    double value = 1;
    double lateValueShare = 0;  // of the value, once the target latency has passed
    Nanoseconds targetLatency = 0;
    Nanoseconds timeout = 0;              // how long a client waits in all, over all its attempts
    Nanoseconds deduplicationWindow = 0;  // how long duplicates of a deduplicated transaction are dropped
    Nanoseconds maxStaleness = 0;         // of data that a bounded-staleness read may see
    bool premium = false;
};

// The operators' settings for the deployment.
struct RoutingConfig {
    std::vector<TransactionClass> classes;
    int proxyIndex = 0, proxyCount = 1, zone = 0;
    int maxAttempts = 1;
    bool probesAllowed = false, cancelAllowed = false, clientsHonorRetryAfter = false;
    bool listMustBeRequested = false, storesCheckFreshness = false, sessionWritesTracked = false;
    bool reportsIncludeRole = false, onlyDrainingIsBinding = false;
    Nanoseconds catchUpTimeout = 0;  // how long a store that checks freshness waits to catch up
    Nanoseconds maxRetryAfter = 0, listMaxAge = 0, tick = 0, warmUpTime = 0;
    double coldCapacityShare = 1, overloadMultiple = 1;
    double crossZoneCost = 0;    // of an attempt in another zone, as a share of a transaction's value
    double maxQueueShare = 0.5;  // of its timeout, a late transaction that reached no store is queued at most
    bool preferZoneOverTier = false;  // own zone's replica before own tier's, while it has few reads
};

// The actions of a router. Attempts of a transaction are numbered from 0 in the order made.
class RouterOutput {
public:
    virtual ~RouterOutput() = default;
    virtual void startAttempt(const std::string& transaction, const std::string& store,
                              Nanoseconds timeout) = 0;
    virtual void reject(const std::string& transaction, Nanoseconds retryAfter) = 0;
    virtual void reportIndeterminate(const std::string& transaction) = 0;
    virtual void cancel(const std::string& transaction, int attemptNumber) = 0;
    virtual void probe(const std::string& store) = 0;
    virtual void closeIdleConnections(const std::string& store) = 0;
    virtual void subscribeToList(bool on) = 0;
    virtual void requestList() = 0;
    virtual void send(std::optional<int> proxy, const std::string& bytes) = 0;  // none: to all proxies
    virtual void wakeAt(Nanoseconds when, std::int64_t handle) = 0;
    virtual void log(const std::string& line) = 0;
    // This proxy knows no primary of the group. How many proxies search for it at the same time; 0: others
    // search and will tell this one; none: not known, so all proxies are assumed to.
    virtual std::optional<int> searchingProxies(int /*group*/) { return {}; }
    // A transaction is queued as this proxy's credit at a warming store is spent; other proxies may grant
    // some. Its expected work (ns), the value it would yield per second of work, and until when it waits.
    virtual void creditExhausted(const std::string& /*store*/, double /*work*/, double /*value*/,
                                 Nanoseconds /*until*/) {}
};

// A store that is up but still warming, as reported to other proxies.
struct ColdStore {
    std::string id;
    Nanoseconds startedAt = 0;
    double workShare =
        0;  // guaranteed to this proxy: work that it may send in any period, as a share of that period
};

// A sum that halves with each half-life; it is brought up to date when it is read or added to.
struct DecayingSum {
    double sum = 0;
    Nanoseconds updatedAt = 0;
    double read(Nanoseconds now, Nanoseconds halfLife) {
        if (now > updatedAt) sum *= std::exp2(-double(now - updatedAt) / double(halfLife));
        updatedAt = now;
        return sum;
    }
    void add(Nanoseconds now, Nanoseconds halfLife, double amount) { sum = read(now, halfLife) + amount; }
};

// An exponentially decaying mean: the quotient of two such sums.
struct RecentMean {
    DecayingSum total, count;
    void add(Nanoseconds now, Nanoseconds halfLife, double value) {
        total.add(now, halfLife, value);
        count.add(now, halfLife, 1);
    }
    // Counts `prior` as one earlier value, so that it fades as values are added.
    double read(Nanoseconds now, Nanoseconds halfLife, double prior) {
        return (total.read(now, halfLife) + prior) / (count.read(now, halfLife) + 1);
    }
};

struct Transaction;

// The timeout that most first requests of a class arrive with, learnt from the requests.
struct UsualTimeout {
    Nanoseconds value = 0;
    double support = 0;
};

// An attempt in flight at a store.
struct Attempt {
    std::string transaction;
    int number = 0, classIndex = 0;
    Nanoseconds sentAt = 0;
    bool cancelled = false, delayChecked = false;
    int tier = 0;  // under which it was counted in its store's reads
};

struct Store {
    std::string id;
    int group = 0, zone = 0;
    StoreState state = StoreState::up;
    Nanoseconds startedAt = 0;  // when it was last seen to start; 0: long ago
    Nanoseconds removedAt = 0;  // when the list dropped it; 0: still listed
    bool listedAsPrimary = false;
    Role role = Role::unknown;
    Nanoseconds roleAsOf = 0, roleUpdatedAt = 0, lostRoleAt = 0;
    bool saysReplica = false;   // a response said that it is a replica, and none since that it is the primary
    Nanoseconds position = -1;  // commits up to this time are applied; -1: not known
    Nanoseconds positionUpdatedAt = 0, probedAt = 0;
    bool probing = false;

    Pool pool = Pool::none,
         lender = Pool::none;       // lender: the pool that lends it, while the replica is borrowed
    int reads[2] = {0, 0};          // by tier
    std::vector<Attempt> attempts;  // in flight
    bool watched = false;

    Nanoseconds respondedAt = 0;
    RecentMean responseGaps, lateShare;
    DecayingSum workDone;  // for this proxy
    double window = 0;     // attempts that this proxy keeps in flight here at most
    Nanoseconds windowReducedAt = 0;
    Nanoseconds suspectSince = 0, unreachableSince = 0, nextTrialAt = 0, trialInterval = 0;
    Nanoseconds pacedUntil = 0;   // with a window below 1: the next attempt is due at this time
    int consecutiveFailures = 0;  // of attempts
    bool lastRefused = false;     // at once, for the last attempt
    bool refused = false;         // for an attempt or a probe, since it was last reached
    Nanoseconds backoffUntil = 0;
    double warmUpCredit = 0;
    Nanoseconds warmUpCreditAt = 0;
    double offeredRate = 0;  // part of the credit accrual that is left to other proxies
    double grantedWork = 0;  // work that other proxies have granted to this one
    Nanoseconds grantedUntil = 0, creditExhaustedAt = 0;
};

// What the stores of a zone together show of the network path to that zone.
struct ZonePath {
    RecentMean lateShare;
    Nanoseconds respondedAt = 0;
};

struct Group {
    std::vector<Store*> members;  // in the order of their ids
    Store* primary = nullptr;
    int poolTarget[2] = {0, 0};
    bool poolsOutdated = true;
    std::vector<Transaction*> queue;
    bool hasQueue = false;
    Nanoseconds searchedAt = 0, searchingProxiesAt = 0;
    std::optional<int> searchingProxies;
};

struct Transaction {
    std::string id, user;
    int classIndex = 0;
    Group* group = nullptr;
    Nanoseconds arrivedAt = 0, targetTime = 0, deadline = 0, minPosition = 0;
    int attempts = 0, inFlight = 0;
    int maybeReached = 0;             // that have reached a store, or still may
    Nanoseconds mayHaveRunSince = 0;  // send time of the first attempt that may have run; 0: none may have
    int pinnedZone = -1;
    bool queued = false;
    std::function<void(AttemptOutcome)> resume;  // called with the outcome of the step under way
};

class Router {
public:
    Router(const RoutingConfig& config, std::uint64_t seed, Nanoseconds now, RouterOutput& output);

    void setTime(Nanoseconds now) { now_ = now; }

    // An update of the store list: its entries come between listBegins and listEnds.
    void listBegins(bool snapshot);
    void listEntry(const std::string& store, int group, int zone, StoreState state, Nanoseconds startedAt,
                   bool primary);
    void listEnds();
    void listFailed();

    void submit(const std::string& id, int classIndex, const std::string& user, Nanoseconds timeout,
                int group, std::optional<Nanoseconds> sinceWrite);
    void attemptEnded(const std::string& id, int attemptNumber, const std::string& store,
                      AttemptOutcome outcome, Nanoseconds delay, Role role,
                      std::optional<Nanoseconds> position, bool answered);
    // The first part of a streamed response has been sent to the client.
    void responseStarted(const std::string& id);
    // The client is gone.
    void abandon(const std::string& id);
    // A handshake with the store, beyond what any connection costs; `work`: the CPU time it took.
    void handshakeDone(const std::string& store, Nanoseconds work);
    void storeReported(const std::string& store, std::optional<Nanoseconds> position,
                       std::optional<bool> primary);
    // The store itself has refused a read as it lags: this is its position, whatever was known before.
    void storeLags(const std::string& store, Nanoseconds position);
    void probeEnded(const std::string& store, AttemptOutcome outcome);
    void timerFired(std::int64_t) { runPeriodicTasks(); }
    // The index of a class that was not known at the start; one of the same name keeps its index.
    int indexOfClass(const TransactionClass& transactionClass);
    // Sets a group's primary as decided by control; an empty id: there is none now. Once set, it takes
    // precedence over what responses say.
    void setDecidedPrimary(int group, const std::string& store);
    // How many proxies there are from now on; at the start, as many as the configuration says.
    void setProxyCount(int proxies);
    // Other proxies know no primary of the group, and this one is to search for it.
    void searchForOthers(int group);
    // Another proxy takes this store for its group's primary.
    void primaryHinted(const std::string& store);
    // A group's primary, where it is known and responds.
    std::optional<std::string> primaryOf(int group) const;
    // What this proxy may send to warming stores, in order of their ids, and what other proxies take or leave
    // of it. From offerCredit on it accrues that much less at the store (0: ends the offer); by grantCredit
    // it may send that much work (ns) more.
    std::vector<ColdStore> coldStores();
    void offerCredit(const std::string& store, double rate);
    void grantCredit(const std::string& store, double work, Nanoseconds until);

    // For a caller that takes a while to connect: whether an attempt may still be sent to its store.
    bool mayStillSend(const std::string& id, const std::string& store) const;
    // Whether the store is in the list, or was until lately.
    bool knowsStore(const std::string& store) const { return stores_.count(store) > 0; }
    // For a caller that shuts down: the transaction gets its final answer now.
    void finishNow(const std::string& id);

private:
    friend struct Bench;  // the tests build state directly

    // store list and roles
    void deriveClassParameters();
    void refreshList();
    void changeState(Store& store, StoreState state);
    void updateRole(Store& store, Role role, Nanoseconds asOf, bool byResponse);
    void setPrimary(Group& group, Store* store);
    void searchPrimary(Group& group);
    Store* selectForWrite(Group& group, const Transaction& txn);
    // pools
    void assignPools(Group& group);
    void returnBorrowed(Group& group, int tier);
    int poolLoad(const Store& store, int tier) const;
    int poolSize(const Group& group, Pool pool) const;
    // freshness
    void updatePosition(Store& store, Nanoseconds position);
    bool isFreshEnough(const Store& store, const Transaction& txn) const;
    bool mayCatchUp(const Store& store, const Transaction& txn) const;
    bool mayReadPrimary(const Store& store) const;
    bool probeIsDue(const Store& store) const;
    // health
    void recordResponse(Store& store, bool byWork);
    void markUnhealthy(Store& store, bool unreachable);
    void cancelAttempts(Store& store);
    void checkSilence(Store& store);
    void checkDelay(Attempt& attempt);
    bool isPathSlow(const Store& store);
    bool isUsable(const Store& store) const;
    double warmShare(const Store& store) const;
    double warmUpRate(const Store& store) const;
    void accrueCredit(Store& store);
    bool hasWarmUpCredit(Store& store, double work);
    double usualWork(int classIndex);
    double shortestWork();
    double meanWork();
    bool hasRoom(Store& store, const Transaction& txn);
    // store selection
    bool yieldsToOwnZone(const Store& store) const;
    Store* selectReplica(Group& group, const Transaction& txn);
    bool isLong(int classIndex);
    Store* selectForLong(Group& group, const Transaction& txn);
    bool awaitsReport(const Group& group, const Transaction& txn) const;
    Store* selectStore(Group& group, const Transaction& txn);
    // attempts and outcomes
    Nanoseconds alreadyWaited(int classIndex, Nanoseconds timeout);
    double valueRate(const Transaction& txn);
    void route(Transaction& txn);
    void startAttempt(Transaction& txn, Store& store);
    void recordOutcome(Store& store, const Attempt& attempt, AttemptOutcome outcome, Nanoseconds delay);
    void enqueue(Transaction& txn);
    void retryQueued(Group& group, std::size_t limit);
    bool isHopeless(const Transaction& txn);
    void finishUnserved(Transaction& txn);
    void removeTransaction(Transaction& txn);
    void probeStore(Store& store);
    void runPeriodicTasks();
    void updateWarmStoreWork();
    void watchStore(Store& store);
    // rule guards
    bool mayStartAttempt(const Transaction& txn, const Store& store) const;
    bool mayReject(const Transaction& txn) const;

    Store* findStore(const std::string& id) const {
        const auto found = stores_.find(id);
        return found == stores_.end() ? nullptr : found->second.get();
    }
    Transaction* findTransaction(const std::string& id) const {
        const auto found = transactions_.find(id);
        return found == transactions_.end() ? nullptr : found->second.get();
    }

    RouterOutput& output_;
    std::minstd_rand random_;
    Nanoseconds now_ = 0;
    std::vector<TransactionClass> classes_;
    std::vector<RecentMean> classWork_;
    std::vector<UsualTimeout> usualTimeouts_;
    const RoutingConfig config_;
    int proxyCount_;
    bool probesTellRole_;
    Nanoseconds retryAfter_, listRefreshInterval_, tick_, period_, firstTrial_, probeAge_;
    double warmUpFactor_, windowStep_;

    std::map<std::string, std::unique_ptr<Store>> stores_;
    std::map<int, Group> groups_;
    std::map<int, ZonePath> zonePaths_;
    std::unordered_map<std::string, std::unique_ptr<Transaction>> transactions_;
    std::unordered_map<std::string, Nanoseconds> sessionWrites_, olderSessionWrites_;  // by user
    Nanoseconds forgottenWritesFloor_ = 0;
    std::vector<Store*> unlistedStores_, watchedStores_;
    std::vector<Group*> queuedGroups_;  // those with queued transactions
    Nanoseconds nextListRefresh_ = 0, nextWorkUpdate_ = 0, lastExtraProbe_ = 0;
    RecentMean slowSuccesses_;  // share that succeeded in the end of attempts that were long in flight
    RecentMean refusals_;       // share of attempts refused a connection by a store that was well
    double warmStoreWork_ = 0;  // work a second that a warm store does for this proxy
};

}  // namespace granitereel
