// Messages from the agent: the lease, the configuration, the stores and the primaries.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
// The id of the only link over which the proxy's record table is updated.
constexpr int agentLink = 1;
}  // namespace

void Pooler::onAgentConnected(Nanoseconds now) {
    advanceClock(now);
    agentConnected_ = true;
    leaseRequestedAt_ = 0;
    recordReplicator_.advance(now, lease_.valid(now));
    recordReplicator_.addLink(agentLink, gossip::Side::dialler);
    drainWorkQueues();
}

void Pooler::onAgentDisconnected() {
    agentConnected_ = false;
    recordReplicator_.removeLink(agentLink);
    leaseRequests_.clear();
}

void Pooler::onAgentMessage(const Json& message, Nanoseconds now) {
    advanceClock(now);
    const std::string kind = message.at("k");
    recordReplicator_.advance(now, lease_.valid(now));
    if (gossip::isGossipMessage(kind)) {
        recordReplicator_.receive(agentLink, message);
    } else if (kind == gossip::LeaseReply::kind) {
        const gossip::LeaseReply leaseReply = gossip::LeaseReply::fromJson(message);
        const auto requestedAt = leaseRequests_.complete(leaseReply.number);
        if (!requestedAt) return drainWorkQueues();
        lease_.applyReply(*requestedAt, leaseReply, holdsRecordsForLease(leaseReply));
        for (auto& [name, service] : services_)
            if (primaryIsConfirmed(*service)) service->primaryEvidence.extendSettled(lease_.until());
        resolveUnconfirmedWrites();
    }
    drainWorkQueues();
}

// Whether the proxy holds everything that the agent held when it granted the lease. A lease that counted
// without it could confirm a primary by a record that the agent already knew to be outdated, and a read
// there could be stale.
bool Pooler::holdsRecordsForLease(const gossip::LeaseReply& leaseReply) {
    if (!recordReplicator_.isComplete(agentLink)) return false;
    const std::uint64_t held = gossip::configurationVersion(recordReplicator_.recordTable());
    if (held >= leaseReply.configurationVersion) return true;
    reportViolation(recordsBeforeLease_, "configuration " + std::to_string(held) + ", and the agent holds " +
                                             std::to_string(leaseReply.configurationVersion));
    recordReplicator_.restartExchange(agentLink);
    return false;
}

void Pooler::reportViolation(gossip::Invariant& invariant, const std::string& detail) {
    if (const auto violation = invariant.check(false, detail)) log(*violation);
}

void Pooler::applyRecord(const std::string& name, const gossip::Record& record) {
    if (name == "config") {
        applyConfiguration(record.body);
    } else if (name.starts_with("store/")) {
        applyStoreRecord(name.substr(6), record.body);
    } else if (name.starts_with("lead/")) {
        applyPrimaryRecord(name.substr(5), record.body);
    } else if (name.starts_with("front/")) {
        int proxies = 0;
        recordReplicator_.recordTable().forEachWithPrefix(
            "front/", [&](auto&, const gossip::Record& front) { proxies += front.body.is_object(); });
        proxyCount_ = std::max(1, proxies);
        router_.setProxyCount(proxyCount_);
    }
}

void Pooler::applyConfiguration(const Json& body) {
    // The record table passes on only higher versions; a configuration that was in force is never
    // replaced by an earlier one.
    const std::uint64_t previous = configuration_.edition;
    configuration_ = configuration::parse(body);
    if (configured_ && configuration_.edition <= previous)
        reportViolation(configurationsIncrease_,
                        std::to_string(configuration_.edition) + " after " + std::to_string(previous));
    if (!std::exchange(configured_, true)) configuredAt_ = now_;
    for (const configuration::Service& each : configuration_.services) {
        Service& service = findOrAddService(each.name);
        service.connectionSlots = each.connectionLimit;
        service.syncReplicas = each.syncReplicas;
    }
    outputs_.push_back(WriteLog{"configuration " + std::to_string(configuration_.edition) + " in force"});
}

Pooler::Service& Pooler::findOrAddService(const std::string& name) {
    auto& slot = services_[name];
    if (!slot) {
        slot = std::make_unique<Service>();
        slot->name = name;
        slot->group = static_cast<int>(services_.size());
        servicesByGroup_[slot->group] = slot.get();
    }
    return *slot;
}

