// A statement that needs a store, from its lane to its one final answer: where Front sends it, and how it
// ends when no store answers.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
using Kind = Statement::Kind;
}  // namespace

int Pooler::laneOf(const configuration::Route& route, bool writes, bool transaction) {
    TransactionClass transactionClass;
    const bool plain = writes;
    transactionClass.consistency = plain                                            ? Consistency::write
                                   : route.mode == configuration::ReadMode::primary ? Consistency::strong
                                   : route.mode == configuration::ReadMode::boundedStaleness
                                       ? Consistency::bounded
                                       : Consistency::session;
    transactionClass.retrySafety = plain || transaction ? RetrySafety::unsafe : RetrySafety::idempotent;
    transactionClass.targetLatency = milliseconds(route.target_ms);
    transactionClass.timeout = milliseconds(route.deadline_ms);
    transactionClass.maxStaleness = milliseconds(route.staleness_ms);
    // Only order and ratio count: each step of precedence halves what is earned.
    transactionClass.value = 4.0 / double(1 << std::min(route.precedence, 8));
    transactionClass.lateValueShare = 0.3;
    transactionClass.name = std::to_string(static_cast<int>(transactionClass.consistency)) + "/" +
                            std::to_string(static_cast<int>(transactionClass.retrySafety)) + "/" +
                            std::to_string(route.target_ms) + "/" + std::to_string(route.deadline_ms) + "/" +
                            std::to_string(route.staleness_ms) + "/" + std::to_string(route.precedence);
    return front_.indexOfClass(transactionClass);
}

void Pooler::run(Session& s, Statement statement) {
    const configuration::Route* route = s.tx ? &s.tx->route : configuration_.route(s.database);
    if (!route) return refuse(s, Error::nosuchdb, "no such database any more", s.state);
    Op op;
    op.commit = statement.kind == Kind::commit;
    op.writes = statement.kind == Kind::write;
    if (statement.kind == Kind::execute) {
        const auto prepared = s.prepared.find(statement.name);
        if (prepared == s.prepared.end()) return refuse(s, Error::unknown, "no such name", s.state);
        op.writes = prepared->second.writes;
        auto& name = shapeNames_[(op.writes ? "W" : "R") + prepared->second.shape];
        if (name.empty()) name = "g" + std::to_string(shapeNames_.size());
        op.prepared = name;
        op.text = "EXECUTE " + name + " " + statement.thing;
    } else {
        op.text = statement.text;
    }
    op.came = now_;
    op.deadline = now_ + milliseconds(route->deadline_ms);
    op.statement = std::move(statement);
    s.op = std::move(op);
    if (s.tx && s.tx->begun) {
        s.op->line = s.line;
        s.op->store = s.line->store;
        Service& of = *s.line->store->service;
        if (s.op->commit && s.tx->wrote && defersWrites(of)) return defer(s, of);
        return prelude(s, *s.line);
    }
    const bool plainTx = s.tx && !s.tx->readOnly;
    s.op->classIndex = laneOf(*route, plainTx || s.op->writes, s.tx.has_value());
    s.op->key = std::to_string(++keyNo_);
    byKey_[s.op->key] = &s;
    const Nanoseconds seen = std::max(s.ownAt, now_ - milliseconds(route->staleness_ms));
    front_.submit(s.op->key, s.op->classIndex, "", milliseconds(route->deadline_ms),
                  service(route->service).group,
                  route->mode == configuration::ReadMode::ownWrites ? std::optional<Nanoseconds>(now_ - seen)
                                                                    : std::nullopt);
}

void Pooler::startAttempt(const std::string& key, const std::string& store, Nanoseconds) {
    launches_.emplace_back(key, store);
}

void Pooler::cancel(const std::string& key, int launchNo) {
    cancels_.emplace_back(key, launchNo);
}

void Pooler::probe(const std::string& store) {
    probes_.push_back(store);
}

void Pooler::closeIdleConnections(const std::string& id) {
    const auto at = stores_.find(id);
    if (at != stores_.end() && !at->second->idle.empty()) drop(*lines_.at(*at->second->idle.begin()));
}

void Pooler::reject(const std::string& key, Nanoseconds) {
    const auto at = byKey_.find(key);
    if (at == byKey_.end()) return;
    Session& s = *at->second;
    if (!s.op->lastError || entryOf(*s.op->lastError).elsewhere) {
        s.op->lastError = Error::busy;
        s.op->lastText = "nothing ran; come back in " + std::to_string(comeBack_ms) + " ms";
    }
    answerLast(s);
}

