// Ends of connections, spoken to in blocking style: as a client, as a store, as discovery.
#pragma once

#undef NDEBUG
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>

#include "wire/postgres.hpp"

namespace granitereel {

// One end of a connection. Every wait ends the test when nothing comes for ten seconds.
class End {
public:
    explicit End(int fd = -1) : fd_(fd) {}
    End(End&& other) noexcept : fd_(std::exchange(other.fd_, -1)), held_(std::move(other.held_)) {}
    End& operator=(End&& other) noexcept {
        std::swap(fd_, other.fd_);
        std::swap(held_, other.held_);
        std::swap(patience_, other.patience_);
        return *this;
    }
    ~End() { close(); }

    void send(std::string_view bytes) {
        while (!bytes.empty()) {
            const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            assert(n > 0);
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    void sendByteByByte(std::string_view bytes) {
        const int yes = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        for (const char& c : bytes) send({&c, 1});
    }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    // Bytes up to and with `mark`; what has come if the other side ends first.
    std::string until(std::string_view mark) {
        std::size_t at;
        while ((at = held_.find(mark)) == std::string::npos)
            if (!more()) return std::exchange(held_, {});
        return cut(at + mark.size());
    }
    bool silent() const {  // nothing has come yet
        pollfd now{fd_, POLLIN, 0};
        return held_.empty() && ::poll(&now, 1, 0) == 0;
    }
    bool ended() {
        while (more()) {
        }
        return true;
    }
    // One message of PostgreSQL's protocol; empty at the end.
    std::string message() {
        while (held_.size() < 5 || held_.size() < 1 + postgres::number(held_.substr(1)))
            if (!more()) return {};
        return cut(1 + postgres::number(held_.substr(1)));
    }

    bool open() const { return fd_ >= 0; }
    // For an other side that may be gone or stopped at any time: asks, and waits so long for anything to come.
    // "ended" where it went without a whole answer.
    std::string askOrEnd(const std::string& statement, int seconds) {
        patience_ = seconds * 1000;
        const std::string bytes = query(statement);
        if (::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) != ssize_t(bytes.size())) return "ended";
        return answer();
    }

    // As a client.
    // Whether the welcome came whole before the other side ended.
    bool helloOrEnd(int seconds) {
        patience_ = seconds * 1000;
        const std::string hello = postgres::startupMessage();
        if (::send(fd_, hello.data(), hello.size(), MSG_NOSIGNAL) != ssize_t(hello.size())) return false;
        for (std::string got; got.empty() || got[0] != 'Z';)
            if ((got = message()).empty()) return false;
        return true;
    }
    End& hello() {
        send(postgres::startupMessage());
        for (std::string got; got.empty() || got[0] != 'Z';) assert(!(got = message()).empty());
        return *this;
    }
    void ask(const std::string& statement) { send(query(statement)); }
    static std::string query(const std::string& statement) {
        std::string bytes;
        postgres::putMessage(bytes, 'Q', statement + '\0');
        return bytes;
    }
    // The value, or the code of the error and, behind a blank, its field D.
    std::string answer() {
        std::string said;
        for (;;) {
            const std::string got = message();
            if (got.empty()) return said.empty() ? "ended" : said;
            if (got[0] == 'D') said = *postgres::onlyColumn(postgres::bodyOf(got));
            if (got[0] == 'I') said = "empty";
            if (got[0] == 'E') {
                said = postgres::errorField(postgres::bodyOf(got), 'C');
                const std::string_view after = postgres::errorField(postgres::bodyOf(got), 'D');
                if (!after.empty()) said += " " + std::string(after);
                if (postgres::errorField(postgres::bodyOf(got), 'S') == "FATAL") return said;
            }
            if (got[0] == 'Z') return said;
        }
    }

    // As a store.
    End& welcome() {
        while (held_.size() < 4 || held_.size() < postgres::number(held_)) assert(more());
        cut(postgres::number(held_));
        std::string bytes;
        postgres::putMessage(bytes, 'R', std::string(4, '\0'));
        postgres::putReady(bytes);
        send(bytes);
        return *this;
    }
    std::string asked() {
        const std::string got = message();
        return got.empty() ? "ended" : got.substr(5, got.size() - 6);
    }
    static std::string row(const std::string& value) {
        std::string bytes, column("\0\1", 2);
        for (int shift = 24; shift >= 0; shift -= 8) column += static_cast<char>(value.size() >> shift);
        postgres::putMessage(bytes, 'T', std::string("\0\1val\0", 6) + std::string(18, '\0'));
        postgres::putMessage(bytes, 'D', column + value);
        postgres::putMessage(bytes, 'C', std::string("SELECT 1\0", 9));
        return bytes;
    }
    void give(const std::string& value, const std::string& role = "", const std::string& position = "") {
        std::string bytes = row(value);
        if (!role.empty()) postgres::putSetting(bytes, "role", role);
        if (!position.empty()) postgres::putSetting(bytes, "applied_ms", position);
        postgres::putReady(bytes);
        send(bytes);
    }
    void fail(const std::string& code) {
        std::string bytes;
        postgres::putError(bytes, "ERROR", code, "stand-in");
        postgres::putReady(bytes);
        send(bytes);
    }

    // As discovery: the call that came, then the head of a watch and lines of it.
    std::string called() { return until("\r\n\r\n"); }
    void watch() { send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
    void line(const std::string& text) {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
        send(size + text + "\n\r\n");
    }

private:
    bool more() {
        pollfd wait{fd_, POLLIN, 0};
        const int ready = ::poll(&wait, 1, patience_);
        assert(ready == 1);
        char bytes[65536];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n > 0) held_.append(bytes, static_cast<std::size_t>(n));
        return n > 0;
    }
    std::string cut(std::size_t n) {
        std::string part = held_.substr(0, n);
        held_.erase(0, n);
        return part;
    }
    int fd_;
    int patience_ = 10'000;  // ms
    std::string held_;
};

// A place that listens on a free port of the loopback address.
class Place {
public:
    Place() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        assert(::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) == 0 && ::listen(fd_, 64) == 0);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
    }
    ~Place() { leave(); }
    void leave() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    End accept() {
        pollfd wait{fd_, POLLIN, 0};
        const int ready = ::poll(&wait, 1, 10'000);
        assert(ready == 1);
        return End(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
    }
    bool called() const {  // someone waits to be accepted
        pollfd now{fd_, POLLIN, 0};
        return ::poll(&now, 1, 0) == 1;
    }
    int fd() const { return fd_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    int port = 0;

private:
    int fd_;
};

}  // namespace granitereel
