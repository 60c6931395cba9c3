// What is known of a service's log: pairs of a position and a moment, each saying that every commit
// acknowledged before the moment lies at or below the position. A pair comes from an answer of the store that
// had the lead for certain when the question was sent; so a read behind AFTER that position misses nothing
// acknowledged before.
#pragma once

#include <deque>
#include <optional>

#include "mark.hpp"
#include "nanos.hpp"

namespace granitereel::proxy {

class CommitHorizon {
public:
    // All commits acknowledged before `asked` lie at or below `mark`.
    void observe(const Mark& position, Nanos sentAt);
    // The lowest position known to hold every commit acknowledged before `since`.
    std::optional<Mark> positionCovering(Nanos since) const;
    // As that, and of this term or a later one.
    std::optional<Mark> positionCovering(Nanos since, std::uint64_t term) const;
    // Every commit acknowledged before this lies at or below the position; none: nothing of the kind is
    // known.
    std::optional<Nanos> coveredUntil(const Mark& position) const;
    // The latest moment for which anything is known.
    std::optional<Nanos> newestTime() const;
    bool empty() const { return pairs_.empty(); }

private:
    struct Pair {
        Mark position;
        Nanos sentAt;
    };
    std::deque<Pair> pairs_;  // both grow
};

}  // namespace granitereel::proxy
