// Connections to stores: opened, lent to a statement or a transaction, rolled back, closed.
#include <utility>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

// Returns the idle connection that needs the fewest queries to match the session's variables and prepared
// statement; nullptr if there is none. A new connection is then opened if the share of connection slots
// allows.
Pooler::StoreConnection* Pooler::acquireConnection(Session& session, Store& store) {
    StoreConnection* best = nullptr;
    int lowestCost = 0;
    for (const int connectionId : store.idleConnections) {
        StoreConnection& connection = *connections_.at(connectionId);
        int cost = 0;
        bool reset = false;
        for (const auto& [name, value] : connection.variables) reset |= !session.variables.count(name);
        for (const auto& [name, value] : session.variables) {
            const auto found = connection.variables.find(name);
            cost += reset || found == connection.variables.end() || found->second != value;
        }
        cost += reset;
        if (!session.pending->preparedName.empty() &&
            (reset || !connection.preparedNames.count(session.pending->preparedName)))
            ++cost;
        if (!best || cost < lowestCost) best = &connection, lowestCost = cost;
        if (lowestCost == 0) break;
    }
    const int waiting = static_cast<int>(store.waitingClients.size());
    if (!best && store.connectionCount < connectionShare(*store.service)) {
        int connecting = 0;
        for (auto& [connectionId, connection] : connections_)
            connecting += connection->store == &store && !connection->open && !connection->closed;
        if (connecting <= waiting) openConnection(store, false);
    }
    return best;
}

void Pooler::openConnection(Store& store, bool probe) {
    const int connectionId = ++lastConnectionId_;
    auto connection = std::make_unique<StoreConnection>();
    connection->id = connectionId;
    connection->store = &store;
    connection->address = store.address;
    connection->isProbe = probe;
    connection->sentAt = now_;
    ++store.connectionCount;
    ++counters_.opened;
    connections_[connectionId] = std::move(connection);
    outputs_.push_back(OpenStoreConnection{connectionId, store.address});
}

void Pooler::onStoreConnected(int connectionId, Nanoseconds now) {
    const auto found = connections_.find(connectionId);
    if (found == connections_.end()) return;
    advanceClock(now);
    StoreConnection& connection = *found->second;
    connection.sentAt = now;
    connection.provesPrimary = connection.store->id == connection.store->service->primary &&
                               primaryIsConfirmed(*connection.store->service);
    outputs_.push_back(SendToStore{connectionId, "GREET " + connection.store->service->name + " " +
                                                     settings_.station + " " + connection.store->id +
                                                     "\r\n"});
}

void Pooler::onStoreLine(int connectionId, std::string_view text, Nanoseconds now) {
    const auto found = connections_.find(connectionId);
    if (found == connections_.end() || found->second->closed) return;
    advanceClock(now);
    StoreConnection& connection = *found->second;
    connection.store->lastReceivedAt = connection.lastReceivedAt = now;
    if (!connection.open) {
        onGreetingReply(connection, text);
    } else if (connection.expectedSteps.empty()) {
        closeOutOfSync(connection);  // no query was sent
    } else {
        switch (connection.responseReader.addLine(text)) {
            case StoreResponseReader::Progress::partial:
                break;
            case StoreResponseReader::Progress::malformed:
                closeOutOfSync(connection);
                break;
            case StoreResponseReader::Progress::complete: {
                const ExchangeStep step = connection.expectedSteps.front();
                connection.expectedSteps.pop_front();
                onResponse(connection, step, connection.responseReader.takeResponse());
            }
        }
    }
    drainWorkQueues();
}

void Pooler::onStoreDisconnected(int connectionId, bool refused, Nanoseconds now) {
    const auto found = connections_.find(connectionId);
    if (found == connections_.end() || found->second->closed) return;
    advanceClock(now);
    onConnectionClosed(*found->second, refused);
    drainWorkQueues();
}

