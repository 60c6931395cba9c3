// The front's clock: Unix time at the start and the steady clock since, so that it never jumps and still
// compares with the positions that stores tell.
#pragma once

#include <algorithm>
#include <chrono>

#include "router.hpp"

namespace granitereel {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    Nanoseconds now() const { return unix_ + since(Steady::now() - steady_); }
    Steady::time_point at(Nanoseconds when) const {
        // A year ahead stands for never: what lies further would not fit the steady clock.
        constexpr Nanoseconds year = milliseconds(365ll * 24 * 3600 * 1000);
        return steady_ + std::chrono::nanoseconds(std::clamp(when - unix_, -year, year));
    }

private:
    template <class Duration>
    static Nanoseconds since(Duration d) {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(d).count();
    }
    Steady::time_point steady_ = Steady::now();
    Nanoseconds unix_ = since(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace granitereel
