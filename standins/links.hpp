// Between every ordered pair of fronts a way of its own for datagrams, that can fail in named ways. Each front is
// given addresses of ways in place of the others' own, so that what arrives comes from the address that stands for
// its sender.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>

namespace granitereel::standins {

class Links {
public:
    Links(int count, std::uint64_t seed);
    ~Links();
    Links(const Links&) = delete;
    Links& operator=(const Links&) = delete;

    // What happens to a datagram on a way. Chances are from 0 to 1; times in milliseconds.
    struct Way {
        bool cut = false, hold = false;
        double lost = 0, repeated = 0, flipped = 0;
        int least = 0, most = 0;  // delay: datagrams pass each other
    };
    void set(int from, int to, const Way& way);
    void setAll(const Way& way);
    // Cuts both ways between members for which this says yes to one and no to the other.
    void part(const std::function<bool(int)>& side, bool cut);
    // What was held goes on now.
    void letGo();
    int held() const;
    int passed(int from, int to) const;

    // Where a front hears the others, and the address of a member as that front knows it.
    std::string listens(int front) const;
    std::string address(int front, int member) const;
    // A second process of a front's name hears what comes for it, too.
    std::string listensBeside(int front) const;
    // Sends from the address that stands for `from`, to the front `to`, past all ways.
    void inject(int from, int to, const std::string& bytes);
    // Sends from an address that is nobody's.
    void injectStrange(int to, const std::string& bytes);

private:
    struct Late {
        std::int64_t when;
        std::uint64_t order;
        int from, to;
        std::string bytes;
        bool operator>(const Late& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    std::size_t at(int from, int to) const { return static_cast<std::size_t>(from * count_ + to); }
    void run();
    void take(int from, int to, std::string bytes);
    void deliver(int from, int to, const std::string& bytes);
    double chance() { return double(chance_() - chance_.min()) / double(chance_.max() - chance_.min()); }

    const int count_;
    mutable std::mutex lock_;
    std::minstd_rand chance_;
    std::vector<int> sockets_;  // of the way from i to j, where i sends what is meant for j
    std::vector<sockaddr_in> addresses_;
    std::vector<sockaddr_in> fronts_, beside_;
    std::vector<Way> ways_;
    std::vector<int> passed_;
    std::priority_queue<Late, std::vector<Late>, std::greater<>> late_;
    std::vector<Late> held_;
    std::uint64_t order_ = 0;
    int strange_ = -1;
    int wakes_[2] = {-1, -1};
    std::atomic<bool> over_{false};
    std::thread thread_;
};

}  // namespace granitereel::standins
