// What is asked over a connection for a statement, and what each answer means: first what makes the
// connection right for the session, then BEGIN where one is due, then the statement.
#include <utility>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

void Pooler::ask(Line& line, std::string_view id, std::string_view text, Part part) {
    std::string bytes = "QUERY ";
    bytes.append(id).append(" ").append(text).append("\r\n");
    if (id == "-") ++counts_.own;
    if (line.expects.empty()) line.askedAt = now_;
    line.expects.push_back(part);
    outputs_.push_back(ToLine{line.no, std::move(bytes)});
}

// Makes the connection right for the session, begins its transaction there if need be, then sends the
// statement.
void Pooler::prelude(Session& s, Line& line) {
    Op& op = *s.op;
    line.store->idle.erase(line.no);
    line.user = &s;
    line.usedAt = now_;
    op.line = &line;
    op.store = line.store;
    std::string after;
    const bool pinned = s.tx && s.tx->begun;
    if (!pinned && !safe(s, *line.store, after, op.guarded)) {
        op.line = nullptr;
        idle(line);
        return report(launchedOf(op), *line.store, Ending::missed, {}, false);
    }
    op.preluding = true;
    op.after.clear();
    makeValuesRight(s, line);
    if (!op.prepared.empty() && line.prepared.insert(op.prepared).second) {
        const Prepared& shape = s.prepared.at(op.statement.name);
        ask(line, "-", "PARSE " + op.prepared + (shape.writes ? " WRITE " : " READ ") + shape.shape,
            Part::prelude);
    }
    beginThere(s, line, after);
    if (line.expects.empty()) sendMain(s, line);
}

void Pooler::makeValuesRight(const Session& s, Line& line) {
    if (line.values == s.values) return;
    bool reset = false;
    for (const auto& [name, value] : line.values) reset |= !s.values.count(name);
    if (reset) {
        ask(line, "-", "RESET", Part::prelude);
        line.values.clear();
        line.prepared.clear();
    }
    for (const auto& [name, value] : s.values) {
        auto& there = line.values[name];
        if (there == value && !there.empty()) continue;
        there = value;
        std::string text = "SET ";
        text.append(name).append(" ").append(value);
        ask(line, "-", text, Part::prelude);
    }
}

// Begins what the statement runs in, behind the position `after`: the session's transaction, or one of our
// own around a single read that needs proof of the lead. A single statement else goes behind the position
// itself.
void Pooler::beginThere(Session& s, Line& line, const std::string& after) {
    Op& op = *s.op;
    if (op.guarded) {
        ++counts_.guarded;
        return ask(line, "-", "BEGIN", Part::begin);
    }
    if (!s.tx) {
        op.after = after;
    } else if (!s.tx->begun) {
        ask(line, s.tx->beginId, after + (s.tx->readOnly ? "BEGIN READ" : "BEGIN"), Part::begin);
    }
}

void Pooler::countWhere(const Store& store) {
    const bool near = store.district == settings_.district;
    if (store.service->lead == store.id)
        ++(near ? counts_.leadNear : counts_.leadFar);
    else
        ++(near ? counts_.replicaNear : counts_.replicaFar);
}

void Pooler::sendMain(Session& s, Line& line) {
    Op& op = *s.op;
    // A process that stood still may have come here late.
    if (now_ >= op.deadline) return timeOver(s, line);
    op.preluding = false;
    op.sent = true;
    if (s.tx && op.writes) s.tx->wrote = true;
    Service& of = *line.store->service;
    of.usedAt = now_;
    countWhere(*line.store);
    // A store that has lost the lead refuses what it is asked inside a plain transaction, but for the COMMIT
    // of one that wrote nothing.
    const bool refusedWithout = !op.commit && (op.guarded || (s.tx && !s.tx->readOnly));
    line.proven = of.lead == line.store->id && (provable(of) || refusedWithout);
    line.askedAt = now_;
    ask(line, op.statement.id, op.after + op.text, Part::main);
}

void Pooler::answered(Line& line, Part part, const Answer& answer) {
    Session* s = line.user;
    line.inTx = answer.state != 'I';
    if (part == Part::status) return statusAnswered(line, answer);
    // Its values or names are not as they ought to be, or it still holds what it was to roll back: it serves
    // nobody any more, whoever asked.
    if (part == Part::prelude && answer.error) return outOfStep(line);
    if (part == Part::cleanup && line.inTx) return outOfStep(line);
    if (part == Part::begin && !answer.error && answer.state != 'T') return outOfStep(line);
    if (!s) {  // nobody waits for it any more
        if (!line.expects.empty()) return;
        line.abandonedAt = 0;
        return letGo(line);
    }
    if (part == Part::main) return mainAnswered(*s, line, answer);
    if (part == Part::begin) {
        if (answer.error) return beginRefused(*s, line, answer);
        if (s->tx) {
            s->tx->begun = true;
            s->line = &line;
        }
    }
    if (line.expects.empty()) sendMain(*s, line);
}

namespace {
// What an error that promises that nothing ran says of its store.
Ending endingOf(Error error) {
    return error == Error::busy || error == Error::full ? Ending::full : Ending::missed;
}
}  // namespace

