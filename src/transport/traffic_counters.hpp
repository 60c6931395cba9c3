// Messages and bytes that a process sent to others of the system, by kind of message. The kinds tell the
// cause: "news" are changes; "digest", "inventory", "records", "complete" belong to a new link; "want" and
// "sent" to that or to a patch that did not apply; "round", "lease" and their answers to the lease; the rest
// to registers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "nanos.hpp"

namespace granitereel::transport {

class Traffic {
public:
    void sent(const std::string& kind, std::size_t bytes);
    // Whether a line is due at `now`, which then counts as written.
    bool due(Nanos now);
    // "kind=messages/bytes ...", all since the start; the kind with the most bytes first.
    std::string line() const;

private:
    struct Count {
        std::uint64_t messages = 0, bytes = 0;
    };
    std::map<std::string, Count> counts_;
    Nanos writtenAt_ = 0;
};

}  // namespace granitereel::transport
