// What builds on the tier: it hears what its likes in other fronts say, and has a clockwork of its own. Free
// of sockets, so that the world in virtual time plays it, too.
#pragma once

#include "members.hpp"

namespace granitereel::tier {

class Guest {
public:
    virtual ~Guest() = default;
    // The kind of Further that is for it.
    virtual int kind() const = 0;
    // `sent`: see Outlet::received.
    virtual void received(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds sent,
                          const std::string& bytes) = 0;
    virtual void tick(Nanoseconds now) = 0;
    virtual Nanoseconds next() const = 0;
    // This front was told to end.
    virtual void leave(Nanoseconds now) = 0;
    // The steady clock stood still, as the whole machine slept.
    virtual void slept(Nanoseconds now) = 0;
};

}  // namespace granitereel::tier
