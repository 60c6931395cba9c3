// One member of control: what the stores, the operator, the fronts and the other members say to it, and what
// it says, writes and answers. Composes the registers, the registry of stores, the lease and the succession
// of each service. Free of I/O, clocks and chance: time comes in, outputs go out.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration.hpp"
#include "control/call_router.hpp"
#include "control/departure.hpp"
#include "control/disk_health.hpp"
#include "control/lease.hpp"
#include "control/membership.hpp"
#include "control/messages.hpp"
#include "control/operator_calls.hpp"
#include "control/outputs.hpp"
#include "control/recovery.hpp"
#include "control/register.hpp"
#include "control/store_registry.hpp"
#include "control/succession.hpp"
#include "control/unsettled_leads.hpp"
#include "gossip/control_contact_monitor.hpp"
#include "gossip/invariant.hpp"
#include "gossip/lease.hpp"
#include "gossip/record_replicator.hpp"
#include "nanoseconds.hpp"
#include "settings/settings.hpp"

namespace granitereel::control {

class ControlMember : public Succession::Means,
                      private Membership::Means,
                      private StoreRegistry::Means,
                      private OperatorCalls::Means,
                      private CallRouter::Means {
public:
    // `incarnation`: drawn anew when the disk is empty, else as it was. `disk`: what was written, by name,
    // with the life at `lifeKey` raised for this start.
    ControlMember(const settings::Settings& settings, std::string incarnation,
                  const std::map<std::string, Json>& disk, Nanoseconds now);

    // Links to others: `dialled` ones lead to a member at that control address, others come in.
    void linkUp(int link, const std::string& dialled, Nanoseconds now);
    void linkDown(int link, Nanoseconds now);
    void heard(int link, const Json& message, Nanoseconds now);
    // A call over HTTP: the path by segments.
    void call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
              const std::string& body, Nanoseconds now);
    void storeAnswered(std::uint64_t ask, std::optional<StoreRow> row, Nanoseconds now);
    void platformAnswered(std::uint64_t ask, PromotionAnswer answer, Nanoseconds now);
    // A reply of this member's own vote (ToSelf): what it says is on disk.
    void voteStored(const Json& reply, Nanoseconds now);
    // How the disk does; said before each tick and when it changes.
    void diskSeen(DiskHealth health, Nanoseconds now);
    void tick(Nanoseconds now);

    // Told to end: hands over, and may end once `mayEnd` says so.
    void leave(Nanoseconds now);
    bool mayEnd() const { return departure_.over(); }

    Outputs takeOutputs() { return std::exchange(outputs_, {}); }
    // Members that a link is to be held to.
    std::set<std::string> toDial() const;
    Json state(Nanoseconds now) const;
    // How often one of its invariants was found broken.
    std::uint64_t violations() const { return newsBeforeLease_.violations(); }

private:
    // A change that has no majority by then is answered as failed, within the time that an operator's call
    // waits.
    static constexpr Nanoseconds changeWithin = milliseconds(900);
    // What an earlier life of a member with an empty disk may have said is no longer under way after this.
    static constexpr Nanoseconds forgottenAfter = changeWithin + milliseconds(300);

    struct Peer {
        std::string dialled, member, station, kind;  // kind: "member", "front"; empty: not said yet
    };

    Outputs& outputs() override { return outputs_; }
    std::uint64_t nextAsk(Succession& asker) override;
    void change(const std::string& service, std::uint64_t ifSeq, Lead to,
                std::function<void(std::optional<Lead>)> done) override;
    void confirm(const std::string& service, const Lead& expected,
                 std::function<void(Confirmation, Nanoseconds now)> done) override;
    const gossip::RecordTable& recordTable() const override { return gossip_.recordTable(); }
    int syncReplicas(const std::string& service) const override;

    void putRecord(const std::string& name, gossip::Record record) override;
    bool unconfirmed(const std::string& name) const override { return gossip_.isUnconfirmed(name); }
    void sendTo(const std::string& voter, Json message) override;
    const Core& core() const override { return core_; }
    void answerStore(std::uint64_t call, Kind kind) override {
        calls_.answerOrSendOn(call, kind, "{}", now_);
    }

