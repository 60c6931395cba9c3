#include "control/program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <random>
#include <thread>

#include "control/disk.hpp"
#include "control/disk_writer.hpp"
#include "control/durability_gate.hpp"
#include "control/member.hpp"
#include "transport/http.hpp"
#include "transport/link.hpp"
#include "transport/steady_clock.hpp"
#include "transport/store_call.hpp"
#include "transport/traffic_counters.hpp"

namespace granitereel::control {

namespace {
namespace asio = boost::asio;
using transport::Link;

// How long the disk thread may take to stop; well within any grace period, as these are given in seconds.
constexpr std::chrono::milliseconds diskShutdownTimeout{500};

std::string randomIncarnation() {
    std::random_device device;
    return std::to_string((std::uint64_t(device()) << 32) | device());
}

// Opens the disk and reads its records. Invariant: the number of this process incarnation is on disk before
// any ballot contains it; otherwise two process incarnations could use the same ballot. Waits while the disk
// rejects operations: a restart would not help, and a rejection doesn't mean that the data is lost.
std::unique_ptr<Disk> openDisk(const std::string& folder, DiskRecords& records) {
    for (bool logged = false;; logged = true) {
        try {
            auto disk = std::make_unique<Disk>(folder, systemDisk(), randomIncarnation);
            records = disk->readAll();
            records[processIncarnationKey] = nextProcessIncarnation(records);
            disk->write({{processIncarnationKey, records[processIncarnationKey]}});
            return disk;
        } catch (const DiskError& error) {
            if (error.fault() == DiskFault::lost) throw;
            if (!logged) spdlog::warn("waiting for the disk: {}", error.what());
            std::this_thread::sleep_for(DiskWriter::defaultRetryDelay);
        }
    }
}

class Program {
public:
    Program(const settings::Settings& settings, const std::string& settingsPath)
        : settings_(settings),
          settingsPath_(settingsPath),
          loop_(1),
          disk_(openDisk(settings.dataPath, records_)),
          member_(makeMember()),
          writer_(std::move(disk_),
                  [this](DiskReport report) {
                      asio::post(loop_, [this, report = std::move(report)] { diskReported(report); });
                  }),
          tickTimer_(loop_),
          lastAnswersTimer_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          listener_(loop_,
                    {asio::ip::make_address_v4(settings.ip), static_cast<unsigned short>(settings.firstPort)},
                    [this](std::shared_ptr<transport::Stream> stream) { addLink(std::move(stream), ""); }),
          http_(loop_, transport::endpointOf(settings.controlListenAddress), 16 * 1024 * 1024,
                [this](std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                       const std::string& body) {
                    member_.handleCall(call, method, path, body, transport::steadyNow());
                    dispatchOutputs();
                }) {}

    int run() {
        listen();
        tick();
        spdlog::info("control serves at {}", settings_.controlListenAddress);
        loop_.run();
        spdlog::info("sent: {}", traffic_.summary());
        if (!writer_.stop(diskShutdownTimeout)) {
            spdlog::warn("exiting although the disk thread is blocked");
            spdlog::default_logger()->flush();
            std::_Exit(exitCode_);
        }
        return exitCode_;
    }

private:
    ControlMember makeMember() {
        if (disk_->stateWasLost() && !records_.count("core"))
            spdlog::warn("the state on disk was lost: begins anew");
        return ControlMember(settings_, disk_->incarnation(), std::exchange(records_, {}),
                             transport::steadyNow());
    }

    DiskHealth diskHealth(Nanoseconds now) const {
        if (diskRefuses_) return DiskHealth::refuses;
        return now - gate_.oldestPendingWriteAt(now) >= slowSyncThreshold ? DiskHealth::slow : DiskHealth::ok;
    }

    void diskReported(const DiskReport& report) {
        if (report.event == DiskReport::Event::lost) {
            // The next start detects the loss too, and starts as a new member with an empty disk.
            spdlog::error("exiting: the disk lost its data: {}", report.cause);
            exitCode_ = EXIT_FAILURE;
            return loop_.stop();
        }
        const bool refuses = report.event == DiskReport::Event::writeFailed;
        if (refuses && !diskRefuses_) spdlog::warn("{}", report.cause);
        diskRefuses_ = refuses;
        Outputs released;
        if (!refuses) released = gate_.release(report.ticket);
        const Nanoseconds now = transport::steadyNow();
        member_.updateDiskHealth(diskHealth(now), now);
        // Not through the gate again, where they would wait for later writes.
        for (Output& output : released) dispatch(output);
        dispatchOutputs();
    }

