// The real processes on loopback, among stand-in stores and a platform: served, killed, stopped, wiped, told
// to end.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

#include "standins/site.hpp"

namespace {
using granitereel::standins::Databases;
using granitereel::standins::Site;
using granitereel::standins::WireClient;
using Lines = std::vector<std::string>;

std::string first(const Lines& lines) {
    return lines.empty() ? "" : lines.front();
}

void startAll(Site& site, int members) {
    for (int i = 0; i < members; ++i) site.start("control-" + std::to_string(i));
    site.start("agent");
    site.start("proxy");
    ASSERT_TRUE(site.until([&] { return site.put(0, "/config", site.configuration(1)) == 200; }));
    ASSERT_TRUE(site.until([&] { return site.ready() == 200; }));
    ASSERT_TRUE(site.until([&] {
        WireClient client(site.frontAddress(), "primary");
        return first(client.ask("QUERY warm" + std::to_string(std::rand()) + " READ x")).starts_with("ROW");
    }));
}

TEST(Processes, ServeTakeChangesAndEndInOrder) {
    Site site(3, 21000);
    startAll(site, 3);
    WireClient client(site.frontAddress(), "primary");
    EXPECT_EQ(first(client.ask("QUERY b1 BEGIN")), "DONE -");
    EXPECT_EQ(first(client.ask("QUERY w1 WRITE x 1")).substr(0, 4), "DONE");
    EXPECT_EQ(first(client.ask("QUERY c1 COMMIT")).substr(0, 4), "DONE");
    // Pipelined, in one write and cut in the middle.
    client.send("QUERY p1 WRITE x 1\r\nQUERY p2 REA");
    client.send("D x\r\n");
    EXPECT_EQ(first(client.answer()).substr(0, 4), "DONE");
    EXPECT_EQ(first(client.answer()).substr(0, 3), "ROW");
    // A message without end is told so and let go; others notice nothing.
    WireClient endless(site.frontAddress(), "primary");
    endless.send("QUERY e1 WRITE x " + std::string(1'100'000, 'y'));
    EXPECT_EQ(first(endless.answer()), "");
    EXPECT_EQ(first(client.ask("QUERY r1 READ x")).substr(0, 3), "ROW");
    // A route comes, is refused in a broken form, and an older version changes nothing.
    EXPECT_EQ(site.put(1, "/config", "{\"edition\": 9"), 400);
    EXPECT_EQ(site.put(1, "/config", site.configuration(2, "added")), 200);
    EXPECT_EQ(site.put(2, "/config", site.configuration(1)), 200);
    EXPECT_TRUE(site.until([&] {
        WireClient added(site.frontAddress(), "added");
        return first(added.ask("QUERY a" + std::to_string(std::rand()) + " READ x")).starts_with("ROW");
    }));
    site.signal("proxy", SIGHUP);
    site.signal("agent", SIGHUP);
    EXPECT_EQ(first(client.ask("QUERY r2 READ x")).substr(0, 3), "ROW");
    EXPECT_EQ(site.with([](Databases& d) { return d.effects("w1") + d.effects("p1"); }), 2);
    site.signal("proxy", SIGTERM);
    site.signal("agent", SIGTERM);
    EXPECT_EQ(first(client.ask("QUERY r3 READ x")).substr(0, 3), "ROW");
    EXPECT_EQ(site.end("proxy"), 0);
    EXPECT_EQ(site.end("agent"), 0);
    for (int i = 0; i < 3; ++i) {
        site.signal("control-" + std::to_string(i), SIGTERM);
        EXPECT_EQ(site.end("control-" + std::to_string(i)), 0);
    }
}

TEST(Processes, PassTheLeadOnWhenThePrimaryGoesDark) {
    Site site(3, 21100);
    startAll(site, 3);
    WireClient client(site.frontAddress(), "primary");
    std::vector<std::string> acknowledged;
    auto write = [&](const std::string& id) {
        const bool done = first(client.ask("QUERY " + id + " WRITE x 1")).starts_with("DONE");
        if (done) acknowledged.push_back(id);
        return done;
    };
    for (int i = 0; i < 20; ++i) write("w" + std::to_string(i));
    site.with([](Databases& d) { return d.deaf("s1", true), 0; });
    for (int i = 20; i < 40; ++i) write("w" + std::to_string(i));
    EXPECT_EQ(acknowledged.size(), 40u);
    site.with([](Databases& d) { return d.dark("s0", true), d.deaf("s1", false), 0; });
    const auto died = std::chrono::steady_clock::now();
    int tries = 0;
    ASSERT_TRUE(site.until([&] { return write("x" + std::to_string(++tries)); }));
    const auto gap = std::chrono::steady_clock::now() - died;
    EXPECT_LT(gap, std::chrono::seconds(8));
    RecordProperty("gap_ms", static_cast<int>(gap / std::chrono::milliseconds(1)));
    EXPECT_EQ(site.promotions.load(), 1);
    for (const std::string& id : acknowledged)
        EXPECT_EQ(site.with([&](Databases& d) { return d.effects(id); }), 1) << id;
    // The old one returns as a replica, and nothing of what it did not acknowledge is doubled.
    site.with([](Databases& d) { return d.dark("s0", false), 0; });
    EXPECT_TRUE(write("last"));
    for (int i = 1; i < tries; ++i)
        EXPECT_LE(site.with([&](Databases& d) { return d.effects("x" + std::to_string(i)); }), 1);
}

TEST(Processes, KeepWhatWasAcknowledgedThroughKillsAndALostDisk) {
    Site site(3, 21200);
    startAll(site, 3);
    ASSERT_EQ(site.put(0, "/config", site.configuration(5, "kept")), 200);
    site.signal("control-0", SIGKILL);
    site.end("control-0");
    site.wipe("control-0");
    for (const char* name : {"control-1", "control-2"}) {
        site.signal(name, SIGKILL);
        site.end(name);
    }
    for (int i = 0; i < 3; ++i) site.start("control-" + std::to_string(i));
    site.logged("control-0", "votes again");
    // An older version is acknowledged and changes nothing: what was acknowledged still stands.
    ASSERT_TRUE(site.until([&] { return site.put(0, "/config", site.configuration(4)) == 200; }));
    site.signal("proxy", SIGKILL);
    site.signal("agent", SIGKILL);
    site.end("proxy");
    site.end("agent");
    site.start("proxy");
    site.start("agent");
    site.logged("proxy", "configuration 5 in force");
    EXPECT_TRUE(site.until([&] {
        WireClient client(site.frontAddress(), "kept");
        return first(client.ask("QUERY k" + std::to_string(std::rand()) + " READ x")).starts_with("ROW");
    }));
}

TEST(Processes, GoOnWithoutTheirAgentAndWithoutControl) {
    Site site(3, 21300);
    startAll(site, 3);
    WireClient client(site.frontAddress(), "primary");
    site.signal("agent", SIGKILL);
    site.end("agent");
    for (int i = 0; i < 3; ++i) site.signal("control-" + std::to_string(i), SIGSTOP);
    for (int i = 0; i < 30; ++i) {
        EXPECT_EQ(first(client.ask("QUERY w" + std::to_string(i) + " WRITE x 1")).substr(0, 4), "DONE") << i;
        EXPECT_EQ(first(client.ask("QUERY r" + std::to_string(i) + " READ x")).substr(0, 3), "ROW") << i;
    }
    EXPECT_EQ(site.ready(), 200);
    for (int i = 0; i < 3; ++i) site.signal("control-" + std::to_string(i), SIGCONT);
    site.start("agent");
    EXPECT_TRUE(site.until([&] { return site.put(1, "/config", site.configuration(7, "late")) == 200; }));
    site.logged("proxy", "configuration 7 in force");
}

// Behind the end of the last lease a write's success is told by what the replicas say; a write that one of
// them lacks stays in doubt.
TEST(Processes, TellWritesByTheirReplicasWhileControlIsAway) {
    Site site(3, 21400);
    startAll(site, 3);
    WireClient client(site.frontAddress(), "primary");
    for (int i = 0; i < 3; ++i) site.signal("control-" + std::to_string(i), SIGSTOP);
    const auto stopped = std::chrono::steady_clock::now();
    int told = 0;
    while (std::chrono::steady_clock::now() - stopped < std::chrono::milliseconds(3000)) {
        EXPECT_EQ(first(client.ask("QUERY w" + std::to_string(told) + " WRITE x 1")).substr(0, 4), "DONE");
        ++told;
    }
    EXPECT_GT(told, 10);
    site.with([](Databases& d) { return d.deaf("s2", true), 0; });
    EXPECT_EQ(first(client.ask("QUERY alone WRITE x 1")).substr(0, 13), "ERROR INDOUBT");
    EXPECT_EQ(site.with([](Databases& d) { return d.effects("alone"); }), 1);
    site.with([](Databases& d) { return d.deaf("s2", false), 0; });
    EXPECT_EQ(first(client.ask("QUERY both WRITE x 1")).substr(0, 4), "DONE");
    for (int i = 0; i < 3; ++i) site.signal("control-" + std::to_string(i), SIGCONT);
    EXPECT_TRUE(site.until([&] { return site.put(1, "/config", site.configuration(7, "late")) == 200; }));
}
// A signal that comes before a member is ready for it is no reason to end.
TEST(Processes, StayWhenToldToReadTheirSettingsWhileTheyWaitForTheirDisk) {
    Site site(3, 21500);
    const std::string unreadable = site.dataPath("control-0") + "/identity";
    std::filesystem::create_directories(unreadable);
    site.start("control-0");
    site.logged("control-0", "waiting for the disk");
    site.signal("control-0", SIGHUP);
    EXPECT_FALSE(site.until([&] { return !site.process("control-0").running(); }, 300));
    std::filesystem::remove(unreadable);
    site.logged("control-0", "control serves");
}
}  // namespace
