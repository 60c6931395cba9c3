// A store's response to the STATUS statement, as read by control and the proxy.
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
// Parses "role term position-received term-held lag-ms busy connections"; none if malformed.
std::optional<StoreStatus> parseStoreStatus(const std::string& fields);

}  // namespace granitereel
