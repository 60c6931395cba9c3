// The agent beside a proxy: it holds one link towards control, keeps the board alike, carries the lease on
// what is known of leads, and feeds the proxy over loopback. Agents form the tree by which news goes down: in
// a district without a member of control, one of them holds the link and the others hang on it. Free of I/O,
// clocks and chance.
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
#include "nanos.hpp"
#include "settings/settings.hpp"

namespace granitereel::agent {

using Json = nlohmann::json;

class Agent {
public:
    struct Said {
        int link = 0;
        Json message;
    };
    Agent(const settings::Settings& settings, Nanos now);

    // Where the link upwards is to be sought now, best first: addresses of members, or of agents that pass
    // on.
    std::vector<std::string> parents() const;
    // What is to be tried beside the present parent while the link to that one stands; empty: nothing.
    std::string betterParent() const;
    // The address to dial now, if any. One of dialled() and unreachable() tells what came of it.
    std::optional<std::string> dial(Nanos now);
    // A link to the address is there. It becomes the one upwards at once where there is none; else once its
    // other side has shown to have a lease, or it is given up.
    void dialled(int link, const std::string& address, Nanos now);
    void unreachable(const std::string& address, Nanos now);
    // The upward link is that of `address`; 0 as `link`: it is lost.
    void upward(int link, const std::string& address, Nanos now);
    // No link could be had to it, or no lease: others go before it for a while, which doubles.
    void backOff(const std::string& address, Nanos now);
    void linkUp(int link, Nanos now);  // an agent below, or the proxy
    void linkDown(int link, Nanos now);
    void heard(int link, const Json& message, Nanos now);
    void tick(Nanos now);
    std::vector<Said> take() { return std::exchange(said_, {}); }
    // Links that are to be closed.
    std::vector<int> takeClosed() { return std::exchange(closed_, {}); }
    // Lines for the log.
    std::vector<std::string> takeLines() { return std::exchange(lines_, {}); }
    // Whether anyone hangs on this one.
    bool feeds() const { return !below_.empty(); }
    const gossip::Board& board() const { return gossip_.board(); }
    Nanos leaseUntil() const { return lease_.until(); }
    // How often one of its invariants was found broken.
    std::uint64_t violations() const;

private:
    // A link whose other side has not shown to have a lease yet.
    struct Candidate {
        std::string address;
        Nanos since = 0;
    };
    std::vector<std::string> preferred() const;
    void leaseReplied(const gossip::LeaseReply& reply, Nanos now);
    void candidateReplied(int link, const gossip::LeaseReply& reply, Nanos now);
    void giveUp(int link, Nanos now);
    void greet(int link);
    void log(std::optional<std::string> line);

    const settings::Settings settings_;
    std::vector<Said> said_;
    std::vector<int> closed_;
    std::vector<std::string> lines_;
    gossip::Gossip gossip_;
    int up_ = 0;
    std::set<int> below_;
    ParentSearch search_;
    std::map<int, Candidate> candidates_;
    gossip::LeaseQuestions questions_;
    gossip::HeldLease lease_;
    gossip::ContactWatch contact_;
    gossip::Invariant newsBeforeLease_;
    Nanos askedAt_ = 0, now_ = 0;
    bool reportedWithoutLease_ = false;  // the parent was found to give no lease
};

}  // namespace granitereel::agent
