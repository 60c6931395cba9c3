// HTTP/1.1 as stores, the operator and the platform speak it, on Boost.Beast.
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

// Answers calls at an address; each call gets its answer by its number, in the caller's time.
class HttpServer {
public:
    // `path`: by segments, without what stands behind a question mark.
    using OnCall = std::function<void(std::uint64_t call, const std::string& method,
                                      const std::vector<std::string>& path, const std::string& body)>;
    // Throws boost::system::system_error where it can't listen.
    HttpServer(asio::io_context& loop, const tcp::endpoint& where, std::size_t bodyLimit, OnCall onCall);
    ~HttpServer();
    // `body` empty: none. `location` empty: no such header. Calls whose caller has gone are passed over.
    void answer(std::uint64_t call, int status, const std::string& body, const std::string& location = {});
    void stop();

private:
    struct Session;
    void accept();
    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    std::size_t bodyLimit_;
    OnCall onCall_;
    std::uint64_t nextCall_ = 1;
    std::unordered_map<std::uint64_t, std::weak_ptr<Session>> open_;
};

// One call over a connection of its own, sent once. `done` gets the status, or noAnswer or notSent
// (transport/call_status.hpp). `mayLeave` is asked right before the request is written. A call that ends
// without an answer is reset, so that what the system still held of it is dropped.
void httpCall(
    asio::io_context& loop, const tcp::endpoint& where, const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, int within_ms,
    std::function<void(int status)> done, std::function<bool()> mayLeave = [] { return true; });

}  // namespace granitereel::transport
