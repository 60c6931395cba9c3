// The pools of PLB (III.B and III.D of the paper): assignment, and return of borrowed replicas.
#include "policy/shared.hpp"

namespace granitereel {

void Router::assignPools(Group& group) {
    group.poolsOutdated = false;
    std::vector<Store*> replicas;
    for (Store* store : group.members) {
        store->pool = store->lender = Pool::none;
        if (store->state == StoreState::up && store != group.primary) replicas.push_back(store);
    }
    const int replicaCount = static_cast<int>(replicas.size());
    group.poolTarget[0] = group.poolTarget[1] = 0;
    if (replicaCount == 0) return;
    group.poolTarget[0] =
        std::clamp(static_cast<int>(std::lround(0.4 * replicaCount)), 1, std::max(1, replicaCount - 1));
    group.poolTarget[1] = std::min(std::max(1, static_cast<int>(std::lround(0.4 * replicaCount))),
                                   replicaCount - group.poolTarget[0]);
    for (int i = 0; i < replicaCount; ++i) {
        Store* store = replicas[(i + config_.proxyIndex) % replicaCount];
        store->pool = i < group.poolTarget[0]                         ? Pool::premium
                      : i < group.poolTarget[0] + group.poolTarget[1] ? Pool::freemium
                                                                      : Pool::mixed;
    }
}

int Router::poolLoad(const Store& store, int tier) const {
    return store.lender == Pool::none ? store.reads[tier] : store.reads[0] + store.reads[1];
}

void Router::returnBorrowed(Group& group, int tier) {
    const int watermark = static_cast<int>(returnWatermark[tier] * fullThreshold);
    const bool hasSpare = std::any_of(group.members.begin(), group.members.end(), [&](const Store* store) {
        return store->pool == poolOf(tier) && store->lender == Pool::none && store->reads[tier] < watermark;
    });
    if (!hasSpare) return;
    for (Store* store : group.members) {
        if (store->pool != poolOf(tier) || store->lender == Pool::none || store->reads[tier] > 0) continue;
        const int lender = store->lender == Pool::premium ? 0 : 1;
        const bool lenderShort =
            store->lender != Pool::mixed && poolSize(group, store->lender) < group.poolTarget[lender];
        store->pool = lenderShort ? store->lender : Pool::mixed;
        store->lender = Pool::none;
    }
}

}  // namespace granitereel
