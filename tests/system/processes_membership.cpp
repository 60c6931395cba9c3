// The real processes of control on loopback: a machine replaced and the next one lost, a member told to end.
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>

#include "standins/site.hpp"

namespace {
using granitereel::standins::Site;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

void startMembers(Site& site) {
    for (int i = 0; i < 3; ++i) site.start("control-" + std::to_string(i));
    ASSERT_TRUE(site.until([&] { return site.put(0, "/config", site.configuration(1)) == 200; }));
}

void kill(Site& site, const std::string& name) {
    site.signal(name, SIGKILL);
    site.end(name);
}

long since(Clock::time_point then) {
    return (Clock::now() - then) / milliseconds(1);
}

TEST(ProcessesMembership, BearALossTwoSecondsAfterASuccessorsStart) {
    Site site(3, 22000);
    startMembers(site);
    kill(site, "control-2");
    const auto died = Clock::now();
    ASSERT_TRUE(site.until([&] { return since(died) >= 1000; }));
    site.start("control-5");
    const auto started = Clock::now();
    site.logged("control-0", "core of 3 voters in epoch 3");
    RecordProperty("vote_ms", static_cast<int>(since(started)));
    std::printf("the successor votes %ld ms after its start\n", since(started));
    ASSERT_TRUE(site.until([&] { return since(started) >= 2000; }));
    kill(site, "control-1");
    const auto lost = Clock::now();
    ASSERT_TRUE(site.until([&] { return site.put(5, "/config", site.configuration(2)) == 200; }, 1000));
    ASSERT_TRUE(site.until([&] { return site.put(0, "/config", site.configuration(3)) == 200; }, 1000));
    std::printf("two configurations taken %ld ms after the second loss\n", since(lost));
}

TEST(ProcessesMembership, LoseNothingWhenALeavingMemberIsKilled) {
    Site site(3, 22100);
    startMembers(site);
    int edition = 1;
    for (int round = 0; round < 4; ++round) {
        ASSERT_EQ(site.put(1, "/config", site.configuration(++edition, "kept")), 200);
        site.signal("control-1", SIGTERM);
        site.logged("control-1", "told to end: handing over");
        kill(site, "control-1");
        site.start("control-1");
        site.logged("control-1", "control serves at");
        // With the disk it votes again: it and one other are a majority.
        kill(site, "control-0");
        EXPECT_TRUE(site.until([&] { return site.put(1, "/config", site.configuration(1)) == 200; }, 3000));
        site.start("control-0");
        EXPECT_TRUE(site.until([&] { return site.put(0, "/config", site.configuration(1)) == 200; }, 3000));
    }
    site.start("agent");
    site.start("proxy");
    site.logged("proxy", "configuration " + std::to_string(edition) + " in force");
}

TEST(ProcessesMembership, LeaveInOrderWithinASecond) {
    Site site(3, 22200);
    startMembers(site);
    site.start("control-5");
    site.logged("control-5", "joined the core without a vote");
    site.signal("control-1", SIGTERM);
    const auto told = Clock::now();
    EXPECT_EQ(site.end("control-1"), 0);
    std::printf("left after %ld ms, with a successor there\n", since(told));
    EXPECT_LT(since(told), 2000);
    // The successor's vote counts, without the one that left.
    kill(site, "control-0");
    EXPECT_TRUE(site.until([&] { return site.put(5, "/config", site.configuration(2)) == 200; }, 2000));
}
}  // namespace
