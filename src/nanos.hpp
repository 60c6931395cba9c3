// Whole nanoseconds, the one measure of time in all that decides.
#pragma once

#include <cstdint>

namespace granitereel {

using Nanos = std::int64_t;
constexpr Nanos millis(std::int64_t n) {
    return n * 1'000'000;
}

}  // namespace granitereel
