// Speaks to discovery: keeps a watch on the list of stores, and asks for the whole of it.
#pragma once

#include <simdjson.h>

#include <boost/asio/awaitable.hpp>

#include "facade/async_router.hpp"
#include "memory/stores.hpp"

namespace granitereel {

class Discovery {
public:
    Discovery(asio::any_io_executor on, AsyncRouter& desk, AddressBook& book,
              const std::vector<std::string>& zones, tcp::endpoint at)
        : on_(on), desk_(desk), book_(book), zones_(zones), at_(at) {}

    // One list as discovery writes it. Throws where it is none; passes over entries that lack something.
    void read(const simdjson::dom::object& list);
    // Watches from the last index on, unless a watch stands; returns when it has ended.
    asio::awaitable<void> follow();
    // Discovery listens elsewhere from now on: ends the watch; the next one asks for the whole list.
    void moveTo(tcp::endpoint at);
    asio::awaitable<void> ask();

private:
    struct Call;
    asio::awaitable<void> call(std::shared_ptr<Call> held, std::string target, bool watch);

    asio::any_io_executor on_;
    AsyncRouter& desk_;
    AddressBook& book_;
    const std::vector<std::string>& zones_;
    tcp::endpoint at_;
    std::int64_t index_ = 0;
    std::shared_ptr<Call> watch_;
    simdjson::dom::parser parser_;
};

// An address as it is given: digits, dots and a port. Throws std::invalid_argument.
tcp::endpoint endpointOf(std::string_view text);

}  // namespace granitereel
