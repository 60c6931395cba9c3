// What fronts say to each other of leases: the contents of datagrams, free of their form (letter.hpp).
#pragma once

#include <cstdint>
#include <vector>

#include "duties.hpp"
#include "nanoseconds.hpp"

namespace granitereel::owners {

struct Ask {
    Key key = 0;
    std::uint64_t term = 0;
    bool operator==(const Ask&) const = default;
};

struct Reply {
    Key key = 0;
    bool granted = false;
    std::uint64_t term =
        0;                 // granted: that term; refused: the highest that the elector knows of for this key
    int owner = -1;        // refused, as another holds it: who
    Nanoseconds busy = 0;  // for how long still
    bool operator==(const Reply&) const = default;
};

// Only of the grant with this term: a release that comes late must not free what was asked for since.
struct Release {
    Key key = 0;
    std::uint64_t term = 0;
    Nanoseconds hold = 0;  // nobody may have it before: what was given out under it may still be used
    bool operator==(const Release&) const = default;
};

struct Talk {
    std::uint32_t electors = 0;  // digest of the lists that the sender goes by
    std::uint64_t highest = 0;   // the highest term that the sender knows of, for any key
    // To an elector: a question by its number.
    std::uint32_t number = 0;
    Nanoseconds lease = 0;
    std::vector<Ask> asks;
    bool renews = false;
    std::uint32_t held = 0;  // with renews: digest of the keys and terms that the elector should hold for me
    std::vector<Release> releases;
    // From an elector: the number answered.
    std::uint32_t answers = 0;
    std::vector<Reply> replies;
    bool same = false;       // it holds just these
    Nanoseconds silent = 0;  // it has started lately and grants nothing for so long
    bool otherList = false;  // it goes by other electors, and grants nothing
    // To the next owner: these are free.
    std::vector<Key> handed;
    bool operator==(const Talk&) const = default;
};

// Digest of a set of keys with their terms, in any order.
std::uint32_t digestOf(const Ask& held);

}  // namespace granitereel::owners
