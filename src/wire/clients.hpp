// Speaks to clients: takes their connections, reads what they ask and answers in order.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "facade/async_router.hpp"
#include "memory/clients.hpp"
#include "wire/stores.hpp"

namespace granitereel {

class Clients {
public:
    Clients(asio::any_io_executor on, const Clock& clock, AsyncRouter& desk, Stores& stores, Budget& budget,
            const std::vector<TransactionClass>& classes, DescriptorBudget& places);

    // Takes connections until the acceptor is closed.
    asio::awaitable<void> listen(tcp::acceptor& acceptor);
    // Closes the connections on which nothing is asked; from now on the others, too, each with its next
    // answer.
    void closeQuiet();
    // Closes those that have kept the front waiting for too long, and those whose places others need.
    void tidy() {
        table_.closeOverdue();
        table_.relieve();
    }
    std::size_t count() const { return table_.count(); }

private:
    struct Known;
    asio::awaitable<void> read(std::shared_ptr<Client> client);
    asio::awaitable<bool> welcome(std::shared_ptr<Client> client);
    asio::awaitable<bool> more(std::shared_ptr<Client> client, std::size_t whole);
    asio::awaitable<void> passOver(std::shared_ptr<Client> client);
    asio::awaitable<void> answerAll(std::shared_ptr<Client> client);
    asio::awaitable<std::string> answer(std::shared_ptr<Client> client, std::string statement);
    asio::awaitable<bool> write(std::shared_ptr<Client> client, std::string answer);
    asio::awaitable<bool> writeLast(std::shared_ptr<Client> client, std::string answer);
    void ask(Client& client, Asked asked);
    bool readAll(Client& client, std::size_t& wanted);

    asio::any_io_executor on_;
    const Clock& clock_;
    AsyncRouter& desk_;
    Stores& stores_;
    Budget& budget_;
    std::map<std::string, int, std::less<>> classes_;
    std::vector<bool> sessions_, writes_;  // by class: whether the key names a session, whether it writes
    DescriptorBudget& places_;
    ClientTable table_;
    bool closing_ = false;
};

}  // namespace granitereel
