// The conditions under which a read is safe: proof that the store is primary, or a log position that a
// replica must have applied. Invariant: a read sees every commit that was acknowledged before the time
// its route demands (see docs/system.md).
#include <algorithm>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

bool Pooler::primaryIsConfirmed(const Service& service) const {
    return service.steady && lease_.valid(now_) && lease_.isSettled(service.name, service.seq);
}

// Whether the statement may run on the store, with which AFTER clause, and whether only inside a
// transaction that proves the store to be primary (`guarded`).
bool Pooler::mayRunOn(Session& session, Store& store, std::string& after, bool& guarded) {
    const PendingStatement& pending = *session.pending;
    guarded = false;
    after.clear();
    if (pending.writes || pending.commit || (session.transaction && !session.transaction->readOnly))
        return true;  // the store itself refuses these unless it is primary
    const configuration::Route* route =
        session.transaction ? &session.transaction->route : configuration_.route(session.database);
    if (!route) return false;
    const Service& service = *store.service;
    const bool isPrimary = service.primary == store.id;
    if (isPrimary && primaryIsConfirmed(service)) return true;
    if (route->mode == configuration::ReadMode::primary) {
        guarded = true;
        return isPrimary;
    }
    const Nanoseconds receivedAt = session.transaction ? session.transaction->receivedAt : pending.receivedAt;
    const Nanoseconds oldestAllowed = receivedAt - milliseconds(route->staleness_ms);
    std::optional<LogPosition> requiredPosition = service.commitHorizon.positionCovering(oldestAllowed);
    if (route->mode == configuration::ReadMode::ownWrites && session.ownPosition) {
        // A position of an earlier term may have been cut from the log together with others'
        // commits, so it is not compared with this term's positions; those cover the session's
        // own commits.
        if (session.ownPosition->term < service.term)
            requiredPosition = service.commitHorizon.positionCovering(oldestAllowed, service.term);
        else if (requiredPosition)
            requiredPosition = std::max(*requiredPosition, *session.ownPosition);
    }
    if (requiredPosition) {
        after = "AFTER " + toString(*requiredPosition) + " ";
        return true;
    }
    guarded = true;
    return isPrimary;
}

// The replica was chosen optimistically and lacks the required position: the router uses it again when it may
// have caught up.
void Pooler::reportLagging(Store& store, std::optional<LogPosition> position) {
    ++counters_.lagging;
    const std::optional<Nanoseconds> coveredUntil =
        position ? store.service->commitHorizon.coveredUntil(*position) : std::nullopt;
    router_.storeLags(store.id, coveredUntil.value_or(1));
}

}  // namespace granitereel::proxy
