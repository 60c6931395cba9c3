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
constexpr int connectTimeout_ms = 1000;

class Program {
public:
    Program(const settings::Settings& settings, const std::string& settingsPath, bool hollow)
        : settings_(settings),
          settingsPath_(settingsPath),
          loop_(1),
          agent_(settings, transport::steadyNow()),
          ticker_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          agentListener_(loop_, endpoint(settings.ip, settings.firstPort),
                         [this](auto stream) { acceptChild(std::move(stream)); }) {
        if (!hollow)
            proxyListener_.emplace(loop_, endpoint("127.0.0.1", settings.firstPort + 1),
                                   [this](auto stream) { acceptChild(std::move(stream)); });
    }

    int run() {
        waitForSignal();
        tick();
        loop_.run();
        spdlog::info("sent: {}", traffic_.summary());
        return 0;
    }

private:
    static transport::tcp::endpoint endpoint(const std::string& ip, int port) {
        return {asio::ip::make_address_v4(ip), static_cast<unsigned short>(port)};
    }
    void waitForSignal() {
        signals_.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) return;
            if (signal != SIGHUP) {
                shutdownAt_ = transport::steadyNow();
                return;
            }
            try {
                settings::read(settingsPath_);
            } catch (const settings::InvalidSettings& error) {
                spdlog::warn("settings kept as they were: {}", error.what());
            }
            waitForSignal();
        });
    }
    void tick() {
        const Nanoseconds now = transport::steadyNow();
        // The proxy beside this agent may be ended by the same signal, and needs updates until it has
        // drained.
        if (shutdownAt_ &&
            (!agent_.hasChildren() || now - shutdownAt_ > milliseconds(settings_.shutdownGrace_ms - 200)))
            return loop_.stop();
        if (const auto address = agent_.nextDial(now)) dial(*address);
        agent_.tick(now);
        if (traffic_.reportDue(now)) spdlog::info("sent: {}", traffic_.summary());
        processOutputs();
        ticker_.expires_after(std::chrono::milliseconds(100));
        ticker_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }
    void dial(const std::string& address) {
        auto dialled = std::make_shared<std::shared_ptr<transport::Stream>>();
        *dialled = transport::Stream::connect(
            loop_, endpoint(address, settings_.firstPort), connectTimeout_ms, [this, dialled, address] {
                const auto stream = *dialled;
                dialled->reset();
                const int linkId = ++lastLink_;
                links_[linkId] = std::make_shared<Link>(stream);
                start(linkId, *links_[linkId]);
                agent_.dialSucceeded(linkId, address, transport::steadyNow());
                processOutputs();
            });
        (*dialled)->start([](std::string_view) { return std::size_t(0); },
                          [this, address](bool) {
                              agent_.dialFailed(address, transport::steadyNow());
                              processOutputs();
                          });
    }
    void acceptChild(std::shared_ptr<transport::Stream> stream) {
        const int linkId = ++lastLink_;
        links_[linkId] = std::make_shared<Link>(std::move(stream));
        start(linkId, *links_[linkId]);
        agent_.childConnected(linkId, transport::steadyNow());
        processOutputs();
    }
    void start(int linkId, Link& link) {
        link.start(
            [this, linkId](const nlohmann::json& message) {
                agent_.receive(linkId, message, transport::steadyNow());
                processOutputs();
            },
            [this, linkId] {
                links_.erase(linkId);
                agent_.linkClosed(linkId, transport::steadyNow());
                processOutputs();
            });
    }
    void processOutputs() {
        for (const std::string& line : agent_.takeLogLines()) spdlog::info("{}", line);
        for (auto outgoing = agent_.takeOutgoing(); !outgoing.empty(); outgoing = agent_.takeOutgoing())
            for (auto& [linkId, message] : outgoing) {
                const auto it = links_.find(linkId);
                if (it != links_.end()) traffic_.count(message.at("k"), it->second->send(message));
            }
        for (const int linkId : agent_.takeLinksToClose()) close(linkId);
    }
    // The link is destroyed later, as it may be the one whose message is being handled.
    void close(int linkId) {
        const auto it = links_.find(linkId);
        if (it == links_.end()) return;
        asio::post(loop_, [link = std::move(it->second)] {});
        links_.erase(it);
    }

    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Agent agent_;
    asio::steady_timer ticker_;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    transport::TrafficCounters traffic_;
    int lastLink_ = 0;
    Nanoseconds shutdownAt_ = 0;  // 0: not shutting down
    transport::Listener agentListener_;
    std::optional<transport::Listener> proxyListener_;
};
}  // namespace

int serve(const settings::Settings& settings, const std::string& settingsPath, bool hollow) {
    return Program(settings, settingsPath, hollow).run();
}

}  // namespace granitereel::agent
