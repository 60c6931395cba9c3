#include "courier/program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>

#include "courier/courier.hpp"
#include "parcel/link.hpp"
#include "parcel/steady.hpp"

namespace granitereel::courier {

namespace {
namespace asio = boost::asio;
using parcel::Link;
// Connections towards a parent that may be on their way at once while there is none.
constexpr int dialsMost = 3;

class Program {
public:
    Program(const satchel::Satchel& satchel, const std::string& settingsPath, bool hollow)
        : satchel_(satchel),
          settingsPath_(settingsPath),
          loop_(1),
          courier_(satchel, parcel::steadyNow()),
          ticker_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          forCouriers_(loop_, at(satchel.ip, satchel.firstPort), [this](auto stream) { below(std::move(stream)); }) {
        if (!hollow)
            forProxy_.emplace(loop_, at("127.0.0.1", satchel.firstPort + 1), [this](auto stream) { below(std::move(stream)); });
    }

    int run() {
        listen();
        tick();
        loop_.run();
        return 0;
    }

private:
    static parcel::tcp::endpoint at(const std::string& ip, int port) {
        return {asio::ip::make_address_v4(ip), static_cast<unsigned short>(port)};
    }
    void listen() {
        signals_.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) return;
            if (signal != SIGHUP) {
                ending_ = parcel::steadyNow();
                return;
            }
            try {
                satchel::read(settingsPath_);
            } catch (const satchel::Unusable& fault) {
                spdlog::warn("settings kept as they were: {}", fault.what());
            }
            listen();
        });
    }
    void tick() {
        const Nanos now = parcel::steadyNow();
        // The proxy beside it may end by the same signal, and needs the news until it has.
        if (ending_ && (!courier_.feeds() || now - ending_ > millis(satchel_.grace_ms - 200))) return loop_.stop();
        if (now >= dialAt_) {
            if (!up_ && dialling_ < dialsMost) {
                // A machine without power says nothing: others are tried beside it, and the first that answers is taken.
                const auto parents = courier_.parents();
                if (!parents.empty()) dial(parents[tries_++ % parents.size()], now);
            } else if (const std::string better = courier_.betterParent();
                       up_ && !dialling_ && !better.empty() && now - upAt_ > millis(500)) {
                dial(better, now);
            }
        }
        courier_.tick(now);
        carryOut();
        ticker_.expires_after(std::chrono::milliseconds(100));
        ticker_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }
    // The link that stands is given up only once the other is there.
    void dial(const std::string& where, Nanos now) {
        ++dialling_;
        const bool first = up_ == 0;
        dialAt_ = now + millis(100);
        auto made = std::make_shared<std::shared_ptr<parcel::Stream>>();
        *made = parcel::Stream::to(loop_, at(where, satchel_.firstPort), 1000, [this, made, where, first] {
            --dialling_;
            const auto stream = *made;
            made->reset();
            if (first && up_) return stream->close();  // another was there before
            tries_ = 0;
            links_.erase(up_);
            up_ = ++lastLink_;
            upAt_ = parcel::steadyNow();
            auto link = std::make_shared<Link>(stream);
            links_[up_] = link;
            start(up_, *link);
            courier_.upward(up_, where, upAt_);
            spdlog::info("news comes from {}", where);
            carryOut();
        });
        (*made)->start([](std::string_view) { return std::size_t(0); },
                       [this, where](bool) {
                           --dialling_;
                           courier_.shun(where, parcel::steadyNow());
                       });
    }
    void below(std::shared_ptr<parcel::Stream> stream) {
        const int no = ++lastLink_;
        links_[no] = std::make_shared<Link>(std::move(stream));
        start(no, *links_[no]);
        courier_.linkUp(no, parcel::steadyNow());
        carryOut();
    }
    void start(int no, Link& link) {
        link.start(
            [this, no](const nlohmann::json& message) {
                courier_.heard(no, message, parcel::steadyNow());
                carryOut();
            },
            [this, no] {
                if (no == up_) return lost();
                links_.erase(no);
                courier_.linkDown(no);
            });
    }
    void lost() {
        links_.erase(up_);
        up_ = 0;
        courier_.upward(0, "", parcel::steadyNow());
    }
    void carryOut() {
        for (auto said = courier_.take(); !said.empty(); said = courier_.take())
            for (auto& [no, message] : said) {
                const auto at = links_.find(no);
                if (at != links_.end()) at->second->send(message);
            }
    }

    const satchel::Satchel satchel_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Courier courier_;
    asio::steady_timer ticker_;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    int lastLink_ = 0, up_ = 0;
    std::size_t tries_ = 0;
    int dialling_ = 0;
    Nanos dialAt_ = 0, upAt_ = 0, ending_ = 0;
    parcel::Listener forCouriers_;
    std::optional<parcel::Listener> forProxy_;
};
}  // namespace

int serve(const satchel::Satchel& satchel, const std::string& settingsPath, bool hollow) {
    return Program(satchel, settingsPath, hollow).run();
}

}  // namespace granitereel::courier
