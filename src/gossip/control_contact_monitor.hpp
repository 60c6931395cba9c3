// Reports to operators for how long a process has been without contact with control: log lines when contact
// is lost, when the outage has lasted so long that the configuration may be outdated, and when contact is
// back; and statistics. Has no influence on what the process does. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nanos.hpp"

namespace granitereel::gossip {

class ControlContactMonitor {
public:
    // After this time without a lease, changes of the configuration may be in force elsewhere already.
    static constexpr Nanos configurationStaleAfter = millis(2'000);

    struct Statistics {
        std::uint64_t outages = 0;
        std::uint64_t longOutages = 0;  // those longer than configurationStaleAfter
        Nanos longestOutage = 0;        // of those that have ended
    };

    // `leaseUntil`: the end of the lease. To be called often; returns a log line when the state changed.
    std::optional<std::string> update(Nanos leaseUntil, Nanos now);
    // 0 while there is contact, and before the first contact.
    Nanos disconnectedFor(Nanos now) const { return disconnected_ ? now - disconnectedAt_ : 0; }
    const Statistics& statistics() const { return statistics_; }

private:
    std::optional<std::string> contactRestored(Nanos now);

    bool hadContact_ = false, disconnected_ = false, longOutageReported_ = false;
    Nanos disconnectedAt_ = 0;
    Statistics statistics_;
};

}  // namespace granitereel::gossip
