// Clients' sessions: their requests, processed one at a time, and the statements that need no store.
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
using Kind = Statement::Kind;
}  // namespace

void Pooler::onClientConnected(int client, Nanoseconds now) {
    advanceClock(now);
    removeSession(client);
    auto& slot = sessions_[client];
    slot = std::make_unique<Session>();
    slot->client = client;
    slot->idleSince = now;
    ++counters_.sessions;
}

void Pooler::onClientLine(int client, std::string_view message, Nanoseconds now) {
    const auto found = sessions_.find(client);
    if (found == sessions_.end()) return;
    advanceClock(now);
    Session& session = *found->second;
    session.requestQueue.emplace_back(message);
    session.queuedBytes += message.size() + 64;
    if (session.queuedBytes > maxQueuedBytes && !session.readsPaused) {
        session.readsPaused = true;
        outputs_.push_back(SetClientPaused{client, true});
    }
    processQueue(session);
    drainWorkQueues();
}

void Pooler::onClientDisconnected(int client, Nanoseconds now) {
    if (!sessions_.count(client)) return;
    advanceClock(now);
    removeSession(client);
    drainWorkQueues();
}

// Ends the session and whatever it had open.
void Pooler::removeSession(int client) {
    const auto found = sessions_.find(client);
    if (found == sessions_.end()) return;
    Session& session = *found->second;
    session.removed = true;
    if (session.pending) {
        if (!session.pending->key.empty()) {
            const RoutedAttempt attempt = attemptOf(*session.pending);
            sessionsByKey_.erase(attempt.key);
            if (session.pending->store)
                reportOutcome(attempt, *session.pending->store, AttemptOutcome::cancelled, {}, true);
            else
                router_.abandon(attempt.key);
        }
        removeFromWaiting(session);
        if (session.pending->connection) releaseConnection(*session.pending->connection);
    }
    if (session.connection && session.connection->session == &session) releaseConnection(*session.connection);
    sessions_.erase(found);
}

void Pooler::processQueue(Session& session) {
    while (!session.pending && !session.removed && !session.requestQueue.empty()) {
        const std::string message = std::move(session.requestQueue.front());
        session.requestQueue.pop_front();
        session.queuedBytes -= message.size() + 64;
        if (session.readsPaused && session.queuedBytes < maxQueuedBytes / 2) {
            session.readsPaused = false;
            outputs_.push_back(SetClientPaused{session.client, false});
        }
        std::string_view rest = message;
        const std::string_view word = nextField(rest);
        const int client = session.client;
        if (!session.greeted) {
            if (word == "GREET") {
                handleGreeting(session, rest);
                if (!sessions_.count(client)) return;
                continue;
            }
        } else if (word == "QUERY") {
            const std::string_view id = nextField(rest);
            handleStatement(session, parseStatement(id, rest));
            continue;
        }
        if (word != "BYE")
            outputs_.push_back(SendToClient{client, formatError(Error::malformed, "no such message")});
        outputs_.push_back(CloseClient{client});
        return removeSession(client);
    }
}

void Pooler::handleGreeting(Session& session, std::string_view rest) {
    const std::string_view database = nextField(rest);
    if (configured_ && configuration_.route(std::string(database))) {
        session.database = database;
        session.greeted = true;
        outputs_.push_back(SendToClient{session.client, "READY I -\r\n"});
        return;
    }
    outputs_.push_back(SendToClient{session.client, configured_
                                                        ? formatError(Error::nosuchdb, "no such database")
                                                        : formatError(Error::busy, "not ready yet")});
    outputs_.push_back(CloseClient{session.client});
    removeSession(session.client);
}

void Pooler::handleStatement(Session& session, Statement statement) {
    static const std::string done = "DONE -\r\n";
    ++counters_.statements;
    if (statement.kind == Kind::malformed)
        return replyWithError(session, Error::malformed, "not a statement", session.state);
    if (session.state == 'E') {
        if (statement.kind != Kind::abort && statement.kind != Kind::commit)
            return replyWithError(session, Error::malformed, "the transaction has failed", 'E');
        if (session.connection)
            rollBackAndRelease(*session.connection, statement.kind == Kind::abort ? statement.id : "-");
        endTransaction(session);
        if (statement.kind == Kind::abort) return replyLocally(session, done, 'I');
        return replyWithError(session, Error::aborted, "the transaction had failed and is rolled back", 'I');
    }
    switch (statement.kind) {
        case Kind::set:
            session.variables[statement.name] = statement.value;
            return replyLocally(session, done, session.state);
        case Kind::parse:
            session.preparedStatements[statement.name] = {statement.writes, statement.value};
            return replyLocally(session, done, session.state);
        case Kind::close:
            if (!session.preparedStatements.erase(statement.name))
                return replyWithError(session, Error::unknown, "no such name", session.state);
            return replyLocally(session, done, session.state);
        case Kind::begin:
        case Kind::beginRead: {
            if (session.state != 'I')
                return replyWithError(session, Error::malformed, "in a transaction already", session.state);
            const configuration::Route* route = configuration_.route(session.database);
            if (!route) return replyWithError(session, Error::nosuchdb, "no such database any more", 'I');
            ++counters_.transactions;
            session.transaction.emplace();
            session.transaction->readOnly = statement.kind == Kind::beginRead;
            session.transaction->beginId = statement.id;
            session.transaction->receivedAt = now_;
            session.transaction->route = *route;
            // It begins on a store with its first statement; until then it holds no
            // connection.
            return replyLocally(session, done, 'T');
        }
        case Kind::abort:
            if (session.state != 'T')
                return replyWithError(session, Error::malformed, "not in a transaction", session.state);
            if (session.connection) rollBackAndRelease(*session.connection, statement.id);
            endTransaction(session);
            return replyLocally(session, done, 'I');
        case Kind::commit:
            if (session.state != 'T')
                return replyWithError(session, Error::malformed, "not in a transaction", session.state);
            return routeStatement(session, std::move(statement));
        default:
            return routeStatement(session, std::move(statement));
    }
}

void Pooler::replyLocally(Session& session, const std::string& outcome, char state) {
    session.state = state;
    session.idleSince = now_;
    std::string bytes = outcome;
    bytes.append("READY ").append(1, state).append(" -\r\n");
    outputs_.push_back(SendToClient{session.client, std::move(bytes)});
}

void Pooler::replyWithError(Session& session, Error error, std::string_view text, char state) {
    replyLocally(session, formatError(error, text), state);
}

// The session's transaction has ended: committed or rolled back by the store, or never begun there.
void Pooler::endTransaction(Session& session) {
    session.transaction.reset();
    session.connection = nullptr;
    session.state = 'I';
}

}  // namespace granitereel::proxy
