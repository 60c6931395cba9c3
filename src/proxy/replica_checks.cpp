// Writes that no lease allows to be reported as successful yet: the replicas are queried whether they
// have them, over connections that were opened while the primary was settled.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

// Whether the primary record is recent enough to name every replica whose status a planned change of
// primary may rely on. If a replica were missing, it could be promoted without the write, and an
// acknowledged commit would be lost.
bool Pooler::replicaListIsCurrent(const Service& service) const {
    return now_ < service.primaryEvidence.settledUntil() + gossip::recordsUsableAfterLease;
}

bool Pooler::isDurable(const UnconfirmedWrite& unconfirmed) const {
    const Service& service = *unconfirmed.service;
    const WriteDurability durability = service.primaryEvidence.durabilityOf(unconfirmed.write);
    if (durability != WriteDurability::undecided) return durability == WriteDurability::durable;
    return unconfirmed.write.position && replicaListIsCurrent(service) &&
           service.replicaEvidence.allHave(*unconfirmed.write.position, service.syncReplicas);
}

// One status query per replica serves all unconfirmed writes: it is sent while the replica is not known to
// have the highest position among them.
void Pooler::queryReplicas() {
    for (auto& [name, service] : services_) openReplicaCheckConnections(*service);
    std::map<Service*, LogPosition> highest;
    for (const int client : unconfirmedClients_) {
        const auto found = sessions_.find(client);
        if (found == sessions_.end() || !found->second->pending || !found->second->pending->unconfirmed)
            continue;
        const UnconfirmedWrite& unconfirmed = *found->second->pending->unconfirmed;
        if (!unconfirmed.write.position || !replicaListIsCurrent(*unconfirmed.service)) continue;
        LogPosition& wanted = highest[unconfirmed.service];
        wanted = std::max(wanted, *unconfirmed.write.position);
    }
    for (const auto& [service, position] : highest) {
        for (const std::string& replica : service->replicaEvidence.replicas()) {
            const auto store = service->stores.find(replica);
            if (store != service->stores.end() && service->replicaEvidence.mayLack(replica, position))
                queryReplicaStatus(*store->second);
        }
    }
}

// The lease's renewal is late: while the lease still runs, each replica gets the connection that may be
// needed after it ends, since a connection opened later proves nothing.
void Pooler::openReplicaCheckConnections(Service& service) {
    const bool leaseExpiring = service.primaryEvidence.isSettled(now_) &&
                               !service.primaryEvidence.isSettled(now_ + leaseExpiryWarning);
    if (!leaseExpiring || service.lastUsedAt == 0 || now_ - service.lastUsedAt > recentUseWindow) return;
    for (const std::string& replica : service.replicaEvidence.replicas()) {
        const auto found = service.stores.find(replica);
        if (found == service.stores.end() || found->second->removed ||
            found->second->connectionCount >= connectionShare(service))
            continue;
        const bool hasConnection =
            std::any_of(connections_.begin(), connections_.end(), [&](const auto& each) {
                const StoreConnection& connection = *each.second;
                return connection.store == found->second && !connection.closed &&
                       (connection.openedWhileSettled || !connection.open);
            });
        if (!hasConnection) openConnection(*found->second, false);
    }
}

// Returns an idle connection that was opened while the primary was settled; nullptr if there is none or a
// status query is already under way.
Pooler::StoreConnection* Pooler::findReplicaCheckConnection(const Store& replica) const {
    for (const auto& [connectionId, connection] : connections_) {
        const bool querying =
            !connection->expectedSteps.empty() && connection->expectedSteps.front() == ExchangeStep::status;
        if (connection->store == &replica && !connection->closed && querying) return nullptr;
    }
    for (const int connectionId : replica.idleConnections) {
        StoreConnection& connection = *connections_.at(connectionId);
        if (connection.openedWhileSettled) return &connection;
    }
    return nullptr;
}

void Pooler::queryReplicaStatus(Store& replica) {
    StoreConnection* connection = findReplicaCheckConnection(replica);
    if (!connection) return;
    replica.idleConnections.erase(connection->id);
    connection->abandonedAt = now_;
    sendQuery(*connection, "-", "STATUS", ExchangeStep::status);
}

void Pooler::onStatusResponse(StoreConnection& connection, const StoreResponse& response) {
    if (connection.inTransaction) return closeOutOfSync(connection);
    connection.abandonedAt = 0;
    connection.lastUsedAt = now_;
    std::string_view row = response.rows;
    nextField(row);
    const auto status = response.error ? std::nullopt : parseStoreStatus(std::string(row));
    if (status) connection.store->service->replicaEvidence.recordStatus(connection.store->id, *status);
    returnToPool(connection);
    resolveUnconfirmedWrites();
}

}  // namespace granitereel::proxy
