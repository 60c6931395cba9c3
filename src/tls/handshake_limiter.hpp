// Rate and concurrency limits for TLS handshakes with stores, and the order in which they start. This is pure
// policy: it uses no sockets, clocks or TLS. A proxy that has only part of a core must not starve the
// statements in flight for handshakes; a store that fails verification is backed off; connections made with
// replaced certificates are renewed a few at a time.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "nanoseconds.hpp"

namespace granitereel::tls {

// What a handshake is for, by descending priority.
enum class HandshakePurpose { statement, probe, renewal };

// Queues handshakes by priority and limits their number, the number per store and their share of CPU time.
class HandshakeLimiter {
public:
    struct Limits {
        int maxConcurrent = 16, maxConcurrentPerStore = 4;
        double cpuShare = 0.3;          // of wall clock time, that handshakes may use as CPU time
        Nanoseconds coldStartTime = 0;  // a store started more recently gets one handshake at a time
    };
    using RequestId = std::uint64_t;

    HandshakeLimiter(const Limits& limits, Nanoseconds now);
    void setLimits(const Limits& limits) { limits_ = limits; }

    // Whether the store is in backoff because its last handshake failed verification.
    bool isBackedOff(const std::string& store, Nanoseconds now) const;
    // Queues a handshake with a store that started at `storeStartedAt` (0: long ago).
    RequestId enqueue(const std::string& store, HandshakePurpose purpose, Nanoseconds storeStartedAt,
                      Nanoseconds now);
    // Starts the next queued handshake that the limits allow now and returns its request. If there is none,
    // call again at `nextStartAt`, where it is set, or when a handshake has finished.
    std::optional<RequestId> startNext(Nanoseconds now);
    std::optional<Nanoseconds> nextStartAt() const { return nextStartAt_; }
    // Drops a request, whether it is queued or started. Where a handshake has run, use `finish`.
    void release(RequestId requestId);
    // How a handshake ended; `untrusted`: a certificate or the peer's TLS was rejected, by either side.
    enum class Outcome { full, resumed, connectionFailed, untrusted };
    // Ends a started request and accounts for the CPU time, `cost`, that it took.
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
        // consecutiveUntrusted: since the last success
        int inFlight = 0, waiting = 0, consecutiveUntrusted = 0;
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
    // CPU time in nanoseconds that may be spent now; negative after expensive handshakes
    double cpuBudget_ = 0;
    Nanoseconds refilledAt_ = 0;
    double averageCost_;  // moving average of the CPU time of a handshake, in nanoseconds
    std::optional<Nanoseconds> nextStartAt_;
};

// Chooses which store's connections to renew next after certificates or settings have been replaced.
class ConnectionRenewal {
public:
    explicit ConnectionRenewal(Nanoseconds period) : period_(period) {}
    // New certificates or settings are in force from now on.
    void start(Nanoseconds now) { startedAt_ = now, active_ = true; }
    void setPeriod(Nanoseconds period) { period_ = period; }
    bool isActive() const { return active_; }
    // Whether remaining idle old connections are to be closed now, even if no replacement can be opened.
    bool isOverdue(Nanoseconds now) const { return active_ && now >= startedAt_ + period_; }
    // Chooses the store whose connection to renew now. `lastUsedByStore`: the stores with idle old
    // connections, with the time of last use; `connectionCount`: the number of those connections. Returns
    // none while enough renewals are in flight. The renewal is complete when no old connection is left and
    // none is in flight.
    std::optional<std::string> startNext(const std::map<std::string, Nanoseconds>& lastUsedByStore,
                                         std::size_t connectionCount, Nanoseconds now);
    void finish(const std::string& store, Nanoseconds duration);

private:
    Nanoseconds period_, startedAt_ = 0;
    bool active_ = false;
    std::set<std::string> inFlight_;
    // Moving average from request to open connection, in nanoseconds; starts with that of a busy proxy.
    double averageDuration_ = 50e6;
};

}  // namespace granitereel::tls
