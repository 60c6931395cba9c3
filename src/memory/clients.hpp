// What is kept of clients: their connections, and the statements that wait on each for their turn.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include "inbox.hpp"

namespace granitereel {

namespace asio = boost::asio;
using asio::ip::tcp;

class Ticket;

// What a client has asked for and what waits for its turn; a fault is the last thing that is answered.
struct Asked {
    std::string statement;
    std::string faultCode, fault;
    Claim claim = {};
};

struct Client : std::enable_shared_from_this<Client> {
    Client(tcp::socket from, Budget& budget)
        : socket(std::move(from)), inbox(budget), bell(socket.get_executor()), limit(socket.get_executor()) {}
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Closed at `when` unless released before.
    void closeAt(asio::steady_timer::time_point when);
    void release();
    void close();
    // Nothing is asked of the front here, not even in bytes that it has yet to read, and was not for a while.
    bool quietFor(std::chrono::milliseconds span);
    // Nobody counts it any more.
    void leaveTable();

    tcp::socket socket;
    Inbox inbox;
    std::deque<Asked> waiting;
    std::size_t waitingBytes = 0;
    asio::steady_timer bell, limit;  // the bell rings when something is asked, answered or over
    std::shared_ptr<Ticket> inHand;
    bool busy = false, gone = false, surplus = false;
    bool deaf = false;  // it gets a last answer, and what it says from then on is passed over
    unsigned turn = 0;
    std::chrono::steady_clock::time_point heard = std::chrono::steady_clock::now();
    std::list<Client*>* kept = nullptr;
    std::list<Client*>::iterator place;
};

// All clients, the one heard from longest ago first.
class ClientTable {
public:
    explicit ClientTable(std::size_t most) : most_(most) {}
    void add(Client& client);
    void touch(Client& client);
    std::size_t count() const { return all_.size(); }
    bool full() const { return all_.size() > most_; }
    // Closes the one that has been quiet longest, if it was so for long enough that no request is on its way.
    void evict();
    void closeQuiet(std::chrono::milliseconds span);

private:
    std::size_t most_;
    std::list<Client*> all_;
};

}  // namespace granitereel
