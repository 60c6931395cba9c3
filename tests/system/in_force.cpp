// A configuration that was acknowledged comes into force at every member in contact, in time, whoever dies or
// is cut off meanwhile.
#include <gtest/gtest.h>

#include <cstdlib>

#include "standins/control_world.hpp"

namespace {
using granitereel::milliseconds;
using granitereel::Nanoseconds;
using granitereel::standins::ControlWorld;

constexpr Nanoseconds inForceWithin = milliseconds(3'000);

unsigned seeds() {
    const char* given = std::getenv("SEEDS");
    return given ? static_cast<unsigned>(std::atoi(given)) : 20;
}

std::uint64_t editionAt(ControlWorld& world, const std::string& member) {
    const auto edition = world.members.at(member).control->state(world.now).at("edition");
    return edition.is_null() ? 0 : edition.get<std::uint64_t>();
}

// Two orders at about the same time at two members; the second of them dies at the moment in which it has
// acknowledged its own. Returns the highest edition that was acknowledged.
std::uint64_t ordersAtOnce(ControlWorld& world, const std::string& one, const std::string& other,
                           std::uint64_t edition) {
    const auto first = world.put(one, edition, "first");
    const Nanoseconds beginsBehind = milliseconds(static_cast<int>(world.chance() % 5));
    world.run(beginsBehind);
    const auto second = world.put(other, edition + 1, "second");
    std::uint64_t acknowledged = 0;
    for (const Nanoseconds until = world.now + milliseconds(1'200); world.now < until; world.step()) {
        if (world.taken(one, first)) acknowledged = std::max(acknowledged, edition);
        if (!world.members.at(other).control || !world.taken(other, second)) continue;
        acknowledged = edition + 1;
        world.kill(other);
    }
    return acknowledged;
}

TEST(InForce, IsWhatAMemberThatDiedAcknowledgedBesideAnothersOrder) {
    for (unsigned seed = 1; seed <= seeds(); ++seed) {
        ControlWorld world(3, 0, seed);
        world.run(milliseconds(31'000));  // what a start alone would repair is over
        for (std::uint64_t edition = 1; edition < 24; edition += 2) {
            // Always the same dies: a start repairs for half a minute what the others must repair without.
            const std::string one = ControlWorld::address(static_cast<int>(edition / 2 % 2));
            const std::string other = ControlWorld::address(2);
            const std::uint64_t acknowledged = ordersAtOnce(world, one, other, edition);
            world.run(inForceWithin - milliseconds(1'200));
            for (auto& [name, member] : world.members) {
                if (!member.control) continue;
                ASSERT_GE(editionAt(world, name), acknowledged) << name << ", seed " << seed;
            }
            if (!world.members.at(other).control) world.start(other);
            world.run(milliseconds(1'500));
        }
    }
}
}  // namespace