    void beginChange(Change change, Nanoseconds now, Nanoseconds until) override;
    void configurationStands(const Json& value) override { learn("config", value); }
    void answerOperator(std::uint64_t call, Kind kind, std::string body) override {
        calls_.answerOrSendOn(call, kind, std::move(body), now_);
    }
    void log(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }

    void send(int link, Json message) { outputs_.push_back(ToLink{link, std::move(message)}); }
    bool leased(Nanoseconds now) const override { return core_.epoch && now < lease_.until(); }
    bool leaving() const override { return departure_.begun(); }
    bool diskRefuses() const override { return diskWatch_.health() == DiskHealth::refuses; }
    std::string stateText(Nanoseconds now) const override { return state(now).dump(); }
    void toCaller(ToCaller answer) override { outputs_.push_back(std::move(answer)); }

    void take(int link, const Json& message, Nanoseconds now);
    void news(const std::string& name, const gossip::Record& record);
    // The message with what is left of this member's lease, in microseconds: a hint of where to send callers.
    Json withLeaseLeft(Json message) const;
    void learn(const std::string& name, const Json& value);
    bool said(const std::string& name, const Json& value) const;
    void forgetAnnounced(const std::string& name);
    std::size_t rank() const;
    void vote(int link, const Json& message);
    void accepted(const std::string& name);
    // Whether this voter's disk is too unwell for it to own duties, by what it tells of itself.
    bool disqualified(const std::string& voter) const;
    void flushProposer(Nanoseconds now);
    void greeted(int link, Peer& peer, const Hello& hello, Nanoseconds now);
    void roundAsked(int link, const Peer& peer, const Json& message, Nanoseconds now);
    void roundAnswered(int link, const Peer& peer, const Json& message, Nanoseconds now);
    void reportBroken(gossip::Invariant& invariant, const std::string& detail);
    void stateAsked(int link, const StateRequest& request);
    void stateTold(const std::string& voter, const StateReply& reply);
    void recover(Nanoseconds now);
    void settleCore(Nanoseconds now);
    std::uint64_t newestEpochSeen();
    void adopt(Core core);
    void sendToVoter(const std::string& voter, Json message) override;
    bool linkedTo(const std::string& member) const override;
    std::set<std::string> registersHeld() const override;
    void acceptAnew(const std::string& name, std::function<void(bool accepted)> done) override;
    void writeCore(const Core& next, std::function<void()> done) override;
    void logMembership(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }
    void depart(Nanoseconds now);
    void ownRecord();
    void repair(Nanoseconds now);
    void rounds(Nanoseconds now);
    void ownDuties(Nanoseconds now);
    void endOverdue(Nanoseconds now);
    bool votes() const { return core_.voters.count(self_) > 0 && !recovering_; }
    int linkTo(const std::string& member) const;
    void suspected(const Json& message, Nanoseconds now);

    const settings::Settings settings_;
    const std::string self_, incarnation_;
    Outputs outputs_;
    gossip::RecordReplicator gossip_;
    Acceptor acceptor_;
    Proposer proposer_;
    Core core_;
    bool recovering_ = false;  // the disk was empty, and what others hold is not read yet
    DiskWatch diskWatch_;
    Nanoseconds now_ = 0;
    Membership membership_;
    Departure departure_;
    std::map<std::string, Nanoseconds> unannounced_;  // registers accepted here that nobody has said to stand
    Recovery recovery_;
    std::map<int, Peer> peers_;
    std::map<std::string, std::string> incarnations_;
    std::map<std::string, Nanoseconds> memberHeard_;
    UnsettledLeads unsettledLeads_;
    LeaseRounds lease_;
    gossip::ControlContactMonitor contact_;
    gossip::Invariant newsBeforeLease_{gossip::configurationBeforeLease};
    std::map<std::string, std::unique_ptr<Succession>> successions_;
    std::map<std::uint64_t, Succession*> asks_;
    std::uint64_t nextAsk_ = 1;
    Nanoseconds roundAt_ = 0, startedAt_, readAt_ = 0;
    configuration::Configuration configuration_;
    StoreRegistry stores_;
    OperatorCalls operatorCalls_;
    CallRouter calls_;
};

}  // namespace granitereel::control
