// A statement that must hold while a process runs. A violation is counted and logged, and the process goes
// on; the caller decides what follows from it. Checked in every build.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace granitereel::gossip {

class Invariant {
public:
    explicit Invariant(std::string statement) : statement_(std::move(statement)) {}

    // Returns a log line at the first violation, the second, the fourth, the eighth and so on.
    std::optional<std::string> check(bool holds, const std::string& detail);
    std::uint64_t violations() const { return violations_; }

private:
    std::string statement_;
    std::uint64_t violations_ = 0;
};

}  // namespace granitereel::gossip
