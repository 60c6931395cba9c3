#include "agent/agent.hpp"

#include <algorithm>

#include "agent/parent_order.hpp"

namespace granitereel::agent {

namespace {
// Three requests fit into a lease, so that one lost reply does not end it.
constexpr Nanoseconds leaseRequestInterval = milliseconds(200);
// A parent with which the exchange of records made no progress for this long is of no use.
constexpr Nanoseconds exchangeTimeout = milliseconds(1'000);
// The request number that is used with candidates; those used with the parent begin above it.
constexpr std::uint64_t candidateRequestNumber = 0;
}  // namespace

Agent::Agent(const settings::Settings& settings, Nanoseconds now)
    : settings_(settings),
      gossip_(
          [this](int link, Json message) {
              outgoing_.push_back({link, std::move(message)});
          },
          [](const std::string&, const gossip::Record&) {}),
      configurationBeforeLease_(gossip::configurationBeforeLease) {
    search_.setParent("", now);
    gossip_.publish("front/" + settings_.station, {{"district", settings_.district}, {"ip", settings_.ip}});
}

std::vector<std::string> Agent::preferredParents() const {
    return rankParents(recordTable(), settings_);
}

std::vector<std::string> Agent::rankedParents() const {
    return search_.ranked(preferredParents(), now_);
}

std::string Agent::betterParent() const {
    return parentLink_ == 0 ? "" : search_.nextCandidate(preferredParents(), now_).value_or("");
}

void Agent::log(std::optional<std::string> line) {
    if (line) logLines_.push_back(std::move(*line));
}

std::uint64_t Agent::violations() const {
    return configurationBeforeLease_.violations() + search_.allTried().violations();
}

// ---- the parent link ------------------------------------------------------------------------------

std::optional<std::string> Agent::nextDial(Nanoseconds now) {
    return search_.canDial(now) ? search_.startDial(preferredParents(), now) : std::nullopt;
}

void Agent::dialSucceeded(int link, const std::string& address, Nanoseconds now) {
    if (parentLink_ == 0) {
        search_.dialEnded();
        return setParentLink(link, address, now);
    }
    if (!search_.improves(address, preferredParents(), now)) {
        search_.dialEnded();
        return linksToClose_.push_back(link);
    }
    candidates_[link] = {address, now};
    sendHello(link);
    outgoing_.push_back({link, gossip::LeaseRequest{candidateRequestNumber}.toJson()});
}

void Agent::dialFailed(const std::string& address, Nanoseconds now) {
    search_.dialEnded();
    backOff(address, now);
}

void Agent::backOff(const std::string& address, Nanoseconds now) {
    search_.failed(address, now);
}

void Agent::sendHello(int link) {
    outgoing_.push_back({link, {{"k", "hello"}, {"kind", "front"}, {"station", settings_.station}}});
}

void Agent::setParentLink(int link, const std::string& address, Nanoseconds now) {
    if (parentLink_ != 0) {
        gossip_.removeLink(parentLink_);
        if (link != 0) linksToClose_.push_back(parentLink_);
    }
    parentLink_ = link;
    missingLeaseReported_ = false;
    search_.setParent(link == 0 ? "" : address, now);
    leaseRequests_.clear();
    leaseRequestedAt_ = 0;
    if (link == 0) return log("link to the parent lost");
    log("news comes from " + address);
    if (candidates_.erase(link))
        search_.dialEnded();  // the hello was sent when it became a candidate
    else
        sendHello(link);
    gossip_.advance(now, lease_.valid(now));
    gossip_.addLink(link, gossip::Side::dialler);
}

void Agent::giveUpCandidate(int link, Nanoseconds now) {
    const auto it = candidates_.find(link);
    log(it->second.address + " gives no lease");
    backOff(it->second.address, now);
    candidates_.erase(it);
    search_.dialEnded();
    linksToClose_.push_back(link);
}

// ---- links of children ----------------------------------------------------------------------------

void Agent::childConnected(int link, Nanoseconds now) {
    children_.insert(link);
    gossip_.advance(now, lease_.valid(now));
    gossip_.addLink(link, gossip::Side::acceptor);
}

void Agent::linkClosed(int link, Nanoseconds now) {
    if (link == parentLink_) return setParentLink(0, "", now);
    if (candidates_.count(link)) return giveUpCandidate(link, now);
    children_.erase(link);
    gossip_.removeLink(link);
}

// ---- messages -------------------------------------------------------------------------------------

void Agent::receive(int link, const Json& message, Nanoseconds now) {
    const std::string kind = message.at("k");
    const bool fromCandidate = candidates_.count(link) > 0;
    gossip_.advance(now, lease_.valid(now));
    if (gossip::isGossipMessage(kind)) {
        // What a candidate sends is sent again in the exchange that starts once it is the parent.
        if (!fromCandidate) gossip_.receive(link, message);
    } else if (kind == gossip::LeaseReply::kind) {
        const gossip::LeaseReply reply = gossip::LeaseReply::fromJson(message);
        if (fromCandidate)
            handleCandidateReply(link, reply, now);
        else if (link == parentLink_)
            handleLeaseReply(reply, now);
    } else if (kind == gossip::LeaseRequest::kind) {
        const std::uint64_t number = gossip::LeaseRequest::fromJson(message).number;
        const gossip::LeaseReply reply{number, lease_.remaining(now), lease_.unsettled(),
                                       gossip::configurationVersion(recordTable())};
        outgoing_.push_back({link, reply.toJson()});
    } else if (kind == "suspect") {
        if (parentLink_ != 0) outgoing_.push_back({parentLink_, message});
    }
}

void Agent::handleCandidateReply(int link, const gossip::LeaseReply& reply, Nanoseconds now) {
    if (reply.remaining <= 0) return giveUpCandidate(link, now);
    const std::string address = candidates_.at(link).address;
    if (search_.improves(address, preferredParents(), now)) return setParentLink(link, address, now);
    candidates_.erase(link);
    search_.dialEnded();
    linksToClose_.push_back(link);
}

void Agent::handleLeaseReply(const gossip::LeaseReply& reply, Nanoseconds now) {
    const auto requestedAt = leaseRequests_.complete(reply.number);
    if (!requestedAt) return;
    // The lease counts only while this agent holds all records that the parent held. Otherwise the agent, and
    // all that get their lease from it, could trust a record of a primary that was replaced before the lease
    // was granted.
    bool complete = gossip_.isComplete(parentLink_);
    if (complete && reply.remaining > 0) {
        const std::uint64_t held = gossip::configurationVersion(recordTable());
        log(configurationBeforeLease_.check(held >= reply.configurationVersion,
                                            "configuration " + std::to_string(held) + " under a lease of " +
                                                search_.parent() + ", which holds " +
                                                std::to_string(reply.configurationVersion)));
        if (held < reply.configurationVersion) {
            complete = false;
            gossip_.restartExchange(parentLink_);
        }
    }
    lease_.applyReply(*requestedAt, reply, complete);
    // A lease is of no use without the records behind it; an exchange that makes progress is waited for.
    if (reply.remaining <= 0 || gossip_.exchangeStalledFor(parentLink_) > exchangeTimeout) return;
    search_.leaseGranted(now);
    missingLeaseReported_ = false;
}

void Agent::tick(Nanoseconds now) {
    now_ = now;
    gossip_.advance(now, lease_.valid(now));
    log(contactMonitor_.update(lease_.until(), now));
    if (parentLink_ != 0 && now - leaseRequestedAt_ >= leaseRequestInterval) {
        leaseRequestedAt_ = now;
        outgoing_.push_back({parentLink_, gossip::LeaseRequest{leaseRequests_.start(now)}.toJson()});
    }
    std::vector<int> silent;
    for (const auto& [link, candidate] : candidates_)
        if (now - candidate.since > ParentSearch::leaseTimeout) silent.push_back(link);
    for (const int link : silent) giveUpCandidate(link, now);
    if (search_.leaseMissing(now) && !std::exchange(missingLeaseReported_, true)) {
        log("parent " + search_.parent() + " gives no lease: others are tried");
        backOff(search_.parent(), now);
    }
    if (search_.isSearching(now)) log(search_.tick(preferredParents(), now));
}

}  // namespace granitereel::agent
