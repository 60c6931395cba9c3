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

#include "board/contact_watch.hpp"
#include "board/gossip.hpp"
#include "board/invariant.hpp"
#include "board/lease.hpp"
#include "configuration/configuration.hpp"
#include "control/call_router.hpp"
#include "control/departure.hpp"
#include "control/disk_health.hpp"
#include "control/failover.hpp"
#include "control/lease.hpp"
#include "control/membership.hpp"
#include "control/messages.hpp"
#include "control/operator_calls.hpp"
#include "control/outputs.hpp"
#include "control/recovery.hpp"
#include "control/register.hpp"
#include "control/store_registry.hpp"
#include "control/unsettled_primaries.hpp"
#include "nanos.hpp"
#include "settings/settings.hpp"

namespace granitereel::control {

class ControlMember : public Failover::Host,
                      private Membership::Means,
                      private StoreRegistry::Host,
                      private OperatorCalls::Host,
                      private CallRouter::Host {
public:
    // `incarnation`: drawn anew when the disk is empty, else as it was. `disk`: what was written, by name,
    // with the life at `lifeKey` raised for this start.
    ControlMember(const settings::Settings& settings, std::string incarnation,
                  const std::map<std::string, Json>& disk, Nanos now);

    // Links to others: `dialled` ones lead to a member at that control address, others come in.
    void linkUp(int link, const std::string& dialled, Nanos now);
    void linkDown(int link, Nanos now);
    void heard(int link, const Json& message, Nanos now);
    // A call over HTTP: the path by segments.
    void call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
              const std::string& body, Nanos now);
    void storeAnswered(std::uint64_t ask, std::optional<StoreStatus> row, Nanos now);
    void platformAnswered(std::uint64_t ask, PromotionOutcome answer, Nanos now);
    // A reply of this member's own vote (ToSelf): what it says is on disk.
    void voteStored(const Json& reply, Nanos now);
    // How the disk does; said before each tick and when it changes.
    void diskSeen(DiskHealth health, Nanos now);
    void tick(Nanos now);

    // Told to end: hands over, and may end once `mayEnd` says so.
    void leave(Nanos now);
    bool mayEnd() const { return departure_.over(); }

    Outputs takeOutputs() { return std::exchange(outputs_, {}); }
    // Members that a link is to be held to.
    std::set<std::string> toDial() const;
    Json state(Nanos now) const;
    // How often one of its invariants was found broken.
    std::uint64_t violations() const { return newsBeforeLease_.violations(); }

private:
    // A change that has no majority by then is answered as failed, within the time that an operator's call
    // waits.
    static constexpr Nanos changeWithin = millis(900);
    // What an earlier life of a member with an empty disk may have said is no longer under way after this.
    static constexpr Nanos forgottenAfter = changeWithin + millis(300);

    struct Peer {
        std::string dialled, member, station, kind;  // kind: "member", "front"; empty: not said yet
    };

    Outputs& outputs() override { return outputs_; }
    std::uint64_t nextRequestId(Failover& asker) override;
    void compareAndSet(const std::string& service, std::uint64_t ifSeq, PrimaryRecord to,
                       std::function<void(std::optional<PrimaryRecord>)> done) override;
    void confirmPrimary(const std::string& service, const PrimaryRecord& expected,
                        std::function<void(Confirmation, Nanos now)> done) override;
    const board::Board& board() const override { return gossip_.board(); }
    int syncReplicas(const std::string& service) const override;

    void putRecord(const std::string& name, board::Record record) override;
    bool unconfirmed(const std::string& name) const override { return gossip_.unconfirmed(name); }
    void sendTo(const std::string& voter, Json message) override;
    const Core& core() const override { return core_; }
    void answerStore(std::uint64_t call, Kind kind) override {
        calls_.answerOrRedirect(call, kind, "{}", now_);
    }

    void beginChange(Change change, Nanos now, Nanos until) override;
    void configurationChosen(const Json& value) override { learn("config", value); }
    void answerOperator(std::uint64_t call, Kind kind, std::string body) override {
        calls_.answerOrRedirect(call, kind, std::move(body), now_);
    }
    void log(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }

    void send(int link, Json message) { outputs_.push_back(ToLink{link, std::move(message)}); }
    bool leased(Nanos now) const override { return core_.epoch && now < lease_.expiresAt(); }
    bool leaving() const override { return departure_.begun(); }
    bool diskRefuses() const override { return diskWatch_.health() == DiskHealth::refuses; }
    std::string stateText(Nanos now) const override { return state(now).dump(); }
    void toCaller(ToCaller answer) override { outputs_.push_back(std::move(answer)); }

    void take(int link, const Json& message, Nanos now);
    void news(const std::string& name, const board::Record& record);
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
    void flushProposer(Nanos now);
    void greeted(int link, Peer& peer, const Hello& hello, Nanos now);
    void roundAsked(int link, const Peer& peer, const Json& message, Nanos now);
    void roundAnswered(int link, const Peer& peer, const Json& message, Nanos now);
    void reportBroken(board::Invariant& invariant, const std::string& detail);
    void stateAsked(int link, const StateRequest& request);
    void stateTold(const std::string& voter, const StateReply& reply);
    void recover(Nanos now);
    void settleCore(Nanos now);
    std::uint64_t newestEpochSeen();
    void adopt(Core core);
    void sendToVoter(const std::string& voter, Json message) override;
    bool linkedTo(const std::string& member) const override;
    std::set<std::string> registersHeld() const override;
    void acceptAnew(const std::string& name, std::function<void(bool accepted)> done) override;
    void writeCore(const Core& next, std::function<void()> done) override;
    void logMembership(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }
    void depart(Nanos now);
    void ownRecord();
    void repair(Nanos now);
    void rounds(Nanos now);
    void ownDuties(Nanos now);
    void endOverdue(Nanos now);
    bool votes() const { return core_.voters.count(self_) > 0 && !recovering_; }
    int linkTo(const std::string& member) const;
    void suspected(const Json& message, Nanos now);

    const settings::Settings settings_;
    const std::string self_, incarnation_;
    Outputs outputs_;
    board::Gossip gossip_;
    Acceptor acceptor_;
    Proposer proposer_;
    Core core_;
    bool recovering_ = false;  // the disk was empty, and what others hold is not read yet
    DiskWatch diskWatch_;
    Nanos now_ = 0;
    Membership membership_;
    Departure departure_;
    std::map<std::string, Nanos> unannounced_;  // registers accepted here that nobody has said to stand
    Recovery recovery_;
    std::map<int, Peer> peers_;
    std::map<std::string, std::string> incarnations_;
    std::map<std::string, Nanos> memberHeard_;
    UnsettledPrimaries unsettledLeads_;
    LeaseRounds lease_;
    board::ContactWatch contact_;
    board::Invariant newsBeforeLease_{board::newsBeforeLease};
    std::map<std::string, std::unique_ptr<Failover>> successions_;
    std::map<std::uint64_t, Failover*> asks_;
    std::uint64_t nextAsk_ = 1;
    Nanos roundAt_ = 0, startedAt_, readAt_ = 0;
    configuration::Configuration configuration_;
    StoreRegistry stores_;
    OperatorCalls operatorCalls_;
    CallRouter calls_;
};

}  // namespace granitereel::control
