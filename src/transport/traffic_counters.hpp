// Messages and bytes that this process has sent to others of the system, by kind of message. The kind tells
// the cause: "news" are changes of records; "digest", "inventory", "records" and "complete" belong to a new
// link; "want" and "sent" to that, or to a patch that did not apply; "round", "lease" and their replies to
// leases; the others to registers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "nanoseconds.hpp"

namespace granitereel::transport {

class TrafficCounters {
public:
    void count(const std::string& kind, std::size_t bytes);
    // Whether a log line is due at `now`; if so, it counts as written.
    bool reportDue(Nanoseconds now);
    // "kind=messages/bytes ...", totals since the start; the kind with the most bytes first.
    std::string summary() const;

private:
    struct Total {
        std::uint64_t messages = 0, bytes = 0;
    };
    std::map<std::string, Total> totals_;
    Nanoseconds reportedAt_ = 0;
};

}  // namespace granitereel::transport
