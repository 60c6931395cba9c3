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
        return report(op.key, op.launches - 1, *line.store, Ending::missed, op.launchedAt, {}, false);
    }
    op.preluding = true;
    op.after.clear();
    if (line.values != s.values) {
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
            ask(line, "-", "SET " + name + " " + value, Part::prelude);
        }
    }
    if (!op.prepared.empty() && line.prepared.insert(op.prepared).second) {
        const Prepared& shape = s.prepared.at(op.statement.name);
        ask(line, "-", "PARSE " + op.prepared + (shape.writes ? " WRITE " : " READ ") + shape.shape,
            Part::prelude);
    }
    if (s.tx && !pinned) {
        if (op.guarded) {
            ++counts_.guarded;
            ask(line, "-", "BEGIN", Part::begin);
        } else {
            ask(line, s.tx->beginId, after + (s.tx->readOnly ? "BEGIN READ" : "BEGIN"), Part::begin);
        }
    } else if (op.guarded) {
        ++counts_.guarded;
        ask(line, "-", "BEGIN", Part::begin);
    } else {
        op.after = after;
    }
    if (line.expects.empty()) sendMain(s, line);
}

void Pooler::sendMain(Session& s, Line& line) {
    Op& op = *s.op;
    // A process that stood still may have come here late.
    if (now_ >= op.deadline) return timeOver(s, line);
    op.preluding = false;
    op.sent = true;
    if (s.tx && op.writes) s.tx->wrote = true;
    const Service& of = *line.store->service;
    const bool near = line.store->district == settings_.district;
    ++(of.lead == line.store->id ? near ? counts_.leadNear : counts_.leadFar
       : near                    ? counts_.replicaNear
                                 : counts_.replicaFar);
    // A store that has lost the lead refuses what it is asked inside a plain transaction, but for the COMMIT
    // of one that wrote nothing.
    const bool refusedWithout = !op.commit && (op.guarded || (s.tx && !s.tx->readOnly));
    line.proven = of.lead == line.store->id && (provable(of) || refusedWithout);
    line.askedAt = now_;
    ask(line, op.statement.id, op.after + op.text, Part::main);
}

void Pooler::answered(Line& line, Part part, const Answer& answer) {
    Session* s = line.user;
    Store& store = *line.store;
    line.inTx = answer.state != 'I';
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
    Op& op = *s->op;
    if (part == Part::main) return mainAnswered(*s, line, answer);
    if (part == Part::begin) {
        if (answer.error) {
            const Error error = *answer.error;
            if (error == Error::lagging) lags(store, answer.mark);
            op.lastError = error;
            op.lastText = answer.errorText;
            op.line = nullptr;
            op.preluding = false;
            const std::optional<Nanos> position =
                answer.mark ? store.service->horizon.holds(*answer.mark) : std::nullopt;
            letGo(line);
            return report(op.key, op.launches - 1, store,
                          error == Error::busy || error == Error::full ? Ending::full : Ending::missed,
                          op.launchedAt, position, false);
        }
        if (s->tx) {
            s->tx->begun = true;
            s->line = &line;
        }
    }
    if (line.expects.empty()) sendMain(*s, line);
}

void Pooler::mainAnswered(Session& s, Line& line, const Answer& answer) {
    Op& op = *s.op;
    Store& store = *line.store;
    Service& of = *store.service;
    const bool first = !op.key.empty();
    const bool done = !answer.error;
    const std::optional<Mark> mark = answer.mark;
    const char state = answer.state;
    // Only COMMIT ends a transaction with success.
    if (done && s.tx && !op.commit && state == 'I') return outOfStep(line);
    if (done && s.tx && op.writes) s.tx->written = true;
    if (done && mark && (line.proven || op.writes)) of.horizon.saw(*mark, line.askedAt);
    const std::optional<Nanos> position = !mark ? std::nullopt : of.horizon.holds(*mark);
    const Error error = answer.error.value_or(Error::other);
    const std::string& text = answer.errorText;
    const std::string bytes = done ? answer.rows + answer.done : errorLine(error, text);
    const ErrorEntry& entry = entryOf(error);
    const std::string key = op.key;
    const int launchNo = op.launches - 1;
    const Nanos launchedAt = op.launchedAt;
    auto reply = [&](char shown) {
        s.state = shown;
        s.restsSince = now_;
        std::string all = bytes;
        all.append("READY ").append(1, shown).append(" ").append(mark ? written(*mark) : "-").append("\r\n");
        outputs_.push_back(ToClient{s.client, std::move(all)});
        ++(done ? counts_.answered : counts_.promised);
        if (!key.empty()) byKey_.erase(key);
        s.op.reset();
        woken_.push_back(s.client);
    };
    if (op.commit) {
        if (done && s.tx->written && mark) {
            s.own = *mark;
            s.ownAt = line.askedAt;
            of.horizon.saw(*mark, line.askedAt);
        }
        endTx(s);
        line.user = nullptr;
        reply('I');
        if (first)
            report(key, launchNo, store, done ? Ending::delivered : Ending::error, launchedAt, position,
                   true);
        return letGo(line);
    }
    if (!done && first && entry.elsewhere) {
        // Nothing ran: another store may do better, or this one later.
        if (error == Error::lagging) lags(store, mark);
        if (error == Error::unknown) line.prepared.clear();
        op.lastError = error;
        op.lastText = text;
        op.line = nullptr;
        op.sent = false;
        if (s.tx) {
            s.tx->begun = false;
            s.line = nullptr;
        }
        letGo(line);
        return report(key, launchNo, store,
                      error == Error::busy || error == Error::full ? Ending::full : Ending::missed,
                      launchedAt, position, false);
    }
    if (s.tx) {
        if (state == 'I') {  // the store has ended it
            endTx(s);
            line.user = nullptr;
        }
        const bool ended = state == 'I';
        reply(state);
        if (first)
            report(key, launchNo, store, done ? Ending::delivered : Ending::error, launchedAt, position,
                   true);
        if (ended) idle(line);
        return;
    }
    line.user = nullptr;
    if (done) {
        if (op.writes && mark) {
            s.own = *mark;
            s.ownAt = line.askedAt;
        }
        reply('I');
        report(key, launchNo, store, Ending::delivered, launchedAt, position, true);
        return letGo(line);
    }
    op.lastError = error;
    op.lastText = text;
    op.line = nullptr;
    op.sent = false;
    letGo(line);
    // Of a read the module may try again; of a write this is the answer.
    report(key, launchNo, store, Ending::error, launchedAt, position, false);
}

}  // namespace granitereel::proxy
