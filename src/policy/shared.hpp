// What several of the decisions' files go by: tiers and their pools, how long things are remembered, and the
// order in which members are looked at.
#pragma once

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "front.hpp"

namespace granitereel {

constexpr auto tierOf = [](const Lane& lane) { return lane.premium ? 0 : 1; };
constexpr auto poolOf = [](int tier) { return tier == 0 ? Pool::premium : Pool::freemium; };

// The threshold at which a replica counts as full for a tier, and the watermarks below which a tier gives
// borrowed replicas back: the design's starting values.
inline constexpr int theta = 2;
inline constexpr double alpha[2] = {0.60, 0.80};
inline constexpr int freemiumFloor = 1;

// Gaps between answers, and work borne, are remembered for less than most troubles and more than chance.
inline constexpr Nanos healthMemory = millis(5'000);
// Half-life of a lane's mean time: long, since the lanes' work does not change within a day.
inline constexpr Nanos laneMemory = millis(30'000);
// This multiple of the usual time is seen once in 150 where times are exponential, as they are about.
inline constexpr double muchOf = 5;

// The member with the least key of those that a condition admits. Of equals the first counted from the
// front's number on, as pools are dealt: fronts with few reads find all loads alike, and would else flock to
// one.
template <class Admits, class Key>
Store* leastOf(const Group& group, int front, Admits admits, Key key) {
    Store* best = nullptr;
    const std::size_t n = group.members.size();
    for (std::size_t i = 0; i < n; ++i) {
        Store* s = group.members[(i + static_cast<std::size_t>(front)) % n];
        if (admits(s) && (!best || key(s) < key(best))) best = s;
    }
    return best;
}

}  // namespace granitereel
