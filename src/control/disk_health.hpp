// How a member's disk does, as its process sees it. Free of I/O and clocks.
#pragma once

#include <optional>
#include <string>

#include "nanoseconds.hpp"

namespace granitereel::control {

enum class DiskHealth {
    ok,
    slow,     // a write has waited for its sync for `slowDiskAfter`
    refuses,  // a write failed, and none has been synced since
};
const char* textOf(DiskHealth health);

// An answer that waits longer for its sync comes when nobody waits for it any more: a change is given up by
// its proposer after 900 ms (ControlMember).
constexpr Nanoseconds slowDiskAfter = milliseconds(900);
// A member whose disk is unwell for longer hands its duties on. With `slowDiskAfter` before it, a single slow
// sync moves no duty.
constexpr Nanoseconds dutiesLeaveAfter = milliseconds(600);

// What a member makes of the health of its disk.
class DiskWatch {
public:
    // Returns the log's line where the health became another.
    std::optional<std::string> seen(DiskHealth health, Nanoseconds now);
    DiskHealth health() const { return health_; }
    // Whether a vote may be given: not while its reply would have to wait for the disk to get well.
    bool votes() const { return health_ == DiskHealth::ok; }
    // Whether the member may own duties.
    bool ownsDuties(Nanoseconds now) const {
        return health_ == DiskHealth::ok || now - unwellSince_ < dutiesLeaveAfter;
    }

private:
    DiskHealth health_ = DiskHealth::ok;
    Nanoseconds unwellSince_ = 0;
};

}  // namespace granitereel::control
