// What is kept of stores: where each listens, and the connections that are open to it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "inbox.hpp"
#include "places/places.hpp"

namespace granitereel {

namespace asio = boost::asio;
using asio::ip::tcp;

using AddressBook = std::map<std::string, tcp::endpoint, std::less<>>;

// A connection to a store. It carries one statement at a time.
struct Line : std::enable_shared_from_this<Line> {
    Line(asio::any_io_executor on, std::string to, Budget& budget, std::size_t& count)
        : socket(on), limit(on), inbox(budget), store(std::move(to)), open(count) {
        ++open;
    }
    ~Line() { --open; }
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    // Closed at `when`, which ends whatever is awaited on it, unless it is released before.
    void closeAt(asio::steady_timer::time_point when);
    void release();
    // Closed now, as its launch is called back.
    void abandon();

    tcp::socket socket;
    asio::steady_timer limit;
    Inbox inbox;
    std::string store;
    std::size_t& open;
    std::int64_t idleSince = 0;
    bool overdue = false, calledBack = false;
    unsigned turn = 0;  // of the limit: one that has fired but not yet run says nothing of the next
};

// The connections that wait for their next statement.
class LinePool {
public:
    LinePool(asio::any_io_executor on, const Places& places, std::int64_t idleLimit)
        : on_(on), places_(places), idleLimit_(idleLimit) {}

    // The one used last, if the store still holds it; null if there is none.
    std::shared_ptr<Line> take(const std::string& store, std::int64_t now);
    // A new one, not yet connected; null where as many are open as may be.
    std::shared_ptr<Line> make(const std::string& store, Budget& budget);
    void put(std::shared_ptr<Line> line, std::int64_t now);
    void hangUp(const std::string& store) { idle_.erase(store); }
    // Where a client needs the place of a connection, the one idle longest goes; false where none is idle.
    bool makeWay() { return !places_.lineMakesWay(open_) || dropOldest(); }
    // Lets go of those that the store has closed or soon will.
    void sweep(std::int64_t now);
    std::size_t open() const { return open_; }

private:
    bool usable(Line& line, std::int64_t now) const;
    bool dropOldest();

    asio::any_io_executor on_;
    const Places& places_;
    std::size_t open_ = 0;
    std::int64_t idleLimit_;
    std::map<std::string, std::vector<std::shared_ptr<Line>>> idle_;
};

}  // namespace granitereel
