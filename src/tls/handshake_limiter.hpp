// How many handshakes may be under way, and whose comes next: decided here, free of sockets, clocks and TLS
// itself. A front on a part of a core must not starve the statements in flight for handshakes; a store that
// can't be trusted is spared; connections made under old trust are renewed a few at a time.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "nanoseconds.hpp"

namespace granitereel::tls {

// What a handshake is for, in the order in which they are served.
enum class HandshakePurpose { statement, probe, renewal };

class HandshakeLimiter {
public:
    struct Limits {
        int maxConcurrent = 16, maxConcurrentPerStore = 4;
        double cpuShare = 0.3;          // of all the time there is, that handshakes may take of the processor
        Nanoseconds coldStartTime = 0;  // a store started less than this ago gets one handshake at a time
    };
    using RequestId = std::uint64_t;

    HandshakeLimiter(const Limits& limits, Nanoseconds now);
    void setLimits(const Limits& limits) { limits_ = limits; }

    // Whether a store is spared now, as what it showed last could not be trusted.
    bool isBackedOff(const std::string& store, Nanoseconds now) const;
    // Queues for a handshake with a store that started at `started` (0: long ago).
    RequestId enqueue(const std::string& store, HandshakePurpose purpose, Nanoseconds storeStartedAt,
                      Nanoseconds now);
    // Of those that wait, the next that may begin now; it counts as begun. None: ask again at `lookAt`, or
    // when one has ended.
    std::optional<RequestId> startNext(Nanoseconds now);
    std::optional<Nanoseconds> nextStartAt() const { return nextStartAt_; }
    // One that waits gives up, or one that has begun is over. `cost`: of the processor's time.
    void release(RequestId requestId);
    enum class Outcome { full, resumed, connectionFailed, untrusted };
    void finish(RequestId requestId, Outcome outcome, Nanoseconds cost, Nanoseconds now);

    std::size_t waitingCount() const { return queue_.size(); }
    int inFlightCount() const { return inFlight_; }

private:
    struct Request {
        std::string store;
        HandshakePurpose purpose = HandshakePurpose::statement;
        Nanoseconds storeStartedAt = 0, expectedCost = 0;
        bool started = false;
    };
    struct StoreLoad {
        int inFlight = 0, waiting = 0, consecutiveUntrusted = 0;  // untrusted: times in a row
        Nanoseconds backedOffUntil = 0;
    };
    void refill(Nanoseconds now);
    void eraseUnusedLoads(const std::string& store, Nanoseconds now);

    Limits limits_;
    std::map<RequestId, Request> requests_;
    std::set<std::pair<HandshakePurpose, RequestId>> queue_;
    std::map<std::string, StoreLoad> stores_;
    int inFlight_ = 0;
    RequestId lastRequestId_ = 0;
    double cpuBudget_ = 0;  // nanoseconds of the processor that may be spent now
    Nanoseconds refilledAt_ = 0;
    double averageCost_;  // cost of a handshake, as learnt
    std::optional<Nanoseconds> nextStartAt_;
};

// The connections made under trust that has been replaced: which is renewed next.
class ConnectionRenewal {
public:
    explicit ConnectionRenewal(Nanoseconds period) : period_(period) {}
    // New trust holds from now on.
    void start(Nanoseconds now) { startedAt_ = now, active_ = true; }
    void setPeriod(Nanoseconds period) { period_ = period; }
    bool isActive() const { return active_; }
    // Whether idle connections of the old kind are closed now whether or not another can be had.
    bool isOverdue(Nanoseconds now) const { return active_ && now >= startedAt_ + period_; }
    // Of the stores with idle connections of the old kind, each with when one was used last, the one to renew
    // now; none while as many as are needed are under way. No such store and none under way: it is done.
    std::optional<std::string> startNext(const std::map<std::string, Nanoseconds>& lastUsedByStore,
                                         std::size_t connectionCount, Nanoseconds now);
    void finish(const std::string& store, Nanoseconds duration);

private:
    Nanoseconds period_, startedAt_ = 0;
    bool active_ = false;
    std::set<std::string> inFlight_;
    double averageDuration_ =
        50e6;  // what one takes from asking to being there: on a busy morning, until learnt
};

}  // namespace granitereel::tls
