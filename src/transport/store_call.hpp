// Runs one statement of the system itself at a store, over a connection of its own.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "transport/stream.hpp"

namespace granitereel::transport {

// `done` gets the fields of the row in the response; nullopt where there was no complete response in time, or
// an error. The statement is sent at most once. `maySend` is called right before that; where it returns
// false, nothing is sent.
void storeCall(
    asio::io_context& loop, const tcp::endpoint& endpoint, const std::string& service,
    const std::string& storeId, const std::string& text, int timeout_ms,
    std::function<void(std::optional<std::string> row)> done,
    std::function<bool()> maySend = [] { return true; });

}  // namespace granitereel::transport
