// How long a process has been out of contact with control, for operators: lines for the log when contact is
// lost, has been lost for so long that the configuration may be behind, and is back, and the figures behind
// them. Decides nothing. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nanos.hpp"

namespace granitereel::gossip {

class ContactWatch {
public:
    // Without a lease for longer than this, changes may have come into force elsewhere.
    static constexpr Nanos behindAfter = millis(2'000);

    struct Figures {
        std::uint64_t losses = 0;      // contact was lost
        std::uint64_t longLosses = 0;  // for longer than behindAfter
        Nanos longest = 0;             // the longest that has ended
    };

    // `contactUntil`: the end of the lease. To be called often; returns a line where there is news.
    std::optional<std::string> seen(Nanos contactUntil, Nanos now);
    // 0 while there is contact, and before the first.
    Nanos lostFor(Nanos now) const { return lost_ ? now - lostAt_ : 0; }
    const Figures& figures() const { return figures_; }

private:
    std::optional<std::string> regained(Nanos now);

    bool hadContact_ = false, lost_ = false, told_ = false;
    Nanos lostAt_ = 0;
    Figures figures_;
};

}  // namespace granitereel::gossip
