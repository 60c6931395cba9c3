#include "agent/program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "agent/agent.hpp"
#include "transport/link.hpp"
#include "transport/steady_clock.hpp"
#include "transport/traffic_counters.hpp"

namespace granitereel::agent {

namespace {
namespace asio = boost::asio;
using transport::Link;
// A parent that has not taken a connection by then is out of reach.
constexpr int dialWithin_ms = 1000;

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
        if (const auto parent = agent_.dial(now)) dial(*parent);
        agent_.tick(now);
        if (traffic_.due(now)) spdlog::info("sent: {}", traffic_.line());
        carryOut();
        ticker_.expires_after(std::chrono::milliseconds(100));
        ticker_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }
    void dial(const std::string& parent) {
        auto made = std::make_shared<std::shared_ptr<transport::Stream>>();
        *made = transport::Stream::to(loop_, at(parent, settings_.firstPort), dialWithin_ms,
                                      [this, made, parent] {
                                          const auto stream = *made;
                                          made->reset();
                                          const int no = ++lastLink_;
                                          links_[no] = std::make_shared<Link>(stream);
                                          start(no, *links_[no]);
                                          agent_.dialled(no, parent, transport::steadyNow());
                                          carryOut();
                                      });
        (*made)->start([](std::string_view) { return std::size_t(0); },
                       [this, parent](bool) {
                           agent_.unreachable(parent, transport::steadyNow());
                           carryOut();
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
                links_.erase(no);
                agent_.linkDown(no, transport::steadyNow());
                carryOut();
            });
    }
    void carryOut() {
        for (const std::string& line : agent_.takeLines()) spdlog::info("{}", line);
        for (auto said = agent_.take(); !said.empty(); said = agent_.take())
            for (auto& [no, message] : said) {
                const auto at = links_.find(no);
                if (at != links_.end()) traffic_.sent(message.at("k"), at->second->send(message));
            }
        for (const int no : agent_.takeClosed()) close(no);
    }
    // Not here and now: it may be the link whose message is being handled.
    void close(int no) {
        const auto at = links_.find(no);
        if (at == links_.end()) return;
        asio::post(loop_, [link = std::move(at->second)] {});
        links_.erase(at);
    }

    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Agent agent_;
    asio::steady_timer ticker_;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    transport::Traffic traffic_;
    int lastLink_ = 0;
    Nanos ending_ = 0;
    transport::Listener forAgents_;
    std::optional<transport::Listener> forProxy_;
};
}  // namespace

int serve(const settings::Settings& settings, const std::string& settingsPath, bool hollow) {
    return Program(settings, settingsPath, hollow).run();
}

}  // namespace granitereel::agent
