// Shared by the policy files: tiers and pools, half-lives, and the order in which members are considered.
#pragma once

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "router.hpp"

namespace granitereel {

constexpr auto tierOf = [](const TransactionClass& txnClass) { return txnClass.premium ? 0 : 1; };
constexpr auto poolOf = [](int tier) { return tier == 0 ? Pool::premium : Pool::freemium; };

// Reads in flight at which a replica counts as full for a tier (theta in the paper), and the share of it
// below which a tier returns borrowed replicas (alpha): the design's starting values.
inline constexpr int fullThreshold = 2;
inline constexpr double returnWatermark[2] = {0.60, 0.80};
inline constexpr int minFreemiumReplicas = 1;

// Half-life of response gaps and work done: shorter than most faults, longer than noise.
inline constexpr Nanoseconds healthHalfLife = milliseconds(5'000);
// Half-life of a class's mean work: long, as the work does not change within a day.
inline constexpr Nanoseconds workHalfLife = milliseconds(30'000);
// This multiple of the usual time is seen once in 150 where times are about exponential.
inline constexpr double slowFactor = 5;

// The member with the least key of those admitted. Of equals the first counted from the proxy's index on, as
// pools are assigned: proxies with few reads see all loads alike, and would else all choose the same one.
template <class Admits, class Key>
Store* leastBy(const Group& group, int proxyIndex, Admits admits, Key key) {
    Store* best = nullptr;
    const std::size_t count = group.members.size();
    for (std::size_t i = 0; i < count; ++i) {
        Store* store = group.members[(i + static_cast<std::size_t>(proxyIndex)) % count];
        if (admits(store) && (!best || key(store) < key(best))) best = store;
    }
    return best;
}

}  // namespace granitereel
