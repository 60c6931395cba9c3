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
// A client that sends nothing for this long is disconnected.
constexpr std::chrono::seconds idleTimeout{20};
}  // namespace

struct HttpServer::Session : std::enable_shared_from_this<Session> {
    Session(tcp::socket socket, HttpServer& owner) : stream(std::move(socket)), server(owner) {}
    void read() {
        parser.emplace();
        parser->body_limit(server.bodyLimit_);
        stream.expires_after(idleTimeout);
        http::async_read(stream, buffer, *parser, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec == http::error::body_limit) {
                self->closeAfterResponse = true;
                return self->respond(413, R"({"fault":"too large"})");
            }
            if (ec) return self->stream.close();
            self->handleRequest();
        });
    }
    void handleRequest() {
        const auto& request = parser->get();
        closeAfterResponse = !request.keep_alive();
        std::vector<std::string> path;
        std::string target(request.target());
        target = target.substr(0, target.find('?'));
        for (std::size_t offset = 0; offset < target.size();) {
            const std::size_t end = std::min(target.find('/', offset), target.size());
            if (end > offset) path.push_back(target.substr(offset, end - offset));
            offset = end + 1;
        }
        const std::uint64_t number = server.nextRequest_++;
        server.pending_[number] = weak_from_this();
        // Keeps the session alive until the response.
        awaitingResponse = shared_from_this();
        stream.expires_never();
        server.onRequest_(number, std::string(request.method_string()), path, request.body());
    }
    void respond(int status, const std::string& body, const std::string& location = {}) {
        const auto self = std::exchange(awaitingResponse, nullptr);
        response = {};
        response.version(11);
        response.result(static_cast<unsigned>(status));
        response.keep_alive(!closeAfterResponse);
        if (!body.empty()) response.set(http::field::content_type, "application/json");
        if (!location.empty()) response.set(http::field::location, location);
        response.body() = body;
        response.prepare_payload();
        stream.expires_after(idleTimeout);
        http::async_write(stream, response, [session = shared_from_this()](error_code ec, std::size_t) {
            if (ec || session->closeAfterResponse) {
                error_code ignored;
                session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                return session->stream.close();
            }
            session->read();
        });
    }
    beast::tcp_stream stream;
    HttpServer& server;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    std::shared_ptr<Session> awaitingResponse;
    bool closeAfterResponse = false;
};

HttpServer::HttpServer(asio::io_context& loop, const tcp::endpoint& endpoint, std::size_t bodyLimit,
                       OnRequest onRequest)
    : acceptor_(loop), retryTimer_(loop), bodyLimit_(bodyLimit), onRequest_(std::move(onRequest)) {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(256);
    accept();
}

HttpServer::~HttpServer() {
    for (auto& [request, weak] : pending_)
        if (const auto session = weak.lock()) session->awaitingResponse.reset();
}

void HttpServer::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
            retryTimer_.expires_after(std::chrono::milliseconds(20));
            retryTimer_.async_wait([this](error_code stopped) {
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

void HttpServer::respond(std::uint64_t request, int status, const std::string& body,
                         const std::string& location) {
    const auto it = pending_.find(request);
    if (it == pending_.end()) return;
    const auto session = it->second.lock();
    pending_.erase(it);
    if (session) session->respond(status, body, location);
}

void HttpServer::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
}

namespace {
struct Call : std::enable_shared_from_this<Call> {
    explicit Call(asio::io_context& loop) : stream(loop) {}
    // From now on closing drops what is unsent and resets the connection. Should the process be stopped and
    // unable to close it, the kernel itself gives up unacknowledged bytes after the timeout.
    void resetOnClose(int timeout_ms) {
        error_code ignored;
        stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        const unsigned value = static_cast<unsigned>(timeout_ms);
        ::setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
    }
    void end(int status) {
        error_code ignored;
        if (status > 0) stream.socket().set_option(asio::socket_base::linger(false, 0), ignored);
        if (auto callback = std::exchange(done, nullptr)) callback(status);
        stream.close();
    }
    beast::tcp_stream stream;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    std::function<void(int)> done;
    std::function<bool()> maySend;
};
}  // namespace

void httpCall(asio::io_context& loop, const tcp::endpoint& endpoint, const std::string& method,
              const std::string& path, const std::vector<std::pair<std::string, std::string>>& headers,
              const std::string& body, int timeout_ms, std::function<void(int)> done,
              std::function<bool()> maySend) {
    auto call = std::make_shared<Call>(loop);
    call->done = std::move(done);
    call->maySend = std::move(maySend);
    call->request.method_string(method);
    call->request.target(path);
    call->request.version(11);
    call->request.set(http::field::host,
                      endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
    call->request.set(http::field::content_type, "application/json");
    call->request.keep_alive(false);
    for (const auto& [name, value] : headers) call->request.set(name, value);
    call->request.body() = body;
    call->request.prepare_payload();
    call->stream.expires_after(std::chrono::milliseconds(timeout_ms));
    call->stream.async_connect(endpoint, [call, timeout_ms](error_code ec) {
        if (ec) return call->end(noResponse);
        call->resetOnClose(timeout_ms);
        if (!call->maySend()) return call->end(notSent);
        http::async_write(call->stream, call->request, [call](error_code failed, std::size_t) {
            if (failed) return call->end(noResponse);
            http::async_read(call->stream, call->buffer, call->response,
                             [call](error_code broken, std::size_t) {
                                 const int status = static_cast<int>(call->response.result_int());
                                 call->end(broken ? noResponse : status);
                             });
        });
    });
}

}  // namespace granitereel::transport
