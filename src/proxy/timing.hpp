// Timeouts and limits of the proxy's state machine that are not settings.
#pragma once

#include <cstddef>

#include "nanos.hpp"

namespace granitereel::proxy {

// Attempts per statement that a store refused without running it: enough to get past one store that lags,
// one that is no longer primary and one that is full.
inline constexpr int maxAttempts = 8;
// How long a rejected client is told to wait before it retries.
inline constexpr int retryAdvice_ms = 100;
// Three lease requests fit into one lease.
inline constexpr Nanos leaseRequestInterval = millis(200);
// A proxy that has a configuration reports itself ready without a lease after this.
inline constexpr Nanos maxFirstLeaseWait = millis(1'000);
// If less than this is left of the current lease, its renewal is late, and connections to replicas are
// opened while it still runs. A process that renews in time always has more left.
inline constexpr Nanos leaseExpiryWarning = millis(400);
// Connections that serve only to query replicas' statuses are opened only for a service that was used
// within this time.
inline constexpr Nanos recentUseWindow = millis(10'000);
inline constexpr Nanos sweepInterval = millis(50);
// A primary that does not answer a query for this long is reported to control, and again after each
// further interval of this length.
inline constexpr Nanos storeSilenceLimit = millis(250);
// A connection that does not open in time, or whose response no session waits for and that does not
// arrive in time, is closed.
inline constexpr Nanos connectTimeout = millis(1'500), abandonedTimeout = millis(4'000);
inline constexpr Nanos idleConnectionTimeout = millis(25'000);
// How long new connections may still arrive after shutdown begins: the platform stops sending them after
// two readiness probes a second apart, plus a margin.
inline constexpr Nanos minShutdownDelay = millis(2'200);
// Bytes of a session's queued statements beyond which the proxy stops reading from the client.
inline constexpr std::size_t maxQueuedBytes = 1 << 20;

}  // namespace granitereel::proxy
