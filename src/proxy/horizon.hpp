// What is known of a service's log: pairs of a position and a moment, each saying that every commit
// acknowledged before the moment lies at or below the position. A pair comes from an answer of the store that
// had the lead for certain when the question was sent; so a read behind AFTER that position misses nothing
// acknowledged before.
#pragma once

#include <deque>
#include <optional>

#include "log_position.hpp"
#include "nanos.hpp"

namespace granitereel::proxy {

class Horizon {
public:
    // All commits acknowledged before `asked` lie at or below `mark`.
    void saw(const LogPosition& mark, Nanos asked);
    // The lowest position known to hold every commit acknowledged before `since`.
    std::optional<LogPosition> covering(Nanos since) const;
    // As that, and of this term or a later one.
    std::optional<LogPosition> covering(Nanos since, std::uint64_t term) const;
    // Every commit acknowledged before this lies at or below the position; none: nothing of the kind is
    // known.
    std::optional<Nanos> holds(const LogPosition& mark) const;
    // The latest moment for which anything is known.
    std::optional<Nanos> newest() const;
    bool empty() const { return pairs_.empty(); }

private:
    struct Pair {
        LogPosition mark;
        Nanos asked;
    };
    std::deque<Pair> pairs_;  // both grow
};

}  // namespace granitereel::proxy
