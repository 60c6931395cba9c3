// A statement that needs a store, from its transaction class to its one final response: the attempts that
// the router starts, and the outcome if no store responds.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
using Kind = Statement::Kind;
}  // namespace

int Pooler::transactionClassOf(const configuration::Route& route, bool writes, bool transaction) {
    TransactionClass transactionClass;
    const bool needsPrimary = writes;
    transactionClass.consistency = needsPrimary                                     ? Consistency::write
                                   : route.mode == configuration::ReadMode::primary ? Consistency::strong
                                   : route.mode == configuration::ReadMode::boundedStaleness
                                       ? Consistency::bounded
                                       : Consistency::session;
    transactionClass.retrySafety =
        needsPrimary || transaction ? RetrySafety::unsafe : RetrySafety::idempotent;
    transactionClass.targetLatency = milliseconds(route.target_ms);
    transactionClass.timeout = milliseconds(route.deadline_ms);
    transactionClass.maxStaleness = milliseconds(route.staleness_ms);
    // Only the order and the ratio of gains matter: each step of precedence halves the gain.
    transactionClass.value = 4.0 / double(1 << std::min(route.precedence, 8));
    transactionClass.lateValueShare = 0.3;
    transactionClass.name = std::to_string(static_cast<int>(transactionClass.consistency)) + "/" +
                            std::to_string(static_cast<int>(transactionClass.retrySafety)) + "/" +
                            std::to_string(route.target_ms) + "/" + std::to_string(route.deadline_ms) + "/" +
                            std::to_string(route.staleness_ms) + "/" + std::to_string(route.precedence);
    return router_.indexOfClass(transactionClass);
}

void Pooler::routeStatement(Session& session, Statement statement) {
    const configuration::Route* route =
        session.transaction ? &session.transaction->route : configuration_.route(session.database);
    if (!route) return replyWithError(session, Error::nosuchdb, "no such database any more", session.state);
    PendingStatement pending;
    pending.commit = statement.kind == Kind::commit;
    pending.writes = statement.kind == Kind::write;
    if (statement.kind == Kind::execute) {
        const auto found = session.preparedStatements.find(statement.name);
        if (found == session.preparedStatements.end())
            return replyWithError(session, Error::unknown, "no such name", session.state);
        pending.writes = found->second.writes;
        auto& name = preparedNames_[(pending.writes ? "W" : "R") + found->second.text];
        if (name.empty()) name = "g" + std::to_string(preparedNames_.size());
        pending.preparedName = name;
        pending.text = "EXECUTE " + name + " " + statement.argument;
    } else {
        pending.text = statement.text;
    }
    pending.receivedAt = now_;
    pending.deadline = now_ + milliseconds(route->deadline_ms);
    pending.statement = std::move(statement);
    session.pending = std::move(pending);
    if (session.transaction && session.transaction->begun) {
        session.pending->connection = session.connection;
        session.pending->store = session.connection->store;
        Service& service = *session.connection->store->service;
        if (session.pending->commit && session.transaction->writeSent && mustDeferWrites(service))
            return deferWrite(session, service);
        return prepareConnection(session, *session.connection);
    }
    const bool readWriteTransaction = session.transaction && !session.transaction->readOnly;
    session.pending->classIndex = transactionClassOf(*route, readWriteTransaction || session.pending->writes,
                                                     session.transaction.has_value());
    session.pending->key = std::to_string(++lastKey_);
    sessionsByKey_[session.pending->key] = &session;
    const Nanoseconds mustCoverUntil =
        std::max(session.ownPositionAt, now_ - milliseconds(route->staleness_ms));
    router_.submit(session.pending->key, session.pending->classIndex, "", milliseconds(route->deadline_ms),
                   findOrAddService(route->service).group,
                   route->mode == configuration::ReadMode::ownWrites
                       ? std::optional<Nanoseconds>(now_ - mustCoverUntil)
                       : std::nullopt);
}

void Pooler::startAttempt(const std::string& key, const std::string& store, Nanoseconds) {
    attemptQueue_.emplace_back(key, store);
}

void Pooler::cancel(const std::string& key, int attemptNumber) {
    cancelQueue_.emplace_back(key, attemptNumber);
}

void Pooler::probe(const std::string& store) {
    probeQueue_.push_back(store);
}

void Pooler::closeIdleConnections(const std::string& id) {
    const auto found = stores_.find(id);
    if (found != stores_.end() && !found->second->idleConnections.empty())
        closeConnection(*connections_.at(*found->second->idleConnections.begin()));
}

void Pooler::reject(const std::string& key, Nanoseconds) {
    const auto found = sessionsByKey_.find(key);
    if (found == sessionsByKey_.end()) return;
    Session& session = *found->second;
    if (!session.pending->lastError || propertiesOf(*session.pending->lastError).retryElsewhere) {
        session.pending->lastError = Error::busy;
        session.pending->lastErrorText =
            "nothing ran; come back in " + std::to_string(retryAdvice_ms) + " ms";
    }
    replyWithLastError(session);
}

