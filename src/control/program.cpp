#include "control/program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <random>

#include "control/disk.hpp"
#include "control/member.hpp"
#include "transport/http.hpp"
#include "transport/link.hpp"
#include "transport/steady.hpp"
#include "transport/store_call.hpp"
#include "transport/traffic.hpp"

namespace granitereel::control {

namespace {
namespace asio = boost::asio;
using transport::Link;

class Program {
public:
    Program(const settings::Settings& settings, const std::string& settingsPath)
        : settings_(settings),
          settingsPath_(settingsPath),
          loop_(1),
          disk_(settings.dataPath),
          member_(begin()),
          ticker_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          listener_(loop_,
                    {asio::ip::make_address_v4(settings.ip), static_cast<unsigned short>(settings.firstPort)},
                    [this](std::shared_ptr<transport::Stream> stream) { linked(std::move(stream), ""); }),
          http_(loop_, transport::endpointOf(settings.controlAddress), 16 * 1024 * 1024,
                [this](std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                       const std::string& body) {
                    member_.call(call, method, path, body, transport::steadyNow());
                    carryOut();
                }) {}

    int run() {
        listen();
        tick();
        spdlog::info("control serves at {}", settings_.controlAddress);
        loop_.run();
        spdlog::info("sent: {}", traffic_.line());
        return 0;
    }

private:
    ControlMember begin() {
        auto all = disk_.all();
        // A member whose disk is empty is another than it was: what the earlier one said counts no more.
        if (!all.count("incarnation")) {
            std::random_device chance;
            all["incarnation"] = std::to_string((std::uint64_t(chance()) << 32) | chance());
            disk_.write("incarnation", all["incarnation"]);
        }
        return ControlMember(settings_, all["incarnation"], all, transport::steadyNow());
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
            spdlog::info("control ends");
            loop_.stop();
        });
    }

    void tick() {
        const Nanos now = transport::steadyNow();
        dial(now);
        member_.tick(now);
        if (traffic_.due(now)) spdlog::info("sent: {}", traffic_.line());
        carryOut();
        ticker_.expires_after(std::chrono::milliseconds(50));
        ticker_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    void dial(Nanos now) {
        for (const std::string& member : member_.toDial()) {
            auto& slot = dialled_[member];
            if (slot.link != 0 || now < slot.notBefore) continue;
            slot.notBefore = now + millis(250);
            auto where = transport::endpointOf(member);
            where.port(static_cast<unsigned short>(settings_.firstPort));
            auto made = std::make_shared<std::shared_ptr<transport::Stream>>();
            slot.link = -1;
            *made = transport::Stream::to(loop_, where, 1500, [this, made, member] {
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
                member_.heard(no, message, transport::steadyNow());
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
            for (Output& output : outputs) std::visit([this](auto& each) { carry(each); }, output);
    }
    void carry(ToLink& out) {
        const auto at = links_.find(out.link);
        if (at != links_.end()) traffic_.sent(out.message.at("k"), at->second->send(out.message));
    }
    void carry(ToDisk& out) { disk_.write(out.name, out.body); }
    void carry(ToCaller& out) {
        const Reply reply = replyOf(out.kind);
        http_.answer(out.call, reply.status,
                     out.body.empty() ? nlohmann::json{{"fault", reply.text}}.dump() : out.body);
    }
    void carry(ToLog& out) { spdlog::info("{}", out.line); }
    void carry(ToStore& out) {
        transport::storeCall(loop_, transport::endpointOf(out.address), out.service, out.store, out.text,
                             out.within_ms, [this, ask = out.ask](std::optional<std::string> row) {
                                 member_.storeAnswered(ask, row ? readRow(*row) : std::nullopt,
                                                       transport::steadyNow());
                                 carryOut();
                             });
    }
    void carry(ToPlatform& out) {
        transport::httpCall(
            loop_, transport::endpointOf(settings_.platform), "POST", "/promotions",
            {{"X-Duty-Holder", settings_.station}, {"X-Fence-Number", std::to_string(out.fence)}},
            nlohmann::json{{"depot", out.service}, {"store_id", out.store}}.dump(), out.within_ms,
            [this, ask = out.ask](int status) {
                member_.platformAnswered(ask, status, transport::steadyNow());
                carryOut();
            });
    }

    struct Dialled {
        int link = 0;  // 0: none; -1: being made
        Nanos notBefore = 0;
    };
    const settings::Settings settings_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Disk disk_;
    ControlMember member_;
    asio::steady_timer ticker_;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    transport::Traffic traffic_;
    std::map<std::string, Dialled> dialled_;
    int lastLink_ = 0;
    transport::Listener listener_;
    transport::HttpServer http_;
};
}  // namespace

int serve(const settings::Settings& settings, const std::string& settingsPath) {
    if (settings.controlAddress.empty())
        throw settings::InvalidSettings("control needs 'listen_on.control_addr'");
    if (settings.dataPath.empty()) throw settings::InvalidSettings("control needs 'data_path'");
    return Program(settings, settingsPath).run();
}

}  // namespace granitereel::control
