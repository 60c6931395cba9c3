// Restores the register state of a member whose disk was lost before it may vote. Free of I/O.
#pragma once

#include <set>
#include <string>

#include "control/vote.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// Reads the slots of a majority of one epoch's voters, not counting itself. Every reply must answer a
// request that was sent in that epoch, and after all requests that the earlier process had answered have
// expired: otherwise this member could forget a promise or acceptance that a majority relied on. Starts
// again when the epoch changes.
class Recovery {
public:
    explicit Recovery(Nanoseconds notBefore) : notBefore_(notBefore) {}

    void epochChanged();
    // Whether to send requests to the voters now. A member that has no vote in the epoch need not wait:
    // none of its earlier replies counts there.
    bool shouldRequestNow(const VoterSet& voterSet, const std::string& self, Nanoseconds now);
    // Records the reply of another voter of this epoch; returns whether it counts.
    bool recordReply(const VoterSet& voterSet, const std::string& voter, std::uint64_t epoch);
    // `newestEpoch`: the highest epoch found in an accepted value of the register "core". If it is above
    // the current epoch, that epoch may be over, and values chosen since are missing from the replies.
    bool isComplete(const VoterSet& voterSet, std::uint64_t newestEpoch) const;

private:
    static constexpr Nanoseconds requestInterval = milliseconds(300);

    Nanoseconds notBefore_ = 0, lastRequestAt_ = 0;
    std::set<std::string> repliedVoters_;
};

}  // namespace granitereel::control