void Pooler::reportIndeterminate(const std::string& key) {
    const auto found = sessionsByKey_.find(key);
    if (found == sessionsByKey_.end()) return;
    Session& session = *found->second;
    if (!session.pending->lastError) {
        // A transaction that was not asked to commit is rolled back with its connection.
        session.pending->lastError = session.transaction       ? Error::aborted
                                     : session.pending->writes ? Error::indoubt
                                                               : Error::busy;
        session.pending->lastErrorText = session.transaction       ? "rolled back"
                                         : session.pending->writes ? "the outcome is not known"
                                                                   : "no answer";
    }
    replyWithLastError(session);
}

void Pooler::assignStore(Session& session, const std::string& storeId) {
    PendingStatement& pending = *session.pending;
    Store& store = *stores_.at(storeId);
    pending.store = &store;
    pending.connection = nullptr;
    pending.sent = pending.preparing = pending.guarded = false;
    pending.lastError.reset();
    pending.deferred = false;
    ++pending.attempts;
    pending.attemptStartedAt = now_;
    if (pending.writes && !session.transaction && mustDeferWrites(*store.service))
        return deferWrite(session, *store.service);
    startOnStore(session, store);
}

void Pooler::startOnStore(Session& session, Store& store) {
    if (StoreConnection* connection = acquireConnection(session, store))
        prepareConnection(session, *connection);
    else
        store.waitingClients.push_back(session.client);
}

void Pooler::reportOutcome(const RoutedAttempt& attempt, Store& store, AttemptOutcome outcome,
                           std::optional<Nanoseconds> coveredUntil, bool finished) {
    if (attempt.key.empty()) return;
    router_.attemptEnded(attempt.key, attempt.number, store.id, outcome, now_ - attempt.startedAt,
                         Role::unknown, coveredUntil, finished);
}

void Pooler::removeFromWaiting(Session& session) {
    if (session.pending && session.pending->store && !session.pending->connection)
        std::erase(session.pending->store->waitingClients, session.client);
}

// Sends the last error to the client as the statement's final response.
void Pooler::replyWithLastError(Session& session) {
    const Error error = *session.pending->lastError;
    const std::string text = session.pending->lastErrorText;
    ++(error == Error::indoubt ? counters_.indoubt : counters_.promised);
    if (!session.pending->key.empty()) sessionsByKey_.erase(session.pending->key);
    removeFromWaiting(session);
    const bool commit = session.pending->commit;
    session.pending.reset();
    // The store still holds the transaction open.
    if (session.transaction && session.connection)
        releaseConnection(*std::exchange(session.connection, nullptr));
    if (session.transaction) session.transaction->begun = false;
    if (commit) endTransaction(session);
    replyWithError(session, error, text, session.transaction ? 'E' : 'I');
    readyClients_.push_back(session.client);
}

// Nothing is kept of a read, of a statement that was not sent, or of a transaction that was not asked to
// commit, so the client may be told to retry. A write or COMMIT that was sent may have run: reporting it
// as not run would let the client run it twice.
void Pooler::onDeadlineExceeded(Session& session, StoreConnection& connection) {
    PendingStatement& pending = *session.pending;
    if (session.transaction || (pending.writes && pending.sent)) {
        closeConnection(connection);
        return onConnectionLost(session, connection, AttemptOutcome::timedOut);
    }
    const RoutedAttempt attempt = attemptOf(pending);
    pending.lastError = Error::busy;
    pending.lastErrorText = "no answer in time; come back in " + std::to_string(retryAdvice_ms) + " ms";
    replyWithLastError(session);
    releaseConnection(connection);
    reportOutcome(attempt, *connection.store, AttemptOutcome::timedOut, {}, true);
}

// The session's connection is gone, and with it whatever the store held for the session that was not
// committed. The outcome of a COMMIT that was sent for a transaction with writes is unknown and reported
// as INDOUBT: any other response could make the client repeat a commit, or rely on one that was lost.
void Pooler::onConnectionLost(Session& session, StoreConnection& connection, AttemptOutcome outcome) {
    connection.session = nullptr;
    Store& store = *connection.store;
    if (session.connection == &connection) session.connection = nullptr;
    if (!session.pending || session.pending->connection != &connection) {
        if (session.transaction && session.transaction->begun) {
            session.transaction->begun = false;
            session.state = 'E';
        }
        return;
    }
    PendingStatement& pending = *session.pending;
    pending.connection = nullptr;
    const RoutedAttempt attempt = attemptOf(pending);
    if (pending.commit && pending.sent) {
        const bool writeSent = session.transaction->writeSent;
        endTransaction(session);
        sessionsByKey_.erase(attempt.key);
        session.pending.reset();
        if (writeSent)
            ++counters_.indoubt,
                replyWithError(session, Error::indoubt, "the outcome of the commit is not known", 'I');
        else
            ++counters_.promised,
                replyWithError(session, Error::aborted, "the connection to the store is gone", 'I');
        readyClients_.push_back(session.client);
        reportOutcome(attempt, store, outcome, {}, true);
        return;
    }
    if (session.transaction && session.transaction->begun) {
        pending.lastError = Error::aborted;
        pending.lastErrorText = "the connection to the store is gone, the transaction is rolled back";
        replyWithLastError(session);
        reportOutcome(attempt, store, outcome, {}, true);
        return;
    }
    const bool sent = std::exchange(pending.sent, false);
    reportOutcome(attempt, store, sent ? outcome : AttemptOutcome::unreachable, {}, false);
}

}  // namespace granitereel::proxy
