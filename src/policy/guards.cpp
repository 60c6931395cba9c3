// The rule guards: the last word before every launch and nack.
#include "policy/shared.hpp"

namespace granitereel {

bool Front::mayLaunch(const Transaction& t, const Store& store) const {
    const Lane& lane = lanes_[t.lane];
    if (store.standing != Standing::up || t.out > 0 || t.launches >= charter_.launchLimit) return false;
    if (!t.mayHaveRunSince || lane.effect == Effect::harmless) return true;
    if (lane.effect == Effect::oneShot || now_ >= t.mayHaveRunSince + lane.window) return false;
    return lane.reach != Reach::zone || store.zone == t.boundZone;
}

// Between the pick and the first byte on the wire lies the connecting. It guards against a list or an answer
// that comes meanwhile, and a position grown too old; it costs a launch of the few that a transaction has.
bool Front::mayStillGo(const std::string& id, const std::string& storeId) const {
    const Transaction* t = inHand(id);
    const Store* store = find(storeId);
    if (!t || !store || store->standing != Standing::up) return false;
    const Need need = lanes_[t->lane].need;
    if (need == Need::any || need == Need::write || charter_.storesCheck || freshEnough(*store, *t))
        return true;
    return t->group->primary == store && mayReadPrimary(*store);
}

bool Front::mayNack(const Transaction& t) const {
    const Lane& lane = lanes_[t.lane];
    if (lane.effect == Effect::harmless) return true;
    if (lane.effect == Effect::stamped && lane.reach == Reach::everywhere) return true;
    return t.out == 0 && !t.mayHaveRunSince;
}

}  // namespace granitereel
