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
#include "control/disk_health.hpp"
#include "control/graceful_shutdown.hpp"
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
#include "nanos.hpp"
#include "settings/settings.hpp"

namespace granitereel::control {

class ControlMember : public Succession::Means,
                      private Membership::Host,
                      private StoreRegistry::Means,
                      private OperatorCalls::Means,
                      private CallRouter::Means {
public:
    // `incarnation`: drawn anew when the disk is empty, else as it was. `disk`: what was written, by name,
    // with the life at `lifeKey` raised for this start.
    ControlMember(const settings::Settings& settings, std::string incarnation,
                  const std::map<std::string, Json>& disk, Nanos now);

    // Links to others: `dialled` ones lead to a member at that control address, others come in.
    void linkUp(int link, const std::string& dialled, Nanos now);
    void linkDown(int link, Nanos now);
    void handleMessage(int link, const Json& message, Nanos now);
    // A call over HTTP: the path by segments.
    void handleCall(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                    const std::string& body, Nanos now);
    void handleStoreReply(std::uint64_t ask, std::optional<StoreRow> row, Nanos now);
    void handlePlatformReply(std::uint64_t ask, PromotionAnswer answer, Nanos now);
    // A reply of this member's own vote (ToSelf): what it says is on disk.
    void handleDurableVote(const Json& reply, Nanos now);
    // How the disk does; said before each tick and when it changes.
    void updateDiskHealth(DiskHealth health, Nanos now);
    void tick(Nanos now);

    // Told to end: hands over, and may end once `mayEnd` says so.
    void shutDown(Nanos now);
    bool shutdownComplete() const { return shutdown_.finished(); }

    Outputs takeOutputs() { return std::exchange(outputs_, {}); }
    // Members that a link is to be held to.
    std::set<std::string> membersToDial() const;
    Json state(Nanos now) const;
    // How often one of its invariants was found broken.
    std::uint64_t violations() const { return newsBeforeLease_.violations(); }

private:
    // A change that has no majority by then is answered as failed, within the time that an operator's call
    // waits.
    static constexpr Nanos changeTimeout = millis(900);
    // What an earlier life of a member with an empty disk may have said is no longer under way after this.
    static constexpr Nanos earlierRequestLifetime = changeTimeout + millis(300);

    struct Peer {
        std::string dialled, member, station, kind;  // kind: "member", "front"; empty: not said yet
    };

    Outputs& outputs() override { return outputs_; }
    std::uint64_t nextAsk(Succession& requester) override;
    void change(const std::string& service, std::uint64_t ifSeq, Lead to,
                std::function<void(std::optional<Lead>)> done) override;
    void confirm(const std::string& service, const Lead& expected,
                 std::function<void(Confirmation, Nanos now)> done) override;
    const board::Board& board() const override { return gossip_.board(); }
    int syncReplicas(const std::string& service) const override;

    void putRecord(const std::string& name, board::Record record) override;
    bool unconfirmed(const std::string& name) const override { return gossip_.unconfirmed(name); }
    void sendTo(const std::string& voter, Json message) override;
    const VoterSet& voterSet() const override { return voterSet_; }
    void answerStore(std::uint64_t call, CallOutcome kind) override {
        calls_.answerOrSendOn(call, kind, "{}", now_);
    }

    void beginChange(RegisterChange change, Nanos now, Nanos until) override;
    void configurationStands(const Json& value) override { publishChosen("config", value); }
    void answerOperator(std::uint64_t call, CallOutcome kind, std::string body) override {
        calls_.answerOrSendOn(call, kind, std::move(body), now_);
    }
    void log(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }

    void send(int link, Json message) { outputs_.push_back(ToLink{link, std::move(message)}); }
    bool leased(Nanos now) const override { return voterSet_.epoch && now < lease_.until(); }
    bool leaving() const override { return shutdown_.started(); }
    bool diskRefuses() const override { return diskMonitor_.health() == DiskHealth::refuses; }
    std::string stateText(Nanos now) const override { return state(now).dump(); }
    void toCaller(ToCaller answer) override { outputs_.push_back(std::move(answer)); }

    void dispatch(int link, const Json& message, Nanos now);
    void handleRecord(const std::string& name, const board::Record& record);
    // The message with what is left of this member's lease, in microseconds: a hint of where to send callers.
    Json withLeaseLeft(Json message) const;
    void publishChosen(const std::string& name, const Json& value);
    bool isPublished(const std::string& name, const Json& value) const;
    void clearIfPublished(const std::string& name);
    std::size_t turnOrder() const;
    void handleVoteRequest(int link, const Json& message);
    void trackAccepted(const std::string& name);
    // Whether this voter's disk is too unwell for it to own duties, by what it tells of itself.
    bool hasUnwellDisk(const std::string& voter) const;
    void sendProposerRequests(Nanos now);
    void handleHello(int link, Peer& peer, const Hello& hello, Nanos now);
    void handleLeaseRequest(int link, const Peer& peer, const Json& message, Nanos now);
    void handleLeaseReply(int link, const Peer& peer, const Json& message, Nanos now);
    void reportViolation(board::Invariant& invariant, const std::string& detail);
    void handleStateRequest(int link, const StateRequest& request);
    void handleStateReply(const std::string& voter, const StateReply& reply);
    void continueRecovery(Nanos now);
    void resolveVoterSet(Nanos now);
    std::uint64_t newestAcceptedEpoch();
    void adoptVoterSet(VoterSet voterSet);
    void sendToVoter(const std::string& voter, Json message) override;
    bool linkedTo(const std::string& member) const override;
    std::set<std::string> heldRegisters() const override;
    void reaccept(const std::string& name, std::function<void(bool accepted)> done) override;
    void writeVoterSet(const VoterSet& next, std::function<void()> done) override;
    void logMembership(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }
    void continueShutdown(Nanos now);
    void publishMemberRecord();
    void resolveUnpublished(Nanos now);
    void startLeaseRound(Nanos now);
    void assignFailoverOwners(Nanos now);
    void removeExpiredRecords(Nanos now);
    bool hasVote() const { return voterSet_.voters.count(self_) > 0 && !recovering_; }
    int linkTo(const std::string& member) const;
    void handleSuspicion(const Json& message, Nanos now);

    const settings::Settings settings_;
    const std::string self_, incarnation_;
    Outputs outputs_;
    board::Gossip gossip_;
    Acceptor acceptor_;
    Proposer proposer_;
    VoterSet voterSet_;
    bool recovering_ = false;  // the disk was empty, and what others hold is not read yet
    DiskHealthMonitor diskMonitor_;
    Nanos now_ = 0;
    Membership membership_;
    GracefulShutdown shutdown_;
    std::map<std::string, Nanos> unpublished_;  // registers accepted here that nobody has said to stand
    Recovery recovery_;
    std::map<int, Peer> peers_;
    std::map<std::string, std::string> incarnations_;
    std::map<std::string, Nanos> lastContact_;
    UnsettledLeads unsettledPrimaries_;
    LeaseRounds lease_;
    board::ContactWatch contactMonitor_;
    board::Invariant newsBeforeLease_{board::newsBeforeLease};
    std::map<std::string, std::unique_ptr<Succession>> failovers_;
    std::map<std::uint64_t, Succession*> pendingRequests_;
    std::uint64_t nextRequestId_ = 1;
    Nanos lastLeaseRoundAt_ = 0, startedAt_, lastResolveAt_ = 0;
    configuration::Configuration configuration_;
    StoreRegistry stores_;
    OperatorCalls operatorCalls_;
    CallRouter calls_;
};

}  // namespace granitereel::control
