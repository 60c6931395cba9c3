// The agent beside a proxy: it holds one link towards control, keeps the board alike, carries the lease on
// what is known of leads, and feeds the proxy over loopback. Agents form the tree by which news goes down: in
// a district without a member of control, one of them holds the link and the others hang on it. Free of I/O,
// clocks and chance.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "board/contact_watch.hpp"
#include "board/gossip.hpp"
#include "board/lease.hpp"
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
    // The upward link is that of `address`; 0 as `link`: it is lost.
    void upward(int link, const std::string& address, Nanos now);
    // A better parent than the present one, to be tried while the link to that one stands; empty: none.
    std::string betterParent() const;
    // No link could be had to it: others go before it for a while, which doubles.
    void shun(const std::string& address, Nanos now);
    void linkUp(int link, Nanos now);  // a agent below, or the proxy
    void linkDown(int link);
    void heard(int link, const Json& message, Nanos now);
    void tick(Nanos now);
    std::vector<Said> take() { return std::exchange(said_, {}); }
    // Lines for the log.
    std::vector<std::string> takeLines() { return std::exchange(lines_, {}); }
    // Whether anyone hangs on this one.
    bool feeds() const { return !below_.empty(); }
    const board::Board& board() const { return gossip_.board(); }
    Nanos leaseUntil() const { return lease_.until(); }

private:
    const settings::Settings settings_;
    std::vector<Said> said_;
    std::vector<std::string> lines_;
    board::Gossip gossip_;
    int up_ = 0;
    std::string upAddress_;
    std::set<int> below_;
    board::LeaseQuestions questions_;
    board::HeldLease lease_;
    board::ContactWatch contact_;
    Nanos askedAt_ = 0, grantedAt_ = 0, now_ = 0;
    std::map<std::string, std::pair<Nanos, Nanos>>
        barren_;  // parents without a lease: until when, for how long
};

}  // namespace granitereel::agent
