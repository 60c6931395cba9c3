// Redirection of calls: which members report a lease, i.e. contact with a majority of the voters, and the
// calls that wait for this member's own lease. Free of I/O, clocks and randomness.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "nanoseconds.hpp"

namespace granitereel::control {

// Lease times reported by members, as hints of where to redirect a caller; no decision depends on them.
class RedirectHints {
public:
    // `leaseLeft`: remaining lease time of the member when it sent the report.
    void update(const std::string& member, Nanoseconds leaseLeft, Nanoseconds now) {
        leaseEnd_[member] = now + leaseLeft;
    }
    void remove(const std::string& member) { leaseEnd_.erase(member); }
    // The member with the longest remaining lease, if any is still valid.
    std::optional<std::string> longestLease(Nanoseconds now) const;

private:
    std::map<std::string, Nanoseconds> leaseEnd_;
};

// Calls that arrived while this member had no lease. It usually gets one within moments (after a start or a
// late reply); otherwise the caller is redirected.
class CallsAwaitingLease {
public:
    struct Call {
        std::uint64_t number = 0;
        std::function<void(Nanoseconds now)> run;
        Nanoseconds deadline = 0;
    };
    // Longer than a lease round and a round trip, well below the second that callers wait.
    static constexpr Nanoseconds maxWait = milliseconds(300);

    void add(std::uint64_t number, std::function<void(Nanoseconds)> run, Nanoseconds now);
    // Removes and returns all calls, once there is a lease.
    std::vector<Call> takeAll() { return std::exchange(calls_, {}); }
    // Removes and returns the calls that have waited for `maxWait`.
    std::vector<Call> takeExpired(Nanoseconds now);

private:
    std::vector<Call> calls_;
};

}  // namespace granitereel::control
