// What is kept of stores: where each listens, and the connections that are open to it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "descriptors/descriptor_budget.hpp"
#include "inbox.hpp"

namespace granitereel {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tls {
class TlsStream;
}

// What the list says of a store, as far as reaching it goes.
struct Where {
    tcp::endpoint at;
    int group = 0;
    std::int64_t started = 0;  // when, in nanoseconds of Unix time; 0: long ago
    std::string listed;        // the name for its certificate, where the list has one
};
using AddressBook = std::map<std::string, Where, std::less<>>;

// A connection to a store. It carries one statement at a time.
struct Line : std::enable_shared_from_this<Line> {
    Line(asio::any_io_executor on, std::string to, Budget& budget, std::size_t& count);
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    // Closed at `when`, which ends whatever is awaited on it, unless it is released before.
    void closeAt(asio::steady_timer::time_point when);
    void release();
    // Closed now, as its launch is called back.
    void abandon();
    bool ended() const { return overdue || calledBack; }
    // Sealed or not: at least one byte, or the end; all bytes, or an error where the last has not gone out.
    asio::awaitable<std::pair<boost::system::error_code, std::size_t>> read(std::span<char> to);
    asio::awaitable<boost::system::error_code> write(std::span<const asio::const_buffer> pieces);

    tcp::socket socket;
    asio::steady_timer limit;
    Inbox inbox;
    std::string store;
    std::size_t& open;
    std::int64_t idleSince = 0;
    bool overdue = false, calledBack = false;
    unsigned limitNo = 0;  // of the limit: one that has fired but not yet run says nothing of the next
    // TLS, where it is on: made under which trust; its turn for a handshake; what wakes it while it waits.
    std::unique_ptr<tls::TlsStream> seal;
    unsigned epoch = 0;
    std::uint64_t turn = 0;
    std::function<void()> wakes;
};

// The connections that wait for their next statement.
class LinePool {
public:
    LinePool(asio::any_io_executor on, const DescriptorBudget& places, std::int64_t idleLimit)
        : on_(on), places_(places), idleLimit_(idleLimit) {}

    // The one used last, if the store still holds it; null if there is none.
    std::shared_ptr<Line> take(const std::string& store, std::int64_t now);
    // A new one, not yet connected; null where as many are open as may be.
    std::shared_ptr<Line> make(const std::string& store, Budget& budget);
    void put(std::shared_ptr<Line> line, std::int64_t now);
    void hangUp(const std::string& store) { idle_.erase(store); }
    // Where a client needs the place of a connection, the one idle longest goes; false where none is idle.
    bool makeWay() { return !places_.mustCloseStoreConnection(open_) || dropOldest(); }
    // Lets go of those that the store has closed or soon will.
    void sweep(std::int64_t now);
    std::size_t open() const { return open_; }
    // Of the idle lines that `which` holds for: the stores, each with when one was used last, and how many.
    using Which = std::function<bool(const Line&)>;
    std::map<std::string, std::int64_t> lastUsed(const Which& which, std::size_t& count) const;
    void closeOne(const std::string& store, const Which& which);  // the one idle longest
    void closeAll(const Which& which);

private:
    bool usable(Line& line, std::int64_t now) const;
    bool dropOldest();

    asio::any_io_executor on_;
    const DescriptorBudget& places_;
    std::size_t open_ = 0;
    std::int64_t idleLimit_;
    std::map<std::string, std::vector<std::shared_ptr<Line>>> idle_;
};

}  // namespace granitereel
