#include "handshake_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace granitereel::tls {

namespace {

// The CPU budget accumulates over at most a tenth of a second: few statements notice a pause of a share of
// it.
constexpr Nanoseconds cpuBudgetWindow = milliseconds(100);
// Nanoseconds. A full handshake with P-256 takes a millisecond on an old core.
constexpr double initialCostEstimate = 1e6;
// Exponential backoff for a store that fails verification: an operator has to repair it, and each attempt
// costs both sides a full handshake.
constexpr Nanoseconds initialBackoff = milliseconds(1000), maxBackoff = milliseconds(60'000);
// Renewals leave this share of the CPU budget to statements and probes, for which somebody is waiting.
constexpr double budgetReservedFromRenewals = 0.5;

}  // namespace

HandshakeLimiter::HandshakeLimiter(const Limits& limits, Nanoseconds now)
    : limits_(limits), refilledAt_(now), averageCost_(initialCostEstimate) {
    cpuBudget_ = limits.cpuShare * double(cpuBudgetWindow);
}

void HandshakeLimiter::refill(Nanoseconds now) {
    cpuBudget_ = std::min(cpuBudget_ + limits_.cpuShare * double(std::max<Nanoseconds>(0, now - refilledAt_)),
                          limits_.cpuShare * double(cpuBudgetWindow));
    refilledAt_ = std::max(refilledAt_, now);
}

bool HandshakeLimiter::isBackedOff(const std::string& store, Nanoseconds now) const {
    const auto entry = stores_.find(store);
    return entry != stores_.end() && now < entry->second.backedOffUntil;
}

HandshakeLimiter::RequestId HandshakeLimiter::enqueue(const std::string& store, HandshakePurpose purpose,
                                                      Nanoseconds storeStartedAt, Nanoseconds now) {
    refill(now);
    const RequestId requestId = ++lastRequestId_;
    requests_[requestId] = {store, purpose, storeStartedAt, 0, false};
    queue_.emplace(purpose, requestId);
    ++stores_[store].waiting;
    return requestId;
}

// Starts the first request by priority whose store is below its limit. This guards against reconnect storms.
// The drawback: where the proxy has nothing but handshakes to do, the CPU idles for the rest of the time.
std::optional<HandshakeLimiter::RequestId> HandshakeLimiter::startNext(Nanoseconds now) {
    refill(now);
    nextStartAt_.reset();
    if (queue_.empty() || inFlight_ >= limits_.maxConcurrent) return {};
    for (const auto& [purpose, requestId] : queue_) {
        const double needed = purpose == HandshakePurpose::renewal
                                  ? budgetReservedFromRenewals * limits_.cpuShare * double(cpuBudgetWindow)
                                  : 0;
        if (cpuBudget_ < needed) {
            // The requests behind it need as much or more.
            nextStartAt_ =
                now + static_cast<Nanoseconds>(std::ceil((needed - cpuBudget_) / limits_.cpuShare)) + 1;
            return {};
        }
        Request& request = requests_.at(requestId);
        StoreLoad& store = stores_.at(request.store);
        const bool cold = request.storeStartedAt > 0 && now - request.storeStartedAt < limits_.coldStartTime;
        if (store.inFlight >= (cold ? 1 : limits_.maxConcurrentPerStore)) continue;
        request.started = true;
        request.expectedCost = static_cast<Nanoseconds>(averageCost_);
        cpuBudget_ -= double(request.expectedCost);
        ++inFlight_;
        ++store.inFlight;
        --store.waiting;
        const RequestId chosen = requestId;
        queue_.erase({purpose, requestId});
        return chosen;
    }
    return {};
}

void HandshakeLimiter::release(RequestId requestId) {
    const auto entry = requests_.find(requestId);
    if (entry == requests_.end()) return;
    const Request request = entry->second;
    requests_.erase(entry);
    StoreLoad& store = stores_.at(request.store);
    if (request.started) {
        --inFlight_;
        --store.inFlight;
    } else {
        queue_.erase({request.purpose, requestId});
        --store.waiting;
    }
    eraseUnusedLoads(request.store, refilledAt_);
}

void HandshakeLimiter::finish(RequestId requestId, Outcome outcome, Nanoseconds cost, Nanoseconds now) {
    refill(now);
    const auto entry = requests_.find(requestId);
    if (entry == requests_.end()) return;
    // Corrects the budget by the difference between the expected and the real cost. Cheap resumed and
    // expensive full handshakes share one average, because the kind isn't known in advance.
    cpuBudget_ += double(entry->second.expectedCost - cost);
    averageCost_ += 0.1 * (double(cost) - averageCost_);
    StoreLoad& store = stores_.at(entry->second.store);
    if (outcome == Outcome::untrusted) {
        const Nanoseconds backoff = initialBackoff << std::min(store.consecutiveUntrusted++, 6);
        store.backedOffUntil = now + std::min(backoff, maxBackoff);
    } else if (outcome != Outcome::connectionFailed) {
        store.consecutiveUntrusted = 0;
        store.backedOffUntil = 0;
    }
    release(requestId);
}

// Keeps state only for stores with requests or failures, so that the map doesn't grow as stores are replaced.
void HandshakeLimiter::eraseUnusedLoads(const std::string& id, Nanoseconds now) {
    const auto entry = stores_.find(id);
    const StoreLoad& store = entry->second;
    if (store.inFlight == 0 && store.waiting == 0 && store.consecutiveUntrusted == 0) stores_.erase(entry);
    // Stores that have never passed verification again are purged once the map has grown large.
    if (stores_.size() > 1000)
        std::erase_if(stores_, [&](const auto& each) {
            return each.second.inFlight == 0 && each.second.waiting == 0 &&
                   now > each.second.backedOffUntil + maxBackoff;
        });
}

std::optional<std::string> ConnectionRenewal::startNext(
    const std::map<std::string, Nanoseconds>& lastUsedByStore, std::size_t connectionCount, Nanoseconds now) {
    if (!active_) return {};
    if (lastUsedByStore.empty()) {
        if (inFlight_.empty()) active_ = false;
        return {};
    }
    // Two at a time, or as many as are needed to finish in half of the period.
    const double remaining = std::max(1.0, double(startedAt_ + period_ / 2 - now));
    const double needed = std::ceil(double(connectionCount) * averageDuration_ / remaining);
    if (double(inFlight_.size()) >= std::max(2.0, std::min(needed, 64.0))) return {};
    // The most recently used store first: its next statement is likely to come soonest. One at a time per
    // store.
    const std::string* best = nullptr;
    Nanoseconds bestLastUsedAt = 0;
    for (const auto& [store, lastUsedAt] : lastUsedByStore)
        if (!inFlight_.count(store) && (!best || lastUsedAt > bestLastUsedAt))
            best = &store, bestLastUsedAt = lastUsedAt;
    if (!best) return {};
    inFlight_.insert(*best);
    return *best;
}

void ConnectionRenewal::finish(const std::string& store, Nanoseconds duration) {
    inFlight_.erase(store);
    averageDuration_ += 0.1 * (double(duration) - averageDuration_);
}

}  // namespace granitereel::tls