void Pooler::onGreetingReply(StoreConnection& connection, std::string_view text) {
    Store& store = *connection.store;
    std::string_view rest = text;
    const std::string_view word = nextField(rest);
    StoreResponse greeting;
    if (word == "READY" && parseReady(rest, greeting) && greeting.state == 'I') {
        connection.open = true;
        connection.lastUsedAt = now_;
        connection.openedWhileSettled = store.service->primaryEvidence.isSettled(now_);
        if (greeting.position && connection.provesPrimary)
            store.service->commitHorizon.observe(*greeting.position, connection.sentAt);
        if (std::exchange(connection.isProbe, false)) {
            store.probing = false;
            router_.probeEnded(store.id, AttemptOutcome::succeeded);
        }
        return returnToPool(connection);
    }
    if (word != "ERROR") {
        outputs_.push_back(CloseStoreConnection{connection.id});
        return onConnectionClosed(connection, false);
    }
    const AttemptOutcome outcome =
        parseError(nextField(rest)) == Error::full ? AttemptOutcome::overloaded : AttemptOutcome::unreachable;
    closeConnection(connection);
    if (connection.isProbe) {
        store.probing = false;
        router_.probeEnded(store.id, outcome);
    }
    failWaitingClients(store, outcome);
}

void Pooler::closeOutOfSync(StoreConnection& connection) {
    ++counters_.outOfStep;
    Session* session = connection.session;
    closeConnection(connection);
    if (session) onConnectionLost(*session, connection);
}

void Pooler::releaseConnection(StoreConnection& connection) {
    connection.session = nullptr;
    if (!connection.expectedSteps.empty())
        connection.abandonedAt = now_;
    else if (connection.inTransaction)
        rollBackAndRelease(connection, "-");
    else
        returnToPool(connection);
}

// Rolls back the transaction that the store holds open for no session any more; the connection serves
// others afterwards.
void Pooler::rollBackAndRelease(StoreConnection& connection, const std::string& statementId) {
    connection.session = nullptr;
    connection.abandonedAt = now_;
    sendQuery(connection, statementId, "ABORT", ExchangeStep::rollback);
}

void Pooler::returnToPool(StoreConnection& connection) {
    connection.session = nullptr;
    if (connection.closed) return;
    Store& store = *connection.store;
    if (store.removed || connection.address != store.address ||
        (store.drainingSince && store.service->primary != store.id))
        return closeConnection(connection);
    store.idleConnections.insert(connection.id);
    serveWaitingClients(store);
}

void Pooler::closeConnection(StoreConnection& connection) {
    if (std::exchange(connection.closed, true)) return;
    connection.store->idleConnections.erase(connection.id);
    --connection.store->connectionCount;
    outputs_.push_back(CloseStoreConnection{connection.id});
    closedConnections_.push_back(connection.id);
}

void Pooler::serveWaitingClients(Store& store) {
    while (!store.waitingClients.empty() && !store.idleConnections.empty()) {
        const int client = store.waitingClients.front();
        store.waitingClients.pop_front();
        const auto found = sessions_.find(client);
        if (found == sessions_.end() || !found->second->pending || found->second->pending->store != &store ||
            found->second->pending->connection)
            continue;
        // A store's response may still be in processing: the router's further requests are only queued
        // here.
        StoreConnection* connection = acquireConnection(*found->second, store);
        prepareConnection(*found->second, *connection);
    }
}

// Fails the attempts of all clients that wait for a connection to the store.
void Pooler::failWaitingClients(Store& store, AttemptOutcome outcome) {
    for (const int client : std::exchange(store.waitingClients, {})) {
        const auto found = sessions_.find(client);
        if (found == sessions_.end() || !found->second->pending || found->second->pending->store != &store)
            continue;
        PendingStatement& pending = *found->second->pending;
        reportOutcome(attemptOf(pending), store, outcome, {}, false);
    }
}

void Pooler::onConnectionClosed(StoreConnection& connection, bool refused) {
    Store& store = *connection.store;
    const int connectionId = connection.id;
    const bool wasOpen = connection.open;
    Session* session = connection.session;
    const bool unused = wasOpen && !session && connection.expectedSteps.empty();
    if (std::exchange(connection.closed, true)) return;
    store.idleConnections.erase(connectionId);
    --store.connectionCount;
    closedConnections_.push_back(connectionId);
    if (!unused || refused) reportSuspect(store, refused ? "refused" : "broken");
    if (std::exchange(connection.isProbe, false)) {
        store.probing = false;
        router_.probeEnded(store.id, refused ? AttemptOutcome::unreachable : AttemptOutcome::timedOut);
    }
    if (!wasOpen) {
        failWaitingClients(store, AttemptOutcome::unreachable);
    }
    if (session) onConnectionLost(*session, connection);
}

}  // namespace granitereel::proxy
