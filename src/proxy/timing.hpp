// Timeouts and limits of the proxy's state machine that are not settings.
#pragma once

#include <cstddef>

#include "nanoseconds.hpp"

namespace granitereel::proxy {

// Attempts per statement that a store refused without running it: enough to get past one store that lags,
// one that is no longer primary and one that is full.
inline constexpr int maxAttempts = 8;
// How long a rejected client is told to wait before it retries.
inline constexpr int retryAdvice_ms = 100;
// Three lease requests fit into one lease.
inline constexpr Nanoseconds leaseRequestInterval = milliseconds(200);
// A proxy that has a configuration reports itself ready without a lease after this.
inline constexpr Nanoseconds maxFirstLeaseWait = milliseconds(1'000);
// If less than this is left of the current lease, its renewal is late, and connections to replicas are
// opened while it still runs. A process that renews in time always has more left.
inline constexpr Nanoseconds leaseExpiryWarning = milliseconds(400);
// Connections that serve only to query replicas' statuses are opened only for a service that was used
// within this time.
inline constexpr Nanoseconds recentUseWindow = milliseconds(10'000);
inline constexpr Nanoseconds sweepInterval = milliseconds(50);
// A primary that does not answer a query for this long is reported to control, and again after each
// further interval of this length.
inline constexpr Nanoseconds storeSilenceLimit = milliseconds(250);
// A connection that does not open in time, or whose response no session waits for and that does not
// arrive in time, is closed.
inline constexpr Nanoseconds connectTimeout = milliseconds(1'500), abandonedTimeout = milliseconds(4'000);
inline constexpr Nanoseconds idleConnectionTimeout = milliseconds(25'000);
// How long new connections may still arrive after shutdown begins: the platform stops sending them after
// two readiness probes a second apart, plus a margin.
inline constexpr Nanoseconds minShutdownDelay = milliseconds(2'200);
// Bytes of a session's queued statements beyond which the proxy stops reading from the client.
inline constexpr std::size_t maxQueuedBytes = 1 << 20;

}  // namespace granitereel::proxy
