// What the agent says: the lease, the configuration, the stores and who leads.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
// The only link that the proxy's board is told over.
constexpr int agentLink = 1;
}  // namespace

void Pooler::agentUp(Nanos now) {
    begin(now);
    agent_ = true;
    askedAt_ = 0;
    gossip_.advance(now, lease_.valid(now));
    gossip_.join(agentLink, board::Side::dialler);
    settle();
}

void Pooler::agentDown() {
    agent_ = false;
    gossip_.leave(agentLink);
    leaseQuestions_.forget();
}

void Pooler::agentSaid(const Json& message, Nanos now) {
    begin(now);
    const std::string kind = message.at("k");
    gossip_.advance(now, lease_.valid(now));
    if (board::isGossip(kind)) {
        gossip_.heard(agentLink, message);
    } else if (kind == board::LeaseReply::kind) {
        const board::LeaseReply reply = board::LeaseReply::fromJson(message);
        const auto asked = leaseQuestions_.answered(reply.number);
        if (!asked) return settle();
        lease_.granted(*asked, reply, toldBeforeLease(reply));
        for (auto& [name, of] : services_)
            if (provable(*of)) of->evidence.settledUntil(lease_.until());
        judgeUnproven();
    }
    settle();
}

// Whether all is here that the agent held when it gave the lease.
bool Pooler::toldBeforeLease(const board::LeaseReply& reply) {
    if (!gossip_.complete(agentLink)) return false;
    const std::uint64_t held = board::configurationVersion(gossip_.board());
    if (held >= reply.configuration) return true;
    reportBroken(newsBeforeLease_, "configuration " + std::to_string(held) + ", and the agent holds " +
                                       std::to_string(reply.configuration));
    gossip_.exchangeAnew(agentLink);
    return false;
}

void Pooler::reportBroken(board::Invariant& invariant, const std::string& detail) {
    if (const auto line = invariant.check(false, detail)) log(*line);
}

void Pooler::news(const std::string& name, const board::Record& record) {
    if (name == "config") {
        configNews(record.body);
    } else if (name.starts_with("store/")) {
        storeNews(name.substr(6), record.body);
    } else if (name.starts_with("lead/")) {
        leadNews(name.substr(5), record.body);
    } else if (name.starts_with("front/")) {
        int fronts = 0;
        gossip_.board().under("front/", [&](auto&, const board::Record& r) { fronts += r.body.is_object(); });
        fronts_ = std::max(1, fronts);
        front_.present(fronts_);
    }
}

void Pooler::configNews(const Json& body) {
    // Of what stands on the board only higher versions come here; what was once in force is never gone back
    // from.
    const std::uint64_t before = configuration_.edition;
    configuration_ = configuration::read(body);
    if (configured_ && configuration_.edition <= before)
        reportBroken(configurationsRise_,
                     std::to_string(configuration_.edition) + " after " + std::to_string(before));
    if (!std::exchange(configured_, true)) configuredAt_ = now_;
    for (const configuration::Service& each : configuration_.services) {
        Service& of = service(each.name);
        of.berthCap = each.berthCap;
        of.syncReplicas = each.syncReplicas;
    }
    outputs_.push_back(ToLog{"configuration " + std::to_string(configuration_.edition) + " in force"});
}

Pooler::Service& Pooler::service(const std::string& name) {
    auto& slot = services_[name];
    if (!slot) {
        slot = std::make_unique<Service>();
        slot->name = name;
        slot->group = static_cast<int>(services_.size());
        byGroup_[slot->group] = slot.get();
    }
    return *slot;
}

