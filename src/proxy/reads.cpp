// What makes a read safe: proof of the lead, or a position that a replica must hold (see docs/system.md).
#include <algorithm>

#include "proxy/pooler.hpp"

namespace granitereel::proxy {

bool Pooler::provable(const Service& of) const {
    return of.steady && lease_.valid(now_) && lease_.settles(of.name, of.seq);
}

// Whether the statement may run there, behind which position, and whether only with proof of the lead at
// hand.
bool Pooler::safe(Session& s, Store& store, std::string& after, bool& guarded) {
    const Op& op = *s.op;
    guarded = false;
    after.clear();
    if (op.writes || op.commit || (s.tx && !s.tx->readOnly))
        return true;  // the store itself refuses without the lead
    const configuration::Route* route = s.tx ? &s.tx->route : configuration_.route(s.database);
    if (!route) return false;
    const Service& of = *store.service;
    const bool leads = of.lead == store.id;
    if (leads && provable(of)) return true;
    if (route->mode == configuration::Mode::headOffice) {
        guarded = true;
        return leads;
    }
    const Nanos came = s.tx ? s.tx->came : op.came;
    const Nanos since = came - millis(route->staleness_ms);
    std::optional<LogPosition> need = of.horizon.covering(since);
    if (route->mode == configuration::Mode::own && s.own) {
        // A position of an earlier term may have been cut back with others' commits; this term's own cover
        // it.
        if (s.own->term < of.term)
            need = of.horizon.covering(since, of.term);
        else if (need)
            need = std::max(*need, *s.own);
    }
    if (need) {
        after = "AFTER " + toString(*need) + " ";
        return true;
    }
    guarded = true;
    return leads;
}

// A replica that was tried on trust and lacks what was needed: the module asks again when it may have caught
// up.
void Pooler::lags(Store& store, std::optional<LogPosition> mark) {
    ++counts_.lagging;
    const std::optional<Nanos> position = mark ? store.service->horizon.holds(*mark) : std::nullopt;
    front_.lags(store.id, position.value_or(1));
}

}  // namespace granitereel::proxy
