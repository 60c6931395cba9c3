// One member of control: what the stores, the operator, the fronts and the other members say to it, and what
// it says, writes and answers. Composes the registers, the registry of stores, the lease and the succession
// of each service. Free of I/O, clocks and chance: time comes in, outputs go out.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "board/gossip.hpp"
#include "configuration/configuration.hpp"
#include "control/outputs.hpp"
#include "control/register.hpp"
#include "control/succession.hpp"
#include "nanos.hpp"
#include "settings/settings.hpp"

namespace granitereel::control {

class ControlMember : public Succession::Means {
public:
    // `incarnation`: drawn anew when the disk is empty, else as it was. `disk`: what was written, by name.
    ControlMember(const settings::Settings& settings, std::string incarnation,
                  const std::map<std::string, Json>& disk, Nanos now);

    // Links to others: `dialled` ones lead to a member at that control address, others come in.
    void linkUp(int link, const std::string& dialled, Nanos now);
    void linkDown(int link, Nanos now);
    void heard(int link, const Json& message, Nanos now);
    // A call over HTTP: the path by segments.
    void call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
              const std::string& body, Nanos now);
    void storeAnswered(std::uint64_t ask, std::optional<StoreRow> row, Nanos now);
    void platformAnswered(std::uint64_t ask, PromotionAnswer answer, Nanos now);
    void tick(Nanos now);

    Outputs takeOutputs() { return std::exchange(outputs_, {}); }
    // Members that a link is to be held to.
    std::set<std::string> toDial() const;
    Json state(Nanos now) const;

private:
    struct Peer {
        std::string dialled, member, station, kind;  // kind: "member", "front"; empty: not said yet
    };
    struct Recovery {
        std::set<std::string> from;
        Nanos notBefore = 0, askedAt = 0;
    };

    Outputs& outputs() override { return outputs_; }
    std::uint64_t nextAsk(Succession& asker) override;
    void change(const std::string& service, std::uint64_t ifSeq, Lead to,
                std::function<void(std::optional<Lead>)> done) override;
    void confirm(const std::string& service, const Lead& expected,
                 std::function<void(Confirmation, Nanos now)> done) override;
    const board::Board& board() const override { return gossip_.board(); }
    int syncReplicas(const std::string& service) const override;

    void send(int link, Json message) { outputs_.push_back(ToLink{link, std::move(message)}); }
    void answer(std::uint64_t call, Kind kind, std::string body = {}) {
        outputs_.push_back(ToCaller{call, kind, std::move(body)});
    }
    void take(int link, const Json& message, Nanos now);
    void news(const std::string& name, const board::Record& record);
    void storeCalled(std::uint64_t call, const std::string& id, const std::string& body, Nanos now);
    void storeLeft(std::uint64_t call, const std::string& id);
    void configSent(std::uint64_t call, const std::string& body, Nanos now);
    void configAsked(std::uint64_t call, Nanos now);
    void learn(const std::string& name, const Json& value);
    bool said(const std::string& name, const Json& value) const;
    std::size_t rank() const;
    void vote(int link, const Json& message);
    void flushProposer(Nanos now);
    void adopt(Core core);
    void manage(Nanos now);
    void changeCore(Core to, Nanos now);
    void repair(Nanos now);
    void rounds(Nanos now);
    void ownDuties(Nanos now);
    bool votes() const { return core_.voters.count(self_) > 0 && !recovering_; }
    bool here(const std::string& member) const;
    int linkTo(const std::string& member) const;
    void suspected(const Json& message, Nanos now);
    Json unsettledLeads() const;
    void markUnsettled(const std::string& service, std::uint64_t seq);

    const settings::Settings settings_;
    const std::string self_, incarnation_;
    Outputs outputs_;
    board::Gossip gossip_;
    Acceptor acceptor_;
    Proposer proposer_;
    Core core_;
    bool recovering_ = false;
    // A change of who votes: the registers of those who answered, which are accepted anew before it.
    struct Reform {
        Core to;
        std::set<std::string> heard, names;
        Nanos since = 0, askedAt = 0;
        int left = -1;  // still to be accepted anew; below nought: not begun
    };
    std::optional<Reform> reform_;
    Nanos managedAt_ = 0, now_ = 0;
    std::map<std::string, Nanos> memberSince_, voterAway_;
    std::map<std::string, Nanos> unannounced_;  // registers accepted here that nobody has said to stand
    Recovery recovery_;
    std::map<int, Peer> peers_;
    std::map<std::string, std::string> incarnations_;
    std::map<std::string, Nanos> memberHeard_;
    std::map<std::string, std::uint64_t>
        unsettledLeads_;  // services whose lead may change: by which change of the lead
    std::map<std::string, std::unique_ptr<Succession>> successions_;
    std::map<std::uint64_t, Succession*> asks_;
    std::uint64_t nextAsk_ = 1, round_ = 0;
    Nanos roundAt_ = 0, leaseUntil_ = 0, startedAt_, readAt_ = 0;
    std::map<std::uint64_t, std::pair<Nanos, std::set<std::string>>> roundsOut_;
    configuration::Configuration configuration_;
};

// How long what was told of leads may be believed, counted from when the question for it was sent.
constexpr Nanos leaseTime = millis(700);

}  // namespace granitereel::control