std::optional<Nanos> Pooler::covers(const Store& store, const Answer& answer) const {
    return answer.mark ? store.service->horizon.holds(*answer.mark) : std::nullopt;
}

void Pooler::beginRefused(Session& s, Line& line, const Answer& answer) {
    Op& op = *s.op;
    Store& store = *line.store;
    if (answer.error == Error::lagging) lags(store, answer.mark);
    op.lastError = answer.error;
    op.lastText = answer.errorText;
    op.line = nullptr;
    op.preluding = false;
    const std::optional<Nanos> position = covers(store, answer);
    letGo(line);
    report(launchedOf(op), store, endingOf(*answer.error), position, false);
}

void Pooler::mainAnswered(Session& s, Line& line, const Answer& answer) {
    const Op& op = *s.op;
    const bool done = !answer.error;
    // Only COMMIT ends a transaction with success.
    if (done && s.tx && !op.commit && answer.state == 'I') return outOfStep(line);
    if (done && s.tx && op.writes) s.tx->written = true;
    if (done && answer.mark && (line.proven || op.writes))
        line.store->service->horizon.saw(*answer.mark, line.askedAt);
    if (op.commit) return commitAnswered(s, line, answer);
    if (!done && !op.key.empty() && entryOf(*answer.error).elsewhere) return notRun(s, line, answer);
    if (s.tx) return transactionAnswered(s, line, answer);
    if (done) return singleDone(s, line, answer);
    singleFailed(s, line, answer);
}

void Pooler::reply(Session& s, const Answer& answer, char state) {
    s.state = state;
    s.restsSince = now_;
    std::string bytes = answer.error ? errorLine(*answer.error, answer.errorText) : answer.rows + answer.done;
    bytes.append("READY ").append(1, state).append(" ");
    bytes.append(answer.mark ? toString(*answer.mark) : "-").append("\r\n");
    outputs_.push_back(ToClient{s.client, std::move(bytes)});
    ++(answer.error ? counts_.promised : counts_.answered);
    if (!s.op->key.empty()) byKey_.erase(s.op->key);
    s.op.reset();
    woken_.push_back(s.client);
}

void Pooler::commitAnswered(Session& s, Line& line, const Answer& answer) {
    Store& store = *line.store;
    const std::optional<Nanos> position = covers(store, answer);
    if (!answer.error && s.tx->written && answer.mark) {
        s.own = *answer.mark;
        s.ownAt = line.askedAt;
        store.service->horizon.saw(*answer.mark, line.askedAt);
    }
    const Launched launched = launchedOf(*s.op);
    const bool wrote = s.tx->wrote;
    endTx(s);
    line.user = nullptr;
    if (wrote && !answer.error)
        acknowledge(s, *store.service, answer);
    else
        reply(s, answer, 'I');
    report(launched, store, answer.error ? Ending::error : Ending::delivered, position, true);
    letGo(line);
}

// Nothing ran: another store may do better, or this one later.
void Pooler::notRun(Session& s, Line& line, const Answer& answer) {
    Op& op = *s.op;
    Store& store = *line.store;
    if (answer.error == Error::lagging) lags(store, answer.mark);
    if (answer.error == Error::unknown) line.prepared.clear();
    op.lastError = answer.error;
    op.lastText = answer.errorText;
    op.line = nullptr;
    op.sent = false;
    if (s.tx) {
        s.tx->begun = false;
        s.line = nullptr;
    }
    const std::optional<Nanos> position = covers(store, answer);
    letGo(line);
    report(launchedOf(op), store, endingOf(*answer.error), position, false);
}

void Pooler::transactionAnswered(Session& s, Line& line, const Answer& answer) {
    Store& store = *line.store;
    const std::optional<Nanos> position = covers(store, answer);
    const Launched launched = launchedOf(*s.op);
    const bool ended = answer.state == 'I';  // by the store
    if (ended) {
        endTx(s);
        line.user = nullptr;
    }
    reply(s, answer, answer.state);
    report(launched, store, answer.error ? Ending::error : Ending::delivered, position, true);
    if (ended) idle(line);
}

void Pooler::singleDone(Session& s, Line& line, const Answer& answer) {
    Store& store = *line.store;
    if (s.op->writes && answer.mark) {
        s.own = *answer.mark;
        s.ownAt = line.askedAt;
    }
    const std::optional<Nanos> position = covers(store, answer);
    const Launched launched = launchedOf(*s.op);
    line.user = nullptr;
    if (s.op->writes)
        acknowledge(s, *store.service, answer);
    else
        reply(s, answer, 'I');
    report(launched, store, Ending::delivered, position, true);
    letGo(line);
}

// Of a read Front may try again; of a write this is the answer.
void Pooler::singleFailed(Session& s, Line& line, const Answer& answer) {
    Op& op = *s.op;
    Store& store = *line.store;
    op.lastError = answer.error;
    op.lastText = answer.errorText;
    op.line = nullptr;
    op.sent = false;
    const std::optional<Nanos> position = covers(store, answer);
    letGo(line);
    report(launchedOf(op), store, Ending::error, position, false);
}

}  // namespace granitereel::proxy
