// The member's part in who leads each service: which duties are its own, the registers of the leads, and the
// answers of stores and of the platform to those who asked.
#include <xxhash.h>

#include <algorithm>

#include "control/member.hpp"

namespace granitereel::control {

namespace {
// A member whose link is down for longer counts as away when duties are dealt out.
constexpr Nanos maxLinkDownTime = millis(600);

// Rendezvous hashing (Thaler and Ravishankar, 1998): the highest of all members' values for a name has it.
std::uint64_t rendezvousWeight(const std::string& member, const std::string& name) {
    const std::string both = member + '\n' + name;
    return XXH64(both.data(), both.size(), 0);
}
}  // namespace

std::uint64_t ControlMember::nextAsk(Succession& requester) {
    pendingRequests_[nextRequestId_] = &requester;
    return nextRequestId_++;
}

void ControlMember::change(const std::string& service, std::uint64_t ifSeq, Lead to,
                           std::function<void(std::optional<Lead>)> done) {
    const std::string name = "lead/" + service;
    const Json wanted = written(to);
    // An equal value may stand that another life of this member wrote: only one that was applied here counts.
    const auto applied = std::make_shared<bool>(false);
    proposer_.begin({name,
                     [ifSeq, wanted, applied](const Json& was) {
                         const std::uint64_t seq = was.is_object() ? was.at("seq").get<std::uint64_t>() : 0;
                         if (seq != ifSeq) return was;
                         *applied = true;
                         return Json(wanted);
                     },
                     [this, name, wanted, applied, done = std::move(done)](std::optional<Json> chosen) {
                         if (chosen) publishChosen(name, *chosen);
                         const bool ours = chosen && *applied && *chosen == wanted;
                         done(ours ? readLead(*chosen) : std::nullopt);
                     }},
                    now_, now_ + changeTimeout);
    sendProposerRequests(now_);
}

// A read by a majority that promises to take nothing older: what replaces the lead is chosen after it began.
void ControlMember::confirm(const std::string& service, const Lead& expected,
                            std::function<void(Confirmation, Nanos now)> done) {
    const std::string name = "lead/" + service;
    proposer_.begin(
        {name, [](const Json& was) { return was; },
         [this, name, wanted = written(expected), done = std::move(done)](std::optional<Json> is) {
             if (is) publishChosen(name, *is);
             const auto lead = is ? readLead(*is) : std::nullopt;
             if (is && (!lead || written(*lead) != wanted)) return done(Confirmation::replaced, now_);
             const bool contact = leased(now_);
             done(is && contact ? Confirmation::stands : Confirmation::unknown, now_);
         }},
        now_, now_ + changeTimeout);
    sendProposerRequests(now_);
}

int ControlMember::syncReplicas(const std::string& service) const {
    const configuration::Service* known = configuration_.service(service);
    return known ? known->syncReplicas : 1;  // not known yet: as if it had some
}

void ControlMember::handleSuspicion(const Json& message, Nanos now) {
    const std::string service = message.at("service");
    const auto at = failovers_.find(service);
    if (at != failovers_.end()) at->second->suspected(message.at("store"), now);
    // The member that owns the duty may be another; it is told once.
    if (message.value("passed", false)) return;
    Json on = message;
    on["passed"] = true;
    for (const auto& [link, peer] : peers_)
        if (!peer.dialled.empty()) send(link, on);
}

void ControlMember::handleStoreReply(std::uint64_t ask, std::optional<StoreRow> row, Nanos now) {
    now_ = now;
    const auto at = pendingRequests_.find(ask);
    if (at == pendingRequests_.end()) return;
    Succession* requester = at->second;
    pendingRequests_.erase(at);
    requester->answered(ask, row, now);
}

void ControlMember::handlePlatformReply(std::uint64_t ask, PromotionAnswer answer, Nanos now) {
    now_ = now;
    const auto at = pendingRequests_.find(ask);
    if (at == pendingRequests_.end()) return;
    Succession* requester = at->second;
    pendingRequests_.erase(at);
    requester->promoted(ask, answer, now);
}

// Each service's duty belongs to the voter with the highest value for its name among those in reach.
void ControlMember::assignFailoverOwners(Nanos now) {
    if (!settings_.promotes) return;
    std::vector<std::string> reachable;
    for (const std::string& voter : voterSet_.voters) {
        if (membership_.isLeaving(voter)) continue;
        const auto at = lastContact_.find(voter);
        if (voter == self_ || linkTo(voter) ||
            (at != lastContact_.end() && now - at->second < maxLinkDownTime))
            reachable.push_back(voter);
    }
    const bool majority = reachable.size() >= voterSet_.majority() && now < lease_.until();
    board().under("store/", [&](const std::string&, const board::Record& record) {
        if (!record.body.is_object()) return;
        auto& slot = failovers_[record.body.at("service").get<std::string>()];
        if (!slot)
            slot = std::make_unique<Succession>(
                self_, record.body.at("service"), LeaseRounds::leaseTime + driftOfClocks, *this,
                PlatformGuarantees{settings_.fenceChecked, millis(settings_.lease_ms)});
    });
    std::erase_if(reachable, [this](const std::string& voter) { return hasUnwellDisk(voter); });
    for (const auto& [service, succession] : failovers_) {
        const auto best =
            std::max_element(reachable.begin(), reachable.end(), [&, &name = service](auto& a, auto& b) {
                return rendezvousWeight(a, name) < rendezvousWeight(b, name);
            });
        succession->own(majority && hasVote() && best != reachable.end() && *best == self_, now);
        succession->tick(now);
    }
}

}  // namespace granitereel::control
