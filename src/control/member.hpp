// One member of control: handles the messages of stores, operator, agents and other members, and produces
// messages, disk writes and replies. Combines the registers, the store registry, the lease and the failover
// of each service. Free of I/O, clocks and randomness: time is passed in, outputs are returned.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration.hpp"
#include "control/call_router.hpp"
#include "control/disk_health.hpp"
#include "control/failover.hpp"
#include "control/graceful_shutdown.hpp"
#include "control/lease.hpp"
#include "control/membership.hpp"
#include "control/messages.hpp"
#include "control/operator_calls.hpp"
#include "control/outputs.hpp"
#include "control/recovery.hpp"
#include "control/register.hpp"
#include "control/store_registry.hpp"
#include "control/unsettled_primaries.hpp"
#include "gossip/control_contact_monitor.hpp"
#include "gossip/invariant.hpp"
#include "gossip/lease.hpp"
#include "gossip/record_replicator.hpp"
#include "nanoseconds.hpp"
#include "settings/settings.hpp"

namespace granitereel::control {

class ControlMember : public Failover::Host,
                      private Membership::Host,
                      private StoreRegistry::Host,
                      private OperatorCalls::Host,
                      private CallRouter::Host {
public:
    // `incarnation`: drawn anew for an empty disk, otherwise as stored. `disk`: the records by name, with
    // `processIncarnationKey` already incremented for this start.
    ControlMember(const settings::Settings& settings, std::string incarnation,
                  const std::map<std::string, Json>& disk, Nanoseconds now);

    // Links to others: `dialled` is the control address of the member this one connected to; empty for
    // incoming links.
    void linkUp(int link, const std::string& dialled, Nanoseconds now);
    void linkDown(int link, Nanoseconds now);
    void handleMessage(int link, const Json& message, Nanoseconds now);
    // An HTTP call; `path` by segments.
    void handleCall(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                    const std::string& body, Nanoseconds now);
    void handleStoreReply(std::uint64_t requestId, std::optional<StoreStatus> row, Nanoseconds now);
    void handlePlatformReply(std::uint64_t requestId, PromotionOutcome answer, Nanoseconds now);
    // The reply of this member's own vote (ToSelf), once the vote is durable.
    void handleDurableVote(const Json& reply, Nanoseconds now);
    // Health of the disk; called before each tick and on every change.
    void updateDiskHealth(DiskHealth health, Nanoseconds now);
    void tick(Nanoseconds now);

    // Starts the graceful shutdown; the process may exit once `shutdownComplete` returns true.
    void shutDown(Nanoseconds now);
    bool shutdownComplete() const { return shutdown_.finished(); }

    Outputs takeOutputs() { return std::exchange(outputs_, {}); }
    // Members to which a link must be kept.
    std::set<std::string> membersToDial() const;
    Json state(Nanoseconds now) const;
    // Number of violated invariants.
    std::uint64_t violations() const { return newsBeforeLease_.violations(); }

private:
    // A change without a majority fails after this time, which is within the time that an operator's call
    // waits.
    static constexpr Nanoseconds changeTimeout = milliseconds(900);
    // Requests answered by the earlier process of a member that lost its disk have expired after this time.
    // Recovery waits for it: a proposer might still count a vote that the lost disk no longer backs.
    static constexpr Nanoseconds earlierRequestLifetime = changeTimeout + milliseconds(300);

    struct Peer {
        std::string dialled, member, station, kind;  // kind: "member", "front"; empty: no hello yet
    };

    Outputs& outputs() override { return outputs_; }
    std::uint64_t nextRequestId(Failover& requester) override;
    void compareAndSet(const std::string& service, std::uint64_t ifSeq, PrimaryRecord to,
                       std::function<void(std::optional<PrimaryRecord>)> done) override;
    void confirmPrimary(const std::string& service, const PrimaryRecord& expected,
                        std::function<void(Confirmation, Nanoseconds now)> done) override;
    const gossip::RecordTable& recordTable() const override { return gossip_.recordTable(); }
    int syncReplicas(const std::string& service) const override;

    void putRecord(const std::string& name, gossip::Record record) override;
    bool unconfirmed(const std::string& name) const override { return gossip_.isUnconfirmed(name); }
    void sendTo(const std::string& voter, Json message) override;
    const VoterSet& voterSet() const override { return voterSet_; }
    void answerStore(std::uint64_t call, CallOutcome outcome) override {
        calls_.answerOrRedirect(call, outcome, "{}", now_);
    }

    void beginChange(RegisterChange change, Nanoseconds now, Nanoseconds until) override;
    void configurationChosen(const Json& value) override { publishChosen("config", value); }
    void answerOperator(std::uint64_t call, CallOutcome outcome, std::string body) override {
        calls_.answerOrRedirect(call, outcome, std::move(body), now_);
    }
    void log(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }

    void send(int link, Json message) { outputs_.push_back(ToLink{link, std::move(message)}); }
    bool leased(Nanoseconds now) const override { return voterSet_.epoch && now < lease_.expiresAt(); }
    bool leaving() const override { return shutdown_.started(); }
    bool diskRefuses() const override { return diskMonitor_.health() == DiskHealth::refuses; }
    std::string stateText(Nanoseconds now) const override { return state(now).dump(); }
    void toCaller(ToCaller answer) override { outputs_.push_back(std::move(answer)); }

    void dispatch(int link, const Json& message, Nanoseconds now);
    void handleRecord(const std::string& name, const gossip::Record& record);
    // Adds this member's remaining lease time in microseconds, a hint of where to redirect callers.
    Json withLeaseLeft(Json message) const;
    void publishChosen(const std::string& name, const Json& value);
    bool isPublished(const std::string& name, const Json& value) const;
    void clearIfPublished(const std::string& name);
    std::size_t turnOrder() const;
    void handleVoteRequest(int link, const Json& message);
    void trackAccepted(const std::string& name);
    // Whether the voter reports that its disk is too unhealthy to own the failover of a service.
    bool hasUnhealthyDisk(const std::string& voter) const;
    void sendProposerRequests(Nanoseconds now);
    void handleHello(int link, Peer& peer, const Hello& hello, Nanoseconds now);
    void handleLeaseRequest(int link, const Peer& peer, const Json& message, Nanoseconds now);
    void handleLeaseReply(int link, const Peer& peer, const Json& message, Nanoseconds now);
    void reportViolation(gossip::Invariant& invariant, const std::string& detail);
    void handleStateRequest(int link, const StateRequest& request);
    void handleStateReply(const std::string& voter, const StateReply& reply);
    void continueRecovery(Nanoseconds now);
    void resolveVoterSet(Nanoseconds now);
    std::uint64_t newestAcceptedEpoch();
    void adoptVoterSet(VoterSet voterSet);
    void sendToVoter(const std::string& voter, Json message) override;
    bool linkedTo(const std::string& member) const override;
    std::set<std::string> heldRegisters() const override;
    void reaccept(const std::string& name, std::function<void(bool accepted)> done) override;
    void writeVoterSet(const VoterSet& next, std::function<void()> done) override;
    void logMembership(std::string line) override { outputs_.push_back(ToLog{std::move(line)}); }
    void continueShutdown(Nanoseconds now);
    void publishMemberRecord();
    void resolveUnpublished(Nanoseconds now);
    void startLeaseRound(Nanoseconds now);
    void assignFailoverOwners(Nanoseconds now);
    void removeExpiredRecords(Nanoseconds now);
    bool hasVote() const { return voterSet_.voters.count(self_) > 0 && !recovering_; }
    int linkTo(const std::string& member) const;
    void handleSuspicion(const Json& message, Nanoseconds now);

    const settings::Settings settings_;
    const std::string self_, incarnation_;
    Outputs outputs_;
    gossip::RecordReplicator gossip_;
    Acceptor acceptor_;
    Proposer proposer_;
    VoterSet voterSet_;
    bool recovering_ = false;  // the disk was empty, and the state of the others is not read yet
    DiskHealthMonitor diskMonitor_;
    Nanoseconds now_ = 0;
    Membership membership_;
    GracefulShutdown shutdown_;
    std::map<std::string, Nanoseconds> unpublished_;  // registers accepted here whose value is not published
                                                      // yet, with the time of acceptance
    Recovery recovery_;
    std::map<int, Peer> peers_;
    std::map<std::string, std::string> incarnations_;
    std::map<std::string, Nanoseconds> lastContact_;
    UnsettledPrimaries unsettledPrimaries_;
    LeaseRounds lease_;
    gossip::ControlContactMonitor contactMonitor_;
    gossip::Invariant newsBeforeLease_{gossip::configurationBeforeLease};
    std::map<std::string, std::unique_ptr<Failover>> failovers_;
    std::map<std::uint64_t, Failover*> pendingRequests_;
    std::uint64_t nextRequestId_ = 1;
    Nanoseconds lastLeaseRoundAt_ = 0, startedAt_, lastResolveAt_ = 0;
    configuration::Configuration configuration_;
    StoreRegistry stores_;
    OperatorCalls operatorCalls_;
    CallRouter calls_;
};

}  // namespace granitereel::control
