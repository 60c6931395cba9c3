// The queries that a statement needs on a connection, and the handling of each response: first the
// queries that set up the connection for the session, then BEGIN if one is needed, then the statement.
#include <utility>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

void Pooler::sendQuery(StoreConnection& connection, std::string_view id, std::string_view text,
                       ExchangeStep step) {
    std::string bytes = "QUERY ";
    bytes.append(id).append(" ").append(text).append("\r\n");
    if (id == "-") ++counters_.own;
    if (connection.expectedSteps.empty()) connection.sentAt = now_;
    connection.expectedSteps.push_back(step);
    outputs_.push_back(SendToStore{connection.id, std::move(bytes)});
}

// Sets up the connection for the session, begins its transaction if necessary, then sends the statement.
void Pooler::prepareConnection(Session& session, StoreConnection& connection) {
    PendingStatement& pending = *session.pending;
    connection.store->idleConnections.erase(connection.id);
    connection.session = &session;
    connection.lastUsedAt = now_;
    pending.connection = &connection;
    pending.store = connection.store;
    std::string after;
    const bool pinned = session.transaction && session.transaction->begun;
    if (!pinned && !mayRunOn(session, *connection.store, after, pending.guarded)) {
        pending.connection = nullptr;
        returnToPool(connection);
        return reportOutcome(attemptOf(pending), *connection.store, AttemptOutcome::notEligible, {}, false);
    }
    pending.preparing = true;
    pending.afterClause.clear();
    syncVariables(session, connection);
    if (!pending.preparedName.empty() && connection.preparedNames.insert(pending.preparedName).second) {
        const PreparedStatement& prepared = session.preparedStatements.at(pending.statement.name);
        sendQuery(connection, "-",
                  "PARSE " + pending.preparedName + (prepared.writes ? " WRITE " : " READ ") + prepared.text,
                  ExchangeStep::setup);
    }
    beginOnStore(session, connection, after);
    if (connection.expectedSteps.empty()) sendStatement(session, connection);
}

void Pooler::syncVariables(const Session& session, StoreConnection& connection) {
    if (connection.variables == session.variables) return;
    bool reset = false;
    for (const auto& [name, value] : connection.variables) reset |= !session.variables.count(name);
    if (reset) {
        sendQuery(connection, "-", "RESET", ExchangeStep::setup);
        connection.variables.clear();
        connection.preparedNames.clear();
    }
    for (const auto& [name, value] : session.variables) {
        auto& current = connection.variables[name];
        if (current == value && !current.empty()) continue;
        current = value;
        std::string text = "SET ";
        text.append(name).append(" ").append(value);
        sendQuery(connection, "-", text, ExchangeStep::setup);
    }
}

// Begins the transaction that the statement runs in, at the position that the AFTER clause `after`
// demands: the session's transaction, or a transaction of the proxy's own around a single read that needs
// proof that the store is primary. Any other single statement carries the AFTER clause itself.
void Pooler::beginOnStore(Session& session, StoreConnection& connection, const std::string& after) {
    PendingStatement& pending = *session.pending;
    if (pending.guarded) {
        ++counters_.guarded;
        return sendQuery(connection, "-", "BEGIN", ExchangeStep::begin);
    }
    if (!session.transaction) {
        pending.afterClause = after;
    } else if (!session.transaction->begun) {
        sendQuery(connection, session.transaction->beginId,
                  after + (session.transaction->readOnly ? "BEGIN READ" : "BEGIN"), ExchangeStep::begin);
    }
}

void Pooler::countDestination(const Store& store) {
    const bool sameDistrict = store.district == settings_.district;
    if (store.service->primary == store.id)
        ++(sameDistrict ? counters_.leadNear : counters_.leadFar);
    else
        ++(sameDistrict ? counters_.replicaNear : counters_.replicaFar);
}

