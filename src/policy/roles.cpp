// The store list, and which store is the primary of each group.
#include "policy/shared.hpp"

namespace granitereel {

void Router::refreshList() {
    if (!config_.listMustBeRequested || now_ < nextListRefresh_) return;
    nextListRefresh_ = now_ + listRefreshInterval_;
    output_.subscribeToList(true);
}

void Router::listEntry(const std::string& id, int groupNumber, int zone, StoreState state,
                       Nanoseconds startedAt, bool primary) {
    std::erase_if(unlistedStores_, [&](Store* store) { return store->id == id; });
    Group& group = groups_[groupNumber];
    auto& slot = stores_[id];
    if (!slot) {
        slot = std::make_unique<Store>();
        slot->id = id;
        slot->group = groupNumber;
        slot->zone = zone;
        slot->startedAt = startedAt;
        // Of all proxies together, before the store was seen working: about what a few cores serve in time.
        slot->window = 24.0 / proxyCount_;
        group.members.push_back(slot.get());
        std::sort(group.members.begin(), group.members.end(), [](auto* a, auto* b) { return a->id < b->id; });
        group.poolsOutdated = true;
    }
    Store& store = *slot;
    store.removedAt = 0;
    if (startedAt > store.startedAt) {  // restarted: cold, and perhaps no longer the primary
        store.startedAt = startedAt;
        store.suspectSince = store.unreachableSince = 0;
    }
    if (state != store.state) changeState(store, state);
    const bool newlyListed = primary && !store.listedAsPrimary && state == StoreState::up;
    if (newlyListed && !group.primary && !store.saysReplica) setPrimary(group, &store);
    store.listedAsPrimary = primary;
}

void Router::listFailed() {
    // 0.5 to 1.5 s at random, so that proxies that failed together don't retry together.
    nextListRefresh_ = std::min(nextListRefresh_, now_ + milliseconds(500 + random_() % 1000));
}

void Router::changeState(Store& store, StoreState state) {
    if (state == StoreState::removed) store.removedAt = now_;
    if (state == StoreState::removed && config_.onlyDrainingIsBinding && store.state == StoreState::up)
        return;
    store.state = state;
    watchStore(store);
    Group& group = groups_[store.group];
    group.poolsOutdated = true;
    if (group.primary == &store && state != StoreState::up) setPrimary(group, nullptr);
}

// Positions are times, so a report that says 'primary' tells when it was made. The later statement wins.
void Router::updateRole(Store& store, Role role, Nanoseconds asOf, bool byResponse) {
    store.roleUpdatedAt = now_;
    if (asOf < store.roleAsOf) return;
    // A primary that hands over rejects writes but still calls itself primary to reads; and no store regains
    // a lost role within a second.
    if (role == Role::primary && store.lostRoleAt && asOf < store.lostRoleAt + milliseconds(1000)) return;
    if (byResponse) store.saysReplica = role == Role::replica;
    store.role = role;
    store.roleAsOf = asOf;
    Group& group = groups_[store.group];
    if (role == Role::replica && group.primary == &store) {
        store.lostRoleAt = now_;
        setPrimary(group, nullptr);
    }
    if (role == Role::primary && group.primary != &store && store.state == StoreState::up &&
        (!group.primary || group.primary->roleAsOf < asOf))
        setPrimary(group, &store);
}

void Router::searchPrimary(Group& group) {
    if (!probesTellRole_ || group.members.empty()) return;
    if (now_ - group.searchingProxiesAt >= 10 * period_) {
        group.searchingProxiesAt = now_;
        group.searchingProxies = output_.searchingProxies(group.members.front()->group);
    }
    // Five searches a second: a switchover takes seconds. A search costs each member a probe; paced by the
    // number of proxies, all together send the group some 300 probes a second, not each member as many
    // (simulated days herd and join, two seeds each: a tenth to a third fewer probes).
    const auto members = Nanoseconds(group.members.size());
    const int searching = group.searchingProxies.value_or(proxyCount_);
    if (searching == 0 ||
        now_ - group.searchedAt < std::max(10 * period_, searching * members * milliseconds(3)))
        return;
    group.searchedAt = now_;
    for (Store* store : group.members) probeStore(*store);
}

// On behalf of all proxies without a primary, so not paced by their number.
void Router::searchForOthers(int groupNumber) {
    const auto found = groups_.find(groupNumber);
    if (found == groups_.end() || !probesTellRole_ || now_ - found->second.searchedAt < 10 * period_) return;
    found->second.searchedAt = now_;
    for (Store* store : found->second.members) probeStore(*store);
}

// A hint where to probe, not permission to write: only the store's own report counts.
void Router::primaryHinted(const std::string& id) {
    Store* store = findStore(id);
    if (!store || !probesTellRole_ || groups_[store->group].primary == store) return;
    probeStore(*store);
}

Store* Router::selectForWrite(Group& group, const Transaction& txn) {
    if (!group.primary || !isUsable(*group.primary)) searchPrimary(group);
    if (group.primary) {
        if (!isUsable(*group.primary)) return nullptr;
        return hasRoom(*group.primary, txn) ? group.primary : nullptr;
    }
    // Unknown: members in order, but for those that were replicas within the last second. The last attempt is
    // kept for the primary.
    if (txn.attempts + 1 >= config_.maxAttempts) return nullptr;
    for (Store* store : group.members) {
        if (store->state != StoreState::up || !isUsable(*store) || !hasRoom(*store, txn)) continue;
        if (store->role == Role::replica && now_ - store->roleUpdatedAt < milliseconds(1000)) continue;
        return store;
    }
    return nullptr;
}

}  // namespace granitereel
