#include "agent/agent.hpp"

#include <xxhash.h>

#include <algorithm>

namespace granitereel::agent {

namespace {
// Three questions fit into a lease, so that one lost answer does not end it.
constexpr Nanos askEvery = millis(200);
// A parent that gives no lease for so long is cut off from the core, or from here: others are tried, and it
// again after a while that doubles.
constexpr Nanos barrenFor = millis(900), shunned = millis(2'000), shunnedMost = millis(16'000);

// How many agents hang on a member of control of their district, how many hold a link out of a district
// without one, and how many hang on a agent: a child costs its parent some 30 us five times a second, and 1
// KB/s.
constexpr std::size_t rootsOfMember = 16, rootsAlone = 4, below = 4;

std::uint64_t weight(const std::string& who, const std::string& what) {
    const std::string both = who + '\n' + what;
    return XXH64(both.data(), both.size(), 0);
}
std::string ipOf(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}
}  // namespace

Agent::Agent(const settings::Settings& settings, Nanos)
    : settings_(settings),
      gossip_(
          [this](int link, Json message) {
              said_.push_back({link, std::move(message)});
          },
          [](const std::string&, const board::Record&) {}) {
    gossip_.own("front/" + settings_.station, {{"district", settings_.district}, {"ip", settings_.ip}});
}

std::vector<std::string> Agent::parents() const {
    struct Known {
        std::string ip, name;
    };
    std::vector<Known> members, far, agents;
    board().under("member/", [&](const std::string& name, const board::Record& r) {
        if (!r.body.is_object()) return;
        (r.body.value("district", "") == settings_.district ? members : far)
            .push_back({r.body.value("ip", ""), name});
    });
    board().under("front/", [&](const std::string& name, const board::Record& r) {
        if (r.body.is_object() && r.body.value("district", "") == settings_.district)
            agents.push_back({r.body.value("ip", ""), name});
    });
    auto order = [&](auto& some, const std::string& by) {
        std::sort(some.begin(), some.end(),
                  [&](auto& a, auto& b) { return weight(a.name, by) > weight(b.name, by); });
    };
    order(members, settings_.station);
    order(far, settings_.station);
    order(agents, settings_.district);  // all of a district agree on its tree
    // The first few hang on the district's members, or on some elsewhere; each further one on the
    // agent that its place in the order says.
    const std::size_t roots = members.empty() ? rootsAlone : rootsOfMember * members.size();
    std::size_t place = 0;
    while (place < agents.size() && agents[place].ip != settings_.ip) ++place;
    std::vector<std::string> all;
    if (place < agents.size())
        for (std::size_t at = place; at >= roots;) {
            at = (at - roots) / below;
            all.push_back(agents[at].ip);  // and its own parents, should it be gone
        }
    for (const Known& each : members) all.push_back(each.ip);
    for (const Known& each : far) all.push_back(each.ip);
    for (const std::string& seed : settings_.seeds)
        if (std::find(all.begin(), all.end(), ipOf(seed)) == all.end()) all.push_back(ipOf(seed));
    std::stable_partition(all.begin(), all.end(), [&](const std::string& ip) {
        const auto at = barren_.find(ip);
        return at == barren_.end() || now_ >= at->second.first;
    });
    return all;
}

std::string Agent::betterParent() const {
    const auto all = parents();
    return up_ != 0 && !all.empty() && all.front() != upAddress_ ? all.front() : "";
}

void Agent::shun(const std::string& address, Nanos now) {
    auto& [until, pause] = barren_[address];
    pause = std::clamp(2 * pause, shunned, shunnedMost);
    until = now + pause;
    lines_.push_back("parent " + address + " is passed over for " + std::to_string(pause / millis(1)) +
                     " ms");
}

void Agent::upward(int link, const std::string& address, Nanos now) {
    if (up_ != 0) gossip_.leave(up_);
    up_ = link;
    upAddress_ = address;
    questions_.forget();
    askedAt_ = 0;
    grantedAt_ = now;
    if (link == 0) return;
    said_.push_back({link, {{"k", "hello"}, {"kind", "front"}, {"station", settings_.station}}});
    gossip_.advance(now, lease_.valid(now));
    gossip_.join(link, board::Side::dialler);
}

void Agent::linkUp(int link, Nanos now) {
    below_.insert(link);
    gossip_.advance(now, lease_.valid(now));
    gossip_.join(link, board::Side::acceptor);
}

void Agent::linkDown(int link) {
    below_.erase(link);
    gossip_.leave(link);
}

void Agent::heard(int link, const Json& message, Nanos now) {
    const std::string kind = message.at("k");
    gossip_.advance(now, lease_.valid(now));
    if (board::isGossip(kind)) {
        gossip_.heard(link, message);
    } else if (kind == board::LeaseReply::kind && link == up_) {
        const board::LeaseReply reply = board::LeaseReply::fromJson(message);
        const auto asked = questions_.answered(reply.number);
        if (!asked) return;
        lease_.granted(*asked, reply, gossip_.complete(up_));
        if (reply.left > 0) {
            grantedAt_ = now;
            barren_.erase(upAddress_);
        }
    } else if (kind == board::LeaseRequest::kind) {
        const std::uint64_t number = board::LeaseRequest::fromJson(message).number;
        said_.push_back({link, board::LeaseReply{number, lease_.left(now), lease_.unsettled()}.toJson()});
    } else if (kind == "suspect") {
        if (up_ != 0) said_.push_back({up_, message});
    }
}

void Agent::tick(Nanos now) {
    now_ = now;
    gossip_.advance(now, lease_.valid(now));
    if (auto line = contact_.seen(lease_.until(), now)) lines_.push_back(std::move(*line));
    if (up_ != 0 && now - askedAt_ >= askEvery) {
        askedAt_ = now;
        said_.push_back({up_, board::LeaseRequest{questions_.ask(now)}.toJson()});
    }
    if (up_ != 0 && now - grantedAt_ > barrenFor) {
        lines_.push_back("parent " + upAddress_ + " gives no lease");
        shun(upAddress_, now);
        grantedAt_ = now;
        const std::string better = betterParent();
        lines_.push_back(better.empty() ? "no other parent is to be tried"
                                        : "parent " + better + " is to be tried");
    }
}

}  // namespace granitereel::agent
