#include "async_router.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace granitereel {

namespace {
constexpr auto withoutThrowing = asio::as_tuple(asio::use_awaitable);
}

AsyncRouter::AsyncRouter(asio::any_io_executor executor, const Clock& clock, const RoutingConfig& config,
                         std::uint64_t seed)
    : executor_(executor), clock_(clock), wakeUp_(executor), router_(config, seed, clock.now(), *this) {}

Router& AsyncRouter::router() {
    router_.setTime(clock_.now());
    return router_;
}

std::shared_ptr<TransactionHandle> AsyncRouter::submit(const std::string& id, int classIndex,
                                                       const std::string& user, Nanoseconds timeout,
                                                       int group, std::optional<Nanoseconds> minPosition) {
    if (handles_.count(id) || !groups_.count(group)) return nullptr;
    auto handle = std::shared_ptr<TransactionHandle>(new TransactionHandle(executor_));
    const Nanoseconds now = clock_.now();
    handle->id_ = id;
    handle->deadline_ = now + timeout;
    handles_[id] = handle;
    router_.setTime(now);
    // The router counts back from now; a commit rounded up may lie slightly ahead.
    std::optional<Nanoseconds> sinceWrite;
    if (minPosition) sinceWrite = now - *minPosition;
    router_.submit(id, classIndex, user, timeout, group, sinceWrite);
    return handle;
}

asio::awaitable<RoutingStep> AsyncRouter::nextStep(TransactionHandle& handle) {
    while (handle.steps_.empty()) {
        handle.stepAdded_.expires_at(asio::steady_timer::time_point::max());
        co_await handle.stepAdded_.async_wait(withoutThrowing);
    }
    RoutingStep step = std::move(handle.steps_.front());
    handle.steps_.pop_front();
    if (!std::holds_alternative<AttemptStarted>(step)) removeHandle(handle);
    co_return step;
}

bool AsyncRouter::mayStillSend(const TransactionHandle& handle) {
    return router().mayStillSend(handle.id_, handle.store_);
}

void AsyncRouter::reportResult(TransactionHandle& handle, const AttemptResult& result) {
    handle.cancelHandler_ = nullptr;
    Router& target = router();
    if (result.report) target.storeReported(handle.store_, result.report->position, result.report->primary);
    const bool succeeded = result.outcome == AttemptOutcome::succeeded;
    // Finished before the router gets the result, so that it adds no further step.
    if (succeeded) handle.steps_.emplace_back(Finished{});
    target.attemptEnded(handle.id_, handle.attempts_ - 1, handle.store_, result.outcome,
                        clock_.now() - handle.sentAt_, result.role, result.position, succeeded);
}

void AsyncRouter::abandon(TransactionHandle& handle) {
    const auto found = handles_.find(handle.id_);
    if (found == handles_.end() || found->second.get() != &handle) return;
    // An attempt that was selected but not begun is dropped with the rest; its end is reported at once.
    const bool unclaimed =
        !handle.steps_.empty() && std::holds_alternative<AttemptStarted>(handle.steps_.front());
    handle.steps_.assign(1, Finished{});
    handle.stepAdded_.cancel();
    Router& target = router();
    target.abandon(handle.id_);
    if (unclaimed)
        target.attemptEnded(handle.id_, handle.attempts_ - 1, handle.store_, AttemptOutcome::notSent, 0,
                            Role::unknown, {}, true);
}

void AsyncRouter::finishAll() {
    const auto all = handles_;
    for (const auto& [id, handle] : all) {
        router().finishNow(id);
        handle->requestCancel();  // nothing is awaited any more, whatever else the router may cancel
    }
}

void AsyncRouter::removeHandle(TransactionHandle& handle) {
    handles_.erase(handle.id_);
}

void AsyncRouter::listBegins(bool snapshot) {
    router().listBegins(snapshot);
}

void AsyncRouter::listEntry(const std::string& store, int group, int zone, StoreState state,
                            Nanoseconds startedAt, bool primary) {
    groups_.insert(group);
    router_.listEntry(store, group, zone, state, startedAt, primary);
}

void AsyncRouter::listEnds() {
    router_.listEnds();
}

void AsyncRouter::listFailed() {
    router().listFailed();
}

void AsyncRouter::probeEnded(const std::string& store, AttemptOutcome outcome,
                             const std::optional<StoreReport>& report) {
    Router& target = router();
    if (report) target.storeReported(store, report->position, report->primary);
    target.probeEnded(store, outcome);
}

asio::awaitable<std::vector<RouterTask>> AsyncRouter::nextTasks() {
    for (;;) {
        while (!timers_.empty() && timers_.top().first <= clock_.now()) {
            const std::int64_t handle = timers_.top().second;
            timers_.pop();
            router().timerFired(handle);
        }
        if (!tasks_.empty()) co_return std::exchange(tasks_, {});
        wakeUp_.expires_at(timers_.empty() ? asio::steady_timer::time_point::max()
                                           : clock_.at(timers_.top().first));
        co_await wakeUp_.async_wait(withoutThrowing);
    }
}

void AsyncRouter::startAttempt(const std::string& id, const std::string& store, Nanoseconds timeout) {
    auto found = handles_.find(id);
    if (found == handles_.end()) return;
    TransactionHandle& handle = *found->second;
    handle.store_ = store;
    handle.sentAt_ = clock_.now();
    ++handle.attempts_;
    handle.cancelRequested_ = false;
    const Nanoseconds until =
        timeout > 0 ? std::min(handle.deadline_, handle.sentAt_ + timeout) : handle.deadline_;
    addStep(id, AttemptStarted{store, until});
}

void AsyncRouter::reject(const std::string& id, Nanoseconds retryAfter) {
    addStep(id, Rejected{retryAfter});
}

void AsyncRouter::reportIndeterminate(const std::string& id) {
    addStep(id, Indeterminate{});
}

void AsyncRouter::cancel(const std::string& id, int) {
    // A transaction has one attempt in flight at a time.
    auto found = handles_.find(id);
    if (found != handles_.end()) found->second->requestCancel();
}

void AsyncRouter::wakeAt(Nanoseconds when, std::int64_t handle) {
    timers_.emplace(when, handle);
    wakeUp_.cancel();
}

void AsyncRouter::log(const std::string& line) {
    spdlog::info("{}", line);
}

void AsyncRouter::addTask(RouterTask task) {
    tasks_.push_back(std::move(task));
    wakeUp_.cancel();
}

void AsyncRouter::addStep(const std::string& id, RoutingStep step) {
    auto found = handles_.find(id);
    if (found == handles_.end()) return;
    found->second->steps_.push_back(std::move(step));
    found->second->stepAdded_.cancel();
}

}  // namespace granitereel
