// What is known of a service's log: pairs of a log position and a time. Each pair states that every
// commit acknowledged before that time lies at or below that position. A pair comes from a response of
// the store that was certainly the primary when the query was sent. So a replica that has applied the log
// up to that position (AFTER) serves a read that misses no commit acknowledged before that time.
#pragma once

#include <deque>
#include <optional>

#include "log_position.hpp"
#include "nanoseconds.hpp"

namespace granitereel::proxy {

class CommitHorizon {
public:
    // Records that all commits acknowledged before `sentAt` lie at or below `position`.
    void observe(const LogPosition& position, Nanoseconds sentAt);
    // The lowest position known to cover every commit acknowledged before `since`.
    std::optional<LogPosition> positionCovering(Nanoseconds since) const;
    // The same, restricted to positions of this term or a later one.
    std::optional<LogPosition> positionCovering(Nanoseconds since, std::uint64_t term) const;
    // The time before which every acknowledged commit lies at or below the position; nullopt if
    // nothing is known.
    std::optional<Nanoseconds> coveredUntil(const LogPosition& position) const;
    // The latest time for which a covering position is known.
    std::optional<Nanoseconds> newestTime() const;
    bool empty() const { return pairs_.empty(); }

private:
    struct Pair {
        LogPosition position;
        Nanoseconds sentAt;
    };
    std::deque<Pair> pairs_;  // ascending in both position and time
};

}  // namespace granitereel::proxy
