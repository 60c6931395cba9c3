// Outcomes of an HTTP call that got no status from the other side.
#pragma once

namespace granitereel::transport {

// No complete response in time, or no connection. The call may have been carried out.
constexpr int noResponse = 0;
// The caller's deadline for sending had passed: no part of the request was sent.
constexpr int notSent = -1;

}  // namespace granitereel::transport
