// Holds back what must not leave before the writes in front of it are synced. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "control/outputs.hpp"
#include "nanos.hpp"

namespace granitereel::control {

class DurabilityGate {
public:
    // A write is handed to the disk; returns its ticket. Tickets rise by one.
    std::uint64_t recordWrite(Nanos now);
    // Takes an output that depends on the writes before it where one of them is not synced; returns whether
    // it was taken.
    bool hold(Output& output);
    // Every write up to the ticket is synced: what may leave now, in its order.
    Outputs release(std::uint64_t ticket);
    // When the oldest write that isn't synced was handed over; `now` where there is none.
    Nanos oldestPendingWriteAt(Nanos now) const {
        return unsyncedWrites_.empty() ? now : unsyncedWrites_.begin()->second;
    }

private:
    struct HeldOutput {
        std::uint64_t afterTicket = 0;
        Output output;
    };
    std::uint64_t lastTicket_ = 0;
    std::map<std::uint64_t, Nanos> unsyncedWrites_;  // by ticket
    std::deque<HeldOutput> held_;
};

}  // namespace granitereel::control
