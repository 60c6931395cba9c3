// The pools of PLB (III.B and III.D of the paper): dealt, and given back.
#include "policy/shared.hpp"

namespace granitereel {

void Front::deal(Group& group) {
    group.redeal = false;
    std::vector<Store*> replicas;
    for (Store* store : group.members) {
        store->pool = store->lender = Pool::none;
        if (store->standing == Standing::up && store != group.primary) replicas.push_back(store);
    }
    const int n = static_cast<int>(replicas.size());
    group.target[0] = group.target[1] = 0;
    if (n == 0) return;
    group.target[0] = std::clamp(static_cast<int>(std::lround(0.4 * n)), 1, std::max(1, n - 1));
    group.target[1] = std::min(std::max(1, static_cast<int>(std::lround(0.4 * n))), n - group.target[0]);
    for (int i = 0; i < n; ++i) {
        Store* store = replicas[(i + charter_.front) % n];
        store->pool = i < group.target[0]                     ? Pool::premium
                      : i < group.target[0] + group.target[1] ? Pool::freemium
                                                              : Pool::mixed;
    }
}

int Front::poolLoad(const Store& store, int tier) const {
    return store.lender == Pool::none ? store.load[tier] : store.load[0] + store.load[1];
}

void Front::giveBack(Group& group, int tier) {
    const int watermark = static_cast<int>(alpha[tier] * theta);
    const bool eased = std::any_of(group.members.begin(), group.members.end(), [&](const Store* s) {
        return s->pool == poolOf(tier) && s->lender == Pool::none && s->load[tier] < watermark;
    });
    if (!eased) return;
    for (Store* store : group.members) {
        if (store->pool != poolOf(tier) || store->lender == Pool::none || store->load[tier] > 0) continue;
        const int lender = store->lender == Pool::premium ? 0 : 1;
        const bool below =
            store->lender != Pool::mixed && poolSize(group, store->lender) < group.target[lender];
        store->pool = below ? store->lender : Pool::mixed;
        store->lender = Pool::none;
    }
}

}  // namespace granitereel
