// What a store says of itself when it is asked for its status, as control and the proxy read it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "mark.hpp"

namespace granitereel {

struct StoreRow {
    bool primary = false;
    std::uint64_t term = 0;
    Mark received;
    std::uint64_t held = 0;  // the newest term it was paused or told to step down at
};
// Of "role term position-received term-held lag-ms busy connections"; none: not of that form.
std::optional<StoreRow> readRow(const std::string& fields);

}  // namespace granitereel
