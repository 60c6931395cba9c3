// Connections to stores: opened, lent to a statement or a transaction, cleaned, closed.
#include <utility>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

// The idle connection that needs least to be made right; where all need much, and there may be more, a new
// one.
Pooler::Line* Pooler::lineFor(Session& s, Store& store) {
    Line* best = nullptr;
    int least = 0;
    for (const int no : store.idle) {
        Line& line = *lines_.at(no);
        int cost = 0;
        bool reset = false;
        for (const auto& [name, value] : line.values) reset |= !s.values.count(name);
        for (const auto& [name, value] : s.values) {
            const auto at = line.values.find(name);
            cost += reset || at == line.values.end() || at->second != value;
        }
        cost += reset;
        if (!s.op->prepared.empty() && (reset || !line.prepared.count(s.op->prepared))) ++cost;
        if (!best || cost < least) best = &line, least = cost;
        if (least == 0) break;
    }
    const int opening = static_cast<int>(store.waiting.size());
    if (!best && store.lines < share(*store.service)) {
        int coming = 0;
        for (auto& [no, line] : lines_) coming += line->store == &store && !line->open && !line->dead;
        if (coming <= opening) openLine(store, false);
    }
    return best;
}

void Pooler::openLine(Store& store, bool probe) {
    const int no = ++lastLine_;
    auto line = std::make_unique<Line>();
    line->no = no;
    line->store = &store;
    line->address = store.address;
    line->probe = probe;
    line->askedAt = now_;
    ++store.lines;
    ++counts_.opened;
    lines_[no] = std::move(line);
    outputs_.push_back(OpenLine{no, store.address});
}

void Pooler::lineOpened(int no, Nanoseconds now) {
    const auto at = lines_.find(no);
    if (at == lines_.end()) return;
    begin(now);
    Line& line = *at->second;
    line.askedAt = now;
    line.proven = line.store->id == line.store->service->lead && provable(*line.store->service);
    outputs_.push_back(ToLine{
        no, "GREET " + line.store->service->name + " " + settings_.station + " " + line.store->id + "\r\n"});
}

void Pooler::lineSaid(int no, std::string_view text, Nanoseconds now) {
    const auto at = lines_.find(no);
    if (at == lines_.end() || at->second->dead) return;
    begin(now);
    Line& line = *at->second;
    line.store->heard = line.heardAt = now;
    if (!line.open) {
        greeted(line, text);
    } else if (line.expects.empty()) {
        outOfStep(line);  // nothing was asked
    } else {
        switch (line.reader.take(text)) {
            case AnswerReader::Progress::partial:
                break;
            case AnswerReader::Progress::malformed:
                outOfStep(line);
                break;
            case AnswerReader::Progress::whole: {
                const Part part = line.expects.front();
                line.expects.pop_front();
                answered(line, part, line.reader.finish());
            }
        }
    }
    settle();
}

void Pooler::lineEnded(int no, bool refused, Nanoseconds now) {
    const auto at = lines_.find(no);
    if (at == lines_.end() || at->second->dead) return;
    begin(now);
    ended(*at->second, refused);
    settle();
}

void Pooler::greeted(Line& line, std::string_view text) {
    Store& store = *line.store;
    std::string_view rest = text;
    const std::string_view word = takeField(rest);
    Answer answer;
    if (word == "READY" && readReady(rest, answer) && answer.state == 'I') {
        line.open = true;
        line.usedAt = now_;
        line.witness = store.service->evidence.settled(now_);
        if (answer.mark && line.proven) store.service->horizon.saw(*answer.mark, line.askedAt);
        if (std::exchange(line.probe, false)) {
            store.probing = false;
            front_.probeEnded(store.id, AttemptOutcome::succeeded);
        }
        return idle(line);
    }
    if (word != "ERROR") {
        outputs_.push_back(CloseLine{line.no});
        return ended(line, false);
    }
    const AttemptOutcome how =
        errorOf(takeField(rest)) == Error::full ? AttemptOutcome::overloaded : AttemptOutcome::unreachable;
    drop(line);
    if (line.probe) {
        store.probing = false;
        front_.probeEnded(store.id, how);
    }
    refuseWaiting(store, how);
}

void Pooler::outOfStep(Line& line) {
    ++counts_.outOfStep;
    Session* s = line.user;
    drop(line);
    if (s) lost(*s, line);
}

void Pooler::letGo(Line& line) {
    line.user = nullptr;
    if (!line.expects.empty())
        line.abandonedAt = now_;
    else if (line.inTx)
        release(line, "-");
    else
        idle(line);
}

// Rolls back what the store holds for nobody any more; the line serves others once that is done.
void Pooler::release(Line& line, const std::string& abortId) {
    line.user = nullptr;
    line.abandonedAt = now_;
    ask(line, abortId, "ABORT", Part::cleanup);
}

void Pooler::idle(Line& line) {
    line.user = nullptr;
    if (line.dead) return;
    Store& store = *line.store;
    if (store.gone || line.address != store.address ||
        (store.windingSince && store.service->lead != store.id))
        return drop(line);
    store.idle.insert(line.no);
    serveWaiting(store);
}

void Pooler::drop(Line& line) {
    if (std::exchange(line.dead, true)) return;
    line.store->idle.erase(line.no);
    --line.store->lines;
    outputs_.push_back(CloseLine{line.no});
    buried_.push_back(line.no);
}

void Pooler::serveWaiting(Store& store) {
    while (!store.waiting.empty() && !store.idle.empty()) {
        const int client = store.waiting.front();
        store.waiting.pop_front();
        const auto at = sessions_.find(client);
        if (at == sessions_.end() || !at->second->op || at->second->op->store != &store ||
            at->second->op->line)
            continue;
        // Not from here: an answer may be in the middle of being taken apart.
        Line* line = lineFor(*at->second, store);
        prelude(*at->second, *line);
    }
}

// No connection could be had for those who wait for one there.
void Pooler::refuseWaiting(Store& store, AttemptOutcome how) {
    for (const int client : std::exchange(store.waiting, {})) {
        const auto who = sessions_.find(client);
        if (who == sessions_.end() || !who->second->op || who->second->op->store != &store) continue;
        Op& op = *who->second->op;
        report(launchedOf(op), store, how, {}, false);
    }
}

void Pooler::ended(Line& line, bool refused) {
    Store& store = *line.store;
    const int no = line.no;
    const bool wasOpen = line.open;
    Session* s = line.user;
    const bool atRest = wasOpen && !s && line.expects.empty();
    if (std::exchange(line.dead, true)) return;
    store.idle.erase(no);
    --store.lines;
    buried_.push_back(no);
    if (!atRest || refused) suspect(store, refused ? "refused" : "broken");
    if (std::exchange(line.probe, false)) {
        store.probing = false;
        front_.probeEnded(store.id, refused ? AttemptOutcome::unreachable : AttemptOutcome::timedOut);
    }
    if (!wasOpen) {
        refuseWaiting(store, AttemptOutcome::unreachable);
    }
    if (s) lost(*s, line);
}

}  // namespace granitereel::proxy
