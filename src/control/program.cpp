#include "sorting/program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <random>

#include "parcel/http.hpp"
#include "parcel/link.hpp"
#include "parcel/steady.hpp"
#include "parcel/storecall.hpp"
#include "sorting/disk.hpp"
#include "sorting/office.hpp"

namespace granitereel::sorting {

namespace {
namespace asio = boost::asio;
using parcel::Link;

class Program {
public:
    Program(const satchel::Satchel& satchel, const std::string& settingsPath)
        : satchel_(satchel),
          settingsPath_(settingsPath),
          loop_(1),
          disk_(satchel.dataPath),
          office_(begin()),
          ticker_(loop_),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          listener_(loop_, {asio::ip::make_address_v4(satchel.ip), static_cast<unsigned short>(satchel.firstPort)},
                    [this](std::shared_ptr<parcel::Stream> stream) { linked(std::move(stream), ""); }),
          http_(loop_, parcel::endpointOf(satchel.controlAddress), 16 * 1024 * 1024,
                [this](std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                       const std::string& body) {
                    office_.call(call, method, path, body, parcel::steadyNow());
                    carryOut();
                }) {}

    int run() {
        listen();
        tick();
        spdlog::info("control serves at {}", satchel_.controlAddress);
        loop_.run();
        return 0;
    }

private:
    Office begin() {
        auto all = disk_.all();
        // A member whose disk is empty is another than it was: what the earlier one said counts no more.
        if (!all.count("incarnation")) {
            std::random_device chance;
            all["incarnation"] = std::to_string((std::uint64_t(chance()) << 32) | chance());
            disk_.write("incarnation", all["incarnation"]);
        }
        return Office(satchel_, all["incarnation"], all, parcel::steadyNow());
    }

    void listen() {
        signals_.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) return;
            if (signal == SIGHUP) {
                try {
                    satchel::read(settingsPath_);
                    spdlog::info("settings read again: sound");
                } catch (const satchel::Unusable& fault) {
                    spdlog::warn("settings kept as they were: {}", fault.what());
                }
                return listen();
            }
            spdlog::info("control ends");
            loop_.stop();
        });
    }

    void tick() {
        const Nanos now = parcel::steadyNow();
        dial(now);
        office_.tick(now);
        carryOut();
        ticker_.expires_after(std::chrono::milliseconds(50));
        ticker_.async_wait([this](boost::system::error_code ec) {
            if (!ec) tick();
        });
    }

    void dial(Nanos now) {
        for (const std::string& member : office_.toDial()) {
            auto& slot = dialled_[member];
            if (slot.link != 0 || now < slot.notBefore) continue;
            slot.notBefore = now + millis(250);
            auto where = parcel::endpointOf(member);
            where.port(static_cast<unsigned short>(satchel_.firstPort));
            auto made = std::make_shared<std::shared_ptr<parcel::Stream>>();
            slot.link = -1;
            *made = parcel::Stream::to(loop_, where, 1500, [this, made, member] {
                const auto stream = *made;
                made->reset();
                linked(stream, member);
            });
            (*made)->start([](std::string_view) { return std::size_t(0); },
                           [this, member](bool) { dialled_[member].link = 0; });
        }
    }

    void linked(std::shared_ptr<parcel::Stream> stream, const std::string& dialled) {
        const int no = ++lastLink_;
        auto link = std::make_shared<Link>(std::move(stream));
        links_[no] = link;
        if (!dialled.empty()) dialled_[dialled].link = no;
        link->start(
            [this, no](const nlohmann::json& message) {
                office_.heard(no, message, parcel::steadyNow());
                carryOut();
            },
            [this, no, dialled] {
                links_.erase(no);
                if (!dialled.empty() && dialled_[dialled].link == no) dialled_[dialled].link = 0;
                office_.linkDown(no, parcel::steadyNow());
                carryOut();
            });
        office_.linkUp(no, dialled, parcel::steadyNow());
        carryOut();
    }

    void carryOut() {
        for (Outputs outputs = office_.takeOutputs(); !outputs.empty(); outputs = office_.takeOutputs())
            for (Output& output : outputs) std::visit([this](auto& each) { carry(each); }, output);
    }
    void carry(ToLink& out) {
        const auto at = links_.find(out.link);
        if (at != links_.end()) at->second->send(out.message);
    }
    void carry(ToDisk& out) { disk_.write(out.name, out.body); }
    void carry(ToCaller& out) {
        const Reply reply = replyOf(out.kind);
        http_.answer(out.call, reply.status, out.body.empty() ? nlohmann::json{{"fault", reply.text}}.dump() : out.body);
    }
    void carry(ToLog& out) { spdlog::info("{}", out.line); }
    void carry(ToStore& out) {
        parcel::storeCall(loop_, parcel::endpointOf(out.address), out.service, out.store, out.text, out.within_ms,
                          [this, ask = out.ask](std::optional<std::string> row) {
                              office_.storeAnswered(ask, row ? readRow(*row) : std::nullopt, parcel::steadyNow());
                              carryOut();
                          });
    }
    void carry(ToPlatform& out) {
        parcel::httpCall(loop_, parcel::endpointOf(satchel_.platform), "POST", "/promotions",
                         {{"X-Duty-Holder", satchel_.station}, {"X-Fence-Number", std::to_string(out.fence)}},
                         nlohmann::json{{"depot", out.service}, {"store_id", out.store}}.dump(), out.within_ms,
                         [this, ask = out.ask](int status) {
                             office_.platformAnswered(ask, status, parcel::steadyNow());
                             carryOut();
                         });
    }

    struct Dialled {
        int link = 0;  // 0: none; -1: being made
        Nanos notBefore = 0;
    };
    const satchel::Satchel satchel_;
    const std::string settingsPath_;
    asio::io_context loop_;
    Disk disk_;
    Office office_;
    asio::steady_timer ticker_;
    asio::signal_set signals_;
    std::map<int, std::shared_ptr<Link>> links_;
    std::map<std::string, Dialled> dialled_;
    int lastLink_ = 0;
    parcel::Listener listener_;
    parcel::HttpServer http_;
};
}  // namespace

int serve(const satchel::Satchel& satchel, const std::string& settingsPath) {
    if (satchel.controlAddress.empty()) throw satchel::Unusable("control needs 'listen_on.control_addr'");
    if (satchel.dataPath.empty()) throw satchel::Unusable("control needs 'data_path'");
    return Program(satchel, settingsPath).run();
}

}  // namespace granitereel::sorting
