// A position in a store's log: TERM.NUMBER, compared by term first.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace granitereel {

struct Mark {
    std::uint64_t term = 0, number = 0;
    auto operator<=>(const Mark&) const = default;
};
// None where the text is not of this form, as "-" is.
std::optional<Mark> readMark(std::string_view text);
std::string written(const Mark& mark);

}  // namespace granitereel
