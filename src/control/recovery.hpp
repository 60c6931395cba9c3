// How a member with an empty disk comes by the state of the registers before it may vote. Free of I/O.
#pragma once

#include <set>
#include <string>

#include "control/vote.hpp"
#include "nanos.hpp"

namespace granitereel::control {

// It reads the slots of a majority of one epoch's voters other than itself, each by an answer to a question
// that it sent in that epoch and not before what its earlier life had answered is out of use. On a later
// epoch it begins anew.
class Recovery {
public:
    explicit Recovery(Nanos notBefore) : notBefore_(notBefore) {}

    void epochChanged();
    // Whether the voters are to be asked now. Where this member has no vote in the epoch, none of its earlier
    // answers counts there, and nothing is waited for.
    bool shouldRequestNow(const VoterSet& voterSet, const std::string& self, Nanos now);
    // An answer of another member that votes in this epoch; whether it counts.
    bool recordReply(const VoterSet& voterSet, const std::string& voter, std::uint64_t epoch);
    // `newestEpoch`: the highest that the register of the epoch was seen accepted with. Where it is above the
    // present, the present may be over, and what was chosen since is not among the answers.
    bool isComplete(const VoterSet& voterSet, std::uint64_t newestEpoch) const;

private:
    static constexpr Nanos requestInterval = millis(300);

    Nanos notBefore_ = 0, lastRequestAt_ = 0;
    std::set<std::string> repliedVoters_;
};

}  // namespace granitereel::control