void Pooler::reportIndeterminate(const std::string& key) {
    const auto at = byKey_.find(key);
    if (at == byKey_.end()) return;
    Session& s = *at->second;
    if (!s.op->lastError) {
        // A transaction that was not asked to commit is rolled back with its connection.
        s.op->lastError = s.tx ? Error::aborted : s.op->writes ? Error::indoubt : Error::busy;
        s.op->lastText = s.tx ? "rolled back" : s.op->writes ? "the outcome is not known" : "no answer";
    }
    answerLast(s);
}

void Pooler::place(Session& s, const std::string& storeId) {
    Op& op = *s.op;
    Store& store = *stores_.at(storeId);
    op.store = &store;
    op.line = nullptr;
    op.sent = op.preluding = op.guarded = false;
    op.lastError.reset();
    op.deferred = false;
    ++op.launches;
    op.launchedAt = now_;
    if (op.writes && !s.tx && defersWrites(*store.service)) return defer(s, *store.service);
    placeAt(s, store);
}

void Pooler::placeAt(Session& s, Store& store) {
    if (Line* line = lineFor(s, store))
        prelude(s, *line);
    else
        store.waiting.push_back(s.client);
}

void Pooler::report(const Launched& launched, Store& store, AttemptOutcome how,
                    std::optional<Nanoseconds> position, bool over) {
    if (launched.key.empty()) return;
    front_.attemptEnded(launched.key, launched.number, store.id, how, now_ - launched.at, Role::unknown,
                        position, over);
}

void Pooler::unwait(Session& s) {
    if (s.op && s.op->store && !s.op->line) std::erase(s.op->store->waiting, s.client);
}

// The statement's final answer is its last error.
void Pooler::answerLast(Session& s) {
    const Error error = *s.op->lastError;
    const std::string text = s.op->lastText;
    ++(error == Error::indoubt ? counts_.indoubt : counts_.promised);
    if (!s.op->key.empty()) byKey_.erase(s.op->key);
    unwait(s);
    const bool commit = s.op->commit;
    s.op.reset();
    // The store still holds it.
    if (s.tx && s.line) letGo(*std::exchange(s.line, nullptr));
    if (s.tx) s.tx->begun = false;
    if (commit) endTx(s);
    refuse(s, error, text, s.tx ? 'E' : 'I');
    woken_.push_back(s.client);
}

// Nothing is kept of a read, nor of what was not sent; nor of a transaction that was not asked to commit.
void Pooler::timeOver(Session& s, Line& line) {
    Op& op = *s.op;
    if (s.tx || (op.writes && op.sent)) {
        drop(line);
        return lost(s, line, AttemptOutcome::timedOut);
    }
    const Launched launched = launchedOf(op);
    op.lastError = Error::busy;
    op.lastText = "no answer in time; come back in " + std::to_string(comeBack_ms) + " ms";
    answerLast(s);
    letGo(line);
    report(launched, *line.store, AttemptOutcome::timedOut, {}, true);
}

// The connection under a session is gone, and with it whatever the store held for it that was not committed.
void Pooler::lost(Session& s, Line& line, AttemptOutcome how) {
    line.user = nullptr;
    Store& store = *line.store;
    if (s.line == &line) s.line = nullptr;
    if (!s.op || s.op->line != &line) {
        if (s.tx && s.tx->begun) {
            s.tx->begun = false;
            s.state = 'E';
        }
        return;
    }
    Op& op = *s.op;
    op.line = nullptr;
    const Launched launched = launchedOf(op);
    if (op.commit && op.sent) {
        const bool wrote = s.tx->wrote;
        endTx(s);
        byKey_.erase(launched.key);
        s.op.reset();
        if (wrote)
            ++counts_.indoubt, refuse(s, Error::indoubt, "the outcome of the commit is not known", 'I');
        else
            ++counts_.promised, refuse(s, Error::aborted, "the connection to the store is gone", 'I');
        woken_.push_back(s.client);
        report(launched, store, how, {}, true);
        return;
    }
    if (s.tx && s.tx->begun) {
        op.lastError = Error::aborted;
        op.lastText = "the connection to the store is gone, the transaction is rolled back";
        answerLast(s);
        report(launched, store, how, {}, true);
        return;
    }
    const bool sent = std::exchange(op.sent, false);
    report(launched, store, sent ? how : AttemptOutcome::unreachable, {}, false);
}

}  // namespace granitereel::proxy
