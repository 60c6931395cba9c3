// One statement of the system's own at a store, over a connection of its own.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "transport/stream.hpp"

namespace granitereel::transport {

// `done` gets the fields of the answer's row, or none where there was no whole answer in time, or an error.
void storeCall(asio::io_context& loop, const tcp::endpoint& where, const std::string& service,
               const std::string& storeId, const std::string& text, int within_ms,
               std::function<void(std::optional<std::string> row)> done);

}  // namespace granitereel::transport
