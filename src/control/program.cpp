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

// At the end the disk's thread has so long; well within any grace period that is given in seconds.
constexpr std::chrono::milliseconds endWithin{500};

std::string drawIncarnation() {
    std::random_device chance;
    return std::to_string((std::uint64_t(chance()) << 32) | chance());
}

// The disk and what it holds, with the number of this life on it before any ballot bears it. Waits while the
// disk refuses: to end would change nothing, and a refusal says nothing of what it holds.
std::unique_ptr<Disk> openDisk(const std::string& folder, DiskRecords& records) {
    for (bool told = false;; told = true) {
        try {
            auto disk = std::make_unique<Disk>(folder, systemDisk(), drawIncarnation);
            records = disk->readAll();
            records[processIncarnationKey] = nextProcessIncarnation(records);
            disk->write({{processIncarnationKey, records[processIncarnationKey]}});
            return disk;
        } catch (const DiskError& error) {
            if (error.fault() == DiskFault::lost) throw;
            if (!told) spdlog::warn("waiting for the disk: {}", error.what());
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
          member_(begin()),
          writer_(std::move(disk_),
                  [this](DiskReport report) {
                      asio::post(loop_, [this, report = std::move(report)] { diskReported(report); });
                  }),
          ticker_(loop_),
          lastAnswers_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          listener_(loop_,
                    {asio::ip::make_address_v4(settings.ip), static_cast<unsigned short>(settings.firstPort)},
                    [this](std::shared_ptr<transport::Stream> stream) { linked(std::move(stream), ""); }),
          http_(loop_, transport::endpointOf(settings.controlListenAddress), 16 * 1024 * 1024,
                [this](std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                       const std::string& body) {
                    member_.handleCall(call, method, path, body, transport::steadyNow());
                    carryOut();
                }) {}

    int run() {
        listen();
        tick();
        spdlog::info("control serves at {}", settings_.controlListenAddress);
        loop_.run();
        spdlog::info("sent: {}", traffic_.summary());
        if (!writer_.stop(endWithin)) {
            spdlog::warn("ends although the disk hangs");
            spdlog::default_logger()->flush();
            std::_Exit(exitCode_);
        }
        return exitCode_;
    }

private:
    ControlMember begin() {
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
            // The next start finds the same, and begins as another with an empty disk.
            spdlog::error("ends, since the disk lost what it held: {}", report.cause);
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
        // Not through the gate again, where they would wait for the writes since.
        for (Output& output : released) carry(output);
        carryOut();
    }

    void listen() {
        signals_.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) return;
            if (signal == SIGHUP) {
                try {
                    settings::read(settingsPath_);
                    spdlog::info("settings read again: sound");
                } catch (const settings::InvalidSettings& fault) {
                    spdlog::warn("settings kept as they were: {}", fault.what());
                }
                return listen();
            }
            if (leaving_) return loop_.stop();  // told twice
            leaving_ = true;
            member_.shutDown(transport::steadyNow());
            carryOut();
            listen();
        });
    }

    void tick() {
        const Nanoseconds now = transport::steadyNow();
        dial(now);
        member_.updateDiskHealth(diskHealth(now), now);
        member_.tick(now);
        if (traffic_.reportDue(now)) spdlog::info("sent: {}", traffic_.summary());
        carryOut();
        ticker_.expires_after(std::chrono::milliseconds(50));
        ticker_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    void dial(Nanoseconds now) {
        for (const std::string& member : member_.membersToDial()) {
            auto& slot = dialled_[member];
            if (slot.link != 0 || now < slot.notBefore) continue;
            slot.notBefore = now + milliseconds(250);
            auto where = transport::endpointOf(member);
            where.port(static_cast<unsigned short>(settings_.firstPort));
            auto made = std::make_shared<std::shared_ptr<transport::Stream>>();
            slot.link = -1;
            *made = transport::Stream::connect(loop_, where, 1500, [this, made, member] {
                const auto stream = *made;
                made->reset();
                linked(stream, member);
            });
            (*made)->start([](std::string_view) { return std::size_t(0); },
                           [this, member](bool) { dialled_[member].link = 0; });
        }
    }

    void linked(std::shared_ptr<transport::Stream> stream, const std::string& dialled) {
        const int no = ++lastLink_;
        auto link = std::make_shared<Link>(std::move(stream));
        links_[no] = link;
        if (!dialled.empty()) dialled_[dialled].link = no;
        link->start(
            [this, no](const nlohmann::json& message) {
                member_.handleMessage(no, message, transport::steadyNow());
                carryOut();
            },
            [this, no, dialled] {
                links_.erase(no);
                if (!dialled.empty() && dialled_[dialled].link == no) dialled_[dialled].link = 0;
                member_.linkDown(no, transport::steadyNow());
                carryOut();
            });
        member_.linkUp(no, dialled, transport::steadyNow());
        carryOut();
    }

    void carryOut() {
        for (Outputs outputs = member_.takeOutputs(); !outputs.empty(); outputs = member_.takeOutputs())
            for (Output& output : outputs)
                if (!gate_.hold(output)) carry(output);
        // All at once: one wake-up of the disk's thread, one sync.
        if (!toDisk_.empty()) writer_.submit(std::exchange(toDisk_, {}), lastWrite_);
        if (member_.shutdownComplete()) end();
    }
    // What was answered last gets the time to leave.
    void end() {
        if (std::exchange(ending_, true)) return;
        spdlog::info("control ends");
        lastAnswers_.expires_after(std::chrono::milliseconds(20));
        lastAnswers_.async_wait([this](boost::system::error_code) { loop_.stop(); });
    }
    void carry(Output& output) {
        std::visit([this](auto& each) { carry(each); }, output);
    }
    void carry(ToLink& out) {
        const auto at = links_.find(out.link);
        if (at != links_.end()) traffic_.count(out.message.at("k"), at->second->send(out.message));
    }
    void carry(ToSelf& out) { member_.handleDurableVote(out.reply, transport::steadyNow()); }
    void carry(ToDisk& out) {
        lastWrite_ = gate_.recordWrite(transport::steadyNow());
        toDisk_[out.name] = std::move(out.body);
    }
    void carry(ToCaller& out) {
        const HttpReply reply = httpReplyFor(out.outcome);
        http_.respond(out.call, reply.status,
                      out.body.empty() ? nlohmann::json{{"fault", reply.text}}.dump() : out.body,
                      out.location);
    }
    void carry(ToLog& out) { spdlog::info("{}", out.line); }
    void carry(ToStore& out) {
        transport::storeCall(
            loop_, transport::endpointOf(out.address), out.service, out.store, out.text, out.within_ms,
            [this, ask = out.requestId](std::optional<std::string> row) {
                member_.handleStoreReply(ask, row ? readRow(*row) : std::nullopt, transport::steadyNow());
                carryOut();
            },
            [notAfter = out.notAfter] { return transport::steadyNow() < notAfter; });
    }
    void carry(ToPlatform& out) {
        transport::httpCall(
            loop_, transport::endpointOf(settings_.platformAddress), "POST", "/promotions",
            {{"X-Duty-Holder", settings_.station}, {"X-Fence-Number", std::to_string(out.fence)}},
            nlohmann::json{{"depot", out.service}, {"store_id", out.store}}.dump(), out.within_ms,
            [this, ask = out.requestId](int status) {
                member_.handlePlatformReply(ask, promotionAnswerOf(status), transport::steadyNow());
                carryOut();
            },
            [notAfter = out.notAfter] { return transport::steadyNow() < notAfter; });
    }

    struct Dialled {
        int link = 0;  // 0: none; -1: being made
        Nanoseconds notBefore = 0;
    };
    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    DiskRecords records_;         // as the disk was opened; taken by begin()
    std::unique_ptr<Disk> disk_;  // until the writer has it
    ControlMember member_;
    DurabilityGate gate_;
    DiskRecords toDisk_;  // not handed to the writer yet
    std::uint64_t lastWrite_ = 0;
    bool diskRefuses_ = false;
    int exitCode_ = EXIT_SUCCESS;
    DiskWriter writer_;
    asio::steady_timer ticker_, lastAnswers_;
    bool leaving_ = false, ending_ = false;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    transport::TrafficCounters traffic_;
    std::map<std::string, Dialled> dialled_;
    int lastLink_ = 0;
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
