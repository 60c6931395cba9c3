// An agent whose parent has lost contact with the core finds another in time, whatever it remembers of the
// others: first its state machine alone, then the real processes on loopback.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>

#include "agent/agent.hpp"
#include "gossip/messages.hpp"
#include "standins/site.hpp"

namespace {
using granitereel::milliseconds;
using granitereel::Nanoseconds;
using granitereel::agent::Agent;
using granitereel::standins::Site;
using granitereel::standins::WireClient;

// How long after its acknowledgement a configuration may not be in force yet.
constexpr auto inForceWithin = std::chrono::milliseconds(3'000);

granitereel::settings::Settings agentSettings() {
    granitereel::settings::Settings settings;
    settings.station = "proxy-1";
    settings.ip = "10.1.0.8";
    settings.district = "here";
    settings.seeds = {"10.1.0.1:8782", "10.1.0.2:8782", "10.1.0.3:8782"};
    return settings;
}

// An agent that is linked to the first seed, which gives a lease of 700 ms to each question while told to.
struct LinkedAgent {
    Nanoseconds now = milliseconds(1'000'000);
    Agent agent{agentSettings(), now};
    bool parentHasLease = true, parentTellsBoard = true;

    void link(const std::string& address) { agent.setParentLink(1, address, now); }
    void pass(Nanoseconds time) {
        for (const Nanoseconds end = now + time; now < end; now += milliseconds(100)) {
            agent.tick(now);
            for (const Agent::OutgoingMessage& said : agent.takeOutgoing()) answer(said);
        }
    }
    void answer(const Agent::OutgoingMessage& said) {
        if (said.message["k"] == granitereel::gossip::Inventory::kind && parentTellsBoard)
            agent.receive(said.link,
                          granitereel::gossip::ExchangeComplete{said.message["exchange"], 0}.toJson(), now);
        if (said.message["k"] != granitereel::gossip::LeaseRequest::kind) return;
        const Nanoseconds left = parentHasLease ? milliseconds(700) : 0;
        const auto number = granitereel::gossip::LeaseRequest::fromJson(said.message).number;
        agent.receive(said.link, granitereel::gossip::LeaseReply{number, left, {}}.toJson(), now);
    }
    // The agent itself was cut off for so long that each address failed often.
    void allFailed() {
        for (int dial = 0; dial < 6; ++dial)
            for (const char* address : {"10.1.0.1", "10.1.0.2", "10.1.0.3"}) agent.backOff(address, now);
    }
};

TEST(Parents, AreSoughtAmongThoseThatFailedBeforeOnceThePresentOneHasNoLease) {
    LinkedAgent rig;
    rig.allFailed();
    rig.link("10.1.0.1");
    rig.pass(milliseconds(2'000));
    EXPECT_EQ(rig.agent.betterParent(), "");
    rig.parentHasLease = false;
    rig.pass(milliseconds(1'200));
    const std::string next = rig.agent.betterParent();
    EXPECT_TRUE(next == "10.1.0.2" || next == "10.1.0.3") << "to be tried: '" << next << "'";
}

// What the agent dials, at the times of its ticks.
std::vector<std::string> dialled(LinkedAgent& rig, Nanoseconds time) {
    std::vector<std::string> all;
    for (const Nanoseconds end = rig.now + time; rig.now < end;) {
        if (const auto address = rig.agent.nextDial(rig.now)) {
            all.push_back(*address);
            rig.agent.dialFailed(*address, rig.now);
        }
        rig.pass(milliseconds(100));
    }
    return all;
}

TEST(Parents, AreAllTriedWithinASecondOfASearchAndNoneBefore) {
    LinkedAgent rig;
    rig.allFailed();
    rig.link("10.1.0.1");
    EXPECT_EQ(dialled(rig, milliseconds(1'500)), std::vector<std::string>());
    rig.parentHasLease = false;
    rig.pass(milliseconds(1'000));
    const auto tried = dialled(rig, milliseconds(1'000));
    ASSERT_GE(tried.size(), 2u);
    EXPECT_LE(tried.size(), 5u);  // slower once all have been tried
    EXPECT_NE(tried[0], tried[1]);
    EXPECT_EQ(std::count(tried.begin(), tried.end(), "10.1.0.1"), 0);
    EXPECT_EQ(rig.agent.violations(), 0u);
}

TEST(Parents, ThatAreLinkedBesideThePresentOneAreTakenOnlyWithALease) {
    LinkedAgent rig;
    rig.link("10.1.0.1");
    rig.pass(milliseconds(500));
    rig.parentHasLease = false;
    rig.pass(milliseconds(1'200));
    const auto reply = [&](int link, Nanoseconds left) {
        rig.agent.receive(link, granitereel::gossip::LeaseReply{0, left, {}, 0}.toJson(), rig.now);
    };
    ASSERT_EQ(rig.agent.nextDial(rig.now), "10.1.0.2");
    rig.agent.dialSucceeded(2, "10.1.0.2", rig.now);
    reply(2, 0);
    EXPECT_EQ(rig.agent.takeLinksToClose(), std::vector<int>{2});
    rig.pass(milliseconds(100));
    ASSERT_EQ(rig.agent.nextDial(rig.now), "10.1.0.3");
    rig.agent.dialSucceeded(3, "10.1.0.3", rig.now);
    reply(3, milliseconds(400));
    EXPECT_EQ(rig.agent.takeLinksToClose(), std::vector<int>{1});  // the former parent
    rig.parentHasLease = true;
    rig.pass(milliseconds(300));
    EXPECT_GT(rig.agent.leaseUntil(), rig.now);
}

// One that says nothing is given up, and frees its place for others.
TEST(Parents, ThatSayNothingAreGivenUp) {
    LinkedAgent rig;
    rig.link("10.1.0.1");
    rig.parentHasLease = false;
    rig.pass(milliseconds(1'000));
    int link = 1;
    for (int round = 0; round < 8; ++round) {
        if (const auto address = rig.agent.nextDial(rig.now))
            rig.agent.dialSucceeded(++link, *address, rig.now);
        rig.pass(milliseconds(1'000));
        EXPECT_EQ(rig.agent.takeLinksToClose(), std::vector<int>{link}) << round;
    }
    EXPECT_EQ(rig.agent.violations(), 0u);
}

// A lease counts only with the board behind it: a parent that gives the one without the other is of no use.
TEST(Parents, ThatGiveLeasesAndTellNothingAreLeft) {
    LinkedAgent rig;
    rig.parentTellsBoard = false;
    rig.link("10.1.0.1");
    rig.pass(milliseconds(2'500));
    EXPECT_LE(rig.agent.leaseUntil(), rig.now);
    EXPECT_EQ(rig.agent.betterParent(), "10.1.0.2");
}

// A parent that gave no lease has been tried, also once its link is gone.
TEST(Parents, ThatAreLostDuringASearchCountAsTried) {
    LinkedAgent rig;
    rig.link("10.1.0.1");
    rig.pass(milliseconds(500));
    rig.parentHasLease = false;
    rig.pass(milliseconds(1'000));
    dialled(rig, milliseconds(2'900));
    rig.agent.linkClosed(1, rig.now);
    rig.pass(milliseconds(200));
    EXPECT_EQ(rig.agent.violations(), 0u);
}

TEST(Parents, BackedOffSinceAllWereAwayAreTriedOnceOneIsBack) {
    LinkedAgent rig;
    rig.agent.linkClosed(1, rig.now);
    EXPECT_GE(dialled(rig, milliseconds(7'000)).size(), 30u);
    rig.link("10.1.0.3");
    rig.pass(milliseconds(600));
    EXPECT_EQ(rig.agent.betterParent(), "10.1.0.1");
}

bool serves(Site& site, const std::string& database) {
    WireClient client(site.frontAddress(), database);
    const auto lines = client.ask("QUERY p" + std::to_string(std::rand()) + " READ x");
    return !lines.empty() && lines.front().starts_with("ROW");
}

TEST(Parents, OfRealProcessesAreLeftInTimeAfterAllWereAway) {
    Site site(3, 21900);
    const std::vector<std::string> control{"control-0", "control-1", "control-2"};
    site.districts = {{"control-1", "elsewhere"}, {"control-2", "elsewhere"}};
    for (const std::string& member : control) site.start(member);
    site.start("agent");
    site.start("proxy");
    ASSERT_TRUE(site.until([&] { return site.put(0, "/config", site.configuration(1)) == 200; }));
    ASSERT_TRUE(site.until([&] { return site.ready() == 200; }));
    // All of control is away for a while, so that each dial of the agent fails; the near member is back
    // first.
    for (const std::string& member : control) site.signal(member, SIGKILL);
    for (const std::string& member : control) site.end(member);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    const std::size_t linesBefore = site.lines("agent");
    site.start("control-0");
    site.logged("agent", "news comes from", linesBefore);
    for (const char* member : {"control-1", "control-2"}) site.start(member);
    ASSERT_TRUE(site.until([&] { return site.put(0, "/config", site.configuration(2)) == 200; }));
    site.logged("proxy", "configuration 2 in force");
    // The near member stands still; the other two go on.
    site.signal("control-0", SIGSTOP);
    ASSERT_TRUE(site.until([&] { return site.put(1, "/config", site.configuration(3, "added")) == 200; }));
    const auto acknowledged = std::chrono::steady_clock::now();
    EXPECT_TRUE(site.until([&] { return serves(site, "added"); }, static_cast<int>(inForceWithin.count())));
    const auto took = std::chrono::steady_clock::now() - acknowledged;
    RecordProperty("in_force_ms", static_cast<int>(took / std::chrono::milliseconds(1)));
    site.signal("control-0", SIGCONT);
}
}  // namespace
