// One statement of the system's own at a store, over a connection of its own.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "transport/stream.hpp"

namespace granitereel::transport {

// `done` gets the fields of the answer's row, or none where there was no whole answer in time, or an error.
// The statement is sent once. `mayLeave` is asked right before it is written; where it says no, nothing is.
void storeCall(
    asio::io_context& loop, const tcp::endpoint& where, const std::string& service,
    const std::string& storeId, const std::string& text, int within_ms,
    std::function<void(std::optional<std::string> row)> done,
    std::function<bool()> mayLeave = [] { return true; });

}  // namespace granitereel::transport
