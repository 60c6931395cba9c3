// The monotonic clock of the state machines, in nanoseconds. The time of day is used for no decision, as it
// may jump.
#pragma once

#include <chrono>

#include "nanoseconds.hpp"

namespace granitereel::transport {

inline Nanoseconds steadyNow() {
    // Starts well above zero, which stands for "never".
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
               .count() +
           milliseconds(1'000'000);
}

}  // namespace granitereel::transport
