// Clients' sessions: what they say, one statement at a time, and what needs no store.
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
using Kind = Statement::Kind;
}  // namespace

void Pooler::clientCame(int client, Nanoseconds now) {
    begin(now);
    remove(client);
    auto& slot = sessions_[client];
    slot = std::make_unique<Session>();
    slot->client = client;
    slot->restsSince = now;
    ++counts_.sessions;
}

void Pooler::clientSaid(int client, std::string_view line, Nanoseconds now) {
    const auto at = sessions_.find(client);
    if (at == sessions_.end()) return;
    begin(now);
    Session& s = *at->second;
    s.queue.emplace_back(line);
    s.queued += line.size() + 64;
    if (s.queued > queuedMost && !s.held) {
        s.held = true;
        outputs_.push_back(HoldClient{client, true});
    }
    proceed(s);
    settle();
}

void Pooler::clientLeft(int client, Nanoseconds now) {
    if (!sessions_.count(client)) return;
    begin(now);
    remove(client);
    settle();
}

// The session is over, whatever it had open.
void Pooler::remove(int client) {
    const auto at = sessions_.find(client);
    if (at == sessions_.end()) return;
    Session& s = *at->second;
    s.gone = true;
    if (s.op) {
        if (!s.op->key.empty()) {
            const Launched launched = launchedOf(*s.op);
            byKey_.erase(launched.key);
            if (s.op->store)
                report(launched, *s.op->store, AttemptOutcome::cancelled, {}, true);
            else
                front_.abandon(launched.key);
        }
        unwait(s);
        if (s.op->line) letGo(*s.op->line);
    }
    if (s.line && s.line->user == &s) letGo(*s.line);
    sessions_.erase(at);
}

void Pooler::proceed(Session& s) {
    while (!s.op && !s.gone && !s.queue.empty()) {
        const std::string line = std::move(s.queue.front());
        s.queue.pop_front();
        s.queued -= line.size() + 64;
        if (s.held && s.queued < queuedMost / 2) {
            s.held = false;
            outputs_.push_back(HoldClient{s.client, false});
        }
        std::string_view rest = line;
        const std::string_view word = takeField(rest);
        const int client = s.client;
        if (!s.greeted) {
            if (word == "GREET") {
                greet(s, rest);
                if (!sessions_.count(client)) return;
                continue;
            }
        } else if (word == "QUERY") {
            const std::string_view id = takeField(rest);
            query(s, readStatement(id, rest));
            continue;
        }
        if (word != "BYE")
            outputs_.push_back(ToClient{client, errorLine(Error::malformed, "no such message")});
        outputs_.push_back(EndClient{client});
        return remove(client);
    }
}

void Pooler::greet(Session& s, std::string_view rest) {
    const std::string_view database = takeField(rest);
    if (configured_ && configuration_.route(std::string(database))) {
        s.database = database;
        s.greeted = true;
        outputs_.push_back(ToClient{s.client, "READY I -\r\n"});
        return;
    }
    outputs_.push_back(ToClient{s.client, configured_ ? errorLine(Error::nosuchdb, "no such database")
                                                      : errorLine(Error::busy, "not ready yet")});
    outputs_.push_back(EndClient{s.client});
    remove(s.client);
}

void Pooler::query(Session& s, Statement statement) {
    static const std::string done = "DONE -\r\n";
    ++counts_.statements;
    if (statement.kind == Kind::malformed) return refuse(s, Error::malformed, "not a statement", s.state);
    if (s.state == 'E') {
        if (statement.kind != Kind::abort && statement.kind != Kind::commit)
            return refuse(s, Error::malformed, "the transaction has failed", 'E');
        if (s.line) release(*s.line, statement.kind == Kind::abort ? statement.id : "-");
        endTx(s);
        if (statement.kind == Kind::abort) return local(s, done, 'I');
        return refuse(s, Error::aborted, "the transaction had failed and is rolled back", 'I');
    }
    switch (statement.kind) {
        case Kind::set:
            s.values[statement.name] = statement.value;
            return local(s, done, s.state);
        case Kind::parse:
            s.prepared[statement.name] = {statement.writes, statement.value};
            return local(s, done, s.state);
        case Kind::close:
            if (!s.prepared.erase(statement.name)) return refuse(s, Error::unknown, "no such name", s.state);
            return local(s, done, s.state);
        case Kind::begin:
        case Kind::beginRead: {
            if (s.state != 'I') return refuse(s, Error::malformed, "in a transaction already", s.state);
            const configuration::Route* route = configuration_.route(s.database);
            if (!route) return refuse(s, Error::nosuchdb, "no such database any more", 'I');
            ++counts_.transactions;
            s.tx.emplace();
            s.tx->readOnly = statement.kind == Kind::beginRead;
            s.tx->beginId = statement.id;
            s.tx->came = now_;
            s.tx->route = *route;
            // It begins at a store with its first statement: until then it holds no connection.
            return local(s, done, 'T');
        }
        case Kind::abort:
            if (s.state != 'T') return refuse(s, Error::malformed, "not in a transaction", s.state);
            if (s.line) release(*s.line, statement.id);
            endTx(s);
            return local(s, done, 'I');
        case Kind::commit:
            if (s.state != 'T') return refuse(s, Error::malformed, "not in a transaction", s.state);
            return run(s, std::move(statement));
        default:
            return run(s, std::move(statement));
    }
}

void Pooler::local(Session& s, const std::string& line, char state) {
    s.state = state;
    s.restsSince = now_;
    std::string bytes = line;
    bytes.append("READY ").append(1, state).append(" -\r\n");
    outputs_.push_back(ToClient{s.client, std::move(bytes)});
}

void Pooler::refuse(Session& s, Error error, std::string_view text, char state) {
    local(s, errorLine(error, text), state);
}

// The session's transaction is over: rolled back at the store, or never begun there.
void Pooler::endTx(Session& s) {
    s.tx.reset();
    s.line = nullptr;
    s.state = 'I';
}

}  // namespace granitereel::proxy
