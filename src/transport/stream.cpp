#include "transport/stream.hpp"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <stdexcept>

namespace granitereel::transport {

namespace {
using boost::system::error_code;
// One for all connections: only the bytes of an incomplete message are copied to the stream's own buffer.
std::array<char, 64 * 1024> receiveBuffer;
}  // namespace

tcp::endpoint endpointOf(const std::string& address) {
    const auto colon = address.rfind(':');
    error_code ec;
    const auto ip = asio::ip::make_address_v4(address.substr(0, colon), ec);
    int port = 0;
    if (colon != std::string::npos) try {
            port = std::stoi(address.substr(colon + 1));
        } catch (const std::exception&) {
        }
    if (ec || port <= 0 || port > 65535)
        throw std::invalid_argument("not an address with a port: " + address);
    return {ip, static_cast<unsigned short>(port)};
}

Stream::Stream(tcp::socket socket) : socket_(std::move(socket)), timer_(socket_.get_executor()) {}
Stream::~Stream() = default;

std::shared_ptr<Stream> Stream::accepted(tcp::socket socket) {
    std::shared_ptr<Stream> stream(new Stream(std::move(socket)));
    stream->established(10'000);
    return stream;
}

std::shared_ptr<Stream> Stream::connect(asio::io_context& loop, const tcp::endpoint& endpoint, int timeout_ms,
                                        std::function<void()> onOpen) {
    std::shared_ptr<Stream> stream(new Stream(tcp::socket(loop)));
    stream->timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    stream->timer_.async_wait([weak = std::weak_ptr(stream)](error_code ec) {
        if (const auto self = weak.lock(); self && !ec && !self->open_) self->connectionLost(false);
    });
    stream->socket_.async_connect(endpoint, [stream, timeout_ms, onOpen = std::move(onOpen)](error_code ec) {
        if (stream->closed_) return;
        stream->timer_.cancel();
        if (ec) return stream->connectionLost(true);
        stream->established(timeout_ms);
        onOpen();
        if (stream->onBytes_) stream->read();
        stream->flush();
    });
    return stream;
}

void Stream::established(int timeout_ms) {
    open_ = true;
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    const unsigned value = static_cast<unsigned>(timeout_ms);
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

void Stream::start(OnBytes onBytes, OnEnd onEnd) {
    onBytes_ = std::move(onBytes);
    onEnd_ = std::move(onEnd);
    if (open_) read();
}

void Stream::setReadingPaused(bool paused) {
    readingPaused_ = paused;
    if (!paused && open_) read();
}

void Stream::read() {
    if (reading_ || readingPaused_ || closed_) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->reading_ = false;
        if (self->closed_) return;
        if (ec) return self->connectionLost(false);
        error_code failed;
        const std::size_t received = self->socket_.read_some(asio::buffer(receiveBuffer), failed);
        if (failed == asio::error::would_block) return self->read();
        if (failed) return self->connectionLost(false);
        if (!self->finishing_) {
            std::string_view bytes(receiveBuffer.data(), received);
            if (!self->in_.empty()) {
                self->in_.append(bytes);
                const std::size_t consumed = self->onBytes_(self->in_);
                self->in_.erase(0, consumed);
            } else if (const std::size_t consumed = self->onBytes_(bytes); consumed < received) {
                self->in_.assign(bytes.substr(consumed));
            }
            if (self->in_.empty() && self->in_.capacity() > 4096) std::string().swap(self->in_);
        }
        self->read();
    });
}

void Stream::send(std::string_view bytes) {
    if (closed_ || finishing_) return;
    out_.append(bytes);
    if (flushScheduled_ || waitingToWrite_ || !open_) return;
    flushScheduled_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushScheduled_ = false;
        self->flush();
    });
}

void Stream::flush() {
    if (!open_ || closed_ || waitingToWrite_) return;
    while (written_ < out_.size()) {
        error_code ec;
        written_ += socket_.write_some(asio::buffer(out_.data() + written_, out_.size() - written_), ec);
        if (ec == asio::error::would_block) {
            waitingToWrite_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
                self->waitingToWrite_ = false;
                if (self->closed_) return;
                if (failed) return self->connectionLost(false);
                self->flush();
            });
            return;
        }
        if (ec) return connectionLost(false);
    }
    out_.clear();
    written_ = 0;
    if (out_.capacity() > 16384) std::string().swap(out_);
    if (finishing_) {
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
}

void Stream::finish() {
    if (closed_ || finishing_) return;
    if (!open_) return close();
    finishing_ = true;
    onEnd_ = nullptr;
    readingPaused_ = false;
    read();
    flush();
    timer_.expires_after(std::chrono::seconds(1));
    timer_.async_wait([self = shared_from_this()](error_code) { self->close(); });
}

void Stream::close() {
    if (std::exchange(closed_, true)) return;
    open_ = false;
    onEnd_ = nullptr;
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
}

void Stream::connectionLost(bool refused) {
    auto onEnd = std::move(onEnd_);
    close();
    if (onEnd) onEnd(refused);
}

Listener::Listener(asio::io_context& loop, const tcp::endpoint& endpoint, OnStream onStream)
    : acceptor_(loop), retryTimer_(loop), onStream_(std::move(onStream)) {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(1024);
    accept();
}

void Listener::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
}

void Listener::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
            // Most likely out of file descriptors: waiting connections are accepted when some are free again.
            retryTimer_.expires_after(std::chrono::milliseconds(20));
            retryTimer_.async_wait([this](error_code stopped) {
                if (!stopped) accept();
            });
            return;
        }
        onStream_(Stream::accepted(std::move(socket)));
        accept();
    });
}

}  // namespace granitereel::transport
