// Where an agent's link upwards is to lead. While the present parent gives leases, only a better one is
// tried, and not within the back-off that follows a failure. Without a parent that gives leases every other
// address is tried in turn, whatever failed before: a back-off remembers the past, perhaps of a time when
// the agent itself was cut off, and must never keep it behind. Free of I/O, clocks and chance.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gossip/invariant.hpp"
#include "nanos.hpp"

namespace granitereel::agent {

class ParentSearch {
public:
    using Addresses = std::vector<std::string>;
    // A parent that has given no lease for so long is cut off from the core, or from here.
    static constexpr Nanos leaseMissingAfter = millis(900);

    // The link upwards is that of `parent` from now on; empty: there is none.
    void linked(const std::string& parent, Nanos now);
    // The parent gave a lease.
    void granted(Nanos now);
    // No link could be had to the address, or no lease from it: a back-off, which doubles.
    void failed(const std::string& address, Nanos now);
    const std::string& parent() const { return parent_; }
    // Whether there is no parent that gives leases.
    bool searching(Nanos now) const { return parent_.empty() || withoutLease(now); }
    bool withoutLease(Nanos now) const { return !parent_.empty() && now - grantedAt_ > leaseMissingAfter; }
    // Whether the address is worth more than the present parent: it gives no lease, or is less preferred.
    bool improves(const std::string& address, const Addresses& preferred, Nanos now) const;
    bool backedOff(const std::string& address, Nanos now) const;
    // The addresses, those without a back-off first.
    Addresses ranked(const Addresses& preferred, Nanos now) const;
    // What is to be tried beside the present parent, or in its place.
    std::optional<std::string> wanted(const Addresses& preferred, Nanos now) const;
    // Whether it is time for a dial; else the addresses need not be looked up.
    bool mayDial(Nanos now) const;
    // The address to dial now, if any; counts as under way until dialEnded().
    std::optional<std::string> dial(const Addresses& preferred, Nanos now);
    void dialEnded() { --dialsUnderWay_; }
    // Time passes during a search. Returns a line for the log where the invariant below is broken.
    std::optional<std::string> tick(const Addresses& preferred, Nanos now);
    // An agent without a lease has tried every other parent within a time that their number gives.
    const gossip::Invariant& allTried() const { return allTried_; }

private:
    struct Backoff {
        Nanos until = 0, length = 0;
    };
    bool better(const std::string& address, const Addresses& preferred) const;
    std::size_t untried(const Addresses& preferred) const;

    std::string parent_;
    Nanos linkedAt_ = 0, grantedAt_ = 0, nextDialAt_ = 0, nextBetterAt_ = 0;
    int dialsUnderWay_ = 0;
    std::map<std::string, Backoff> backoffs_;
    std::map<std::string, Nanos> triedAt_;  // since the last lease
    // How long a search has lasted, as ticks saw it pass, over one list of addresses.
    Nanos searchedFor_ = 0, tickedAt_ = 0;
    Addresses searched_;
    gossip::Invariant allTried_{"an agent without a lease tries every parent in time"};
};

}  // namespace granitereel::agent
