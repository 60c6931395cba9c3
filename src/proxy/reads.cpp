// What makes a read safe: proof of the lead, or a position that a replica must hold (see docs/system.md).
#include <algorithm>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

bool Pooler::primaryIsConfirmed(const Service& service) const {
    return service.steady && lease_.valid(now_) && lease_.settles(service.name, service.seq);
}

// Whether the statement may run there, behind which position, and whether only with proof of the lead at
// hand.
bool Pooler::mayRunOn(Session& session, Store& store, std::string& after, bool& guarded) {
    const PendingStatement& pending = *session.pending;
    guarded = false;
    after.clear();
    if (pending.writes || pending.commit || (session.transaction && !session.transaction->readOnly))
        return true;  // the store itself refuses without the lead
    const configuration::Route* route =
        session.transaction ? &session.transaction->route : configuration_.route(session.database);
    if (!route) return false;
    const Service& service = *store.service;
    const bool isPrimary = service.primary == store.id;
    if (isPrimary && primaryIsConfirmed(service)) return true;
    if (route->mode == configuration::Mode::headOffice) {
        guarded = true;
        return isPrimary;
    }
    const Nanos receivedAt = session.transaction ? session.transaction->receivedAt : pending.receivedAt;
    const Nanos oldestAllowed = receivedAt - millis(route->staleness_ms);
    std::optional<Mark> requiredPosition = service.commitHorizon.positionCovering(oldestAllowed);
    if (route->mode == configuration::Mode::own && session.ownPosition) {
        // A position of an earlier term may have been cut back with others' commits; this term's own cover
        // it.
        if (session.ownPosition->term < service.term)
            requiredPosition = service.commitHorizon.positionCovering(oldestAllowed, service.term);
        else if (requiredPosition)
            requiredPosition = std::max(*requiredPosition, *session.ownPosition);
    }
    if (requiredPosition) {
        after = "AFTER " + written(*requiredPosition) + " ";
        return true;
    }
    guarded = true;
    return isPrimary;
}

// A replica that was tried on trust and lacks what was needed: the module asks again when it may have caught
// up.
void Pooler::reportLagging(Store& store, std::optional<Mark> position) {
    ++counters_.lagging;
    const std::optional<Nanos> coveredUntil =
        position ? store.service->commitHorizon.coveredUntil(*position) : std::nullopt;
    router_.lags(store.id, coveredUntil.value_or(1));
}

}  // namespace granitereel::proxy
