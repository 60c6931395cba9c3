// Times and limits of the proxy's state machine that no setting gives.
#pragma once

#include <cstddef>

#include "nanos.hpp"

namespace granitereel::proxy {

// Among tries that nothing ran of: enough to pass a store that lags, one that has lost the lead and one that
// is full.
inline constexpr int maxAttempts = 8;
// A client that must come back is told to do so after this.
inline constexpr int retryAdvice_ms = 100;
// Three questions for the lease fit into one.
inline constexpr Nanos leaseRequestInterval = millis(200);
// A proxy that has a configuration says that it is ready without a lease after this.
inline constexpr Nanos maxFirstLeaseWait = millis(1'000);
// Where less than this is left of the last lease, it is late, and connections to replicas are opened while it
// runs: a process that asks in time has more.
inline constexpr Nanos leaseExpiryWarning = millis(400);
// A service that was asked for something within this is worth connections that only show what its replicas
// have.
inline constexpr Nanos recentUseWindow = millis(10'000);
inline constexpr Nanos sweepInterval = millis(50);
// A lead that is asked and says nothing for so long is told to control, again after as long.
inline constexpr Nanos storeSilenceLimit = millis(250);
// A connection that does not open, or whose answer nobody waits for, is given up after this.
inline constexpr Nanos connectTimeout = millis(1'500), abandonedTimeout = millis(4'000);
// A connection at rest is closed after this.
inline constexpr Nanos idleConnectionTimeout = millis(25'000);
// Until the platform has stopped sending new connections: two ready probes a second apart, and some.
inline constexpr Nanos minShutdownDelay = millis(2'200);
// Bytes of a session's statements that may wait; beyond, nothing more is read from it.
inline constexpr std::size_t maxQueuedBytes = 1 << 20;

}  // namespace granitereel::proxy
