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

#include "nanoseconds.hpp"

namespace granitereel::control {

// What members said of their leases, as hints of where to send a caller: nothing is decided by them.
class Contacts {
public:
    // `left`: of the member's lease, when it said so.
    void heard(const std::string& member, Nanoseconds left, Nanoseconds now) { until_[member] = now + left; }
    void lost(const std::string& member) { until_.erase(member); }
    // The member whose lease lasts longest, if any still does.
    std::optional<std::string> best(Nanoseconds now) const;

private:
    std::map<std::string, Nanoseconds> until_;
};

// Calls that came while this member had no lease. They are short of it for a moment only after a start or a
// late answer; else the caller is sent on.
class WaitingCalls {
public:
    struct Call {
        std::uint64_t number = 0;
        std::function<void(Nanoseconds now)> run;
        Nanoseconds until = 0;
    };
    // Longer than a round of the lease and the way there and back, well under the second that callers wait.
    static constexpr Nanoseconds waits = milliseconds(300);

    void add(std::uint64_t number, std::function<void(Nanoseconds)> run, Nanoseconds now);
    // All of them, once there is a lease.
    std::vector<Call> takeAll() { return std::exchange(calls_, {}); }
    // Those that have waited long enough.
    std::vector<Call> takeOverdue(Nanoseconds now);

private:
    std::vector<Call> calls_;
};

}  // namespace granitereel::control
