// Successes of writes: told at once where every later lead has the write, else kept until that is known; and
// writes that wait while the lead is known to be changing, as their successes could not be told.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

// The store has answered a write or the COMMIT of one with success.
void Pooler::acknowledge(Session& s, Service& of, const Answer& answer) {
    Unproven write{&of, answer, {answer.mark, answer.mark ? answer.mark->term : of.evidence.term(), now_}};
    if (of.evidence.fateOf(write.write) == WriteFate::kept) return reply(s, answer, 'I');
    ++counts_.unproven;
    Op& op = *s.op;
    if (!op.key.empty()) byKey_.erase(op.key);
    op.key.clear();
    op.line = nullptr;
    op.store = nullptr;
    op.unproven = std::move(write);
    unproven_.insert(s.client);
}

// What has become known of a lead, or the time that has passed, may decide those that wait.
void Pooler::judgeUnproven() {
    for (const int client : std::set<int>(unproven_)) {
        const auto at = sessions_.find(client);
        if (at == sessions_.end() || !at->second->op || !at->second->op->unproven) {
            unproven_.erase(client);
            continue;
        }
        Session& s = *at->second;
        const Unproven& waits = *s.op->unproven;
        const bool kept = isKept(waits);
        const bool open = waits.service->evidence.fateOf(waits.write) == WriteFate::open;
        if (!kept && open && now_ < s.op->deadline) continue;
        unproven_.erase(client);
        if (kept) {
            const Answer answer = waits.answer;
            reply(s, answer, 'I');
        } else {
            s.op->lastError = Error::indoubt;
            s.op->lastText = "the lead has changed, and may lack it";
            answerLast(s);
        }
    }
}

// Whether what is written there now could not be told as a success: the lead is known to be changing, and no
// lease says that the change has not begun to count.
bool Pooler::defersWrites(const Service& of) const {
    return !of.steady && !of.evidence.settled(now_);
}

void Pooler::defer(Session& s, Service& of) {
    ++counts_.deferred;
    s.op->deferred = true;
    of.deferred.push_back(s.client);
}

// The lead is settled again, or another: what waited goes on, there or elsewhere.
void Pooler::resumeDeferred(Service& of) {
    if (defersWrites(of)) return;
    for (const int client : std::exchange(of.deferred, {})) {
        const auto at = sessions_.find(client);
        if (at == sessions_.end() || !at->second->op) continue;
        Session& s = *at->second;
        Op& op = *s.op;
        if (!std::exchange(op.deferred, false) || !op.store) continue;
        Store& store = *op.store;
        if (op.line)
            prelude(s, *op.line);
        else if (store.id != of.lead)
            report(launchedOf(op), store, AttemptOutcome::notSent, {}, false);
        else
            placeAt(s, store);
    }
}

}  // namespace granitereel::proxy
