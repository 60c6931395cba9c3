// The steady clock as the state machines are told it: nanoseconds that never jump. The time of day decides
// nothing.
#pragma once

#include <chrono>

#include "nanos.hpp"

namespace granitereel::transport {

inline Nanos steadyNow() {
    // Begins well above nought, which stands for never.
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
               .count() +
           millis(1'000'000);
}

}  // namespace granitereel::transport
