// Health of a member's disk as its process sees it. Free of I/O and clocks.
#pragma once

#include <optional>
#include <string>

#include "nanoseconds.hpp"

namespace granitereel::control {

enum class DiskHealth {
    ok,
    slow,     // a write has waited for its sync for `slowSyncThreshold`
    refuses,  // a write failed, and none has been synced since
};
const char* toString(DiskHealth health);

// A reply that waits longer for its sync arrives too late: the proposer gives up a change after 900 ms
// (ControlMember).
constexpr Nanoseconds slowSyncThreshold = milliseconds(900);
// A member whose disk is unhealthy for longer hands its failover ownership over. Together with
// `slowSyncThreshold` this keeps a single slow sync from moving it.
constexpr Nanoseconds maxUnhealthyTimeOfOwner = milliseconds(600);

// Tracks the health of the disk and decides what the member may do.
class DiskHealthMonitor {
public:
    // Returns a log line when the health has changed.
    std::optional<std::string> update(DiskHealth health, Nanoseconds now);
    DiskHealth health() const { return health_; }
    // Whether the member may vote: not while the reply would have to wait for the disk to recover.
    bool mayVote() const { return health_ == DiskHealth::ok; }
    // Whether the member may own the failover of services.
    bool mayOwnFailover(Nanoseconds now) const {
        return health_ == DiskHealth::ok || now - unhealthySince_ < maxUnhealthyTimeOfOwner;
    }

private:
    DiskHealth health_ = DiskHealth::ok;
    Nanoseconds unhealthySince_ = 0;
};

}  // namespace granitereel::control