void Pooler::sendStatement(Session& session, StoreConnection& connection) {
    PendingStatement& pending = *session.pending;
    // A process that was suspended may get here past the deadline.
    if (now_ >= pending.deadline) return onDeadlineExceeded(session, connection);
    pending.preparing = false;
    pending.sent = true;
    if (session.transaction && pending.writes) session.transaction->writeSent = true;
    Service& service = *connection.store->service;
    service.lastUsedAt = now_;
    countDestination(*connection.store);
    // A store that is no longer primary refuses every query inside a read-write transaction, except
    // the COMMIT of one that wrote nothing. So a success proves that the store was primary. Without
    // that proof its position must not enter the commit horizon: it could miss acknowledged commits,
    // and reads that rely on it would be stale.
    const bool refusedByOthers =
        !pending.commit && (pending.guarded || (session.transaction && !session.transaction->readOnly));
    connection.provesPrimary =
        service.primary == connection.store->id && (primaryIsConfirmed(service) || refusedByOthers);
    connection.sentAt = now_;
    sendQuery(connection, pending.statement.id, pending.afterClause + pending.text, ExchangeStep::statement);
}

void Pooler::onResponse(StoreConnection& connection, ExchangeStep step, const StoreResponse& response) {
    Session* session = connection.session;
    connection.inTransaction = response.state != 'I';
    if (step == ExchangeStep::status) return onStatusResponse(connection, response);
    // Its variables or prepared statements are not as required, or it still holds a transaction that
    // was to be rolled back. No session may use it any more: its statements would run with another
    // session's state.
    if (step == ExchangeStep::setup && response.error) return closeOutOfSync(connection);
    if (step == ExchangeStep::rollback && connection.inTransaction) return closeOutOfSync(connection);
    if (step == ExchangeStep::begin && !response.error && response.state != 'T')
        return closeOutOfSync(connection);
    if (!session) {  // no session waits for the response
        if (!connection.expectedSteps.empty()) return;
        connection.abandonedAt = 0;
        return releaseConnection(connection);
    }
    if (step == ExchangeStep::statement) return onStatementResponse(*session, connection, response);
    if (step == ExchangeStep::begin) {
        if (response.error) return onBeginFailed(*session, connection, response);
        if (session->transaction) {
            session->transaction->begun = true;
            session->connection = &connection;
        }
    }
    if (connection.expectedSteps.empty()) sendStatement(*session, connection);
}

namespace {
// The outcome that the router is told for an error which guarantees that the statement did not run.
AttemptOutcome endingOf(Error error) {
    return error == Error::busy || error == Error::full ? AttemptOutcome::overloaded
                                                        : AttemptOutcome::notEligible;
}
}  // namespace

std::optional<Nanoseconds> Pooler::commitsCoveredUntil(const Store& store,
                                                       const StoreResponse& response) const {
    return response.position ? store.service->commitHorizon.coveredUntil(*response.position) : std::nullopt;
}

void Pooler::onBeginFailed(Session& session, StoreConnection& connection, const StoreResponse& response) {
    PendingStatement& pending = *session.pending;
    Store& store = *connection.store;
    if (response.error == Error::lagging) reportLagging(store, response.position);
    pending.lastError = response.error;
    pending.lastErrorText = response.errorText;
    pending.connection = nullptr;
    pending.preparing = false;
    const std::optional<Nanoseconds> coveredUntil = commitsCoveredUntil(store, response);
    releaseConnection(connection);
    reportOutcome(attemptOf(pending), store, endingOf(*response.error), coveredUntil, false);
}

void Pooler::onStatementResponse(Session& session, StoreConnection& connection,
                                 const StoreResponse& response) {
    const PendingStatement& pending = *session.pending;
    const bool succeeded = !response.error;
    // Only COMMIT may end a transaction with success.
    if (succeeded && session.transaction && !pending.commit && response.state == 'I')
        return closeOutOfSync(connection);
    if (succeeded && session.transaction && pending.writes) session.transaction->writeSucceeded = true;
    if (succeeded && response.position && (connection.provesPrimary || pending.writes))
        connection.store->service->commitHorizon.observe(*response.position, connection.sentAt);
    if (pending.commit) return onCommitResponse(session, connection, response);
    if (!succeeded && !pending.key.empty() && propertiesOf(*response.error).retryElsewhere)
        return onStatementNotRun(session, connection, response);
    if (session.transaction) return onTransactionResponse(session, connection, response);
    if (succeeded) return onSingleSucceeded(session, connection, response);
    onSingleFailed(session, connection, response);
}