void Pooler::applyStoreRecord(const std::string& id, const Json& body) {
    auto found = stores_.find(id);
    if (body.is_null()) {
        if (found == stores_.end()) return;
        found->second->removed = true;
        updateRouterState(*found->second);
        for (const int connectionId : std::set<int>(found->second->idleConnections))
            closeConnection(*connections_.at(connectionId));
        return;
    }
    if (found == stores_.end()) {
        found = stores_.emplace(id, std::make_unique<Store>()).first;
        found->second->id = id;
    }
    Store& store = *found->second;
    Service& service = findOrAddService(body.at("service"));
    const std::string address = body.at("address");
    if (store.address != address)
        for (const int connectionId : std::set<int>(store.idleConnections))
            closeConnection(*connections_.at(connectionId));
    store.address = address;
    store.district = body.value("district", "");
    store.role = body.value("role", "");
    store.recordedState = body.value("standing", "");
    store.removed = false;
    store.service = &service;
    service.stores[id] = &store;
    if (store.recordedState == "accepting")
        store.drainingSince = 0;
    else if (!store.drainingSince)
        store.drainingSince = now_;
    updateRouterState(store);
}

// A draining primary stays in use until its successor takes over, as long as the drain time allows.
void Pooler::updateRouterState(Store& store) {
    Service& service = *store.service;
    StoreState state = store.removed         ? StoreState::removed
                       : store.drainingSince ? StoreState::draining
                                             : StoreState::up;
    if (state == StoreState::draining && service.primary == store.id &&
        now_ - store.drainingSince < milliseconds(settings_.drain_ms - 1500))
        state = StoreState::up;
    const int zone =
        districtIndexes_.try_emplace(store.district, static_cast<int>(districtIndexes_.size())).first->second;
    router_.listBegins(false);
    router_.listEntry(store.id, service.group, zone, state, 0, false);
    router_.listEnds();
    router_.setDecidedPrimary(service.group, service.primary);
}

void Pooler::applyPrimaryRecord(const std::string& name, const Json& body) {
    if (!body.is_object()) return;
    Service& service = findOrAddService(name);
    const std::string previous = std::exchange(service.primary, body.at("store").get<std::string>());
    service.term = body.at("term");
    service.seq = body.at("seq");
    service.steady = body.at("steady");
    service.primaryEvidence.updateRecord(service.term, parseLogPosition(body.value("retained", "")));
    service.replicaEvidence.updateRecord(service.term, body.value("replicas", std::set<std::string>()));
    if (previous != service.primary) onPrimaryChanged(service, previous);
    resolveUnconfirmedWrites();
    resumeDeferredWrites(service);
}

void Pooler::onPrimaryChanged(Service& service, const std::string& previous) {
    router_.setDecidedPrimary(service.group, service.primary);
    for (auto& [id, store] : service.stores)
        if (store->drainingSince) updateRouterState(*store);
    outputs_.push_back(WriteLog{service.name + ": primary is " + service.primary + " in term " +
                                std::to_string(service.term)});
    if (!previous.empty()) abandonFormerPrimary(previous);
}

// Ends all that is open at a former primary: read-write transactions can't go on there, and it will not
// answer for commits it was asked for. Statements that only waited for a connection go to the next
// primary at once.
void Pooler::abandonFormerPrimary(const std::string& storeId) {
    std::vector<StoreConnection*> abandoned;
    for (auto& [connectionId, connection] : connections_) {
        if (connection->store->id != storeId || !connection->session || connection->closed) continue;
        const Session& session = *connection->session;
        const bool needsPrimary =
            session.transaction ? !session.transaction->readOnly : session.pending && session.pending->writes;
        if (needsPrimary) abandoned.push_back(connection.get());
    }
    for (StoreConnection* connection : abandoned) {
        Session* session = connection->session;
        closeConnection(*connection);
        if (session) onConnectionLost(*session, *connection);
    }
    const auto found = stores_.find(storeId);
    if (found != stores_.end()) failWaitingClients(*found->second, AttemptOutcome::notSent);
}

// A proxy whose record may have been removed has no share of the connection slots beyond one connection:
// the other proxies divide the slots without it, and together they would exceed the store's limit.
int Pooler::connectionShare(const Service& service) const {
    if (now_ - std::max(lease_.until(), startedAt_) > gossip::presumedExpiredAfter) return 1;
    // Two slots per store are left to control, which queries the stores' status.
    return service.connectionSlots == 0 ? 64 : std::max(1, (service.connectionSlots - 2) / proxyCount_);
}

void Pooler::reportSuspect(Store& store, const char* why) {
    if (!store.service || store.service->primary != store.id ||
        now_ - store.suspectReportedAt < storeSilenceLimit)
        return;
    store.suspectReportedAt = now_;
    if (agentConnected_)
        outputs_.push_back(SendToAgent{
            {{"k", "suspect"}, {"service", store.service->name}, {"store", store.id}, {"why", why}}});
}

}  // namespace granitereel::proxy
