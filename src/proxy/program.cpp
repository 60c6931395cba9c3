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

// A client that takes none of its answers is let go once so much waits for it.
constexpr std::size_t unsentMost = 4 * 1024 * 1024;
constexpr Nanoseconds countsEvery = milliseconds(10'000);

class Program {
public:
    Program(const settings::Settings& settings, const std::string& settingsPath)
        : settings_(settings),
          settingsPath_(settingsPath),
          loop_(1),
          pooler_(settings, std::random_device{}(), steadyNow()),
          ticker_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          clientsMost_(static_cast<std::size_t>(std::max(16, settings.maxFileHandles * 3 / 4 - 200))),
          listener_(loop_, transport::endpointOf(settings.proxyListenAddress),
                    [this](auto stream) { client(std::move(stream)); }),
          ready_(loop_, transport::endpointOf(settings.readinessListenAddress), 4096,
                 [this](std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                        const std::string&) {
                     const bool place = path.size() == 1 && path[0] == "ready";
                     ready_.respond(call,
                                    !place            ? 404
                                    : method != "GET" ? 405
                                    : pooler_.ready() ? 200
                                                      : 503,
                                    "");
                 }) {}

    int run() {
        listen();
        dial();
        tick();
        loop_.run();
        return 0;
    }

private:
    void listen() {
        signals_.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) return;
            if (signal == SIGHUP) {
                try {
                    settings::read(settingsPath_);
                } catch (const settings::InvalidSettings& fault) {
                    spdlog::warn("settings kept as they were: {}", fault.what());
                }
            } else {
                spdlog::info("leaving: {} sessions", pooler_.sessions());
                endAt_ = steadyNow() + milliseconds(settings_.shutdownGrace_ms - 300);
                leftAt_ = steadyNow();
                pooler_.leave(steadyNow());
                carryOut();
            }
            listen();
        });
    }

    void tick() {
        const Nanoseconds now = steadyNow();
        pooler_.tick(now);
        carryOut();
        if (now - countedAt_ >= countsEvery) {
            countedAt_ = now;
            const Counts& c = pooler_.counts();
            spdlog::info(
                "counts sessions={} open={} lines={} statements={} tx={} answered={} promised={} indoubt={} "
                "opened={} "
                "out_of_step={} own={} guarded={} lagging={} lead_near={} lead_far={} replica_near={} "
                "replica_far={} unproven={} deferred={}",
                c.sessions, pooler_.sessions(), pooler_.lines(), c.statements, c.transactions, c.answered,
                c.promised, c.indoubt, c.opened, c.outOfStep, c.own, c.guarded, c.lagging, c.leadNear,
                c.leadFar, c.replicaNear, c.replicaFar, c.unproven, c.deferred);
        }
        // New connections come for as long as the platform has not seen that this front leaves.
        if (endAt_ && (now >= endAt_ || (now - leftAt_ > milliseconds(2600) && pooler_.over()))) {
            spdlog::info("left");
            return loop_.stop();
        }
        ticker_.expires_after(std::chrono::milliseconds(20));
        ticker_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    // To the agent on this machine, over loopback, again and again until it is there.
    void dial() {
        auto made = std::make_shared<std::shared_ptr<Stream>>();
        auto again = [this] {
            agent_.reset();
            pooler_.agentDown();
            redial_.expires_after(std::chrono::milliseconds(100));
            redial_.async_wait([this](boost::system::error_code ec) {
                if (!ec) dial();
            });
        };
        const transport::tcp::endpoint where{asio::ip::make_address_v4("127.0.0.1"),
                                             static_cast<unsigned short>(settings_.firstPort + 1)};
        *made = Stream::connect(loop_, where, 1000, [this, made, again] {
            agent_ = std::make_shared<transport::Link>(*made);
            made->reset();
            agent_->start(
                [this](const nlohmann::json& message) {
                    pooler_.agentSaid(message, steadyNow());
                    carryOut();
                },
                again);
            pooler_.agentUp(steadyNow());
            carryOut();
        });
        (*made)->start([](std::string_view) { return std::size_t(0); }, [again](bool) { again(); });
    }

    void client(const std::shared_ptr<Stream>& stream) {
        if (clients_.size() >= clientsMost_) {
            stream->start([](std::string_view all) { return all.size(); }, [](bool) {});
            stream->send(errorLine(Error::busy, "too many sessions; come back in 500 ms"));
            return stream->finish();
        }
        const int no = ++lastClient_;
        clients_[no] = stream;
        pooler_.clientCame(no, steadyNow());
        stream->start(
            [this, no](std::string_view all) {
                const Nanoseconds now = steadyNow();
                std::size_t used = 0;
                for (std::size_t cut; (cut = all.find("\r\n", used)) != all.npos; used = cut + 2)
                    if (cut - used > longestMessage)
                        pooler_.clientSaid(no, "", now);
                    else
                        pooler_.clientSaid(no, all.substr(used, cut - used), now);
                if (all.size() - used > longestMessage) {
                    pooler_.clientSaid(no, "", now);  // no such message: it is told so and let go
                    used = all.size();
                }
                carryOut();
                return used;
            },
            [this, no](bool) {
                clients_.erase(no);
                pooler_.clientLeft(no, steadyNow());
                carryOut();
            });
    }

    void carryOut() {
        for (auto outputs = pooler_.take(); !outputs.empty(); outputs = pooler_.take())
            for (Output& output : outputs) std::visit([this](auto& each) { carry(each); }, output);
    }
    void carry(ToClient& out) {
        const auto at = clients_.find(out.client);
        if (at == clients_.end()) return;
        at->second->send(out.bytes);
        if (at->second->unsentBytes() > unsentMost) {
            const auto slow = at->second;
            clients_.erase(at);
            slow->close();
            pooler_.clientLeft(out.client, steadyNow());
        }
    }
    void carry(EndClient& out) {
        const auto at = clients_.find(out.client);
        if (at == clients_.end()) return;
        at->second->finish();
        clients_.erase(at);
    }
    void carry(HoldClient& out) {
        const auto at = clients_.find(out.client);
        if (at != clients_.end()) at->second->setReadingPaused(out.on);
    }
    void carry(OpenLine& out) {
        const int no = out.line;
        auto stream = Stream::connect(loop_, transport::endpointOf(out.address), 2000, [this, no] {
            pooler_.lineOpened(no, steadyNow());
            carryOut();
        });
        lines_[no] = stream;
        stream->start(
            [this, no](std::string_view all) {
                const Nanoseconds now = steadyNow();
                std::size_t used = 0;
                for (std::size_t cut; (cut = all.find("\r\n", used)) != all.npos; used = cut + 2)
                    pooler_.lineSaid(no, all.substr(used, cut - used), now);
                carryOut();
                return used;
            },
            [this, no](bool refused) {
                lines_.erase(no);
                pooler_.lineEnded(no, refused, steadyNow());
                carryOut();
            });
    }
    void carry(ToLine& out) {
        const auto at = lines_.find(out.line);
        if (at != lines_.end()) at->second->send(out.bytes);
    }
    void carry(CloseLine& out) {
        const auto at = lines_.find(out.line);
        if (at == lines_.end()) return;
        at->second->close();
        lines_.erase(at);
    }
    void carry(ToAgent& out) {
        if (agent_) agent_->send(out.message);
    }
    void carry(ToLog& out) { spdlog::info("{}", out.text); }

    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Pooler pooler_;
    asio::steady_timer ticker_, redial_{loop_};
    asio::signal_set signals_;
    std::shared_ptr<transport::Link> agent_;
    std::unordered_map<int, std::shared_ptr<Stream>> clients_, lines_;
    std::size_t clientsMost_;
    int lastClient_ = 0;
    Nanoseconds endAt_ = 0, leftAt_ = 0, countedAt_ = steadyNow();
    transport::Listener listener_;
    transport::HttpServer ready_;
};
}  // namespace

int serve(const settings::Settings& settings, const std::string& settingsPath) {
    if (settings.proxyListenAddress.empty() || settings.readinessListenAddress.empty())
        throw settings::InvalidSettings("the proxy needs 'listen_on.front_addr' and 'listen_on.ready_addr'");
    return Program(settings, settingsPath).run();
}

}  // namespace granitereel::proxy
