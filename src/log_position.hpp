// A position in a store's log: TERM.NUMBER, compared by term first.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace granitereel {

struct LogPosition {
    std::uint64_t term = 0, number = 0;
    auto operator<=>(const LogPosition&) const = default;
};
// None if the text is malformed; "-", for no position, is malformed too.
std::optional<LogPosition> parseLogPosition(std::string_view text);
std::string toString(const LogPosition& position);

}  // namespace granitereel
