// Succession of a service's lead under the owner's death between any two steps.
#include <gtest/gtest.h>

#include "standins/succession_rig.hpp"

namespace {
using namespace granitereel;
using namespace granitereel::control;
using Rule = standins::SuccessionRig;
using standins::settleDown;

TEST(Succession, LosesNothingWhicheverReplicaIsFurther) {
    for (const char* ahead : {"s1", "s2"}) {
        Rule rule;
        Failover owner("m1", "svc", milliseconds(900), rule);
        Nanoseconds now = milliseconds(10'000);
        owner.setOwner(true, now);
        settleDown(rule, owner, now, milliseconds(500));
        ASSERT_TRUE(rule.lead && rule.lead->settled);
        rule.databases.deaf(ahead[1] == '1' ? "s2" : "s1", true);
        for (int i = 0; i < 5; ++i) rule.write("w" + std::to_string(i));
        ASSERT_EQ(rule.acknowledged.size(), 5u);
        rule.databases.dark("s0", true);
        owner.primarySuspected("s0", now);
        settleDown(rule, owner, now, milliseconds(4000));
        EXPECT_EQ(rule.databases.lead(), ahead);
        ASSERT_TRUE(rule.lead->settled);
        EXPECT_EQ(rule.lead->store, ahead);
        for (const std::string& id : rule.acknowledged) EXPECT_EQ(rule.databases.effects(id), 1) << id;
    }
}

TEST(Succession, WaitsForTheReplicaThatMayHoldTheLastCommit) {
    Rule rule;
    Failover owner("m1", "svc", milliseconds(900), rule);
    Nanoseconds now = milliseconds(10'000);
    owner.setOwner(true, now);
    settleDown(rule, owner, now, milliseconds(500));
    rule.databases.deaf("s2", true);
    rule.write("w1");
    rule.databases.dark("s0", true);
    rule.databases.dark("s1", true);  // the one that has it
    owner.primarySuspected("s0", now);
    settleDown(rule, owner, now, milliseconds(6000));
    EXPECT_EQ(rule.databases.lead(), "s0");
    EXPECT_EQ(rule.highestFence, 0u);
    rule.databases.dark("s1", false);
    settleDown(rule, owner, now, milliseconds(4000));
    EXPECT_EQ(rule.databases.lead(), "s1");
    EXPECT_EQ(rule.databases.effects("w1"), 1);
}

TEST(Succession, PromotesNothingForAFalseAlarm) {
    Rule rule;
    Failover owner("m1", "svc", milliseconds(900), rule);
    Nanoseconds now = milliseconds(10'000);
    owner.setOwner(true, now);
    settleDown(rule, owner, now, milliseconds(500));
    for (int i = 0; i < 20; ++i) {
        owner.primarySuspected("s0", now);
        settleDown(rule, owner, now, milliseconds(250));
    }
    EXPECT_EQ(rule.lead->fencingToken, 0u);
    // It is silent for a while, and back before anyone could be promoted: it leads on, and its replicas
    // receive.
    rule.databases.dark("s0", true);
    owner.primarySuspected("s0", now);
    settleDown(rule, owner, now, milliseconds(500));
    rule.databases.dark("s0", false);
    settleDown(rule, owner, now, milliseconds(3000));
    EXPECT_EQ(rule.databases.lead(), "s0");
    EXPECT_TRUE(rule.lead->settled);
    rule.write("w1");
    EXPECT_EQ(rule.acknowledged.size(), 1u);
}

TEST(Succession, PassesOnAPlannedLeadWithoutCuttingAnythingBack) {
    Rule rule;
    Failover owner("m1", "svc", milliseconds(900), rule);
    Nanoseconds now = milliseconds(10'000);
    owner.setOwner(true, now);
    settleDown(rule, owner, now, milliseconds(500));
    rule.beat("s0", "winding_down");
    for (int i = 0; i < 60; ++i) {
        rule.write("w" + std::to_string(i));
        settleDown(rule, owner, now, milliseconds(50));
        // The platform's list follows who leads, and s0 still winds down.
        if (i == 30) rule.beat("s0", "winding_down");
    }
    settleDown(rule, owner, now, milliseconds(2000));
    EXPECT_NE(rule.databases.lead(), "s0");
    EXPECT_TRUE(rule.lead->settled);
    EXPECT_GT(rule.acknowledged.size(), 55u);
    for (const std::string& id : rule.acknowledged) EXPECT_EQ(rule.databases.effects(id), 1) << id;
    rule.write("last");
    EXPECT_EQ(rule.acknowledged.back(), "last");  // nobody is left paused
}

// The owner dies after each number of steps, with its last answer heard or not; another takes over, and the
// dead one's calls come late.
TEST(Succession, SurvivesTheOwnersDeathBetweenAnyTwoSteps) {
    int tried = 0;
    for (const bool planned : {false, true})
        for (const bool answers : {true, false})
            for (int steps = 0; steps < 14; ++steps) {
                Rule rule;
                Nanoseconds now = milliseconds(10'000);
                auto first = std::make_unique<Failover>("m1", "svc", milliseconds(900), rule);
                first->setOwner(true, now);
                settleDown(rule, *first, now, milliseconds(500));
                rule.databases.deaf("s2", true);
                for (int i = 0; i < 4; ++i) rule.write("w" + std::to_string(i));
                rule.databases.deaf("s2", planned);
                if (planned)
                    rule.databases.deaf("s2", false), rule.beat("s0", "winding_down");
                else
                    rule.databases.dark("s0", true), first->primarySuspected("s0", now);
                int left = steps;
                Outputs late;
                for (int i = 0; i < 80 && left > 0; ++i, now += milliseconds(50)) {
                    first->tick(now);
                    if (left == 1) {
                        rule.serve(*first, now, 1, answers);
                        left = 0;
                    } else {
                        left -= rule.serve(*first, now, left - 1);
                    }
                }
                late = std::exchange(rule.out, {});
                first.reset();
                Failover second("m2", "svc", milliseconds(900), rule);
                second.setOwner(true, now);
                if (!planned) second.primarySuspected("s0", now);
                settleDown(rule, second, now, milliseconds(500));
                // What the dead one had still on its way comes late: an older fence changes nothing.
                const std::string leads = rule.databases.lead();
                for (Output& each : late)
                    if (auto* post = std::get_if<ToPlatform>(&each);
                        post && post->fence < rule.highestFence) {
                        rule.out.push_back(*post);
                        rule.serve(second, now);
                        EXPECT_EQ(rule.databases.lead(), leads);
                    }
                if (!planned) second.primarySuspected("s0", now);
                settleDown(rule, second, now, milliseconds(9000));
                if (!planned && rule.lead && rule.lead->store == "s0") second.primarySuspected("s0", now);
                settleDown(rule, second, now, milliseconds(5000));
                ASSERT_TRUE(rule.lead && rule.lead->settled) << planned << answers << steps;
                EXPECT_NE(rule.databases.lead(), "s0") << planned << answers << steps;
                EXPECT_EQ(rule.lead->store, rule.databases.lead()) << planned << answers << steps;
                for (const std::string& id : rule.acknowledged)
                    EXPECT_EQ(rule.databases.effects(id), 1) << id << planned << answers << steps;
                rule.write("after");
                EXPECT_EQ(rule.acknowledged.back(), "after") << planned << answers << steps;
                ++tried;
            }
    EXPECT_EQ(tried, 56);
}
}  // namespace
