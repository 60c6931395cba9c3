// How an HTTP call ended that got no status from the other side.
#pragma once

namespace granitereel::transport {

// No whole answer in time, or no connection: it may have been carried out.
constexpr int noAnswer = 0;
// The caller's deadline for sending it had passed: nothing left this process.
constexpr int notSent = -1;

}  // namespace granitereel::transport
