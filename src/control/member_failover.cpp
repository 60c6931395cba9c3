// Failover ownership of this member, the registers that record the primaries, and the dispatch of replies
// from stores and the platform.
#include <xxhash.h>

#include <algorithm>

#include "control/member.hpp"

namespace granitereel::control {

namespace {
// A member whose link has been down for longer is not assigned any failover ownership.
constexpr Nanoseconds maxLinkDownTime = milliseconds(600);

// Rendezvous hashing (Thaler and Ravishankar, 1998): the member with the highest hash of member and service
// name owns the service.
std::uint64_t rendezvousWeight(const std::string& member, const std::string& name) {
    const std::string both = member + '\n' + name;
    return XXH64(both.data(), both.size(), 0);
}
}  // namespace

std::uint64_t ControlMember::nextRequestId(Failover& requester) {
    pendingRequests_[nextRequestId_] = &requester;
    return nextRequestId_++;
}

void ControlMember::compareAndSet(const std::string& service, std::uint64_t ifSeq, PrimaryRecord to,
                                  std::function<void(std::optional<PrimaryRecord>)> done) {
    const std::string name = "lead/" + service;
    const Json wanted = serializePrimaryRecord(to);
    // An equal value may have been written by an earlier process of this member: the change succeeded only
    // if it was applied here. Otherwise two processes could both act as the one that made it.
    const auto applied = std::make_shared<bool>(false);
    proposer_.begin({name,
                     [ifSeq, wanted, applied](const Json& current) {
                         const std::uint64_t seq =
                             current.is_object() ? current.at("seq").get<std::uint64_t>() : 0;
                         if (seq != ifSeq) return current;
                         *applied = true;
                         return Json(wanted);
                     },
                     [this, name, wanted, applied, done = std::move(done)](std::optional<Json> chosen) {
                         if (chosen) publishChosen(name, *chosen);
                         const bool ours = chosen && *applied && *chosen == wanted;
                         done(ours ? parsePrimaryRecord(*chosen) : std::nullopt);
                     }},
                    now_, now_ + changeTimeout);
    sendProposerRequests(now_);
}

// Reads the register with a majority that promises to reject lower ballots: any replacement of the primary
// is chosen after this read began.
void ControlMember::confirmPrimary(const std::string& service, const PrimaryRecord& expected,
                                   std::function<void(Confirmation, Nanoseconds now)> done) {
    const std::string name = "lead/" + service;
    proposer_.begin({name, [](const Json& current) { return current; },
                     [this, name, wanted = serializePrimaryRecord(expected),
                      done = std::move(done)](std::optional<Json> chosen) {
                         if (chosen) publishChosen(name, *chosen);
                         const auto lead = chosen ? parsePrimaryRecord(*chosen) : std::nullopt;
                         if (chosen && (!lead || serializePrimaryRecord(*lead) != wanted))
                             return done(Confirmation::replaced, now_);
                         const bool contact = leased(now_);
                         done(chosen && contact ? Confirmation::current : Confirmation::unknown, now_);
                     }},
                    now_, now_ + changeTimeout);
    sendProposerRequests(now_);
}

int ControlMember::syncReplicas(const std::string& service) const {
    const configuration::Service* known = configuration_.service(service);
    return known ? known->syncReplicas : 1;  // unknown service: assume it has some
}

void ControlMember::handleSuspicion(const Json& message, Nanoseconds now) {
    const std::string service = message.at("service");
    const auto found = failovers_.find(service);
    if (found != failovers_.end()) found->second->primarySuspected(message.at("store"), now);
    // Another member may own the failover of this service; the message is forwarded once.
    if (message.value("passed", false)) return;
    Json forwarded = message;
    forwarded["passed"] = true;
    for (const auto& [link, peer] : peers_)
        if (!peer.dialled.empty()) send(link, forwarded);
}

void ControlMember::handleStoreReply(std::uint64_t requestId, std::optional<StoreStatus> row,
                                     Nanoseconds now) {
    now_ = now;
    const auto found = pendingRequests_.find(requestId);
    if (found == pendingRequests_.end()) return;
    Failover* requester = found->second;
    pendingRequests_.erase(found);
    requester->statementAnswered(requestId, row, now);
}

void ControlMember::handlePlatformReply(std::uint64_t requestId, PromotionOutcome answer, Nanoseconds now) {
    now_ = now;
    const auto found = pendingRequests_.find(requestId);
    if (found == pendingRequests_.end()) return;
    Failover* requester = found->second;
    pendingRequests_.erase(found);
    requester->promotionAnswered(requestId, answer, now);
}

// The failover of each service is owned by the reachable voter with the highest rendezvous hash.
void ControlMember::assignFailoverOwners(Nanoseconds now) {
    if (!settings_.promotionsEnabled) return;
    std::vector<std::string> reachable;
    for (const std::string& voter : voterSet_.voters) {
        if (membership_.isLeaving(voter)) continue;
        const auto found = lastContact_.find(voter);
        if (voter == self_ || linkTo(voter) ||
            (found != lastContact_.end() && now - found->second < maxLinkDownTime))
            reachable.push_back(voter);
    }
    const bool majority = reachable.size() >= voterSet_.majority() && now < lease_.expiresAt();
    recordTable().forEachWithPrefix("store/", [&](const std::string&, const gossip::Record& record) {
        if (!record.body.is_object()) return;
        auto& failover = failovers_[record.body.at("service").get<std::string>()];
        if (!failover)
            failover = std::make_unique<Failover>(
                self_, record.body.at("service"), LeaseRounds::leaseDuration + maxClockDrift, *this,
                PlatformGuarantees{settings_.platformChecksFencingToken, milliseconds(settings_.lease_ms)});
    });
    std::erase_if(reachable, [this](const std::string& voter) { return hasUnhealthyDisk(voter); });
    for (const auto& [service, failover] : failovers_) {
        const auto owner =
            std::max_element(reachable.begin(), reachable.end(), [&, &name = service](auto& a, auto& b) {
                return rendezvousWeight(a, name) < rendezvousWeight(b, name);
            });
        failover->setOwner(majority && hasVote() && owner != reachable.end() && *owner == self_, now);
        failover->tick(now);
    }
}

}  // namespace granitereel::control
