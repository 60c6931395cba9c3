// Which address an agent dials to find or replace its parent. While the present parent grants leases, only a
// better one is tried, and not within the back-off that follows a failure. Without a parent that grants
// leases every other address is tried in turn, whatever failed before: a back-off is about the past, perhaps
// about a time when the agent itself was cut off, and must never keep the agent away from a parent that
// works. Free of I/O, clocks and randomness.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gossip/invariant.hpp"
#include "nanoseconds.hpp"

namespace granitereel::agent {

class ParentSearch {
public:
    using Addresses = std::vector<std::string>;
    // A parent that has granted no lease for this long is cut off from the voters, or from this agent.
    static constexpr Nanoseconds leaseTimeout = milliseconds(900);

    // The parent is `parent` from now on; empty: there is none.
    void setParent(const std::string& parent, Nanoseconds now);
    // The parent granted a lease.
    void leaseGranted(Nanoseconds now);
    // No link to the address could be made, or it granted no lease: starts a back-off, twice as long each
    // time.
    void failed(const std::string& address, Nanoseconds now);
    const std::string& parent() const { return parent_; }
    // Whether there is no parent that grants leases.
    bool isSearching(Nanoseconds now) const { return parent_.empty() || leaseMissing(now); }
    bool leaseMissing(Nanoseconds now) const {
        return !parent_.empty() && now - leaseGrantedAt_ > leaseTimeout;
    }
    // Whether the address should replace the present parent: that one grants no lease, or is less preferred.
    bool improves(const std::string& address, const Addresses& preferred, Nanoseconds now) const;
    bool isBackedOff(const std::string& address, Nanoseconds now) const;
    // The addresses, those without a back-off first.
    Addresses ranked(const Addresses& preferred, Nanoseconds now) const;
    // The address to try beside the present parent, or in its place.
    std::optional<std::string> nextCandidate(const Addresses& preferred, Nanoseconds now) const;
    // Whether it is time to dial; if not, the addresses need not be looked up.
    bool canDial(Nanoseconds now) const;
    // The address to dial now, if any; the dial counts as open until dialEnded().
    std::optional<std::string> startDial(const Addresses& preferred, Nanoseconds now);
    void dialEnded() { --openDials_; }
    // Advances the clock of a search. Returns a log line where the invariant below is violated.
    std::optional<std::string> tick(const Addresses& preferred, Nanoseconds now);
    // Invariant: an agent without a lease has tried every other parent within a time that depends on their
    // number.
    const gossip::Invariant& allTried() const { return allTried_; }

private:
    struct Backoff {
        Nanoseconds until = 0, length = 0;
    };
    bool isPreferred(const std::string& address, const Addresses& preferred) const;
    std::size_t untriedCount(const Addresses& preferred) const;

    std::string parent_;
    Nanoseconds parentSetAt_ = 0, leaseGrantedAt_ = 0, nextDialAt_ = 0, nextBetterAt_ = 0;
    int openDials_ = 0;
    std::map<std::string, Backoff> backoffs_;
    std::map<std::string, Nanoseconds> triedAt_;  // since the last lease
    // For how long a search over the same list of addresses has lasted, counted tick by tick.
    Nanoseconds searchedFor_ = 0, tickedAt_ = 0;
    Addresses searched_;
    gossip::Invariant allTried_{"an agent without a lease tries every parent in time"};
};

}  // namespace granitereel::agent
