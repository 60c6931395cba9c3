#include "transport/stream.hpp"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <stdexcept>

namespace granitereel::transport {

namespace {
using boost::system::error_code;
// One for all connections: bytes are copied on only where a message is not whole yet.
std::array<char, 64 * 1024> shared;
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

std::shared_ptr<Stream> Stream::over(tcp::socket socket) {
    std::shared_ptr<Stream> made(new Stream(std::move(socket)));
    made->opened(10'000);
    return made;
}

std::shared_ptr<Stream> Stream::to(asio::io_context& loop, const tcp::endpoint& where, int within_ms,
                                   std::function<void()> onOpen) {
    std::shared_ptr<Stream> made(new Stream(tcp::socket(loop)));
    made->timer_.expires_after(std::chrono::milliseconds(within_ms));
    made->timer_.async_wait([weak = std::weak_ptr(made)](error_code ec) {
        if (const auto self = weak.lock(); self && !ec && !self->open_) self->gone(false);
    });
    made->socket_.async_connect(where, [made, within_ms, onOpen = std::move(onOpen)](error_code ec) {
        if (made->closed_) return;
        made->timer_.cancel();
        if (ec) return made->gone(true);
        made->opened(within_ms);
        onOpen();
        if (made->onBytes_) made->readMore();
        made->flush();
    });
    return made;
}

void Stream::opened(int silence_ms) {
    open_ = true;
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    const unsigned value = static_cast<unsigned>(silence_ms);
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

void Stream::start(OnBytes onBytes, OnEnd onEnd) {
    onBytes_ = std::move(onBytes);
    onEnd_ = std::move(onEnd);
    if (open_) readMore();
}

void Stream::hold(bool on) {
    held_ = on;
    if (!on && open_) readMore();
}

void Stream::readMore() {
    if (reading_ || held_ || closed_) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->reading_ = false;
        if (self->closed_) return;
        if (ec) return self->gone(false);
        error_code failed;
        const std::size_t n = self->socket_.read_some(asio::buffer(shared), failed);
        if (failed == asio::error::would_block) return self->readMore();
        if (failed) return self->gone(false);
        if (!self->finishing_) {
            std::string_view all(shared.data(), n);
            if (!self->in_.empty()) {
                self->in_.append(all);
                const std::size_t used = self->onBytes_(self->in_);
                self->in_.erase(0, used);
            } else if (const std::size_t used = self->onBytes_(all); used < n) {
                self->in_.assign(all.substr(used));
            }
            if (self->in_.empty() && self->in_.capacity() > 4096) std::string().swap(self->in_);
        }
        self->readMore();
    });
}

void Stream::send(std::string_view bytes) {
    if (closed_ || finishing_) return;
    out_.append(bytes);
    if (flushing_ || waiting_ || !open_) return;
    flushing_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushing_ = false;
        self->flush();
    });
}

void Stream::flush() {
    if (!open_ || closed_ || waiting_) return;
    while (written_ < out_.size()) {
        error_code ec;
        written_ += socket_.write_some(asio::buffer(out_.data() + written_, out_.size() - written_), ec);
        if (ec == asio::error::would_block) {
            waiting_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
                self->waiting_ = false;
                if (self->closed_) return;
                if (failed) return self->gone(false);
                self->flush();
            });
            return;
        }
        if (ec) return gone(false);
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
    held_ = false;
    readMore();
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

void Stream::gone(bool refused) {
    auto told = std::move(onEnd_);
    close();
    if (told) told(refused);
}

Listener::Listener(asio::io_context& loop, const tcp::endpoint& where, OnStream onStream)
    : acceptor_(loop), pause_(loop), onStream_(std::move(onStream)) {
    acceptor_.open(where.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(where);
    acceptor_.listen(1024);
    take();
}

void Listener::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
}

void Listener::take() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
            // Out of descriptors, most likely: those who wait are taken when some are free again.
            pause_.expires_after(std::chrono::milliseconds(20));
            pause_.async_wait([this](error_code stopped) {
                if (!stopped) take();
            });
            return;
        }
        onStream_(Stream::over(std::move(socket)));
        take();
    });
}

}  // namespace granitereel::transport
