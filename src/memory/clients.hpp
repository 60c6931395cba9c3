// What is kept of clients: their connections, and the statements that wait on each for their turn.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "clock.hpp"
#include "descriptors/descriptor_budget.hpp"
#include "inbox.hpp"

namespace granitereel {

namespace asio = boost::asio;
using asio::ip::tcp;

class TransactionHandle;
class ClientTable;

// What a client has asked for and what waits for its turn; a fault is the last thing that is answered.
struct Asked {
    std::string statement;
    std::string faultCode, fault;
    Claim claim = {};
};

struct Client : std::enable_shared_from_this<Client> {
    using Steady = std::chrono::steady_clock;
    static constexpr Steady::time_point never = Steady::time_point::max();

    Client(tcp::socket from, Budget& budget)
        : socket(std::move(from)), inbox(budget), bell(socket.get_executor()) {}
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void close();
    // It has asked for something that could be taken in hand.
    void prove();
    // Nothing more is asked of the front here than what it is answering, not even in bytes that it has yet to
    // read.
    bool asksNoMore();
    // Nothing is asked of the front here.
    bool quiet() { return !busy && asksNoMore(); }
    // While on, the end of what is written stays in the system's buffer, for the end of the connection to
    // leave with it. What is held for 200 ms leaves all the same.
    void holdBack(bool on);
    bool quietFor(std::chrono::milliseconds span) { return heard <= Steady::now() - span && quiet(); }
    bool unread();
    // Nobody counts it any more.
    void leaveTable();

    tcp::socket socket;
    Inbox inbox;
    std::deque<Asked> waiting;
    std::size_t waitingBytes = 0;
    asio::steady_timer bell;  // rings when something is asked, answered or over
    std::shared_ptr<TransactionHandle> inHand;
    bool busy = false, gone = false;
    bool proven = false;
    bool deaf = false;    // it gets a last answer, and what it says from then on is passed over
    bool told = false;    // it has had that answer
    bool floods = false;  // it goes on speaking for longer than it is listened to
    Steady::time_point heard = Steady::now();
    // When the table closes it: what it must have said by then, what it must have taken.
    Steady::time_point sayBy = never, takeBy = never;
    ClientTable* kept = nullptr;
    DescriptorBudget::ClientId seat = 0;
    std::list<Client*>::iterator place;
};

// All clients. It tells their places what they do, and closes those that these name.
class ClientTable {
public:
    ClientTable(DescriptorBudget& places, const Clock& clock) : places_(places), clock_(clock) {}
    void add(Client& client);
    // Something has come from it, or was written to it.
    void touch(Client& client);
    std::size_t count() const { return all_.size(); }
    // Whether one more may come, once another has made way if need be; the same of asking.
    bool hasPlace();
    bool admits();
    // Closes those that are to make way before the table is full.
    void relieve();
    void closeQuiet(std::chrono::milliseconds span);
    void closeOverdue();

private:
    friend struct Client;
    using Choice = std::optional<DescriptorBudget::ClientId> (DescriptorBudget::*)(Nanoseconds);
    bool makeWay(Choice choice);
    DescriptorBudget& places_;
    const Clock& clock_;
    std::list<Client*> all_;
    std::unordered_map<DescriptorBudget::ClientId, Client*> bySeat_;
};

}  // namespace granitereel
