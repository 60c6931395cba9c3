// A TCP connection on the loop's one thread: what arrives is handed on as bytes, what is sent is gathered and
// written once a turn. Nothing of what the bytes mean is known here.
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

// "10.1.0.8:8784" as an endpoint. Throws std::invalid_argument where it is none.
tcp::endpoint endpointOf(const std::string& address);

class Stream : public std::enable_shared_from_this<Stream> {
public:
    // Takes all bytes that are there and says how many it has used; the rest is shown again with what
    // follows.
    using OnBytes = std::function<std::size_t(std::string_view)>;
    // The connection is gone, once, and never after close(). `refused`: it never came about, and the other
    // side said so at once.
    using OnEnd = std::function<void(bool refused)>;

    // A connection that was accepted.
    static std::shared_ptr<Stream> over(tcp::socket socket);
    // One to be made. `within_ms`: silence after which it counts as gone, while connecting and, by the
    // system's own clock, while sent bytes stay unacknowledged.
    static std::shared_ptr<Stream> to(asio::io_context& loop, const tcp::endpoint& where, int within_ms,
                                      std::function<void()> onOpen);
    ~Stream();

    // Begins reading. To be called once; for a connection to be made, before or after it opens.
    void start(OnBytes onBytes, OnEnd onEnd);
    void send(std::string_view bytes);
    // Bytes sent and not yet taken by the system.
    std::size_t unsent() const { return out_.size() - written_; }
    // Stops and resumes reading, so that who sends is held up.
    void hold(bool on);
    // Writes what was sent, ends the sending half and reads to the other side's end for a second at most, as
    // a close over unread bytes would reset the connection and lose them.
    void finish();
    // Ends it at once; what is unsent is dropped.
    void close();
    bool open() const { return open_; }

private:
    explicit Stream(tcp::socket socket);
    void opened(int silence_ms);
    void readMore();
    void flush();
    void gone(bool refused);

    tcp::socket socket_;
    asio::steady_timer timer_;
    OnBytes onBytes_;
    OnEnd onEnd_;
    std::string in_, out_;
    std::size_t written_ = 0;
    bool open_ = false, reading_ = false, held_ = false, flushing_ = false, waiting_ = false,
         finishing_ = false, closed_ = false;
};

// Takes connections at an address until it is destroyed. Throws boost::system::system_error where it can't
// listen.
class Listener {
public:
    using OnStream = std::function<void(std::shared_ptr<Stream>)>;
    Listener(asio::io_context& loop, const tcp::endpoint& where, OnStream onStream);
    void stop();

private:
    void take();
    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    OnStream onStream_;
};

}  // namespace granitereel::transport
