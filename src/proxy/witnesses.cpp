// Writes whose success no lease lets be told: the replicas are asked whether they have them, over connections
// that were open while the lead was settled.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"
#include "proxy/timing.hpp"

namespace granitereel::proxy {

// Whether the record of the lead is young enough to name every replica whose row could be all that a planned
// change rests on.
bool Pooler::restsOnRecord(const Service& of) const {
    return now_ < of.evidence.settledUntil() + board::recordsRestedOnFor;
}

bool Pooler::isKept(const Unproven& waits) const {
    const Service& of = *waits.service;
    const WriteFate fate = of.evidence.fateOf(waits.write);
    if (fate != WriteFate::open) return fate == WriteFate::kept;
    return waits.write.position && restsOnRecord(of) &&
           of.replicas.holds(*waits.write.position, of.syncReplicas);
}

// One question to each replica covers all that waits: the highest position among it is asked for.
void Pooler::askReplicas() {
    for (auto& [name, of] : services_) prepareWitnesses(*of);
    std::map<Service*, LogPosition> highest;
    for (const int client : unproven_) {
        const auto at = sessions_.find(client);
        if (at == sessions_.end() || !at->second->op || !at->second->op->unproven) continue;
        const Unproven& waits = *at->second->op->unproven;
        if (!waits.write.position || !restsOnRecord(*waits.service)) continue;
        LogPosition& most = highest[waits.service];
        most = std::max(most, *waits.write.position);
    }
    for (const auto& [of, position] : highest) {
        for (const std::string& replica : of->replicas.replicas()) {
            const auto store = of->stores.find(replica);
            if (store != of->stores.end() && of->replicas.lacks(replica, position))
                askReplica(*store->second);
        }
    }
}

// The lease is late: while it still runs each replica gets the connection that may be needed behind its end.
void Pooler::prepareWitnesses(Service& of) {
    const bool late = of.evidence.settled(now_) && !of.evidence.settled(now_ + leaseLate);
    if (!late || of.usedAt == 0 || now_ - of.usedAt > inUse) return;
    for (const std::string& replica : of.replicas.replicas()) {
        const auto at = of.stores.find(replica);
        if (at == of.stores.end() || at->second->gone || at->second->lines >= share(of)) continue;
        const bool any = std::any_of(lines_.begin(), lines_.end(), [&](const auto& each) {
            const Line& line = *each.second;
            return line.store == at->second && !line.dead && (line.witness || !line.open);
        });
        if (!any) openLine(*at->second, false);
    }
}

// An idle connection that may show what the replica has, unless one is being asked already.
Pooler::Line* Pooler::witnessOf(const Store& replica) const {
    for (const auto& [no, line] : lines_) {
        const bool asked = !line->expects.empty() && line->expects.front() == Part::status;
        if (line->store == &replica && !line->dead && asked) return nullptr;
    }
    for (const int no : replica.idle) {
        Line& line = *lines_.at(no);
        if (line.witness) return &line;
    }
    return nullptr;
}

void Pooler::askReplica(Store& replica) {
    Line* line = witnessOf(replica);
    if (!line) return;
    replica.idle.erase(line->no);
    line->abandonedAt = now_;
    ask(*line, "-", "STATUS", Part::status);
}

void Pooler::statusAnswered(Line& line, const Answer& answer) {
    if (line.inTx) return outOfStep(line);
    line.abandonedAt = 0;
    line.usedAt = now_;
    std::string_view row = answer.rows;
    takeField(row);
    const auto told = answer.error ? std::nullopt : parseStoreStatus(std::string(row));
    if (told) line.store->service->replicas.told(line.store->id, *told);
    idle(line);
    judgeUnproven();
}

}  // namespace granitereel::proxy
