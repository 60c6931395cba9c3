// The agent beside a proxy. It holds one link towards control, replicates the record table over it, passes on
// the lease under which the records of primaries may be trusted, and serves the proxy over loopback. Agents
// form the tree along which updates are distributed: in a district without a member of control some of them
// hold a link out of the district, and the others are their children. Free of I/O, clocks and randomness.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/parent_search.hpp"
#include "gossip/control_contact_monitor.hpp"
#include "gossip/lease.hpp"
#include "gossip/record_replicator.hpp"
#include "nanoseconds.hpp"
#include "settings/settings.hpp"

namespace granitereel::agent {

using Json = nlohmann::json;

class Agent {
public:
    struct OutgoingMessage {
        int link = 0;
        Json message;
    };
    Agent(const settings::Settings& settings, Nanoseconds now);

    // The possible parents at present, best first: addresses of members, or of agents that pass updates on.
    std::vector<std::string> rankedParents() const;
    // The address to try beside the present parent while the link to that one stands; empty: none.
    std::string betterParent() const;
    // The address to dial now, if any. Its outcome is reported by dialSucceeded() or dialFailed().
    std::optional<std::string> nextDial(Nanoseconds now);
    // There is a link to the address. It becomes the parent link at once where there is none; otherwise once
    // the peer has granted a lease, or it is given up.
    void dialSucceeded(int link, const std::string& address, Nanoseconds now);
    void dialFailed(const std::string& address, Nanoseconds now);
    // The parent link is now that to `address`; 0 as `link`: it is lost.
    void setParentLink(int link, const std::string& address, Nanoseconds now);
    // No link to the address could be made, or it granted no lease: it ranks behind the others for a while,
    // which doubles with each failure.
    void backOff(const std::string& address, Nanoseconds now);
    void childConnected(int link, Nanoseconds now);  // an agent that has this one as its parent, or the proxy
    void linkClosed(int link, Nanoseconds now);
    void receive(int link, const Json& message, Nanoseconds now);
    void tick(Nanoseconds now);
    std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }
    std::vector<int> takeLinksToClose() { return std::exchange(linksToClose_, {}); }
    std::vector<std::string> takeLogLines() { return std::exchange(logLines_, {}); }
    bool hasChildren() const { return !children_.empty(); }
    const gossip::RecordTable& recordTable() const { return gossip_.recordTable(); }
    Nanoseconds leaseUntil() const { return lease_.until(); }
    // How often one of its invariants was violated.
    std::uint64_t violations() const;

private:
    // A link whose peer has not granted a lease yet.
    struct Candidate {
        std::string address;
        Nanoseconds since = 0;
    };
    std::vector<std::string> preferredParents() const;
    void handleLeaseReply(const gossip::LeaseReply& reply, Nanoseconds now);
    void handleCandidateReply(int link, const gossip::LeaseReply& reply, Nanoseconds now);
    void giveUpCandidate(int link, Nanoseconds now);
    void sendHello(int link);
    void log(std::optional<std::string> line);

    const settings::Settings settings_;
    std::vector<OutgoingMessage> outgoing_;
    std::vector<int> linksToClose_;
    std::vector<std::string> logLines_;
    gossip::RecordReplicator gossip_;
    int parentLink_ = 0;  // 0: none
    std::set<int> children_;
    ParentSearch search_;
    std::map<int, Candidate> candidates_;
    gossip::LeaseRequests leaseRequests_;
    gossip::HeldLease lease_;
    gossip::ControlContactMonitor contactMonitor_;
    gossip::Invariant configurationBeforeLease_;
    Nanoseconds leaseRequestedAt_ = 0, now_ = 0;
    bool missingLeaseReported_ = false;  // the log says that the present parent gives no lease
};

}  // namespace granitereel::agent
