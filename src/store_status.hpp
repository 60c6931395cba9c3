// What a store says of itself when it is asked for its status, as control and the proxy read it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "log_position.hpp"

namespace granitereel {

struct StoreStatus {
    bool primary = false;
    std::uint64_t term = 0;
    LogPosition receivedPosition;
    std::uint64_t fencedTerm = 0;  // the newest term at which it was paused or told to step down
};
// Of "role term position-received term-held lag-ms busy connections"; none: not of that form.
std::optional<StoreStatus> parseStoreStatus(const std::string& fields);

}  // namespace granitereel
