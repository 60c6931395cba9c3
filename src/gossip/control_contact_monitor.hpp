// Reports to operators for how long a process has been without contact with control: log lines when contact
// is lost, when the outage has lasted so long that the configuration may be outdated, and when contact is
// back; and statistics. Has no influence on what the process does. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nanoseconds.hpp"

namespace granitereel::gossip {

class ControlContactMonitor {
public:
    // After this time without a lease, changes of the configuration may be in force elsewhere already.
    static constexpr Nanoseconds configurationStaleAfter = milliseconds(2'000);

    struct Statistics {
        std::uint64_t outages = 0;
        std::uint64_t longOutages = 0;  // those longer than configurationStaleAfter
        Nanoseconds longestOutage = 0;  // of those that have ended
    };

    // `leaseUntil`: the end of the lease. To be called often; returns a log line when the state changed.
    std::optional<std::string> update(Nanoseconds leaseUntil, Nanoseconds now);
    // 0 while there is contact, and before the first contact.
    Nanoseconds disconnectedFor(Nanoseconds now) const { return disconnected_ ? now - disconnectedAt_ : 0; }
    const Statistics& statistics() const { return statistics_; }

private:
    std::optional<std::string> contactRestored(Nanoseconds now);

    bool hadContact_ = false, disconnected_ = false, longOutageReported_ = false;
    Nanoseconds disconnectedAt_ = 0;
    Statistics statistics_;
};

}  // namespace granitereel::gossip
