#include "agent/program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>

#include "agent/agent.hpp"
#include "transport/link.hpp"
#include "transport/steady.hpp"
#include "transport/traffic.hpp"

namespace granitereel::agent {

namespace {
namespace asio = boost::asio;
using transport::Link;
// Connections towards a parent that may be on their way at once while there is none.
constexpr int dialsMost = 3;

class Program {
public:
    Program(const settings::Settings& settings, const std::string& settingsPath, bool hollow)
        : settings_(settings),
          settingsPath_(settingsPath),
          loop_(1),
          agent_(settings, transport::steadyNow()),
          ticker_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          forAgents_(loop_, at(settings.ip, settings.firstPort),
                     [this](auto stream) { below(std::move(stream)); }) {
        if (!hollow)
            forProxy_.emplace(loop_, at("127.0.0.1", settings.firstPort + 1),
                              [this](auto stream) { below(std::move(stream)); });
    }

    int run() {
        listen();
        tick();
        loop_.run();
        spdlog::info("sent: {}", traffic_.line());
        return 0;
    }

private:
    static transport::tcp::endpoint at(const std::string& ip, int port) {
        return {asio::ip::make_address_v4(ip), static_cast<unsigned short>(port)};
    }
    void listen() {
        signals_.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) return;
            if (signal != SIGHUP) {
                ending_ = transport::steadyNow();
                return;
            }
            try {
                settings::read(settingsPath_);
            } catch (const settings::InvalidSettings& fault) {
                spdlog::warn("settings kept as they were: {}", fault.what());
            }
            listen();
        });
    }
    void tick() {
        const Nanos now = transport::steadyNow();
        // The proxy beside it may end by the same signal, and needs the news until it has.
        if (ending_ && (!agent_.feeds() || now - ending_ > millis(settings_.grace_ms - 200)))
            return loop_.stop();
        if (now >= dialAt_) {
            if (!up_ && dialling_ < dialsMost) {
                // A machine without power says nothing: others are tried beside it, and the first that
                // answers is taken.
                const auto parents = agent_.parents();
                if (!parents.empty()) dial(parents[tries_++ % parents.size()], now);
            } else if (const std::string better = agent_.betterParent();
                       up_ && !dialling_ && !better.empty() && now - upAt_ > millis(500)) {
                dial(better, now);
            }
        }
        agent_.tick(now);
        if (traffic_.due(now)) spdlog::info("sent: {}", traffic_.line());
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
        auto made = std::make_shared<std::shared_ptr<transport::Stream>>();
        *made =
            transport::Stream::to(loop_, at(where, settings_.firstPort), 1000, [this, made, where, first] {
                --dialling_;
                const auto stream = *made;
                made->reset();
                if (first && up_) return stream->close();  // another was there before
                tries_ = 0;
                links_.erase(up_);
                up_ = ++lastLink_;
                upAt_ = transport::steadyNow();
                auto link = std::make_shared<Link>(stream);
                links_[up_] = link;
                start(up_, *link);
                agent_.upward(up_, where, upAt_);
                spdlog::info("news comes from {}", where);
                carryOut();
            });
        (*made)->start([](std::string_view) { return std::size_t(0); },
                       [this, where](bool) {
                           --dialling_;
                           agent_.shun(where, transport::steadyNow());
                       });
    }
    void below(std::shared_ptr<transport::Stream> stream) {
        const int no = ++lastLink_;
        links_[no] = std::make_shared<Link>(std::move(stream));
        start(no, *links_[no]);
        agent_.linkUp(no, transport::steadyNow());
        carryOut();
    }
    void start(int no, Link& link) {
        link.start(
            [this, no](const nlohmann::json& message) {
                agent_.heard(no, message, transport::steadyNow());
                carryOut();
            },
            [this, no] {
                if (no == up_) return lost();
                links_.erase(no);
                agent_.linkDown(no);
            });
    }
    void lost() {
        links_.erase(up_);
        up_ = 0;
        agent_.upward(0, "", transport::steadyNow());
        spdlog::info("the link upwards is lost");
    }
    void carryOut() {
        for (const std::string& line : agent_.takeLines()) spdlog::info("{}", line);
        for (auto said = agent_.take(); !said.empty(); said = agent_.take())
            for (auto& [no, message] : said) {
                const auto at = links_.find(no);
                if (at != links_.end()) traffic_.sent(message.at("k"), at->second->send(message));
            }
    }

    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Agent agent_;
    asio::steady_timer ticker_;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    transport::Traffic traffic_;
    int lastLink_ = 0, up_ = 0;
    std::size_t tries_ = 0;
    int dialling_ = 0;
    Nanos dialAt_ = 0, upAt_ = 0, ending_ = 0;
    transport::Listener forAgents_;
    std::optional<transport::Listener> forProxy_;
};
}  // namespace

int serve(const settings::Settings& settings, const std::string& settingsPath, bool hollow) {
    return Program(settings, settingsPath, hollow).run();
}

}  // namespace granitereel::agent
