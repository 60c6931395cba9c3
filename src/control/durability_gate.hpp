// Holds back outputs until all earlier writes are synced. A vote that left before its sync could be lost in
// a crash after a majority has counted it. Free of I/O and clocks.
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
    // Registers a write handed to the disk and returns its ticket. Tickets increase by one.
    std::uint64_t recordWrite(Nanoseconds now);
    // Takes over an output that depends on earlier writes of which one is not synced; returns whether it
    // did.
    bool hold(Output& output);
    // All writes up to the ticket are synced: returns the outputs that may leave now, in order.
    Outputs release(std::uint64_t ticket);
    // When the oldest unsynced write was handed over; `now` if there is none.
    Nanoseconds oldestPendingWriteAt(Nanoseconds now) const {
        return unsyncedWrites_.empty() ? now : unsyncedWrites_.begin()->second;
    }

private:
    struct HeldOutput {
        std::uint64_t afterTicket = 0;
        Output output;
    };
    std::uint64_t lastTicket_ = 0;
    std::map<std::uint64_t, Nanoseconds> unsyncedWrites_;  // by ticket
    std::deque<HeldOutput> held_;
};

}  // namespace granitereel::control
