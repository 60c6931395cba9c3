// The tier on the network: one UDP socket, who may speak on it, and the clockwork of `Members`. What is told
// of the tier on SIGUSR1 and in the log is made here. docs/tier.md says what each line asks for.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "guest.hpp"
#include "letter.hpp"
#include "members.hpp"
#include "memory/clock.hpp"
#include "parts.hpp"

namespace granitereel::tier {

namespace asio = boost::asio;
using asio::ip::udp;

// Where this front stands in its tier. `peers` holds an address a front, its own included, in the order of
// their numbers.
struct Place {
    std::string name;  // of the tier
    int me = 0;
    udp::endpoint listen;
    std::vector<udp::endpoint> peers;
    std::uint64_t seed = 1;
    Pace pace;
    int settled = 1;             // fronts by the settings
    Nanoseconds longestEnd = 0;  // how long a front that was told to end may still work
};

class Post final : private Outlet {
public:
    // Binds the socket. Throws std::runtime_error that names the address where it can't be had.
    // `present` is told among how many fronts this one counts itself, whenever that changes.
    Post(asio::any_io_executor on, const Clock& clock, Place place, std::function<void(int)> present);
    ~Post() override = default;

    // Both run until the program ends.
    asio::awaitable<void> receive();
    asio::awaitable<void> watch();

    void leave();
    // Another list of peers; the own number stays. Throws std::invalid_argument where it has no place for it.
    void takePeers(std::vector<udp::endpoint> peers);

    Members& members() { return members_; }
    const Members& members() const { return members_; }
    // What builds on the tier; lives as long as this does. What it shows is added to `seen`.
    void host(std::unique_ptr<Guest> guest) { guests_.push_back(std::move(guest)); }
    std::function<void(boost::json::object&)> shows;
    // A guest has something to do sooner than it said.
    void stir() { alarm_.cancel(); }
    // One JSON object, as docs/tier.md describes it.
    std::string seen() const;

private:
    void send(int member, const Said& what) override;
    void log(const std::string& line) override;
    void received(int from, std::uint32_t birth, Nanoseconds sent, const Further& further) override;
    Nanoseconds next() const;
    void noticeSleep();
    void sort(const udp::endpoint& from, std::string_view bytes);
    void count();

    const Clock& clock_;
    Place place_;
    udp::socket socket_;
    asio::steady_timer alarm_;
    std::map<udp::endpoint, int> numbers_;
    std::uint64_t sent_ = 0, sentBytes_ = 0, unsent_ = 0, heard_ = 0, heardBytes_ = 0;
    std::uint64_t short_ = 0, checksum_ = 0, stranger_ = 0, version_ = 0, form_ = 0, late_ = 0;
    std::vector<bool> otherVersion_;  // of whom it was said
    const std::function<void(int)> present_;
    int counted_;
    std::string waits_;
    Parts parts_;
    std::vector<std::unique_ptr<Guest>> guests_;
    Nanoseconds sleptFor_ = 0;  // by the machine's clocks, since its start
    Members members_;
};

}  // namespace granitereel::tier
