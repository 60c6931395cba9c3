// The router as the network code uses it: a transaction is submitted, its steps are awaited, the result of
// each attempt is reported; timers fire and tasks are handed out by nextTasks. It makes no decisions of its
// own.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <queue>
#include <set>
#include <variant>

#include "memory/clock.hpp"
#include "router.hpp"

namespace granitereel {

namespace asio = boost::asio;

// The steps of a transaction: one attempt after another, then one final answer.
struct AttemptStarted {
    std::string store;
    Nanoseconds until = 0;
};
struct Rejected {
    Nanoseconds retryAfter = 0;
};
struct Indeterminate {};
struct Finished {};  // answered, or its client is gone
using RoutingStep = std::variant<AttemptStarted, Rejected, Indeterminate, Finished>;

// Tasks that belong to no transaction.
struct ProbeStore {
    std::string store;
};
struct CloseIdleConnections {
    std::string store;
};
struct SubscribeToList {};
struct RequestList {};
using RouterTask = std::variant<ProbeStore, CloseIdleConnections, SubscribeToList, RequestList>;

// The parts of a store's report that the router uses.
struct StoreReport {
    std::optional<Nanoseconds> position;
    std::optional<bool> primary;
};

// How an attempt ended, and what the store's response says about the store.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::notSent;
    Role role = Role::unknown;
    std::optional<Nanoseconds> position;
    std::optional<StoreReport> report;
};

// An open transaction. Its holder awaits the steps until the last.
class TransactionHandle {
public:
    // Called when the attempt in flight is to be cancelled; at once if that has been requested already.
    void onCancel(std::function<void()> handler) {
        cancelHandler_ = std::move(handler);
        if (cancelRequested_ && cancelHandler_) cancelHandler_();
    }
    Nanoseconds deadline() const { return deadline_; }
    const std::string& id() const { return id_; }

private:
    friend class AsyncRouter;
    explicit TransactionHandle(asio::any_io_executor executor) : stepAdded_(executor) {}
    std::string id_, store_;
    Nanoseconds deadline_ = 0, sentAt_ = 0;
    int attempts_ = 0;
    bool cancelRequested_ = false;
    std::function<void()> cancelHandler_;
    void requestCancel() {
        cancelRequested_ = true;
        if (cancelHandler_) cancelHandler_();
    }
    std::deque<RoutingStep> steps_;
    asio::steady_timer stepAdded_;  // never expires; cancelled to wake nextStep
};

class AsyncRouter final : private RouterOutput {
public:
    AsyncRouter(asio::any_io_executor executor, const Clock& clock, const RoutingConfig& config,
                std::uint64_t seed);
    ~AsyncRouter() override = default;

    // Null if a transaction of this id is open already, or its group is unknown.
    std::shared_ptr<TransactionHandle> submit(const std::string& id, int classIndex, const std::string& user,
                                              Nanoseconds timeout, int group,
                                              std::optional<Nanoseconds> minPosition);
    asio::awaitable<RoutingStep> nextStep(TransactionHandle& handle);
    // Whether the attempt of the last step may still be sent, if connecting has taken a while since.
    bool mayStillSend(const TransactionHandle& handle);
    void reportResult(TransactionHandle& handle, const AttemptResult& result);
    // The client is gone.
    void abandon(TransactionHandle& handle);
    // The process shuts down: every open transaction gets its final answer now.
    void finishAll();
    std::size_t openTransactions() const { return handles_.size(); }

    void listBegins(bool snapshot);
    void listEntry(const std::string& store, int group, int zone, StoreState state, Nanoseconds startedAt,
                   bool primary);
    void listEnds();
    void listFailed();
    // How many proxies there are.
    void setProxyCount(int proxies) { router_.setProxyCount(proxies); }
    // See RouterOutput::searchingProxies; empty: their number is not known.
    std::function<std::optional<int>(int group)> onSearchingProxies;
    // See RouterOutput::creditExhausted; empty: no proxy grants credit.
    std::function<void(const std::string& store, double work, double value, Nanoseconds until)>
        onCreditExhausted;
    std::vector<ColdStore> coldStores() { return router().coldStores(); }
    void offerCredit(const std::string& store, double rate) { router().offerCredit(store, rate); }
    void grantCredit(const std::string& store, double work, Nanoseconds until) {
        router().grantCredit(store, work, until);
    }
    void searchForOthers(int group) { router().searchForOthers(group); }
    void primaryHinted(const std::string& store) { router().primaryHinted(store); }
    std::optional<std::string> primaryOf(int group) { return router().primaryOf(group); }
    const std::set<int>& groups() const { return groups_; }
    bool knowsStore(const std::string& store) const { return router_.knowsStore(store); }
    void probeEnded(const std::string& store, AttemptOutcome outcome,
                    const std::optional<StoreReport>& report);
    void handshakeDone(const std::string& store, Nanoseconds work) { router().handshakeDone(store, work); }

    // Runs due timers; returns once there are tasks.
    asio::awaitable<std::vector<RouterTask>> nextTasks();

private:
    void startAttempt(const std::string& id, const std::string& store, Nanoseconds timeout) override;
    void reject(const std::string& id, Nanoseconds retryAfter) override;
    void reportIndeterminate(const std::string& id) override;
    void cancel(const std::string& id, int attemptNumber) override;
    void probe(const std::string& store) override { addTask(ProbeStore{store}); }
    void closeIdleConnections(const std::string& store) override { addTask(CloseIdleConnections{store}); }
    void subscribeToList(bool on) override {
        if (on) addTask(SubscribeToList{});
    }
    void requestList() override { addTask(RequestList{}); }
    void send(std::optional<int>, const std::string&) override {
    }  // the router sends nothing to other proxies
    void wakeAt(Nanoseconds when, std::int64_t handle) override;
    void log(const std::string& line) override;
    std::optional<int> searchingProxies(int group) override {
        return onSearchingProxies ? onSearchingProxies(group) : std::optional<int>();
    }

    void creditExhausted(const std::string& store, double work, double value, Nanoseconds until) override {
        if (onCreditExhausted) onCreditExhausted(store, work, value, until);
    }

    Router& router();
    void addTask(RouterTask task);
    void addStep(const std::string& id, RoutingStep step);
    void removeHandle(TransactionHandle& handle);

    asio::any_io_executor executor_;
    const Clock& clock_;
    std::map<std::string, std::shared_ptr<TransactionHandle>, std::less<>> handles_;
    std::set<int> groups_;
    std::vector<RouterTask> tasks_;
    using Timer = std::pair<Nanoseconds, std::int64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    asio::steady_timer wakeUp_;
    Router router_;  // last: its constructor already calls this class as its RouterOutput
};

}  // namespace granitereel
