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
#include "board/contact_watch.hpp"
#include "board/gossip.hpp"
#include "board/lease.hpp"
#include "nanoseconds.hpp"
#include "settings/settings.hpp"

namespace granitereel::agent {

using Json = nlohmann::json;

class Agent {
public:
    struct Said {
        int link = 0;
        Json message;
    };
    Agent(const settings::Settings& settings, Nanoseconds now);

    // Where the link upwards is to be sought now, best first: addresses of members, or of agents that pass
    // on.
    std::vector<std::string> parents() const;
    // What is to be tried beside the present parent while the link to that one stands; empty: nothing.
    std::string betterParent() const;
    // The address to dial now, if any. One of dialled() and unreachable() tells what came of it.
    std::optional<std::string> dial(Nanoseconds now);
    // A link to the address is there. It becomes the one upwards at once where there is none; else once its
    // other side has shown to have a lease, or it is given up.
    void dialled(int link, const std::string& address, Nanoseconds now);
    void unreachable(const std::string& address, Nanoseconds now);
    // The upward link is that of `address`; 0 as `link`: it is lost.
    void upward(int link, const std::string& address, Nanoseconds now);
    // No link could be had to it, or no lease: others go before it for a while, which doubles.
    void backOff(const std::string& address, Nanoseconds now);
    void linkUp(int link, Nanoseconds now);  // an agent below, or the proxy
    void linkDown(int link, Nanoseconds now);
    void heard(int link, const Json& message, Nanoseconds now);
    void tick(Nanoseconds now);
    std::vector<Said> take() { return std::exchange(said_, {}); }
    // Links that are to be closed.
    std::vector<int> takeClosed() { return std::exchange(closed_, {}); }
    // Lines for the log.
    std::vector<std::string> takeLines() { return std::exchange(lines_, {}); }
    // Whether anyone hangs on this one.
    bool feeds() const { return !below_.empty(); }
    const board::Board& board() const { return gossip_.board(); }
    Nanoseconds leaseUntil() const { return lease_.until(); }
    // How often one of its invariants was found broken.
    std::uint64_t violations() const;

private:
    // A link whose other side has not shown to have a lease yet.
    struct Candidate {
        std::string address;
        Nanoseconds since = 0;
    };
    std::vector<std::string> preferred() const;
    void leaseReplied(const board::LeaseReply& reply, Nanoseconds now);
    void candidateReplied(int link, const board::LeaseReply& reply, Nanoseconds now);
    void giveUp(int link, Nanoseconds now);
    void greet(int link);
    void log(std::optional<std::string> line);

    const settings::Settings settings_;
    std::vector<Said> said_;
    std::vector<int> closed_;
    std::vector<std::string> lines_;
    board::Gossip gossip_;
    int up_ = 0;
    std::set<int> below_;
    ParentSearch search_;
    std::map<int, Candidate> candidates_;
    board::LeaseQuestions questions_;
    board::HeldLease lease_;
    board::ContactWatch contact_;
    board::Invariant newsBeforeLease_;
    Nanoseconds askedAt_ = 0, now_ = 0;
    bool reportedWithoutLease_ = false;  // the parent was found to give no lease
};

}  // namespace granitereel::agent
