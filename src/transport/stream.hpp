// A TCP connection on the event loop's single thread. Received bytes are passed to a handler; sent bytes are
// buffered and written once per turn of the loop. Knows nothing of the protocol.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace granitereel::transport {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// "10.1.0.8:8784" as an endpoint. Throws std::invalid_argument for any other text.
tcp::endpoint endpointOf(const std::string& address);

class Stream : public std::enable_shared_from_this<Stream> {
public:
    // Gets all bytes received so far and returns how many it has consumed; the others are passed again
    // together with those that follow.
    using OnBytes = std::function<std::size_t(std::string_view)>;
    // The connection is lost. Called once at most, and never after close(). `refused`: it was never
    // established, as the attempt failed with an error and not by timeout.
    using OnEnd = std::function<void(bool refused)>;

    static std::shared_ptr<Stream> accepted(tcp::socket socket);
    // `timeout_ms`: the connection is given up when connecting takes longer or, by the kernel's own timer,
    // when sent bytes stay unacknowledged for longer.
    static std::shared_ptr<Stream> connect(asio::io_context& loop, const tcp::endpoint& endpoint,
                                           int timeout_ms, std::function<void()> onOpen);
    ~Stream();

    // Starts reading. To be called once; where this side connects, before or after the connection is
    // established.
    void start(OnBytes onBytes, OnEnd onEnd);
    void send(std::string_view bytes);
    // Bytes sent and not yet accepted by the kernel.
    std::size_t unsentBytes() const { return out_.size() - written_; }
    // Pausing slows the peer down by TCP's flow control.
    void setReadingPaused(bool paused);
    // Writes what was sent, shuts the sending side down and reads until the peer's end of stream, for a
    // second at most: closing with unread bytes would reset the connection, and what was sent would be lost.
    void finish();
    // Closes at once; unsent bytes are dropped.
    void close();
    bool isOpen() const { return open_; }

private:
    explicit Stream(tcp::socket socket);
    void established(int timeout_ms);
    void read();
    void flush();
    void connectionLost(bool refused);

    tcp::socket socket_;
    asio::steady_timer timer_;
    OnBytes onBytes_;
    OnEnd onEnd_;
    std::string in_, out_;
    std::size_t written_ = 0;
    bool open_ = false, reading_ = false, readingPaused_ = false, flushScheduled_ = false,
         waitingToWrite_ = false, finishing_ = false, closed_ = false;
};

// Accepts connections at an address until it is stopped or destroyed. Throws boost::system::system_error
// where it can't listen.
class Listener {
public:
    using OnStream = std::function<void(std::shared_ptr<Stream>)>;
    Listener(asio::io_context& loop, const tcp::endpoint& endpoint, OnStream onStream);
    void stop();

private:
    void accept();
    tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    OnStream onStream_;
};

}  // namespace granitereel::transport
