// Holds back what must not leave before the writes in front of it are synced. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "control/outputs.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

class DurabilityGate {
public:
    // A write is handed to the disk; returns its ticket. Tickets rise by one.
    std::uint64_t written(Nanoseconds now);
    // Takes an output that depends on the writes before it where one of them is not synced; returns whether
    // it was taken.
    bool holds(Output& output);
    // Every write up to the ticket is synced: what may leave now, in its order.
    Outputs durable(std::uint64_t ticket);
    // When the oldest write that isn't synced was handed over; `now` where there is none.
    Nanoseconds waitingSince(Nanoseconds now) const {
        return waiting_.empty() ? now : waiting_.begin()->second;
    }

private:
    struct Held {
        std::uint64_t after = 0;
        Output output;
    };
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, Nanoseconds> waiting_;  // by ticket
    std::deque<Held> held_;
};

}  // namespace granitereel::control
