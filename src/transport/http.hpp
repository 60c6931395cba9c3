// HTTP/1.1 server and client on Boost.Beast, for stores, the operator and the platform.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/stream.hpp"

namespace granitereel::transport {

// Serves requests at an address. Each request has a number, by which the owner responds to it at any later
// time.
class HttpServer {
public:
    // `path`: its segments, without the query.
    using OnRequest = std::function<void(std::uint64_t request, const std::string& method,
                                         const std::vector<std::string>& path, const std::string& body)>;
    // Throws boost::system::system_error where it can't listen.
    HttpServer(asio::io_context& loop, const tcp::endpoint& endpoint, std::size_t bodyLimit,
               OnRequest onRequest);
    ~HttpServer();
    // `body` empty: no body. `location` empty: no such header. Ignored where the client has disconnected.
    void respond(std::uint64_t request, int status, const std::string& body,
                 const std::string& location = {});
    void stop();

private:
    struct Session;
    void accept();
    tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    std::size_t bodyLimit_;
    OnRequest onRequest_;
    std::uint64_t nextRequest_ = 1;
    std::unordered_map<std::uint64_t, std::weak_ptr<Session>> pending_;
};

// Sends one request over a connection of its own, at most once. `done` gets the status, or noResponse or
// notSent (transport/call_status.hpp). `maySend` is called right before the request is written; where it
// returns false, nothing is sent. The connection of a call that ends without a response is reset, so that the
// kernel drops what it has not delivered yet: a promotion must not arrive after its caller has given it up.
void httpCall(
    asio::io_context& loop, const tcp::endpoint& endpoint, const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, int timeout_ms,
    std::function<void(int status)> done, std::function<bool()> maySend = [] { return true; });

}  // namespace granitereel::transport
