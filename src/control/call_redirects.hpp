// Which members say that they are in contact with a majority of the voters, and the calls that wait for this
// member's own contact. Free of I/O, clocks and chance.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "nanos.hpp"

namespace granitereel::control {

// What members said of their leases, as hints of where to send a caller: nothing is decided by them.
class RedirectHints {
public:
    // `left`: of the member's lease, when it said so.
    void update(const std::string& member, Nanos leaseLeft, Nanos now) {
        leaseEnd_[member] = now + leaseLeft;
    }
    void remove(const std::string& member) { leaseEnd_.erase(member); }
    // The member whose lease lasts longest, if any still does.
    std::optional<std::string> longestLease(Nanos now) const;

private:
    std::map<std::string, Nanos> leaseEnd_;
};

// Calls that came while this member had no lease. They are short of it for a moment only after a start or a
// late answer; else the caller is sent on.
class CallsAwaitingLease {
public:
    struct Call {
        std::uint64_t number = 0;
        std::function<void(Nanos now)> run;
        Nanos deadline = 0;
    };
    // Longer than a round of the lease and the way there and back, well under the second that callers wait.
    static constexpr Nanos maxWait = millis(300);

    void add(std::uint64_t number, std::function<void(Nanos)> run, Nanos now);
    // All of them, once there is a lease.
    std::vector<Call> takeAll() { return std::exchange(calls_, {}); }
    // Those that have waited long enough.
    std::vector<Call> takeExpired(Nanos now);

private:
    std::vector<Call> calls_;
};

}  // namespace granitereel::control