void Pooler::storeNews(const std::string& id, const Json& body) {
    auto at = stores_.find(id);
    if (body.is_null()) {
        if (at == stores_.end()) return;
        at->second->gone = true;
        standing(*at->second);
        for (const int no : std::set<int>(at->second->idle)) drop(*lines_.at(no));
        return;
    }
    if (at == stores_.end()) {
        at = stores_.emplace(id, std::make_unique<Store>()).first;
        at->second->id = id;
    }
    Store& store = *at->second;
    Service& of = service(body.at("service"));
    const std::string address = body.at("address");
    if (store.address != address)
        for (const int no : std::set<int>(store.idle)) drop(*lines_.at(no));
    store.address = address;
    store.district = body.value("district", "");
    store.role = body.value("role", "");
    store.standing = body.value("standing", "");
    store.gone = false;
    store.service = &of;
    of.stores[id] = &store;
    if (store.standing == "accepting")
        store.windingSince = 0;
    else if (!store.windingSince)
        store.windingSince = now_;
    standing(store);
}

// A primary that winds down leads until its successor does, for as long as it may be used at all.
void Pooler::standing(Store& store) {
    Service& of = *store.service;
    Standing to = store.gone ? Standing::removed : store.windingSince ? Standing::draining : Standing::up;
    if (to == Standing::draining && of.lead == store.id &&
        now_ - store.windingSince < millis(settings_.drain_ms - 1500))
        to = Standing::up;
    const int zone =
        districts_.try_emplace(store.district, static_cast<int>(districts_.size())).first->second;
    front_.listBegins(false);
    front_.listEntry(store.id, of.group, zone, to, 0, false);
    front_.listEnds();
    front_.leads(of.group, of.lead);
}

void Pooler::leadNews(const std::string& name, const Json& body) {
    if (!body.is_object()) return;
    Service& of = service(name);
    const std::string before = std::exchange(of.lead, body.at("store").get<std::string>());
    of.term = body.at("term");
    of.seq = body.at("seq");
    of.steady = body.at("steady");
    of.evidence.recorded(of.term, parseLogPosition(body.value("retained", "")));
    of.replicas.recorded(of.term, body.value("replicas", std::set<std::string>()));
    if (before != of.lead) leadChanged(of, before);
    judgeUnproven();
    resumeDeferred(of);
}

void Pooler::leadChanged(Service& of, const std::string& before) {
    front_.leads(of.group, of.lead);
    for (auto& [id, store] : of.stores)
        if (store->windingSince) standing(*store);
    outputs_.push_back(ToLog{of.name + " is led by " + of.lead + " in term " + std::to_string(of.term)});
    if (!before.empty()) leaveLead(before);
}

// Whatever of ours is open at a store that led ends there: its plain transactions can't go on, and what it
// was asked to commit it will not answer for. What only waited for a connection goes to the next lead at
// once.
void Pooler::leaveLead(const std::string& storeId) {
    std::vector<Line*> old;
    for (auto& [no, line] : lines_) {
        if (line->store->id != storeId || !line->user || line->dead) continue;
        const Session& s = *line->user;
        const bool plain = s.tx ? !s.tx->readOnly : s.op && s.op->writes;
        if (plain) old.push_back(line.get());
    }
    for (Line* line : old) {
        Session* s = line->user;
        drop(*line);
        if (s) lost(*s, *line);
    }
    const auto at = stores_.find(storeId);
    if (at != stores_.end()) refuseWaiting(*at->second, Ending::unsent);
}

// A front whose record may have been taken down has no share any more but for one connection.
int Pooler::share(const Service& of) const {
    if (now_ - std::max(lease_.until(), startedAt_) > board::presumedGoneAfter) return 1;
    // Some are left to control, which asks stores how they are.
    return of.berthCap == 0 ? 64 : std::max(1, (of.berthCap - 2) / fronts_);
}

void Pooler::suspect(Store& store, const char* why) {
    if (!store.service || store.service->lead != store.id || now_ - store.suspectedAt < silent) return;
    store.suspectedAt = now_;
    if (agent_)
        outputs_.push_back(
            ToAgent{{{"k", "suspect"}, {"service", store.service->name}, {"store", store.id}, {"why", why}}});
}

}  // namespace granitereel::proxy
