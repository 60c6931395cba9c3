#include "agent/agent.hpp"

#include <algorithm>

#include "agent/parent_order.hpp"

namespace granitereel::agent {

namespace {
// Three questions fit into a lease, so that one lost answer does not end it.
constexpr Nanos askEvery = millis(200);
// A parent whose exchange of boards has brought nothing for so long tells nothing.
constexpr Nanos answerWithin = millis(1'000);
// The number of a candidate's question; those of the parent's begin above it.
constexpr std::uint64_t candidateQuestion = 0;
}  // namespace

Agent::Agent(const settings::Settings& settings, Nanos now)
    : settings_(settings),
      gossip_(
          [this](int link, Json message) {
              said_.push_back({link, std::move(message)});
          },
          [](const std::string&, const gossip::Record&) {}),
      newsBeforeLease_(gossip::newsBeforeLease) {
    search_.linked("", now);
    gossip_.own("front/" + settings_.station, {{"district", settings_.district}, {"ip", settings_.ip}});
}

std::vector<std::string> Agent::preferred() const {
    return parentsInOrder(board(), settings_);
}

std::vector<std::string> Agent::parents() const {
    return search_.ranked(preferred(), now_);
}

std::string Agent::betterParent() const {
    return up_ == 0 ? "" : search_.wanted(preferred(), now_).value_or("");
}

void Agent::log(std::optional<std::string> line) {
    if (line) lines_.push_back(std::move(*line));
}

std::uint64_t Agent::violations() const {
    return newsBeforeLease_.violations() + search_.allTried().violations();
}

// ---- links upwards --------------------------------------------------------------------------------

std::optional<std::string> Agent::dial(Nanos now) {
    return search_.mayDial(now) ? search_.dial(preferred(), now) : std::nullopt;
}

void Agent::dialled(int link, const std::string& address, Nanos now) {
    if (up_ == 0) {
        search_.dialEnded();
        return upward(link, address, now);
    }
    if (!search_.improves(address, preferred(), now)) {
        search_.dialEnded();
        return closed_.push_back(link);
    }
    candidates_[link] = {address, now};
    greet(link);
    said_.push_back({link, gossip::LeaseRequest{candidateQuestion}.toJson()});
}

void Agent::unreachable(const std::string& address, Nanos now) {
    search_.dialEnded();
    backOff(address, now);
}

void Agent::backOff(const std::string& address, Nanos now) {
    search_.failed(address, now);
}

void Agent::greet(int link) {
    said_.push_back({link, {{"k", "hello"}, {"kind", "front"}, {"station", settings_.station}}});
}

void Agent::upward(int link, const std::string& address, Nanos now) {
    if (up_ != 0) {
        gossip_.leave(up_);
        if (link != 0) closed_.push_back(up_);
    }
    up_ = link;
    reportedWithoutLease_ = false;
    search_.linked(link == 0 ? "" : address, now);
    questions_.forget();
    askedAt_ = 0;
    if (link == 0) return log("the link upwards is lost");
    log("news comes from " + address);
    if (candidates_.erase(link))
        search_.dialEnded();  // it has been greeted
    else
        greet(link);
    gossip_.advance(now, lease_.valid(now));
    gossip_.join(link, gossip::Side::dialler);
}

void Agent::giveUp(int link, Nanos now) {
    const auto at = candidates_.find(link);
    log(at->second.address + " gives no lease");
    backOff(at->second.address, now);
    candidates_.erase(at);
    search_.dialEnded();
    closed_.push_back(link);
}

// ---- links below ----------------------------------------------------------------------------------

void Agent::linkUp(int link, Nanos now) {
    below_.insert(link);
    gossip_.advance(now, lease_.valid(now));
    gossip_.join(link, gossip::Side::acceptor);
}

void Agent::linkDown(int link, Nanos now) {
    if (link == up_) return upward(0, "", now);
    if (candidates_.count(link)) return giveUp(link, now);
    below_.erase(link);
    gossip_.leave(link);
}

// ---- what is said ---------------------------------------------------------------------------------

void Agent::heard(int link, const Json& message, Nanos now) {
    const std::string kind = message.at("k");
    const bool candidate = candidates_.count(link) > 0;
    gossip_.advance(now, lease_.valid(now));
    if (gossip::isGossip(kind)) {
        // What a candidate tells is told again by the exchange that follows once it is the parent.
        if (!candidate) gossip_.heard(link, message);
    } else if (kind == gossip::LeaseReply::kind) {
        const gossip::LeaseReply reply = gossip::LeaseReply::fromJson(message);
        if (candidate)
            candidateReplied(link, reply, now);
        else if (link == up_)
            leaseReplied(reply, now);
    } else if (kind == gossip::LeaseRequest::kind) {
        const std::uint64_t number = gossip::LeaseRequest::fromJson(message).number;
        const gossip::LeaseReply reply{number, lease_.left(now), lease_.unsettled(),
                                       gossip::configurationVersion(board())};
        said_.push_back({link, reply.toJson()});
    } else if (kind == "suspect") {
        if (up_ != 0) said_.push_back({up_, message});
    }
}

void Agent::candidateReplied(int link, const gossip::LeaseReply& reply, Nanos now) {
    if (reply.left <= 0) return giveUp(link, now);
    const std::string address = candidates_.at(link).address;
    if (search_.improves(address, preferred(), now)) return upward(link, address, now);
    candidates_.erase(link);
    search_.dialEnded();
    closed_.push_back(link);
}

void Agent::leaseReplied(const gossip::LeaseReply& reply, Nanos now) {
    const auto asked = questions_.answered(reply.number);
    if (!asked) return;
    bool complete = gossip_.complete(up_);
    if (complete && reply.left > 0) {
        const std::uint64_t held = gossip::configurationVersion(board());
        log(newsBeforeLease_.check(held >= reply.configuration, "configuration " + std::to_string(held) +
                                                                    " under a lease of " + search_.parent() +
                                                                    ", which holds " +
                                                                    std::to_string(reply.configuration)));
        if (held < reply.configuration) {
            complete = false;
            gossip_.exchangeAnew(up_);
        }
    }
    lease_.granted(*asked, reply, complete);
    // Without the board behind it a lease is of no use; what comes piece by piece is waited for.
    if (reply.left <= 0 || gossip_.unansweredFor(up_) > answerWithin) return;
    search_.granted(now);
    reportedWithoutLease_ = false;
}

void Agent::tick(Nanos now) {
    now_ = now;
    gossip_.advance(now, lease_.valid(now));
    log(contact_.seen(lease_.until(), now));
    if (up_ != 0 && now - askedAt_ >= askEvery) {
        askedAt_ = now;
        said_.push_back({up_, gossip::LeaseRequest{questions_.ask(now)}.toJson()});
    }
    std::vector<int> silent;
    for (const auto& [link, candidate] : candidates_)
        if (now - candidate.since > ParentSearch::leaseMissingAfter) silent.push_back(link);
    for (const int link : silent) giveUp(link, now);
    if (search_.withoutLease(now) && !std::exchange(reportedWithoutLease_, true)) {
        log("parent " + search_.parent() + " gives no lease: others are tried");
        backOff(search_.parent(), now);
    }
    if (search_.searching(now)) log(search_.tick(preferred(), now));
}

}  // namespace granitereel::agent
