#include "links.hpp"

#undef NDEBUG
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace granitereel::standins {

namespace {

std::int64_t millisNow() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// 127.kind.a.b with a free port.
std::pair<int, sockaddr_in> bound(int kind, int a, int b) {
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(127 << 24 | kind << 16 | a << 8 | b));
    socklen_t size = sizeof at;
    const bool had = ::bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0;
    assert(had);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return {fd, at};
}

std::string text(const sockaddr_in& at) {
    char name[INET_ADDRSTRLEN];
    ::inet_ntop(AF_INET, &at.sin_addr, name, sizeof name);
    return std::string(name) + ":" + std::to_string(ntohs(at.sin_port));
}

void send(int fd, const sockaddr_in& to, const std::string& bytes) {
    ::sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

}  // namespace

Links::Links(int count, std::uint64_t seed)
    : count_(count),
      chance_(static_cast<std::minstd_rand::result_type>(seed)),
      ways_(static_cast<std::size_t>(count * count)),
      passed_(static_cast<std::size_t>(count * count)) {
    for (int from = 0; from < count; ++from)
        for (int to = 0; to < count; ++to) {
            const auto [fd, at] = bound(2, from + 1, to + 1);
            sockets_.push_back(fd);
            addresses_.push_back(at);
        }
    for (int i = 0; i < count; ++i)
        for (auto* list : {&fronts_, &beside_}) {
            // A free port: the front takes it as soon as it starts.
            const auto [fd, at] = bound(list == &fronts_ ? 1 : 3, 1, i + 1);
            ::close(fd);
            list->push_back(at);
        }
    strange_ = bound(4, 1, 1).first;
    const bool piped = ::pipe2(wakes_, O_CLOEXEC | O_NONBLOCK) == 0;
    assert(piped);
    thread_ = std::thread([this] { run(); });
}

Links::~Links() {
    over_ = true;
    [[maybe_unused]] const auto n = ::write(wakes_[1], "x", 1);
    thread_.join();
    for (const int fd : sockets_) ::close(fd);
    for (const int fd : {strange_, wakes_[0], wakes_[1]}) ::close(fd);
}

std::string Links::listens(int front) const {
    return text(fronts_[static_cast<std::size_t>(front)]);
}
std::string Links::listensBeside(int front) const {
    return text(beside_[static_cast<std::size_t>(front)]);
}
std::string Links::address(int front, int member) const {
    return text(front == member ? fronts_[static_cast<std::size_t>(front)] : addresses_[at(front, member)]);
}

void Links::set(int from, int to, const Way& way) {
    const std::lock_guard hold(lock_);
    ways_[at(from, to)] = way;
}

void Links::setAll(const Way& way) {
    const std::lock_guard hold(lock_);
    for (Way& each : ways_) each = way;
}

void Links::part(const std::function<bool(int)>& side, bool cut) {
    const std::lock_guard hold(lock_);
    for (int from = 0; from < count_; ++from)
        for (int to = 0; to < count_; ++to)
            if (side(from) != side(to)) ways_[at(from, to)].cut = cut;
}

int Links::held() const {
    const std::lock_guard hold(lock_);
    return static_cast<int>(held_.size());
}

int Links::passed(int from, int to) const {
    const std::lock_guard hold(lock_);
    return passed_[at(from, to)];
}

void Links::letGo() {
    const std::lock_guard hold(lock_);
    for (Late& each : held_) {
        each.when = 0;
        late_.push(std::move(each));
    }
    held_.clear();
    [[maybe_unused]] const auto n = ::write(wakes_[1], "x", 1);
}

// From the socket to which the receiver would write back: so the sender's address is the one it knows.
void Links::deliver(int from, int to, const std::string& bytes) {
    const int fd = sockets_[at(to, from)];
    ++passed_[at(from, to)];
    send(fd, fronts_[static_cast<std::size_t>(to)], bytes);
    send(fd, beside_[static_cast<std::size_t>(to)], bytes);
}

void Links::inject(int from, int to, const std::string& bytes) {
    send(sockets_[at(to, from)], fronts_[static_cast<std::size_t>(to)], bytes);
}

void Links::injectStrange(int to, const std::string& bytes) {
    send(strange_, fronts_[static_cast<std::size_t>(to)], bytes);
}

void Links::take(int from, int to, std::string bytes) {
    const Way& way = ways_[at(from, to)];
    if (way.cut || chance() < way.lost) return;
    if (!bytes.empty() && chance() < way.flipped) {
        char& byte = bytes[chance_() % bytes.size()];
        byte = static_cast<char>(byte ^ 1 << chance_() % 8);
    }
    for (int times = chance() < way.repeated ? 2 : 1; times > 0; --times) {
        const int delay = way.least + static_cast<int>(chance() * (way.most - way.least));
        Late one{millisNow() + delay, ++order_, from, to, bytes};
        if (way.hold)
            held_.push_back(std::move(one));
        else if (way.most > 0)
            late_.push(std::move(one));
        else
            deliver(from, to, one.bytes);
    }
}

void Links::run() {
    std::vector<pollfd> waits;
    for (const int fd : sockets_) waits.push_back({fd, POLLIN, 0});
    waits.push_back({wakes_[0], POLLIN, 0});
    while (!over_) {
        int pause = 1000;
        {
            const std::lock_guard hold(lock_);
            const std::int64_t now = millisNow();
            while (!late_.empty() && late_.top().when <= now) {
                deliver(late_.top().from, late_.top().to, late_.top().bytes);
                late_.pop();
            }
            if (!late_.empty()) pause = static_cast<int>(std::min<std::int64_t>(pause, late_.top().when - now));
        }
        if (::poll(waits.data(), waits.size(), pause) <= 0) continue;
        const std::lock_guard hold(lock_);
        for (std::size_t i = 0; i < sockets_.size(); ++i) {
            if (!(waits[i].revents & POLLIN)) continue;
            char bytes[2048];
            const auto n = ::recv(sockets_[i], bytes, sizeof bytes, 0);
            if (n >= 0)
                take(static_cast<int>(i) / count_, static_cast<int>(i) % count_,
                     std::string(bytes, static_cast<std::size_t>(n)));
        }
        char drained[64];
        while (::read(wakes_[0], drained, sizeof drained) > 0) {
        }
    }
}

}  // namespace granitereel::standins
