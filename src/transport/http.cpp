#include "transport/http.hpp"

#include <netinet/tcp.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "transport/call_status.hpp"

namespace granitereel::transport {

namespace {
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
// A caller that sends nothing for so long is let go.
constexpr std::chrono::seconds callerRests{20};
}  // namespace

struct HttpServer::Session : std::enable_shared_from_this<Session> {
    Session(tcp::socket socket, HttpServer& of) : stream(std::move(socket)), server(of) {}
    void read() {
        parser.emplace();
        parser->body_limit(server.bodyLimit_);
        stream.expires_after(callerRests);
        http::async_read(stream, buffer, *parser, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec == http::error::body_limit) {
                self->last = true;
                return self->answer(413, R"({"fault":"too large"})");
            }
            if (ec) return self->stream.close();
            self->take();
        });
    }
    void take() {
        const auto& request = parser->get();
        last = !request.keep_alive();
        std::vector<std::string> path;
        std::string target(request.target());
        target = target.substr(0, target.find('?'));
        for (std::size_t at = 0; at < target.size();) {
            const std::size_t cut = std::min(target.find('/', at), target.size());
            if (cut > at) path.push_back(target.substr(at, cut - at));
            at = cut + 1;
        }
        const std::uint64_t call = server.nextCall_++;
        server.open_[call] = weak_from_this();
        // Held until it is answered.
        waiting = shared_from_this();
        stream.expires_never();
        server.onCall_(call, std::string(request.method_string()), path, request.body());
    }
    void answer(int status, const std::string& body, const std::string& location = {}) {
        const auto self = std::exchange(waiting, nullptr);
        response = {};
        response.version(11);
        response.result(static_cast<unsigned>(status));
        response.keep_alive(!last);
        if (!body.empty()) response.set(http::field::content_type, "application/json");
        if (!location.empty()) response.set(http::field::location, location);
        response.body() = body;
        response.prepare_payload();
        stream.expires_after(callerRests);
        http::async_write(stream, response, [me = shared_from_this()](error_code ec, std::size_t) {
            if (ec || me->last) {
                error_code ignored;
                me->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                return me->stream.close();
            }
            me->read();
        });
    }
    beast::tcp_stream stream;
    HttpServer& server;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    std::shared_ptr<Session> waiting;
    bool last = false;
};

HttpServer::HttpServer(asio::io_context& loop, const tcp::endpoint& where, std::size_t bodyLimit,
                       OnCall onCall)
    : acceptor_(loop), pause_(loop), bodyLimit_(bodyLimit), onCall_(std::move(onCall)) {
    acceptor_.open(where.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(where);
    acceptor_.listen(256);
    accept();
}

HttpServer::~HttpServer() {
    for (auto& [call, weak] : open_)
        if (const auto session = weak.lock()) session->waiting.reset();
}

void HttpServer::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
            pause_.expires_after(std::chrono::milliseconds(20));
            pause_.async_wait([this](error_code stopped) {
                if (!stopped) accept();
            });
            return;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Session>(std::move(socket), *this)->read();
        accept();
    });
}

void HttpServer::answer(std::uint64_t call, int status, const std::string& body,
                        const std::string& location) {
    const auto at = open_.find(call);
    if (at == open_.end()) return;
    const auto session = at->second.lock();
    open_.erase(at);
    if (session) session->answer(status, body, location);
}

void HttpServer::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
}

namespace {
struct Call : std::enable_shared_from_this<Call> {
    explicit Call(asio::io_context& loop) : stream(loop) {}
    // From now on a close drops what is unsent and resets the connection, also when the process is not there
    // to close it: the system gives up unacknowledged bytes by itself.
    void dropsOnClose(int within_ms) {
        error_code ignored;
        stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        const unsigned value = static_cast<unsigned>(within_ms);
        ::setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
    }
    void end(int status) {
        error_code ignored;
        if (status > 0) stream.socket().set_option(asio::socket_base::linger(false, 0), ignored);
        if (auto told = std::exchange(done, nullptr)) told(status);
        stream.close();
    }
    beast::tcp_stream stream;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    std::function<void(int)> done;
    std::function<bool()> mayLeave;
};
}  // namespace

void httpCall(asio::io_context& loop, const tcp::endpoint& where, const std::string& method,
              const std::string& path, const std::vector<std::pair<std::string, std::string>>& headers,
              const std::string& body, int within_ms, std::function<void(int)> done,
              std::function<bool()> mayLeave) {
    auto call = std::make_shared<Call>(loop);
    call->done = std::move(done);
    call->mayLeave = std::move(mayLeave);
    call->request.method_string(method);
    call->request.target(path);
    call->request.version(11);
    call->request.set(http::field::host, where.address().to_string() + ":" + std::to_string(where.port()));
    call->request.set(http::field::content_type, "application/json");
    call->request.keep_alive(false);
    for (const auto& [name, value] : headers) call->request.set(name, value);
    call->request.body() = body;
    call->request.prepare_payload();
    call->stream.expires_after(std::chrono::milliseconds(within_ms));
    call->stream.async_connect(where, [call, within_ms](error_code ec) {
        if (ec) return call->end(noAnswer);
        call->dropsOnClose(within_ms);
        if (!call->mayLeave()) return call->end(notSent);
        http::async_write(call->stream, call->request, [call](error_code failed, std::size_t) {
            if (failed) return call->end(noAnswer);
            http::async_read(call->stream, call->buffer, call->response,
                             [call](error_code broken, std::size_t) {
                                 const int status = static_cast<int>(call->response.result_int());
                                 call->end(broken ? noAnswer : status);
                             });
        });
    });
}

}  // namespace granitereel::transport