    void listen() {
        signals_.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) return;
            if (signal == SIGHUP) {
                try {
                    settings::read(settingsPath_);
                    spdlog::info("settings read again: valid");
                } catch (const settings::InvalidSettings& error) {
                    spdlog::warn("settings not valid, nothing changes: {}", error.what());
                }
                return listen();
            }
            if (leaving_) return loop_.stop();  // second signal: stop at once
            leaving_ = true;
            member_.shutDown(transport::steadyNow());
            dispatchOutputs();
            listen();
        });
    }

    void tick() {
        const Nanoseconds now = transport::steadyNow();
        dialMembers(now);
        member_.updateDiskHealth(diskHealth(now), now);
        member_.tick(now);
        if (traffic_.reportDue(now)) spdlog::info("sent: {}", traffic_.summary());
        dispatchOutputs();
        tickTimer_.expires_after(std::chrono::milliseconds(50));
        tickTimer_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    void dialMembers(Nanoseconds now) {
        for (const std::string& member : member_.membersToDial()) {
            auto& dialled = dialledMembers_[member];
            if (dialled.link != 0 || now < dialled.nextAttemptAt) continue;
            dialled.nextAttemptAt = now + milliseconds(250);
            auto endpoint = transport::endpointOf(member);
            endpoint.port(static_cast<unsigned short>(settings_.firstPort));
            auto connecting = std::make_shared<std::shared_ptr<transport::Stream>>();
            dialled.link = -1;
            *connecting = transport::Stream::connect(loop_, endpoint, 1500, [this, connecting, member] {
                const auto stream = *connecting;
                connecting->reset();
                addLink(stream, member);
            });
            (*connecting)
                ->start([](std::string_view) { return std::size_t(0); },
                        [this, member](bool) { dialledMembers_[member].link = 0; });
        }
    }

    void addLink(std::shared_ptr<transport::Stream> stream, const std::string& dialled) {
        const int linkId = ++lastLinkId_;
        auto link = std::make_shared<Link>(std::move(stream));
        links_[linkId] = link;
        if (!dialled.empty()) dialledMembers_[dialled].link = linkId;
        link->start(
            [this, linkId](const nlohmann::json& message) {
                member_.handleMessage(linkId, message, transport::steadyNow());
                dispatchOutputs();
            },
            [this, linkId, dialled] {
                links_.erase(linkId);
                if (!dialled.empty() && dialledMembers_[dialled].link == linkId)
                    dialledMembers_[dialled].link = 0;
                member_.linkDown(linkId, transport::steadyNow());
                dispatchOutputs();
            });
        member_.linkUp(linkId, dialled, transport::steadyNow());
        dispatchOutputs();
    }

    void dispatchOutputs() {
        for (Outputs outputs = member_.takeOutputs(); !outputs.empty(); outputs = member_.takeOutputs())
            for (Output& output : outputs)
                if (!gate_.hold(output)) dispatch(output);
        // All writes together: the disk thread wakes up once and syncs once.
        if (!toDisk_.empty()) writer_.submit(std::exchange(toDisk_, {}), lastWrite_);
        if (member_.shutdownComplete()) shutDown();
    }
    // Delays the stop a little so that the last answers are sent.
    void shutDown() {
        if (std::exchange(ending_, true)) return;
        spdlog::info("control exits");
        lastAnswersTimer_.expires_after(std::chrono::milliseconds(20));
        lastAnswersTimer_.async_wait([this](boost::system::error_code) { loop_.stop(); });
    }
    void dispatch(Output& output) {
        std::visit([this](auto& each) { dispatch(each); }, output);
    }
    void dispatch(ToLink& out) {
        const auto found = links_.find(out.link);
        if (found != links_.end()) traffic_.count(out.message.at("k"), found->second->send(out.message));
    }
    void dispatch(ToSelf& out) { member_.handleDurableVote(out.reply, transport::steadyNow()); }
    void dispatch(ToDisk& out) {
        lastWrite_ = gate_.recordWrite(transport::steadyNow());
        toDisk_[out.name] = std::move(out.body);
    }
    void dispatch(ToCaller& out) {
        const HttpReply reply = httpReplyFor(out.outcome);
        http_.respond(out.call, reply.status,
                      out.body.empty() ? nlohmann::json{{"fault", reply.text}}.dump() : out.body,
                      out.location);
    }
    void dispatch(ToLog& out) { spdlog::info("{}", out.line); }
    void dispatch(ToStore& out) {
        transport::storeCall(
            loop_, transport::endpointOf(out.address), out.service, out.store, out.text, out.within_ms,
            [this, requestId = out.requestId](std::optional<std::string> fields) {
                member_.handleStoreReply(requestId, fields ? parseStoreStatus(*fields) : std::nullopt,
                                         transport::steadyNow());
                dispatchOutputs();
            },
            [notAfter = out.notAfter] { return transport::steadyNow() < notAfter; });
    }
    void dispatch(ToPlatform& out) {
        transport::httpCall(
            loop_, transport::endpointOf(settings_.platformAddress), "POST", "/promotions",
            {{"X-Duty-Holder", settings_.station}, {"X-Fence-Number", std::to_string(out.fence)}},
            nlohmann::json{{"depot", out.service}, {"store_id", out.store}}.dump(), out.within_ms,
            [this, requestId = out.requestId](int status) {
                member_.handlePlatformReply(requestId, promotionOutcomeOf(status), transport::steadyNow());
                dispatchOutputs();
            },
            [notAfter = out.notAfter] { return transport::steadyNow() < notAfter; });
    }

    struct DialledMember {
        int link = 0;  // 0: none; -1: connecting
        Nanoseconds nextAttemptAt = 0;
    };
    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    DiskRecords records_;         // as read when the disk was opened; moved out by makeMember()
    std::unique_ptr<Disk> disk_;  // until it is moved to the writer
    ControlMember member_;
    DurabilityGate gate_;
    DiskRecords toDisk_;  // not submitted to the writer yet
    std::uint64_t lastWrite_ = 0;
    bool diskRefuses_ = false;
    int exitCode_ = EXIT_SUCCESS;
    DiskWriter writer_;
    asio::steady_timer tickTimer_, lastAnswersTimer_;
    bool leaving_ = false, ending_ = false;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    transport::TrafficCounters traffic_;
    std::map<std::string, DialledMember> dialledMembers_;
    int lastLinkId_ = 0;
    transport::Listener listener_;
    transport::HttpServer http_;
};
}  // namespace

int serve(const settings::Settings& settings, const std::string& settingsPath) {
    if (settings.controlListenAddress.empty())
        throw settings::InvalidSettings("control needs 'listen_on.control_addr'");
    if (settings.dataPath.empty()) throw settings::InvalidSettings("control needs 'data_path'");
    return Program(settings, settingsPath).run();
}

}  // namespace granitereel::control
