// The front's clock: Unix time at the start and the steady clock since, so that it never jumps and still
// compares with the positions that stores tell.
#pragma once

#include <algorithm>
#include <chrono>

#include "front.hpp"

namespace granitereel {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    Nanos now() const { return unix_ + since(Steady::now() - steady_); }
    Steady::time_point at(Nanos when) const {
        // A year ahead stands for never: what lies further would not fit the steady clock.
        constexpr Nanos year = millis(365ll * 24 * 3600 * 1000);
        return steady_ + std::chrono::nanoseconds(std::clamp(when - unix_, -year, year));
    }

private:
    template <class Duration>
    static Nanos since(Duration d) {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(d).count();
    }
    Steady::time_point steady_ = Steady::now();
    Nanos unix_ = since(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace granitereel
