// The history of calls on one register whose values carry a number that only grows, and the check that some
// single register could have answered so. It looks at calls and answers alone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nanoseconds.hpp"

namespace granitereel::standins {

struct RegisterCall {
    std::string caller;
    bool write = false;
    Nanoseconds start = 0;
    std::optional<Nanoseconds> end;  // none: not answered, or without saying whether it ran
    std::uint64_t number = 0;        // written, or read; 0: nothing was there
    std::string body;
};

class RegisterHistory {
public:
    // Calls are named by their place in the history.
    std::size_t begin(const std::string& caller, bool write, Nanoseconds now, std::uint64_t number = 0,
                      const std::string& body = {}) {
        calls_.push_back({caller, write, now, std::nullopt, number, body});
        return calls_.size() - 1;
    }
    void acknowledged(std::size_t call, Nanoseconds now) { calls_[call].end = now; }
    void read(std::size_t call, Nanoseconds now, std::uint64_t number, const std::string& body) {
        calls_[call].end = now;
        calls_[call].number = number;
        calls_[call].body = body;
    }
    const std::vector<RegisterCall>& calls() const { return calls_; }

    // What no register of growing numbers could have answered; empty: nothing.
    std::vector<std::string> faults() const {
        std::vector<std::string> found;
        std::map<std::uint64_t, std::string> bodies;
        for (const RegisterCall& later : calls_) {
            if (later.write || !later.end) continue;
            const auto known = bodies.try_emplace(later.number, later.body).first;
            if (known->second != later.body) found.push_back("two bodies read: " + text(later));
            if (later.number != 0 && !wasWritten(later)) found.push_back("never written: " + text(later));
            for (const RegisterCall& earlier : calls_)
                if (earlier.end && *earlier.end < later.start && earlier.number > later.number)
                    found.push_back("lost: " + text(earlier) + ", then " + text(later));
        }
        return found;
    }

private:
    bool wasWritten(const RegisterCall& read) const {
        for (const RegisterCall& each : calls_)
            if (each.write && each.number == read.number && each.body == read.body && each.start < *read.end)
                return true;
        return false;
    }
    static std::string text(const RegisterCall& call) {
        return call.caller + (call.write ? " wrote " : " read ") + std::to_string(call.number) + " '" +
               call.body + "' from " + std::to_string(call.start / milliseconds(1)) + " to " +
               std::to_string(call.end.value_or(0) / milliseconds(1)) + " ms";
    }

    std::vector<RegisterCall> calls_;
};

}  // namespace granitereel::standins
