// Time in whole nanoseconds, the unit of all decision code.
#pragma once

#include <cstdint>

namespace granitereel {

using Nanoseconds = std::int64_t;
constexpr Nanoseconds milliseconds(std::int64_t count) {
    return count * 1'000'000;
}

}  // namespace granitereel
