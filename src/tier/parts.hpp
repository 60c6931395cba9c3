// Among how many fronts this one shares what all may use together (a cold store's credit, looks for a
// primary, first windows). Free of I/O, as `Members` is. The parts of all fronts never sum to more than the
// whole: docs/ tier-design.md says why nothing of a front that is merely gone may be taken over.
#pragma once

#include "members.hpp"

namespace granitereel::tier {

class Parts {
public:
    // `settled`: fronts by the settings. `longestEnd`: how long a front that was told to end may still work.
    Parts(int settled, Nanoseconds longestEnd) : counted_(settled), longestEnd_(longestEnd) {}

    // The list of peers will have this many; to be told before the members are.
    void listed(Nanoseconds now, const Members& members, int count);
    // By how many to count now; to be asked a few times a second.
    int count(Nanoseconds now, const Members& members);
    // Why no more is taken over, for the log; empty where nothing is left to take over.
    std::string waitsFor(Nanoseconds now, const Members& members) const;

private:
    bool mayTake(Nanoseconds now, const Members& members) const;
    int counted_;
    const Nanoseconds longestEnd_;
    bool unproven_ = false;  // a front was taken off the list that never said it leaves
    Nanoseconds freeFrom_ = 0, nextStep_ = 0;
};

}  // namespace granitereel::tier
