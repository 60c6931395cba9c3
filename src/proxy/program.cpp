#include "proxy/program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <random>

#include "proxy/pooler.hpp"
#include "transport/http.hpp"
#include "transport/link.hpp"
#include "transport/steady_clock.hpp"

namespace granitereel::proxy {

namespace {
namespace asio = boost::asio;
using transport::steadyNow;
using transport::Stream;

// A client that reads none of its responses is disconnected once this much is pending for it.
constexpr std::size_t maxUnsentBytes = 4 * 1024 * 1024;
constexpr Nanoseconds countersLogInterval = milliseconds(10'000);

class Program {
public:
    Program(const settings::Settings& settings, const std::string& settingsPath)
        : settings_(settings),
          settingsPath_(settingsPath),
          loop_(1),
          pooler_(settings, std::random_device{}(), steadyNow()),
          tickTimer_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          maxClients_(static_cast<std::size_t>(std::max(16, settings.maxFileHandles * 3 / 4 - 200))),
          listener_(loop_, transport::endpointOf(settings.proxyListenAddress),
                    [this](auto stream) { acceptClient(std::move(stream)); }),
          readyServer_(loop_, transport::endpointOf(settings.readinessListenAddress), 4096,
                       [this](std::uint64_t request, const std::string& method,
                              const std::vector<std::string>& path, const std::string&) {
                           const bool known = path.size() == 1 && path[0] == "ready";
                           readyServer_.respond(request,
                                                !known            ? 404
                                                : method != "GET" ? 405
                                                : pooler_.ready() ? 200
                                                                  : 503,
                                                "");
                       }) {}

    int run() {
        waitForSignal();
        connectToAgent();
        tick();
        loop_.run();
        return 0;
    }

private:
    void waitForSignal() {
        signals_.async_wait([this](boost::system::error_code ec, int signalNumber) {
            if (ec) return;
            if (signalNumber == SIGHUP) {
                try {
                    settings::read(settingsPath_);
                } catch (const settings::InvalidSettings& error) {
                    spdlog::warn("settings kept as they were: {}", error.what());
                }
            } else {
                spdlog::info("leaving: {} sessions", pooler_.sessionCount());
                shutdownDeadline_ = steadyNow() + milliseconds(settings_.shutdownGrace_ms - 300);
                shutdownStartedAt_ = steadyNow();
                pooler_.beginShutdown(steadyNow());
                performOutputs();
            }
            waitForSignal();
        });
    }

    void tick() {
        const Nanoseconds now = steadyNow();
        pooler_.tick(now);
        performOutputs();
        if (now - countersLoggedAt_ >= countersLogInterval) {
            countersLoggedAt_ = now;
            const Counters& counters = pooler_.counters();
            spdlog::info(
                "counts sessions={} open={} lines={} statements={} tx={} answered={} promised={} indoubt={} "
                "opened={} "
                "out_of_step={} own={} guarded={} lagging={} lead_near={} lead_far={} replica_near={} "
                "replica_far={} unproven={} deferred={}",
                counters.sessions, pooler_.sessionCount(), pooler_.connectionCount(), counters.statements,
                counters.transactions, counters.answered, counters.promised, counters.indoubt,
                counters.opened, counters.outOfStep, counters.own, counters.guarded, counters.lagging,
                counters.leadNear, counters.leadFar, counters.replicaNear, counters.replicaFar,
                counters.unproven, counters.deferred);
        }
        // New connections arrive until the platform has noticed that this proxy is shutting down.
        if (shutdownDeadline_ && (now >= shutdownDeadline_ ||
                                  (now - shutdownStartedAt_ > milliseconds(2600) && pooler_.drained()))) {
            spdlog::info("shutdown complete");
            return loop_.stop();
        }
        tickTimer_.expires_after(std::chrono::milliseconds(20));
        tickTimer_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    // Connects to the agent on this machine over loopback, and retries until that succeeds.
    void connectToAgent() {
        auto connecting = std::make_shared<std::shared_ptr<Stream>>();
        auto reconnect = [this] {
            agent_.reset();
            pooler_.onAgentDisconnected();
            reconnectTimer_.expires_after(std::chrono::milliseconds(100));
            reconnectTimer_.async_wait([this](boost::system::error_code ec) {
                if (!ec) connectToAgent();
            });
        };
        const transport::tcp::endpoint agentAddress{asio::ip::make_address_v4("127.0.0.1"),
                                                    static_cast<unsigned short>(settings_.firstPort + 1)};
        *connecting = Stream::connect(loop_, agentAddress, 1000, [this, connecting, reconnect] {
            agent_ = std::make_shared<transport::Link>(*connecting);
            connecting->reset();
            agent_->start(
                [this](const nlohmann::json& message) {
                    pooler_.onAgentMessage(message, steadyNow());
                    performOutputs();
                },
                reconnect);
            pooler_.onAgentConnected(steadyNow());
            performOutputs();
        });
        (*connecting)
            ->start([](std::string_view) { return std::size_t(0); }, [reconnect](bool) { reconnect(); });
    }

    void acceptClient(const std::shared_ptr<Stream>& stream) {
        if (clients_.size() >= maxClients_) {
            stream->start([](std::string_view received) { return received.size(); }, [](bool) {});
            stream->send(formatError(Error::busy, "too many sessions; come back in 500 ms"));
            return stream->finish();
        }
        const int client = ++lastClientId_;
        clients_[client] = stream;
        pooler_.onClientConnected(client, steadyNow());
        stream->start(
            [this, client](std::string_view received) {
                const Nanoseconds now = steadyNow();
                std::size_t consumed = 0;
                for (std::size_t end; (end = received.find("\r\n", consumed)) != received.npos;
                     consumed = end + 2)
                    if (end - consumed > maxMessageBytes)
                        pooler_.onClientLine(client, "", now);
                    else
                        pooler_.onClientLine(client, received.substr(consumed, end - consumed), now);
                if (received.size() - consumed > maxMessageBytes) {
                    pooler_.onClientLine(client, "", now);  // oversized: closed with an error
                    consumed = received.size();
                }
                performOutputs();
                return consumed;
            },
            [this, client](bool) {
                clients_.erase(client);
                pooler_.onClientDisconnected(client, steadyNow());
                performOutputs();
            });
    }

    void performOutputs() {
        for (auto outputs = pooler_.takeOutputs(); !outputs.empty(); outputs = pooler_.takeOutputs())
            for (Output& output : outputs) std::visit([this](auto& each) { perform(each); }, output);
    }
    void perform(SendToClient& out) {
        const auto found = clients_.find(out.client);
        if (found == clients_.end()) return;
        found->second->send(out.bytes);
        if (found->second->unsentBytes() > maxUnsentBytes) {
            const auto slowClient = found->second;
            clients_.erase(found);
            slowClient->close();
            pooler_.onClientDisconnected(out.client, steadyNow());
        }
    }
    void perform(CloseClient& out) {
        const auto found = clients_.find(out.client);
        if (found == clients_.end()) return;
        found->second->finish();
        clients_.erase(found);
    }
    void perform(SetClientPaused& out) {
        const auto found = clients_.find(out.client);
        if (found != clients_.end()) found->second->setReadingPaused(out.paused);
    }
    void perform(OpenStoreConnection& out) {
        const int connection = out.connection;
        auto stream = Stream::connect(loop_, transport::endpointOf(out.address), 2000, [this, connection] {
            pooler_.onStoreConnected(connection, steadyNow());
            performOutputs();
        });
        connections_[connection] = stream;
        stream->start(
            [this, connection](std::string_view received) {
                const Nanoseconds now = steadyNow();
                std::size_t consumed = 0;
                for (std::size_t end; (end = received.find("\r\n", consumed)) != received.npos;
                     consumed = end + 2)
                    pooler_.onStoreLine(connection, received.substr(consumed, end - consumed), now);
                performOutputs();
                return consumed;
            },
            [this, connection](bool refused) {
                connections_.erase(connection);
                pooler_.onStoreDisconnected(connection, refused, steadyNow());
                performOutputs();
            });
    }
    void perform(SendToStore& out) {
        const auto found = connections_.find(out.connection);
        if (found != connections_.end()) found->second->send(out.bytes);
    }
    void perform(CloseStoreConnection& out) {
        const auto found = connections_.find(out.connection);
        if (found == connections_.end()) return;
        found->second->close();
        connections_.erase(found);
    }
    void perform(SendToAgent& out) {
        if (agent_) agent_->send(out.message);
    }
    void perform(WriteLog& out) { spdlog::info("{}", out.text); }

    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Pooler pooler_;
    asio::steady_timer tickTimer_, reconnectTimer_{loop_};
    asio::signal_set signals_;
    std::shared_ptr<transport::Link> agent_;
    std::unordered_map<int, std::shared_ptr<Stream>> clients_, connections_;
    std::size_t maxClients_;
    int lastClientId_ = 0;
    Nanoseconds shutdownDeadline_ = 0, shutdownStartedAt_ = 0, countersLoggedAt_ = steadyNow();
    transport::Listener listener_;
    transport::HttpServer readyServer_;
};
}  // namespace

int serve(const settings::Settings& settings, const std::string& settingsPath) {
    if (settings.proxyListenAddress.empty() || settings.readinessListenAddress.empty())
        throw settings::InvalidSettings("the proxy needs 'listen_on.front_addr' and 'listen_on.ready_addr'");
    return Program(settings, settingsPath).run();
}

}  // namespace granitereel::proxy
