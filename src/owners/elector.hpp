// One of those who grant keys. It grants a key to one front at a time, for a time by its own steady clock,
// and keeps nothing on disk: after its start it is silent for the longest lease, as in PaxosLease (Trencseni,
// Gazso, Reinhardt, 2012), so what it granted before and has forgotten is over. Free of I/O and clocks.
#pragma once

#include <map>

#include "talk.hpp"

namespace granitereel::owners {

// Clocks of two machines drift by less than one part in this many against each other.
constexpr Nanoseconds driftPart = 100;

class Elector {
public:
    Elector(Nanoseconds now, Nanoseconds longestLease, std::uint32_t list);

    // What is answered to a question; nothing where there is none in it.
    Talk heard(Nanoseconds now, int from, std::uint32_t birth, const Talk& talk);
    // A term that somebody knows of. What is learnt while it is silent binds keys of which it knows nothing.
    void learn(Nanoseconds now, std::uint64_t term);
    bool silent(Nanoseconds now) const { return now < silentUntil_; }
    std::uint64_t highest() const { return highest_; }
    std::size_t size() const { return grants_.size(); }

private:
    struct Grant {
        int owner = -1;  // -1: nobody, and nobody may before `until`
        std::uint32_t birth = 0;
        std::uint64_t term = 0;
        Nanoseconds until = 0;
    };
    Reply answer(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds lease, const Ask& ask);
    void forgetSome(Nanoseconds now);

    const Nanoseconds longestLease_, silentUntil_;
    const std::uint32_t list_;
    std::map<Key, Grant> grants_;
    std::uint64_t highest_ = 0;  // of all terms heard of
    std::uint64_t floor_ = 0;    // for a key unknown here: of the forgotten, and of what was before its start
};

}  // namespace granitereel::owners
