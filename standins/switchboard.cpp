#include "standins/switchboard.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace granitereel::standins {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {
constexpr const char* siteNetwork = "127.7.";
constexpr const char* hubNetwork = "127.8.";
// What waits on a cut way for longer than this ends its connection.
constexpr int endsAfter_ms = 1500, looksEvery_ms = 20;
}  // namespace

// One connection from a machine to another; each direction has a buffer of its own.
struct Switchboard::Passage {
    explicit Passage(asio::io_context& loop)
        : near(loop), far(loop), timers{{asio::steady_timer(loop), asio::steady_timer(loop)}} {}
    int from = 0, to = 0;
    Tcp::socket near, far;
    std::array<asio::steady_timer, 2> timers;
    std::array<std::array<char, 16 * 1024>, 2> bytes{};
    std::array<std::size_t, 2> held{};
    bool over = false;
};

std::string Switchboard::addressOf(const char* network, int machine) const {
    return network + site_ + "." + std::to_string(machine);
}

std::vector<std::string> Switchboard::environmentOf(int machine) const {
    return {"SWITCH_SELF=" + addressOf(siteNetwork, machine), "SWITCH_HUB=" + addressOf(hubNetwork, 0),
            "SWITCH_PORT=" + std::to_string(linkPort_)};
}

void Switchboard::serve(int machine) {
    const Tcp::endpoint where(asio::ip::make_address_v4(addressOf(hubNetwork, machine)),
                              static_cast<unsigned short>(linkPort_));
    acceptors_.push_back(std::make_shared<Tcp::acceptor>(loop_, where));
    accept(machine, acceptors_.back());
}

void Switchboard::accept(int machine, const std::shared_ptr<Tcp::acceptor>& acceptor) {
    const auto passage = std::make_shared<Passage>(loop_);
    acceptor->async_accept(passage->near, [this, machine, acceptor, passage](error_code ec) {
        if (ec) return;
        accept(machine, acceptor);
        const auto caller = passage->near.remote_endpoint(ec);
        if (ec) return;
        passage->from = static_cast<int>(caller.address().to_v4().to_uint() & 0xff);
        passage->to = machine;
        const Tcp::endpoint onward(asio::ip::make_address_v4(addressOf(siteNetwork, machine)),
                                   static_cast<unsigned short>(linkPort_));
        passage->far.async_connect(onward, [this, passage](error_code failed) {
            if (failed) return end(passage);
            for (Tcp::socket* each : {&passage->near, &passage->far}) each->set_option(Tcp::no_delay(true));
            std::erase_if(passages_, [](const auto& each) { return each.expired(); });
            passages_.push_back(passage);
            pump(passage, false);
            pump(passage, true);
        });
    });
}

// Takes what comes from one side, `back` that of the far one.
void Switchboard::pump(const std::shared_ptr<Passage>& passage, bool back) {
    Tcp::socket& source = back ? passage->far : passage->near;
    source.async_read_some(asio::buffer(passage->bytes[back]),
                           [this, passage, back](error_code ec, std::size_t got) {
                               if (ec) return end(passage);
                               passage->held[back] = got;
                               pass(passage, back, 0);
                           });
}

void Switchboard::pass(const std::shared_ptr<Passage>& passage, bool back, int waited_ms) {
    if (passage->over) return;
    const int from = back ? passage->to : passage->from, to = back ? passage->from : passage->to;
    if (!cuts_[at(from, to)]) {
        asio::async_write(back ? passage->near : passage->far,
                          asio::buffer(passage->bytes[back].data(), passage->held[back]),
                          [this, passage, back](error_code ec, std::size_t) {
                              if (ec) return end(passage);
                              pump(passage, back);
                          });
        return;
    }
    if (waited_ms >= endsAfter_ms) return end(passage);
    passage->timers[back].expires_after(std::chrono::milliseconds(looksEvery_ms));
    passage->timers[back].async_wait([this, passage, back, waited_ms](error_code ec) {
        if (!ec) pass(passage, back, waited_ms + looksEvery_ms);
    });
}

void Switchboard::end(const std::shared_ptr<Passage>& passage) {
    if (std::exchange(passage->over, true)) return;
    error_code ignored;
    for (Tcp::socket* each : {&passage->near, &passage->far}) {
        each->set_option(asio::socket_base::linger(true, 0), ignored);
        each->close(ignored);
    }
    for (auto& timer : passage->timers) timer.cancel();
}

void Switchboard::clear() {
    for (auto& each : cuts_) each = false;
}

void Switchboard::reset(int machine) {
    for (const auto& each : passages_) {
        const auto passage = each.lock();
        if (passage && (passage->from == machine || passage->to == machine)) end(passage);
    }
}

}  // namespace granitereel::standins
