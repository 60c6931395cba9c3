// What is read from outside: the wire's lines, settings, configurations, positions; and the agent's choice of
// parents.
#include <gtest/gtest.h>

#include <fstream>

#include "agent/agent.hpp"
#include "gossip/record_replicator.hpp"
#include "proxy/commit_horizon.hpp"
#include "proxy/wire.hpp"
#include "settings/settings.hpp"

namespace {
using namespace granitereel;
using proxy::CommitHorizon;
using proxy::parseStatement;
using Kind = proxy::Statement::Kind;

TEST(Wire, ReadsEachTextAndNothingElse) {
    const std::pair<const char*, Kind> texts[] = {{"BEGIN", Kind::begin},
                                                  {"BEGIN READ", Kind::beginRead},
                                                  {"COMMIT", Kind::commit},
                                                  {"ABORT", Kind::abort},
                                                  {"READ a b", Kind::read},
                                                  {"WRITE a b c", Kind::write},
                                                  {"SET n v w", Kind::set},
                                                  {"PARSE s READ x y", Kind::parse},
                                                  {"EXECUTE s t d", Kind::execute},
                                                  {"CLOSE s", Kind::close},
                                                  {"BEGIN WRITE", Kind::malformed},
                                                  {"COMMIT now", Kind::malformed},
                                                  {"PARSE s READ", Kind::malformed},
                                                  {"EXECUTE s", Kind::malformed},
                                                  {"", Kind::malformed},
                                                  {"STATUS", Kind::malformed},
                                                  {"PAUSE 3", Kind::malformed},
                                                  {"AFTER 1.1 READ x", Kind::malformed},
                                                  {"RESET", Kind::malformed}};
    for (const auto& [text, kind] : texts) EXPECT_EQ(parseStatement("q", text).kind, kind) << text;
    EXPECT_EQ(parseStatement("q", "PARSE s WRITE x y").value, "x y");
    EXPECT_EQ(parseStatement("q", "EXECUTE s t d e").argument, "t d e");
    EXPECT_EQ(proxy::parseError("LAGGING"), proxy::Error::lagging);
    EXPECT_EQ(proxy::parseError("SOMETHING"), proxy::Error::other);
}

TEST(Marks, CompareByTermFirst) {
    EXPECT_LT(*parseLogPosition("2.900"), *parseLogPosition("3.1"));
    for (const char* bad : {"", "-", "3", "3.", ".4", "3.4.5", "a.b", "3.4x"})
        EXPECT_FALSE(parseLogPosition(bad)) << bad;
    EXPECT_EQ(toString(*parseLogPosition("3.1207")), "3.1207");
}

TEST(CommitHorizon, CoversWhatWasAcknowledgedBefore) {
    CommitHorizon horizon;
    EXPECT_FALSE(horizon.positionCovering(0));
    horizon.observe({1, 10}, milliseconds(1000));
    horizon.observe(
        {1, 8},
        milliseconds(1100));  // overtaken on its way: shows less, and covers as much as the one before
    horizon.observe({1, 20}, milliseconds(1200));
    horizon.observe({2, 21}, milliseconds(1300));
    EXPECT_EQ(*horizon.positionCovering(milliseconds(900)), (LogPosition{1, 10}));
    EXPECT_EQ(*horizon.positionCovering(milliseconds(1100)), (LogPosition{1, 10}));
    EXPECT_EQ(*horizon.positionCovering(milliseconds(1101)), (LogPosition{1, 20}));
    EXPECT_FALSE(horizon.positionCovering(milliseconds(1301)));
    EXPECT_EQ(*horizon.positionCovering(milliseconds(900), 2), (LogPosition{2, 21}));
    EXPECT_EQ(*horizon.coveredUntil({1, 15}), milliseconds(1100));
    EXPECT_FALSE(horizon.coveredUntil({1, 9}));
    EXPECT_EQ(*horizon.coveredUntil({3, 1}), milliseconds(1300));
}

std::string settings(const std::string& text) {
    const std::string path = testing::TempDir() + "local.toml";
    std::ofstream(path) << text;
    return path;
}

TEST(Settings, SaysWhatIsWrongAndWhere) {
    const std::string sound =
        "station = \"a\"\nip_addr = \"10.0.0.1\"\ndistrict = \"d\"\nspare_ports = [7000, 7010]\n"
        "seed_list = [\"10.0.0.2:80\"]\nnovelty = 3\n[guarantees]\ngrace_s = 2.5\n";
    const auto read = settings::read(settings(sound));
    EXPECT_EQ(read.station, "a");
    EXPECT_EQ(read.shutdownGrace_ms, 2500);
    auto fault = [](const std::string& text) -> std::string {
        try {
            settings::read(settings(text));
        } catch (const settings::InvalidSettings& unusable) {
            return unusable.what();
        }
        return "none";
    };
    EXPECT_NE(fault(sound + "station = \n").find("line 9"), std::string::npos)
        << fault(sound + "station = \n");
    EXPECT_NE(fault("ip_addr = \"x\"\n").find("'station'"), std::string::npos);
    std::string ports = sound;
    ports.replace(ports.find("[7000, 7010]"), 12, "[7010, 7000]");
    EXPECT_NE(fault(ports).find("spare_ports"), std::string::npos);
    EXPECT_NE(fault("station = 3\n").find("another type"), std::string::npos);
}

// Two boards over a link that may lose what is under way with itself: a snapshot and changes bring them
// together, by patches where both hold the version before and by the whole where not.
TEST(Gossip, BringsTogetherBySnapshotAndChanges) {
    std::vector<std::pair<int, nlohmann::json>> fromA, fromB;
    int newsAtB = 0;
    gossip::RecordReplicator a([&](int link, auto message) { fromA.emplace_back(link, message); },
                               [](auto&, auto&) {});
    gossip::RecordReplicator b([&](int link, auto message) { fromB.emplace_back(link, message); },
                               [&](auto&, auto&) { ++newsAtB; });
    nlohmann::json body;
    for (int i = 0; i < 200; ++i)
        body["routes"]["r" + std::to_string(i)] = {{"deadline_ms", i}, {"depot", "d"}};
    a.put("config", {{1, 0}, body});
    a.addLink(1, gossip::Side::acceptor), b.addLink(1, gossip::Side::dialler);
    auto exchange = [&](bool lose = false) {
        std::size_t bytes = 0;
        while (!fromA.empty() || !fromB.empty()) {
            for (auto& [link, message] : std::exchange(fromA, {})) {
                bytes += message.dump().size();
                if (!lose) b.receive(1, message);
            }
            for (auto& [link, message] : std::exchange(fromB, {})) a.receive(1, message);
        }
        return bytes;
    };
    const std::size_t whole = exchange();
    body["routes"]["r7"]["deadline_ms"] = 999;
    a.put("config", {{2, 0}, body});
    EXPECT_LT(exchange(), whole / 10);
    EXPECT_EQ(b.recordTable().find("config")->body, body);
    body["routes"]["r8"]["deadline_ms"] = 999;
    a.put("config", {{3, 0}, body});
    exchange(true);
    body["routes"].erase("r9");
    a.put("config", {{4, 0}, body});
    exchange();  // the patch from 3 does not fit: the whole is asked for
    EXPECT_EQ(b.recordTable().find("config")->body, body);
    a.put("config", {{3, 0}, nullptr});  // older: nothing happens
    exchange();
    EXPECT_EQ(b.recordTable().find("config")->body, body);
    EXPECT_EQ(newsAtB, 3);
}

TEST(Agent, PrefersItsDistrictAndLeavesParentsWithoutALease) {
    settings::Settings s;
    s.station = "proxy-1";
    s.ip = "10.0.0.9";
    s.district = "here";
    s.seeds = {"10.1.0.1:80", "10.2.0.1:80"};
    Nanoseconds now = milliseconds(1000);
    agent::Agent agent(s, now);
    EXPECT_EQ(agent.rankedParents().size(), 2u);
    auto news = [&](const std::string& name, const char* ip, const char* district) {
        agent.receive(5,
                      {{"k", "news"},
                       {"r", {{{"n", name}, {"v", {1, 0}}, {"b", {{"ip", ip}, {"district", district}}}}}}},
                      now);
    };
    agent.setParentLink(5, "10.1.0.1", now);
    news("member/10.1.0.1:80", "10.1.0.1", "far");
    news("member/10.2.0.1:80", "10.2.0.1", "here");
    EXPECT_EQ(agent.betterParent(), "10.2.0.1");
    agent.setParentLink(6, "10.2.0.1", now);
    EXPECT_EQ(agent.betterParent(), "");
    // Its exchange with the parent is complete before the lease counts (tests/system/gossip.cpp).
    for (const auto& said : agent.takeOutgoing())
        if (said.link == 6 && said.message["k"] == gossip::Inventory::kind)
            agent.receive(6, gossip::ExchangeComplete{said.message["exchange"], 0}.toJson(), now);
    for (int i = 0; i < 5; ++i) {
        agent.tick(now += milliseconds(200));
        for (const auto& said : agent.takeOutgoing())
            if (said.message["k"] == "lease?")
                agent.receive(6,
                              {{"k", "lease"},
                               {"t", said.message["t"]},
                               {"left", 600'000},
                               {"c", nlohmann::json::object()}},
                              now);
    }
    EXPECT_EQ(agent.leaseUntil(), now + milliseconds(600));
    for (int i = 0; i < 6; ++i) agent.tick(now += milliseconds(200));
    EXPECT_LT(agent.leaseUntil(), now);
    EXPECT_EQ(agent.betterParent(), "10.1.0.1");
    // Where no member is in the district, its agents agree on who holds a link out of it; each further one
    // hangs on one of those, and no two on each other.
    std::map<std::string, std::vector<std::string>> chosen;
    for (int i = 0; i < 9; ++i) {
        settings::Settings each = s;
        each.station = "proxy-" + std::to_string(i), each.ip = "10.0.0." + std::to_string(i),
        each.district = "lonely";
        agent::Agent it(each, now);
        for (int j = 0; j < 9; ++j)
            it.receive(1,
                       {{"k", "news"},
                        {"r",
                         {{{"n", "front/proxy-" + std::to_string(j)},
                           {"v", {9, 0}},
                           {"b", {{"ip", "10.0.0." + std::to_string(j)}, {"district", "lonely"}}}}}}},
                       now);
        chosen[each.ip] = it.rankedParents();
    }
    int out = 0;
    for (const auto& [ip, parents] : chosen) {
        const bool far = parents.front().starts_with("10.1.") || parents.front().starts_with("10.2.");
        out += far;
        if (!far) {
            const std::string& up = chosen.at(parents.front()).front();
            EXPECT_TRUE(up.starts_with("10.1.") || up.starts_with("10.2.")) << ip << " " << up;
        }
    }
    EXPECT_EQ(out, 4);
}
}  // namespace
