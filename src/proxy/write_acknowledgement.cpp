// Successful writes are reported to the client at once if every later primary has them; otherwise the
// response is held back until that is known. Reporting one earlier could acknowledge a commit that a
// failover then loses. Also, writes that wait while the primary is known to be changing, because their
// success could not be reported.
#include <algorithm>
#include <utility>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

// Handles a store's success response to a write, or to the COMMIT of a transaction that wrote.
void Pooler::acknowledgeWrite(Session& session, Service& service, const StoreResponse& response) {
    UnconfirmedWrite unconfirmed{
        &service,
        response,
        {response.position, response.position ? response.position->term : service.primaryEvidence.term(),
         now_}};
    if (service.primaryEvidence.durabilityOf(unconfirmed.write) == WriteDurability::durable)
        return replyToClient(session, response, 'I');
    ++counters_.unproven;
    PendingStatement& pending = *session.pending;
    if (!pending.key.empty()) sessionsByKey_.erase(pending.key);
    pending.key.clear();
    pending.connection = nullptr;
    pending.store = nullptr;
    pending.unconfirmed = std::move(unconfirmed);
    unconfirmedClients_.insert(session.client);
}

// Decides held-back writes by new knowledge about the primary and by their deadlines.
void Pooler::resolveUnconfirmedWrites() {
    for (const int client : std::set<int>(unconfirmedClients_)) {
        const auto found = sessions_.find(client);
        if (found == sessions_.end() || !found->second->pending || !found->second->pending->unconfirmed) {
            unconfirmedClients_.erase(client);
            continue;
        }
        Session& session = *found->second;
        const UnconfirmedWrite& unconfirmed = *session.pending->unconfirmed;
        const bool durable = isDurable(unconfirmed);
        const bool undecided = unconfirmed.service->primaryEvidence.durabilityOf(unconfirmed.write) ==
                               WriteDurability::undecided;
        if (!durable && undecided && now_ < session.pending->deadline) continue;
        unconfirmedClients_.erase(client);
        if (durable) {
            const StoreResponse response = unconfirmed.response;
            replyToClient(session, response, 'I');
        } else {
            session.pending->lastError = Error::indoubt;
            session.pending->lastErrorText = "the lead has changed, and may lack it";
            replyWithLastError(session);
        }
    }
}

// Whether the success of a write sent now could not be reported: the primary is known to be changing, and
// no lease guarantees that the promotion has not compared the replicas' logs yet.
bool Pooler::mustDeferWrites(const Service& service) const {
    return !service.steady && !service.primaryEvidence.isSettled(now_);
}

void Pooler::deferWrite(Session& session, Service& service) {
    ++counters_.deferred;
    session.pending->deferred = true;
    service.deferredClients.push_back(session.client);
}

// If the primary is settled again or another store is primary, the waiting writes go on, there or
// elsewhere.
void Pooler::resumeDeferredWrites(Service& service) {
    if (mustDeferWrites(service)) return;
    for (const int client : std::exchange(service.deferredClients, {})) {
        const auto found = sessions_.find(client);
        if (found == sessions_.end() || !found->second->pending) continue;
        Session& session = *found->second;
        PendingStatement& pending = *session.pending;
        if (!std::exchange(pending.deferred, false) || !pending.store) continue;
        Store& store = *pending.store;
        if (pending.connection)
            prepareConnection(session, *pending.connection);
        else if (store.id != service.primary)
            reportOutcome(attemptOf(pending), store, AttemptOutcome::notSent, {}, false);
        else
            startOnStore(session, store);
    }
}

}  // namespace granitereel::proxy
