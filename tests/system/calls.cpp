// The calls of stores and of operators at members of control, in virtual time: what a member that is cut off
// answers, what an acknowledgement is worth, and that one number stands for one body.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "control/configuration_revisions.hpp"
#include "standins/control_world.hpp"

namespace {
using namespace granitereel;
using namespace granitereel::control;

unsigned seedsOr(unsigned usual) {
    const char* const more = std::getenv("SEEDS");
    return more ? static_cast<unsigned>(std::stoul(more)) : usual;
}

struct Beat {
    std::uint64_t number = 1;
    std::string standing = "accepting", address = "10.9.0.1:80";
    int coldLeft_ms = 0;
    std::string role = "branch_office";
};

struct World : standins::ControlWorld {
    using ControlWorld::ControlWorld;
    std::uint64_t call(const std::string& at, const std::string& method, const std::vector<std::string>& path,
                       const std::string& body = {}) {
        members[at].control->handleCall(++lastCall, method, path, body, now);
        carry(at);
        return lastCall;
    }
    std::uint64_t beat(const std::string& at, const std::string& id, const Beat& said) {
        return call(at, "PUT", {"stores", id},
                    Json{{"depot", "svc"},
                         {"address", said.address},
                         {"edition", "v1"},
                         {"standing", said.standing},
                         {"cold_left_ms", said.coldLeft_ms},
                         {"db_role", said.role},
                         {"call_seq", said.number}}
                        .dump());
    }
    std::uint64_t leave(const std::string& at, const std::string& id) {
        return call(at, "DELETE", {"stores", id});
    }
    bool answered(const std::string& at, std::uint64_t no) { return members[at].answers.count(no) > 0; }
    CallOutcome kind(const std::string& at, std::uint64_t no) { return members[at].answers.at(no).first; }
    // Runs until the call is answered; how long that took.
    Nanoseconds await(const std::string& at, std::uint64_t no) {
        const Nanoseconds from = now;
        while (!answered(at, no) && now - from < milliseconds(3000)) step();
        return now - from;
    }
    const gossip::Record* store(const std::string& at, const std::string& id) {
        return static_cast<const Failover::Host&>(*members[at].control).recordTable().find("store/" + id);
    }
    std::string standing(const std::string& at, const std::string& id) {
        const gossip::Record* record = store(at, id);
        return !record ? "unknown" : record->body.is_null() ? "gone" : record->body.at("standing");
    }
    void cutOff(const std::string& member, bool sends, bool hears) {
        for (auto& [name, m] : members)
            if (name != member) {
                if (!sends) mute.insert({member, name});
                if (!hears) mute.insert({name, member});
            }
    }
    // What was lost on a link ends it: both sides hear of that, and it is made anew.
    void heal() {
        for (const auto& [from, to] : std::exchange(mute, {}))
            for (auto wire = wires.begin(); wire != wires.end();) {
                const int link = wire->first;
                const std::string end = ends[link], other = wire->second.first;
                const bool lost = (end == from && other == to) || (end == to && other == from);
                wire = lost ? wires.erase(wire) : std::next(wire);
                if (!lost || !members[end].control) continue;
                members[end].control->linkDown(link, now);
                for (auto& [member, dialled] : members[end].dialled)
                    if (dialled == link) dialled = 0;
            }
    }
};

const std::string a = World::address(0), b = World::address(1), c = World::address(2);

// 20 s on the wrong side, with restarts of the cut side and then of the others.
TEST(Calls, OfAMemberThatIsCutOffAreSentOnWithinTheSecond) {
    Nanoseconds longest = 0, longestWithoutLease = 0;
    for (const auto& [sends, hears] : {std::pair{false, false}, {false, true}, {true, false}})
        for (const bool restarts : {false, true}) {
            World world(3, 0, 21);
            world.run(milliseconds(1500));
            world.cutOff(b, sends, hears);
            std::set<std::string> left;
            std::uint64_t edition = 100;
            const Nanoseconds cutAt = world.now;
            for (int turn = 0; world.now < cutAt + milliseconds(20'000); ++turn) {
                const std::string id = "i-" + std::to_string(turn);
                if (restarts && turn == 6) world.kill(b), world.start(b);
                if (restarts && turn == 12) world.kill(c), world.start(c), world.run(milliseconds(1500));
                // The lease that was had at the cut may outlive it for its time.
                const bool contact = world.now - cutAt < LeaseRounds::leaseDuration;
                const auto on = [&](std::uint64_t no) {
                    const Nanoseconds took = world.await(b, no);
                    longest = std::max(longest, took);
                    if (!contact) longestWithoutLease = std::max(longestWithoutLease, took);
                    ASSERT_TRUE(world.answered(b, no));
                    if (contact) return;
                    EXPECT_TRUE(world.kind(b, no) == CallOutcome::noMajority ||
                                world.kind(b, no) == CallOutcome::redirected);
                    // Who hears the others knows one that is in contact.
                    if (!sends && hears && !restarts) {
                        EXPECT_EQ(world.kind(b, no), CallOutcome::redirected);
                        EXPECT_TRUE(world.members[b].locations[no].starts_with("http://10.0.0."));
                    }
                };
                on(world.put(b, 1'000'000 + edition, "cut"));
                on(world.call(b, "GET", {"config"}));
                on(world.beat(b, id, {}));
                on(world.beat(b, id, {2, "winding_down"}));
                on(world.leave(b, id));
                const std::string at = turn % 2 ? a : c;
                const auto order = world.put(at, ++edition, "kept");
                const auto leaving = world.beat(at, id, {3, "winding_down"});
                world.await(at, order), world.await(at, leaving);
                if (!contact) {
                    EXPECT_EQ(world.kind(at, order), CallOutcome::accepted) << turn;
                    EXPECT_EQ(world.kind(at, leaving), CallOutcome::accepted) << turn;
                }
                if (world.kind(at, leaving) == CallOutcome::accepted) left.insert(id);
            }
            world.heal();
            if (restarts) world.run(milliseconds(2000)), world.kill(a), world.start(a);
            world.run(milliseconds(3000));
            for (const std::string& at : {a, b, c}) {
                const auto read = world.get(at);
                ASSERT_TRUE(read);
                EXPECT_EQ(read->at("edition"), edition) << at;
                EXPECT_FALSE(read->contains("digests"));
                for (const std::string& id : left) EXPECT_EQ(world.standing(at, id), "winding_down") << at;
            }
        }
    EXPECT_LT(longest, milliseconds(1000));
    EXPECT_LE(longestWithoutLease, CallsAwaitingLease::maxWait + milliseconds(50));  // and a tick
    std::printf("longest answer of a member that is cut off: %d ms, once its lease has ended %d ms\n",
                static_cast<int>(longest / milliseconds(1)),
                static_cast<int>(longestWithoutLease / milliseconds(1)));
}

// The lease comes while a call waits for it, and the majority is lost again before the call has been carried
// out: the time that it waited is not given twice.
TEST(Calls, ThatWaitedForALeaseAreAnsweredWithinOneDeadline) {
    Nanoseconds longest = 0;
    int ran = 0;
    for (int late_ms = 0; late_ms < 300; late_ms += 10) {
        World world(3, 0, static_cast<unsigned>(late_ms + 1));
        world.run(milliseconds(1500));
        world.cutOff(b, false, false);
        world.run(milliseconds(1000));
        const std::vector<std::uint64_t> calls = {world.put(b, 100, "late"), world.call(b, "GET", {"config"}),
                                                  world.beat(b, "i-1", {2, "winding_down"}),
                                                  world.leave(b, "i-2")};
        const Nanoseconds from = world.now;
        world.run(milliseconds(late_ms));
        world.mute.clear();
        const auto leased = [&] { return world.members[b].control->state(world.now)["lease_left_ms"] > 0; };
        while (!leased() && world.now - from < CallsAwaitingLease::maxWait) world.step();
        ran += leased();
        world.cutOff(b, false, false);
        for (const std::uint64_t no : calls) {
            world.await(b, no);
            ASSERT_TRUE(world.answered(b, no));
            longest = std::max(longest, world.now - from);
        }
    }
    EXPECT_GT(ran, 10);
    EXPECT_LE(longest, CallRouter::maxAnswerTime + milliseconds(50));  // and a tick
    std::printf("longest answer of a call that waited for a lease: %d ms\n",
                static_cast<int>(longest / milliseconds(1)));
}

// The member that took a store's leaving dies the moment that it has said so, and any of its links had
// failed.
TEST(Calls, OfAStoreThatLeavesOutliveTheMemberThatTookThem) {
    int taken = 0;
    for (const int size : {3, 5})
        for (const bool deletes : {false, true})
            for (int lost = 0; lost < 1 << (size - 1); ++lost) {
                World world(3, size - 3, static_cast<unsigned>(lost + 1));
                world.run(milliseconds(4000));
                world.await(a, world.beat(a, "i-1", {}));
                world.run(milliseconds(200));
                for (int i = 1; i < size; ++i)
                    if (lost >> (i - 1) & 1) world.mute.insert({a, World::address(i)});
                const auto no = deletes ? world.leave(a, "i-1") : world.beat(a, "i-1", {2, "winding_down"});
                EXPECT_LT(world.await(a, no), milliseconds(1000));
                const bool acknowledged = world.kind(a, no) == CallOutcome::accepted;
                world.kill(a);
                world.run(milliseconds(1500));
                if (lost + 1 == 1 << (size - 1)) {
                    EXPECT_FALSE(acknowledged);
                }
                taken += acknowledged;
                for (int i = 1; i < size && acknowledged; ++i)
                    EXPECT_EQ(world.standing(World::address(i), "i-1"), deletes ? "gone" : "winding_down");
            }
    EXPECT_GT(taken, 16);
}

// Said again to one that heard it over the board alone, while the member that took it is dead.
TEST(Calls, ThatRepeatALeavingAreAcknowledgedByAMajorityToo) {
    World world(3, 0, 5);
    world.run(milliseconds(1500));
    world.await(a, world.beat(a, "i-1", {}));
    world.run(milliseconds(200));
    world.mute = {{a, c}, {b, c}, {b, a}};
    world.beat(a, "i-1", {2, "winding_down"});
    world.run(milliseconds(20));
    ASSERT_EQ(world.standing(b, "i-1"), "winding_down");
    world.kill(a);
    const auto again = world.beat(b, "i-1", {3, "winding_down"});
    EXPECT_LT(world.await(b, again), milliseconds(1000));
    EXPECT_NE(world.kind(b, again), CallOutcome::accepted);
}

// A member that is behind takes an overtaken call; one that started again has forgotten what it held.
TEST(Calls, ThatWereOvertakenAreNotTakenByWhoeverIsBehind) {
    for (const bool forgot : {false, true}) {
        World world(3, 0, 9);
        world.run(milliseconds(1500));
        world.await(a, world.beat(a, "i-1", {}));
        world.run(milliseconds(200));
        world.cutOff(c, false, false);
        const auto leaving = world.beat(a, "i-1", {3, "winding_down"});
        world.await(a, leaving);
        ASSERT_EQ(world.kind(a, leaving), CallOutcome::accepted);
        world.heal();
        // The board's own news of it does not reach the third; what it asks does reach the second.
        world.mute = {{a, c}, {c, a}};
        if (forgot) {
            world.cut = {{a, b}};
            world.kill(b), world.start(b);
            world.run(milliseconds(100));
        }
        const auto late = world.beat(c, "i-1", {2, "accepting", "10.9.0.1:80", 0, "head_office"});
        world.await(c, late);
        if (forgot) {
            EXPECT_NE(world.kind(c, late), CallOutcome::accepted);
        } else {
            EXPECT_EQ(world.kind(c, late), CallOutcome::accepted);
            EXPECT_EQ(world.standing(c, "i-1"), "winding_down");
            EXPECT_EQ(world.standing(b, "i-1"), "winding_down");
        }
    }
}

// Two changes of the board are still under way to the member that takes the third.
TEST(Calls, AtAMemberThatIsBehindStandAboveWhatItDidNotKnow) {
    for (const bool deletes : {false, true}) {
        World world(3, 0, 9);
        world.run(milliseconds(1500));
        world.await(a, world.beat(a, "i-1", {}));
        world.run(milliseconds(200));
        world.mute = {{a, c}, {b, c}};
        world.await(a, world.beat(a, "i-1", {2, "accepting", "10.9.0.1:80", 0, "head_office"}));
        world.await(a, world.beat(a, "i-1", {3}));
        world.mute.clear();
        const auto no = deletes ? world.leave(c, "i-1") : world.beat(c, "i-1", {4, "winding_down"});
        world.await(c, no);
        ASSERT_EQ(world.kind(c, no), CallOutcome::accepted);
        world.run(milliseconds(100));
        for (const std::string& at : {a, b, c})
            EXPECT_EQ(world.standing(at, "i-1"), deletes ? "gone" : "winding_down");
    }
    // Two bodies under one number, and so one version: all end with one of them.
    {
        World world(3, 0, 9);
        world.run(milliseconds(1500));
        world.await(a, world.beat(a, "i-1", {}));
        world.run(milliseconds(200));
        world.mute = {{a, c}, {b, c}, {c, a}, {c, b}};
        world.await(a, world.beat(a, "i-1", {2, "accepting", "10.9.0.1:80", 0, "head_office"}));
        const auto no = world.beat(c, "i-1", {2, "winding_down"});
        world.run(milliseconds(10));
        world.mute.clear();
        world.await(c, no);
        EXPECT_EQ(world.kind(c, no), CallOutcome::accepted);
        world.run(milliseconds(100));
        for (const std::string& at : {a, b, c}) EXPECT_EQ(world.standing(at, "i-1"), "winding_down");
    }
    // Of a store that it does not know at all, though it was asked for it before.
    World world(3, 0, 9);
    world.run(milliseconds(1500));
    world.await(c, world.leave(c, "i-1"));
    EXPECT_EQ(world.standing(c, "i-1"), "unknown");
    world.mute = {{a, c}, {b, c}};
    world.await(a, world.beat(a, "i-1", {}));
    world.mute.clear();
    world.await(c, world.leave(c, "i-1"));
    world.run(milliseconds(100));
    for (const std::string& at : {a, b, c}) EXPECT_EQ(world.standing(at, "i-1"), "gone");
}

// Cuts of either kind, crashes and restarts by chance, one member at a time, amid stores that come and leave;
// a call is sometimes sent late. What was acknowledged of leaving is known to all after it.
TEST(Calls, OfStoresThatLeaveOutliveTroubleByChance) {
    const unsigned seeds = seedsOr(12);
    int leftInAll = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        const int size = 3 + static_cast<int>(seed % 3);
        World world(3, size - 3, seed);
        std::mt19937 chance(seed + 77);
        world.run(milliseconds(3500));
        std::map<std::string, std::string> left;  // what was acknowledged
        for (int round = 0; round < 6; ++round) {
            const std::string victim = World::address(static_cast<int>(chance() % size));
            const unsigned trouble = chance() % 4;
            if (trouble == 0) world.cutOff(victim, false, false);
            if (trouble == 1) world.cutOff(victim, chance() % 2, chance() % 2);
            if (trouble == 2) world.kill(victim);
            if (trouble == 3) world.kill(victim), world.start(victim);
            for (int i = 0; i < 4; ++i) {
                const std::string id = "i-" + std::to_string(round * 4 + i);
                const auto somewhere = [&] { return World::address(static_cast<int>(chance() % size)); };
                // As stores do: the next member after a failure or a second.
                const auto say = [&](const std::function<std::uint64_t(const std::string&)>& how) {
                    for (int tries = 0; tries < 4; ++tries) {
                        const std::string at = somewhere();
                        if (!world.members[at].control) continue;
                        const std::uint64_t no = how(at);
                        EXPECT_LT(world.await(at, no), milliseconds(1000)) << "seed " << seed;
                        if (world.answered(at, no) && world.kind(at, no) == CallOutcome::accepted)
                            return true;
                    }
                    return false;
                };
                std::uint64_t number = 0;
                say([&](auto& at) { return world.beat(at, id, {++number}); });
                say([&](auto& at) {
                    return world.beat(at, id, {++number, "accepting", "10.9.0.1:80", 0, "x"});
                });
                const std::uint64_t overtaken = ++number;
                if (say([&](auto& at) { return world.beat(at, id, {++number, "winding_down"}); }))
                    left[id] = "winding_down";
                if (chance() % 2 && say([&](auto& at) { return world.leave(at, id); })) left[id] = "gone";
                const std::string at = somewhere();
                if (world.members[at].control) world.beat(at, id, {overtaken});
            }
            world.heal();
            if (!world.members[victim].control) world.start(victim);
            world.run(milliseconds(3000));
        }
        leftInAll += static_cast<int>(left.size());
        for (const auto& [id, how] : left)
            for (auto& [at, m] : world.members) {
                // A DELETE without an answer may have been taken.
                const std::string stands = world.standing(at, id);
                EXPECT_TRUE(stands == how || stands == "gone")
                    << "seed " << seed << " " << id << " " << stands;
            }
    }
    EXPECT_GT(leftInAll, static_cast<int>(seeds) * 12);
}

TEST(Calls, OfAnUnchangedStoreCostNoMessages) {
    World world(3, 0, 5);
    world.run(milliseconds(1500));
    const auto sentBy = [&](const std::function<void()>& does) {
        world.run(milliseconds(300));
        const std::size_t before = world.packets.size();
        does();
        return world.packets.size() - before;
    };
    // The first goes to the two others, once as the board's news and once to be held.
    EXPECT_EQ(sentBy([&] { world.beat(a, "i-1", {1}); }), 4u);
    EXPECT_EQ(sentBy([&] { world.beat(a, "i-1", {2}); }), 0u);
    EXPECT_EQ(world.kind(a, world.lastCall), CallOutcome::accepted);
    EXPECT_EQ(sentBy([&] { world.beat(a, "i-1", {3, "winding_down"}); }), 4u);
    EXPECT_EQ(sentBy([&] { world.beat(a, "i-1", {4, "winding_down"}); }), 0u);
    EXPECT_EQ(world.kind(a, world.lastCall), CallOutcome::accepted);
}

// A store that is started again counts from 1: at another address, slow from its start, or after a silence.
TEST(Calls, OfANewLifeAreHeardAndOvertakenOnesAreNot) {
    std::vector<int> order{0, 1, 2, 3};
    do {
        World world(3, 0, 5);
        world.run(milliseconds(1500));
        world.await(a, world.beat(a, "i-1", {50}));
        bool gone = false;
        std::mt19937 chance(static_cast<unsigned>(order[0] * 64 + order[1] * 16 + order[2] * 4 + order[3]));
        for (const int what : order) {
            const std::string at = World::address(static_cast<int>(chance() % 3));
            if (what == 0) world.beat(at, "i-1", {52, "winding_down"});
            if (what == 1) world.beat(at, "i-1", {51});
            if (what == 2) world.leave(at, "i-1"), gone = true;
            if (what == 3) world.beat(at, "i-1", {1, "accepting", "10.9.0.2:80"}), gone = false;
            world.run(milliseconds(30));
        }
        for (const std::string& at : {a, b, c}) {
            EXPECT_EQ(world.standing(at, "i-1"), gone ? "gone" : "accepting")
                << testing::PrintToString(order);
            if (!gone) {
                EXPECT_EQ(world.store(at, "i-1")->body.at("address"), "10.9.0.2:80");
            }
        }
    } while (std::next_permutation(order.begin(), order.end()));

    for (const bool cold : {true, false})
        for (const bool deleted : {true, false}) {
            World world(3, 0, 5);
            world.run(milliseconds(1500));
            world.await(a, world.beat(a, "i-1", {50}));
            if (deleted) world.await(a, world.leave(a, "i-1"));
            world.run(milliseconds(300));
            const std::string before = world.standing(b, "i-1");
            world.await(b, world.beat(b, "i-1", {1, "winding_down"}));
            EXPECT_EQ(world.standing(b, "i-1"), before);  // as one that was overtaken
            EXPECT_EQ(world.kind(b, world.lastCall), deleted ? CallOutcome::accepted : CallOutcome::notReady);
            if (!cold) world.run(StoreRegistry::maxMissedHeartbeats * milliseconds(1000));
            world.await(b, world.beat(b, "i-1", {2, "accepting", "10.9.0.1:80", cold ? 20'000 : 0}));
            world.await(c, world.beat(c, "i-1", {3, "winding_down"}));
            for (const std::string& at : {a, b, c}) EXPECT_EQ(world.standing(at, "i-1"), "winding_down");
        }
}

// A store that starts slowly says less of it with each call; one that comes late says more than the last.
TEST(Calls, OfASlowStartThatWereOvertakenAreNoNewLife) {
    World world(3, 0, 5);
    world.run(milliseconds(1500));
    world.await(a, world.beat(a, "i-1", {1, "accepting", "10.9.0.1:80", 20'000}));
    world.run(milliseconds(3000));
    world.await(b, world.beat(b, "i-1", {3, "winding_down", "10.9.0.1:80", 17'000}));
    world.run(milliseconds(500));
    const auto late = world.beat(c, "i-1", {2, "accepting", "10.9.0.1:80", 18'500});
    world.await(c, late);
    EXPECT_EQ(world.kind(c, late), CallOutcome::accepted);
    for (const std::string& at : {a, b, c}) EXPECT_EQ(world.standing(at, "i-1"), "winding_down");
}

TEST(Calls, ThatAProcessFindsWhenItWakesAreNoNewLife) {
    World world(1, 0, 5);
    world.run(milliseconds(500));
    world.beat(a, "i-1", {3, "winding_down"});
    world.now += milliseconds(20'000);
    const auto late = world.beat(a, "i-1", {2});
    world.await(a, late);
    EXPECT_EQ(world.kind(a, late), CallOutcome::accepted);
    EXPECT_EQ(world.standing(a, "i-1"), "winding_down");
}

// Two operators, two members, one number; each is sent once or twice, in every order, at once or in turn.
TEST(Calls, OfTwoOperatorsUnderOneNumberPutOneBodyInForce) {
    std::vector<int> order{0, 1, 2, 3};  // X at a, X at b, Y at b, Y at c
    unsigned seed = 0;
    do {
        for (const int gap_ms : {0, 2, 5, 400}) {
            World world(3, 0, ++seed);
            world.run(milliseconds(1500));
            std::vector<std::pair<std::string, std::uint64_t>> calls(4);
            for (const int what : order) {
                const std::string at = what == 0 ? a : what == 3 ? c : b;
                calls[static_cast<std::size_t>(what)] = {at, world.put(at, 7, what < 2 ? "X" : "Y")};
                world.run(milliseconds(gap_ms));
            }
            world.run(milliseconds(950));
            const auto read = world.get(a);
            ASSERT_TRUE(read);
            for (int what = 0; what < 4; ++what) {
                const auto& [at, no] = calls[static_cast<std::size_t>(what)];
                ASSERT_TRUE(world.answered(at, no));
                const bool inForce = read->at("mark") == (what < 2 ? "X" : "Y");
                if (world.kind(at, no) == CallOutcome::noMajority) continue;
                EXPECT_EQ(world.kind(at, no), inForce ? CallOutcome::accepted : CallOutcome::conflict);
            }
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(Calls, ThatRepeatAnOrderAreAcknowledgedAfterManyOthers) {
    World world(3, 0, 5);
    world.run(milliseconds(1500));
    const auto put = [&](const std::string& at, std::uint64_t edition, const std::string& mark) {
        const auto no = world.put(at, edition, mark);
        world.await(at, no);
        return world.kind(at, no);
    };
    EXPECT_EQ(put(a, 10, "first"), CallOutcome::accepted);
    std::uint64_t edition = 10;
    for (const std::uint64_t further : {1, 10, 60}) {
        while (edition < 10 + further) EXPECT_EQ(put(a, ++edition, "later"), CallOutcome::accepted);
        EXPECT_EQ(put(b, 10, "first"), CallOutcome::accepted) << further;
        EXPECT_EQ(put(c, 10, "other"), CallOutcome::conflict) << further;
    }
    EXPECT_EQ(put(c, edition, "other"), CallOutcome::conflict);
    // A number that nothing is known of is acknowledged and changes nothing; it too has one body then.
    EXPECT_EQ(put(b, 9, "older"), CallOutcome::accepted);
    EXPECT_EQ(world.get(c)->at("edition"), edition);
    EXPECT_EQ(world.get(c)->at("mark"), "later");
    EXPECT_EQ(put(a, 9, "old"), CallOutcome::conflict);
    EXPECT_EQ(put(a, 9, "older"), CallOutcome::accepted);
    // Restarted all at once, they know it still.
    for (const std::string& at : {a, b, c}) world.kill(at);
    for (const std::string& at : {a, b, c}) world.start(at);
    world.run(milliseconds(2000));
    EXPECT_EQ(put(b, 10, "other"), CallOutcome::conflict);
    EXPECT_EQ(put(b, edition, "later"), CallOutcome::accepted);
}

TEST(Calls, OfEightOperatorsAtOnceEndWithOneBodyANumber) {
    const unsigned seeds = seedsOr(12);
    for (unsigned seed = 0; seed < seeds; ++seed) {
        World world(3, static_cast<int>(seed % 3), seed);
        std::mt19937 chance(seed);
        world.run(milliseconds(3500));
        std::map<std::uint64_t, std::set<std::string>> taken;
        std::uint64_t highest = 0;
        for (int round = 0; round < 4; ++round) {
            struct Order {
                std::string at, mark;
                std::uint64_t edition, no;
            };
            std::vector<Order> orders;
            if (round == 2) world.cutOff(World::address(static_cast<int>(chance() % 3)), chance() % 2, false);
            for (int i = 0; i < 8; ++i) {
                const std::string at = World::address(static_cast<int>(chance() % world.members.size()));
                const std::uint64_t edition = 10u * static_cast<unsigned>(round + 1) + chance() % 4;
                const std::string mark = std::to_string(chance() % 2);
                orders.push_back({at, mark, edition, world.put(at, edition, mark)});
                world.run(milliseconds(static_cast<int>(chance() % 3)));
            }
            world.run(milliseconds(1000));
            world.heal();
            for (const Order& each : orders) {
                ASSERT_TRUE(world.answered(each.at, each.no)) << "seed " << seed;
                if (world.kind(each.at, each.no) != CallOutcome::accepted) continue;
                taken[each.edition].insert(each.mark);
                highest = std::max(highest, each.edition);
            }
            world.run(milliseconds(500));
        }
        for (const auto& [edition, marks] : taken) EXPECT_EQ(marks.size(), 1u) << seed << " " << edition;
        const auto read = world.get(a);
        ASSERT_TRUE(read) << "seed " << seed;
        EXPECT_GE(read->at("edition"), highest) << "seed " << seed;
        if (read->at("edition") == highest) {
            EXPECT_EQ(taken[highest].count(read->at("mark")), 1u) << "seed " << seed;
        }
    }
}

// What had no majority in time is sent again to the next member, as the operator does.
TEST(Calls, OfEightOperatorsAtNineMembersAreAllAcknowledgedSoon) {
    Nanoseconds longest = 0;
    for (unsigned seed = 0; seed < 3; ++seed) {
        World world(3, 6, seed);
        world.run(milliseconds(8000));
        ASSERT_EQ(world.members[a].control->state(world.now)["voters"].size(), 9u);
        struct Order {
            int member;
            std::uint64_t no = 0;
            bool taken = false;
        };
        std::vector<Order> orders;
        const Nanoseconds from = world.now;
        const auto send = [&](int i) {
            Order& order = orders[static_cast<std::size_t>(i)];
            order.no = world.put(World::address(order.member), 10u + static_cast<unsigned>(i), "x");
        };
        for (int i = 0; i < 8; ++i) orders.push_back({i}), send(i);
        for (int left = 8; left > 0 && world.now - from < milliseconds(5000); world.step())
            for (int i = 0; i < 8; ++i) {
                Order& order = orders[static_cast<std::size_t>(i)];
                const std::string at = World::address(order.member);
                if (order.taken || !world.answered(at, order.no)) continue;
                order.taken = world.kind(at, order.no) == CallOutcome::accepted;
                left -= order.taken;
                if (!order.taken) order.member = (order.member + 1) % 9, send(i);
            }
        for (const Order& order : orders) EXPECT_TRUE(order.taken) << "seed " << seed;
        longest = std::max(longest, world.now - from);
    }
    std::printf("eight orders at nine members: all within %d ms\n",
                static_cast<int>(longest / milliseconds(1)));
}

TEST(EditionLog, KeepsTheLastEditionsAndReadsWhatWasWrittenBeforeIt) {
    ConfigurationRevisions log;
    for (std::uint64_t edition = 1; edition <= 100; ++edition)
        EXPECT_EQ(log.apply({{"edition", edition}, {"b", 1}, {"a", 2}}), RevisionOutcome::applied);
    ConfigurationRevisions gaps;
    for (std::uint64_t edition = 2; edition <= 200; edition += 2) gaps.apply({{"edition", edition}});
    EXPECT_EQ(gaps.apply({{"edition", 199}, {"b", 1}}), RevisionOutcome::stale);
    EXPECT_EQ(gaps.apply({{"edition", 199}, {"b", 2}}), RevisionOutcome::conflict);
    EXPECT_EQ(gaps.toJson().at("digests").size(), ConfigurationRevisions::maxRetained);
    const Json value = log.toJson();
    EXPECT_EQ(value.at("digests").size(), ConfigurationRevisions::maxRetained);
    log = ConfigurationRevisions::fromJson(value);
    EXPECT_EQ(log.apply(Json::parse(R"({"a":2,"b":1,"edition":40})")), RevisionOutcome::duplicate);
    EXPECT_EQ(log.apply({{"edition", 40}, {"b", 1}}), RevisionOutcome::conflict);
    EXPECT_EQ(log.apply({{"edition", 2}, {"b", 1}}), RevisionOutcome::stale);
    EXPECT_EQ(log.toJson(), value);
    ConfigurationRevisions before = ConfigurationRevisions::fromJson({{"edition", 7}, {"b", 1}});
    EXPECT_EQ(before.apply({{"edition", 7}, {"b", 1}}), RevisionOutcome::duplicate);
    EXPECT_EQ(before.apply({{"edition", 7}, {"b", 2}}), RevisionOutcome::conflict);
}
}  // namespace
