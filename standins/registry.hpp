// Discovery as a stand-in that serves by itself: any number of watches, each told the whole list first and every
// change after it.
#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "ends.hpp"

namespace granitereel::standins {

class Registry {
public:
    Registry() : thread_([this] { run(); }) {}
    ~Registry() {
        over_ = true;
        thread_.join();
    }
    std::string address() const { return place_.address(); }
    // The entries of the whole list from now on, as JSON objects; every watch is told.
    void publish(const std::string& entries) {
        const std::lock_guard hold(lock_);
        entries_ = entries;
        ++index_;
        for (Watch& each : watches_) tell(each);
    }
    int watches() const {
        const std::lock_guard hold(lock_);
        return static_cast<int>(watches_.size());
    }

private:
    struct Watch {
        End end;
        int fd;
    };
    void tell(Watch& watch) {
        const std::string text = "{\"index\":" + std::to_string(index_) +
                                 ",\"snapshot\":true,\"endpoints\":[" + entries_ + "]}";
        write(watch, text);
    }
    static void write(const Watch& watch, const std::string& text) {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
        const std::string bytes = size + text + "\n\r\n";
        // Whoever has gone is noticed by the end of the read side.
        [[maybe_unused]] const auto n = ::send(watch.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    void run() {
        int beats = 0;
        while (!over_) {
            pollfd wait{place_.fd(), POLLIN, 0};
            const bool called = ::poll(&wait, 1, 100) == 1;
            const std::lock_guard hold(lock_);
            if (called) {
                const int fd = ::accept4(place_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
                Watch watch{End(fd), fd};
                char head[4096];
                if (::recv(fd, head, sizeof head, 0) <= 0) continue;
                watch.end.watch();
                tell(watch);
                watches_.push_back(std::move(watch));
            }
            // An empty line each second, twice as often as is promised.
            const bool beat = ++beats % 10 == 0;
            watches_.remove_if([&](Watch& each) {
                if (beat) write(each, "");
                char byte;
                const auto n = ::recv(each.fd, &byte, 1, MSG_DONTWAIT);
                return n == 0 || (n < 0 && errno != EAGAIN);
            });
        }
    }

    Place place_;
    mutable std::mutex lock_;
    std::list<Watch> watches_;
    std::string entries_;
    int index_ = 41;
    std::atomic<bool> over_{false};
    std::thread thread_;
};

}  // namespace granitereel::standins
