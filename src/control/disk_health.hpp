// How a member's disk does, as its process sees it. Free of I/O and clocks.
#pragma once

#include <optional>
#include <string>

#include "nanos.hpp"

namespace granitereel::control {

enum class DiskHealth {
    ok,
    slow,     // a write has waited for its sync for `slowDiskAfter`
    refuses,  // a write failed, and none has been synced since
};
const char* toString(DiskHealth health);

// An answer that waits longer for its sync comes when nobody waits for it any more: a change is given up by
// its proposer after 900 ms (ControlMember).
constexpr Nanos slowSyncThreshold = millis(900);
// A member whose disk is unwell for longer hands its duties on. With `slowDiskAfter` before it, a single slow
// sync moves no duty.
constexpr Nanos maxUnwellTimeOfOwner = millis(600);

// What a member makes of the health of its disk.
class DiskHealthMonitor {
public:
    // Returns the log's line where the health became another.
    std::optional<std::string> update(DiskHealth health, Nanos now);
    DiskHealth health() const { return health_; }
    // Whether a vote may be given: not while its reply would have to wait for the disk to get well.
    bool mayVote() const { return health_ == DiskHealth::ok; }
    // Whether the member may own duties.
    bool mayOwnFailover(Nanos now) const {
        return health_ == DiskHealth::ok || now - unwellSince_ < maxUnwellTimeOfOwner;
    }

private:
    DiskHealth health_ = DiskHealth::ok;
    Nanos unwellSince_ = 0;
};

}  // namespace granitereel::control
