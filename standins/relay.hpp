// A way to a store that can be watched: it passes on what comes, byte by byte if told to, and breaks after so
// many bytes of what the store says.
#pragma once

#include <atomic>
#include <thread>
#include <vector>

#include "ends.hpp"

namespace granitereel::standins {

class Relay {
public:
    explicit Relay(int to) : to_(to), listener_([this] { listen(); }) {}
    ~Relay() {
        over_ = true;
        ::shutdown(place_.fd(), SHUT_RDWR);  // ends the wait for others
        listener_.join();
        for (std::thread& each : threads_) each.join();
    }
    const Place& place() const { return place_; }

    std::atomic<bool> byteByByte{false};
    // Of what the store says from now on, on all connections together; the one that reaches it is reset.
    std::atomic<int> breaksAfter{-1};

private:
    void listen() {
        while (!over_) {
            const int fd = ::accept4(place_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            threads_.emplace_back([this, fd] { pass(fd); });
        }
    }
    void pass(int front) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(to_));
        const int store = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(front, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        ::setsockopt(store, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        bool on = ::connect(store, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        while (on && !over_) {
            pollfd wait[2] = {{front, POLLIN, 0}, {store, POLLIN, 0}};
            if (::poll(wait, 2, 100) <= 0) continue;
            for (const int i : {0, 1}) {
                if (!on || !(wait[i].revents & (POLLIN | POLLHUP | POLLERR))) continue;
                char bytes[16384];
                const auto got = ::recv(wait[i].fd, bytes, sizeof bytes, 0);
                on = got > 0 && send(wait[1 - i].fd, {bytes, static_cast<std::size_t>(got)}, i == 1);
            }
        }
        const linger now{1, 0};
        ::setsockopt(front, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(store);
        ::close(front);
    }
    bool send(int to, std::string_view bytes, bool fromStore) {
        while (!bytes.empty()) {
            std::size_t n = byteByByte || (fromStore && breaksAfter >= 0) ? 1 : bytes.size();
            if (fromStore && breaksAfter >= 0 && breaksAfter-- == 0) return false;
            if (::send(to, bytes.data(), n, MSG_NOSIGNAL) != static_cast<ssize_t>(n)) return false;
            bytes.remove_prefix(n);
        }
        return true;
    }

    const int to_;
    Place place_;
    std::atomic<bool> over_{false};
    std::vector<std::thread> threads_;
    std::thread listener_;
};

}  // namespace granitereel::standins
