// The member's part in who leads each service: which duties are its own, the registers of the leads, and the
// answers of stores and of the platform to those who asked.
#include <xxhash.h>

#include <algorithm>

#include "control/member.hpp"

namespace granitereel::control {

namespace {
// A member whose link is down for longer counts as away when duties are dealt out.
constexpr Nanos awayAfter = millis(600);

// Rendezvous hashing (Thaler and Ravishankar, 1998): the highest of all members' values for a name has it.
std::uint64_t weight(const std::string& member, const std::string& name) {
    const std::string both = member + '\n' + name;
    return XXH64(both.data(), both.size(), 0);
}
}  // namespace

std::uint64_t ControlMember::nextRequestId(Failover& asker) {
    asks_[nextAsk_] = &asker;
    return nextAsk_++;
}

void ControlMember::compareAndSet(const std::string& service, std::uint64_t ifSeq, PrimaryRecord to,
                                  std::function<void(std::optional<PrimaryRecord>)> done) {
    const std::string name = "lead/" + service;
    const Json wanted = serializePrimaryRecord(to);
    // An equal value may stand that another life of this member wrote: only one that was applied here counts.
    const auto applied = std::make_shared<bool>(false);
    proposer_.begin({name,
                     [ifSeq, wanted, applied](const Json& was) {
                         const std::uint64_t seq = was.is_object() ? was.at("seq").get<std::uint64_t>() : 0;
                         if (seq != ifSeq) return was;
                         *applied = true;
                         return Json(wanted);
                     },
                     [this, name, wanted, applied, done = std::move(done)](std::optional<Json> stands) {
                         if (stands) learn(name, *stands);
                         const bool ours = stands && *applied && *stands == wanted;
                         done(ours ? parsePrimaryRecord(*stands) : std::nullopt);
                     }},
                    now_, now_ + changeWithin);
    flushProposer(now_);
}

// A read by a majority that promises to take nothing older: what replaces the lead is chosen after it began.
void ControlMember::confirmPrimary(const std::string& service, const PrimaryRecord& expected,
                                   std::function<void(Confirmation, Nanos now)> done) {
    const std::string name = "lead/" + service;
    proposer_.begin({name, [](const Json& was) { return was; },
                     [this, name, wanted = serializePrimaryRecord(expected),
                      done = std::move(done)](std::optional<Json> is) {
                         if (is) learn(name, *is);
                         const auto lead = is ? parsePrimaryRecord(*is) : std::nullopt;
                         if (is && (!lead || serializePrimaryRecord(*lead) != wanted))
                             return done(Confirmation::replaced, now_);
                         const bool contact = leased(now_);
                         done(is && contact ? Confirmation::current : Confirmation::unknown, now_);
                     }},
                    now_, now_ + changeWithin);
    flushProposer(now_);
}

int ControlMember::syncReplicas(const std::string& service) const {
    const configuration::Service* known = configuration_.service(service);
    return known ? known->syncReplicas : 1;  // not known yet: as if it had some
}

void ControlMember::suspected(const Json& message, Nanos now) {
    const std::string service = message.at("service");
    const auto at = successions_.find(service);
    if (at != successions_.end()) at->second->primarySuspected(message.at("store"), now);
    // The member that owns the duty may be another; it is told once.
    if (message.value("passed", false)) return;
    Json on = message;
    on["passed"] = true;
    for (const auto& [link, peer] : peers_)
        if (!peer.dialled.empty()) send(link, on);
}

void ControlMember::storeAnswered(std::uint64_t ask, std::optional<StoreStatus> row, Nanos now) {
    now_ = now;
    const auto at = asks_.find(ask);
    if (at == asks_.end()) return;
    Failover* asker = at->second;
    asks_.erase(at);
    asker->statementAnswered(ask, row, now);
}

void ControlMember::platformAnswered(std::uint64_t ask, PromotionOutcome answer, Nanos now) {
    now_ = now;
    const auto at = asks_.find(ask);
    if (at == asks_.end()) return;
    Failover* asker = at->second;
    asks_.erase(at);
    asker->promotionAnswered(ask, answer, now);
}

// Each service's duty belongs to the voter with the highest value for its name among those in reach.
void ControlMember::ownDuties(Nanos now) {
    if (!settings_.promotes) return;
    std::vector<std::string> here;
    for (const std::string& voter : core_.voters) {
        if (membership_.leaves(voter)) continue;
        const auto at = memberHeard_.find(voter);
        if (voter == self_ || linkTo(voter) || (at != memberHeard_.end() && now - at->second < awayAfter))
            here.push_back(voter);
    }
    const bool majority = here.size() >= core_.majority() && now < lease_.expiresAt();
    board().under("store/", [&](const std::string&, const board::Record& record) {
        if (!record.body.is_object()) return;
        auto& slot = successions_[record.body.at("service").get<std::string>()];
        if (!slot)
            slot = std::make_unique<Failover>(
                self_, record.body.at("service"), LeaseRounds::leaseDuration + maxClockDrift, *this,
                PlatformGuarantees{settings_.fenceChecked, millis(settings_.lease_ms)});
    });
    std::erase_if(here, [this](const std::string& voter) { return disqualified(voter); });
    for (const auto& [service, succession] : successions_) {
        const auto best = std::max_element(here.begin(), here.end(), [&, &name = service](auto& a, auto& b) {
            return weight(a, name) < weight(b, name);
        });
        succession->setOwner(majority && votes() && best != here.end() && *best == self_, now);
        succession->tick(now);
    }
}

}  // namespace granitereel::control