void Pooler::replyToClient(Session& session, const StoreResponse& response, char state) {
    session.state = state;
    session.idleSince = now_;
    std::string bytes =
        response.error ? formatError(*response.error, response.errorText) : response.rows + response.done;
    bytes.append("READY ").append(1, state).append(" ");
    bytes.append(response.position ? toString(*response.position) : "-").append("\r\n");
    outputs_.push_back(SendToClient{session.client, std::move(bytes)});
    ++(response.error ? counters_.promised : counters_.answered);
    if (!session.pending->key.empty()) sessionsByKey_.erase(session.pending->key);
    session.pending.reset();
    readyClients_.push_back(session.client);
}

void Pooler::onCommitResponse(Session& session, StoreConnection& connection, const StoreResponse& response) {
    Store& store = *connection.store;
    const std::optional<Nanoseconds> coveredUntil = commitsCoveredUntil(store, response);
    if (!response.error && session.transaction->writeSucceeded && response.position) {
        session.ownPosition = *response.position;
        session.ownPositionAt = connection.sentAt;
        store.service->commitHorizon.observe(*response.position, connection.sentAt);
    }
    const RoutedAttempt attempt = attemptOf(*session.pending);
    const bool writeSent = session.transaction->writeSent;
    endTransaction(session);
    connection.session = nullptr;
    if (writeSent && !response.error)
        acknowledgeWrite(session, *store.service, response);
    else
        replyToClient(session, response, 'I');
    reportOutcome(attempt, store, response.error ? AttemptOutcome::error : AttemptOutcome::succeeded,
                  coveredUntil, true);
    releaseConnection(connection);
}

// The statement did not run: another store may run it, or this one later.
void Pooler::onStatementNotRun(Session& session, StoreConnection& connection, const StoreResponse& response) {
    PendingStatement& pending = *session.pending;
    Store& store = *connection.store;
    if (response.error == Error::lagging) reportLagging(store, response.position);
    if (response.error == Error::unknown) connection.preparedNames.clear();
    pending.lastError = response.error;
    pending.lastErrorText = response.errorText;
    pending.connection = nullptr;
    pending.sent = false;
    if (session.transaction) {
        session.transaction->begun = false;
        session.connection = nullptr;
    }
    const std::optional<Nanoseconds> coveredUntil = commitsCoveredUntil(store, response);
    releaseConnection(connection);
    reportOutcome(attemptOf(pending), store, endingOf(*response.error), coveredUntil, false);
}

void Pooler::onTransactionResponse(Session& session, StoreConnection& connection,
                                   const StoreResponse& response) {
    Store& store = *connection.store;
    const std::optional<Nanoseconds> coveredUntil = commitsCoveredUntil(store, response);
    const RoutedAttempt attempt = attemptOf(*session.pending);
    const bool endedByStore = response.state == 'I';
    if (endedByStore) {
        endTransaction(session);
        connection.session = nullptr;
    }
    replyToClient(session, response, response.state);
    reportOutcome(attempt, store, response.error ? AttemptOutcome::error : AttemptOutcome::succeeded,
                  coveredUntil, true);
    if (endedByStore) returnToPool(connection);
}

void Pooler::onSingleSucceeded(Session& session, StoreConnection& connection, const StoreResponse& response) {
    Store& store = *connection.store;
    if (session.pending->writes && response.position) {
        session.ownPosition = *response.position;
        session.ownPositionAt = connection.sentAt;
    }
    const std::optional<Nanoseconds> coveredUntil = commitsCoveredUntil(store, response);
    const RoutedAttempt attempt = attemptOf(*session.pending);
    connection.session = nullptr;
    if (session.pending->writes)
        acknowledgeWrite(session, *store.service, response);
    else
        replyToClient(session, response, 'I');
    reportOutcome(attempt, store, AttemptOutcome::succeeded, coveredUntil, true);
    releaseConnection(connection);
}

// The router may retry a read; for a write, the error is the final response, because the write may have run.
void Pooler::onSingleFailed(Session& session, StoreConnection& connection, const StoreResponse& response) {
    PendingStatement& pending = *session.pending;
    Store& store = *connection.store;
    pending.lastError = response.error;
    pending.lastErrorText = response.errorText;
    pending.connection = nullptr;
    pending.sent = false;
    const std::optional<Nanoseconds> coveredUntil = commitsCoveredUntil(store, response);
    releaseConnection(connection);
    reportOutcome(attemptOf(pending), store, AttemptOutcome::error, coveredUntil, false);
}

}  // namespace granitereel::proxy
