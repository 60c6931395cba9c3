// What a new link costs, what may be believed on it, and how records end: boards by themselves, then members
// and agents, all in virtual time.
#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <random>

#include "agent/agent.hpp"
#include "gossip/json_diff.hpp"
#include "standins/control_world.hpp"
#include "standins/gossip_world.hpp"

namespace {
using namespace granitereel;
using gossip::Json;
using gossip::Record;
using standins::GossipWorld;

unsigned seedCount(unsigned usual) {
    const char* const more = std::getenv("SEEDS");
    return more ? static_cast<unsigned>(std::stoul(more)) : usual;
}

std::string storeName(int i) {
    return "store/i-" + std::to_string(i);
}

Json storeBody(int i) {
    return {{"service", "svc-" + std::to_string(i % 50)}, {"address", "10.1.0." + std::to_string(i)}};
}

// A configuration of so many routes, of which `edition` changed one after another.
Json configOf(std::uint64_t edition, int routes) {
    Json all = Json::array();
    for (int i = 0; i < routes; ++i) {
        const std::string name = "route-" + std::to_string(i);
        const auto changes = static_cast<int>((edition + static_cast<std::uint64_t>(routes - 1 - i)) /
                                              static_cast<std::uint64_t>(routes));
        all.push_back({{"label", name},
                       {"hostname", name},
                       {"path_prefix", "/"},
                       {"depot", "d"},
                       {"mode", "own"},
                       {"deadline_ms", 1000 + changes}});
    }
    return {{"edition", edition}, {"itineraries", all}, {"depots", {{{"label", "d"}}}}};
}

// Two boards alike in `shared` records; the second has `more`.
GossipWorld twoBoards(int shared, int more) {
    GossipWorld world;
    world.start(1), world.start(2);
    for (int i = 0; i < shared + more; ++i) {
        if (i < shared) world.at(1).put(storeName(i), {{1, 0}, storeBody(i)});
        world.at(2).put(storeName(i), {{1, 0}, storeBody(i)});
    }
    return world;
}

TEST(NewLink, CostsWhatDiffers) {
    struct Case {
        int shared, more;
        std::size_t bytesMost;
    };
    for (const Case& each : {Case{0, 1, 600}, Case{1000, 0, 1'000}, Case{1000, 1, 3'500},
                             Case{2000, 1, 4'000}, Case{1000, 1000, 220'000}}) {
        for (const bool hasMoreDials : {false, true}) {
            GossipWorld world = twoBoards(each.shared, each.more);
            const int link = hasMoreDials ? world.connect(2, 1) : world.connect(1, 2);
            world.settle();
            EXPECT_TRUE(world.equal(1, 2)) << each.shared << " " << each.more;
            EXPECT_LE(world.bytes, each.bytesMost) << each.shared << " " << each.more;
            EXPECT_LE(world.largest, gossip::targetMessageBytes + 4096);
            EXPECT_TRUE(world.at(hasMoreDials ? 2 : 1).isComplete(link));
            EXPECT_EQ(world.brokenPromises, 0);
            std::printf("%d alike, %d more at the %s: %zu bytes, %zu messages\n", each.shared, each.more,
                        hasMoreDials ? "dialler" : "acceptor", world.bytes, world.messages);
        }
    }
}

TEST(NewLink, BringsWhatChangedSinceOfALargeRecord) {
    for (const int changes : {10, 100, 1000}) {
        GossipWorld world;
        world.start(1), world.start(2), world.start(3);
        world.connect(3, 2);  // somebody hears the changes, so that they are patches
        world.at(2).put("config", {{1, 0}, configOf(1, 300)});
        const int first = world.connect(1, 2);
        world.settle();
        world.cut(first);
        for (int i = 2; i <= changes + 1; ++i)
            world.at(2).put("config", {{static_cast<std::uint64_t>(i), 0}, configOf(i, 300)});
        world.settle();
        const std::size_t whole = world.at(2).recordTable().find("config")->body.dump().size();
        world.resetCounts();
        world.connect(1, 2);
        world.settle();
        EXPECT_EQ(world.at(1).recordTable().find("config")->body,
                  world.at(2).recordTable().find("config")->body);
        EXPECT_LE(world.bytes, changes == 10 ? 3'000 : whole + 1'000);
        std::printf("%d changes missed: %zu bytes, %zu messages; the whole is %zu bytes\n", changes,
                    world.bytes, world.messages, whole);
    }
}

// One route put in at any place, taken out or moved costs that route. All shapes by chance: the patch leads
// to the second value.
TEST(Difference, IsShortWhereARouteComesGoesOrMoves) {
    for (int place = 0; place < 300; place += 13) {
        const Json was = configOf(1, 300);
        Json more = was, fewer = was, moved = was;
        Json route = was["itineraries"][0];
        route["label"] = "another";
        more["itineraries"].insert(more["itineraries"].begin() + place, route);
        fewer["itineraries"].erase(static_cast<std::size_t>(place));
        moved["itineraries"].erase(static_cast<std::size_t>(place));
        moved["itineraries"].push_back(was["itineraries"][static_cast<std::size_t>(place)]);
        for (const Json& now : {more, fewer, moved}) {
            const Json patch = gossip::jsonDiff(was, now);
            EXPECT_EQ(was.patch(patch), now) << place;
            EXPECT_LT(patch.dump().size(), 400u) << place;
        }
    }
    std::mt19937 chance(7);
    const auto value = [&](auto&& self, int depth) -> Json {
        const auto kind = chance() % (depth > 2 ? 3 : 5);
        if (kind == 0) return static_cast<int>(chance() % 3);
        if (kind == 1) return chance() % 2 ? Json("a/b~c") : Json(nullptr);
        if (kind == 2)
            return Json{{"label", std::to_string(chance() % 4)}, {"x", static_cast<int>(chance() % 2)}};
        Json all = kind == 3 ? Json::array() : Json::object();
        for (auto n = chance() % 5; n > 0; --n) {
            if (kind == 3)
                all.push_back(self(self, depth + 1));
            else
                all[chance() % 2 ? "k" + std::to_string(n) : "~/" + std::to_string(n)] =
                    self(self, depth + 1);
        }
        return all;
    };
    for (int i = 0; i < 3000; ++i) {
        const Json was = value(value, 0), now = value(value, 0);
        ASSERT_EQ(was.patch(gossip::jsonDiff(was, now)), now) << was << now;
    }
}

// Every order in which the messages of both directions may arrive, with a change made at each side and a
// patch that doesn't apply on the way.
void everyOrder(const std::vector<int>& order, int& ends, int& broken) {
    GossipWorld world;
    world.start(1), world.start(2), world.start(3);
    world.connect(3, 2);
    Json body = configOf(1, 10);
    world.at(2).put("config", {{1, 0}, body});
    world.at(1).put("store/a", {{2, 0}, storeBody(1)});
    world.at(2).put("store/a", {{1, 0}, storeBody(2)});
    world.at(2).put("lead/svc", {{1, 0}, {{"store", "a"}}});
    world.settle();
    world.connect(1, 2);
    const auto betweenOneAndTwo = [&] {
        // The third hears at once.
        for (auto links = world.ready();; links = world.ready()) {
            const auto third = std::find_if(links.begin(), links.end(), [&](int link) {
                return world.wires.at(link).from == 3 || world.wires.at(link).to == 3;
            });
            if (third == links.end()) return links;
            world.deliver(*third);
        }
    };
    std::size_t step = 0;
    int changes = 0;
    for (;;) {
        auto choices = betweenOneAndTwo();
        if (changes < 3) choices.push_back(0);  // a change instead of a message
        if (choices.empty()) break;
        if (step == order.size()) {
            for (std::size_t i = 0; i < choices.size(); ++i) {
                std::vector<int> next = order;
                next.push_back(static_cast<int>(i));
                everyOrder(next, ends, broken);
            }
            return;
        }
        const int choice = choices[static_cast<std::size_t>(order[step++])];
        if (choice != 0) {
            world.deliver(choice);
        } else if (++changes == 1) {
            body["edition"] = 2;
            world.at(2).put("config", {{2, 0}, body});
        } else if (changes == 2) {
            body["edition"] = 3;
            world.at(2).put("config", {{3, 0}, body});
            world.at(2).put("lead/svc", {{2, 0}, {{"store", "b"}}});
        } else {
            world.at(1).put("store/b", {{1, 0}, storeBody(3)});
        }
    }
    ++ends;
    broken += world.brokenPromises;
    ASSERT_TRUE(world.equal(1, 2)) << testing::PrintToString(order);
    ASSERT_EQ(world.at(1).recordTable().find("config")->body, body) << testing::PrintToString(order);
}

TEST(NewLink, KeepsItsPromiseInEveryOrder) {
    int ends = 0, broken = 0;
    everyOrder({}, ends, broken);
    EXPECT_GT(ends, 100);
    EXPECT_EQ(broken, 0);
    std::printf("%d orders\n", ends);
}

TEST(NewLink, GoesOnWithTheNextWhereAnExchangeWasInterrupted) {
    for (int delivered = 0; delivered < 40; ++delivered) {
        GossipWorld world;
        world.start(1), world.start(2);
        for (int i = 0; i < 4000; ++i) {
            const auto major = static_cast<std::uint64_t>(1 + i % 3);
            if (i % 5) world.at(1).put(storeName(i), {{major, 0}, storeBody(i)});
            if (i % 7) world.at(2).put(storeName(i), {{3 - major, 1}, storeBody(i + 1)});
        }
        const int link = world.connect(1, 2);
        for (int i = 0; i < delivered && !world.ready().empty(); ++i) world.deliver(world.ready().back());
        world.cut(link);
        const std::size_t spent = world.bytes;
        world.connect(2, 1);
        world.settle();
        ASSERT_TRUE(world.equal(1, 2)) << delivered;
        EXPECT_EQ(world.brokenPromises, 0);
        if (delivered >= 30) {
            EXPECT_LT(world.bytes - spent, spent) << delivered;
        }
    }
}

// An answer that got lost is asked for again, also where changes keep the link busy.
TEST(NewLink, AsksAgainForItsAnswerAmidChanges) {
    GossipWorld world;
    world.start(1), world.start(2);
    world.at(2).put("config", {{1, 0}, {{"edition", 1}}});
    const int link = world.connect(1, 2);
    world.deliver(link);
    world.wires.at(world.wires.at(link).linkAtReceiver).packets.clear();  // the answer
    for (std::uint64_t edition = 2; edition < 12; ++edition) {
        world.at(2).put("config", {{edition, 0}, {{"edition", edition}}});
        world.pass(milliseconds(500));
    }
    EXPECT_TRUE(world.at(1).isComplete(link));
    EXPECT_TRUE(world.equal(1, 2));
}

TEST(NewLink, PassesOverWhatAnotherFormatSays) {
    GossipWorld world;
    world.start(1), world.start(2);
    const int link = world.connect(1, 2);
    world.at(1).receive(link, {{"k", "whole?"}, {"n", "config"}});
    world.at(1).receive(link, {{"k", "digest"}, {"exchange", 1}, {"contact_age_ms", 0}, {"hashes", "zz"}});
    EXPECT_THROW(world.at(1).receive(link, {{"k", "inventory"}}), Json::exception);
    EXPECT_THROW(world.at(1).receive(link, {{"k", "news"}, {"r", 7}}), Json::exception);
    world.settle();
    EXPECT_TRUE(world.at(1).isComplete(link));
}

// Five boards; links come and go, records change and end, by chance. The seed is the bug report.
TEST(Boards, ComeTogetherThroughTroubleByChance) {
    for (unsigned seed = 0; seed < seedCount(12); ++seed) {
        GossipWorld world;
        std::mt19937 chance(seed);
        for (int node = 1; node <= 5; ++node) world.start(node);
        std::uint64_t version = 0;
        Json config = configOf(1, 30);
        for (int step = 0; step < 600; ++step) {
            const int one = 1 + static_cast<int>(chance() % 5), other = 1 + static_cast<int>(chance() % 5);
            const auto what = chance() % 20;
            if (what == 0 && one != other) world.connect(one, other, seed % 2 == 0);
            if (what == 1 && !world.wires.empty()) world.cut(world.wires.begin()->first);
            if (what == 2) world.at(one).put(storeName(chance() % 60), {{++version, 0}, storeBody(one)});
            if (what == 3) world.at(one).put(storeName(chance() % 60), {{++version, 0}, nullptr});
            if (what == 4) {
                config["itineraries"][chance() % 30]["deadline_ms"] = ++version;
                world.at(one).put("config", {{version, 0}, config});
            }
            if (what == 5 && chance() % 4 == 0) world.kill(one), world.start(one);
            const auto ready = world.ready();
            if (what > 5 && !ready.empty()) world.deliver(ready[chance() % ready.size()]);
        }
        for (int node = 2; node <= 5; ++node) world.connect(node, 1);
        world.settle();
        for (int node = 2; node <= 5; ++node) ASSERT_TRUE(world.equal(1, node)) << "seed " << seed;
        ASSERT_EQ(world.brokenPromises, 0) << "seed " << seed;
    }
}

// Members hold links to each other both ways. A change crosses each pair once in each direction at most, and
// goes on by the link that is left.
TEST(Boards, TellAChangeOnceWhereLinksGoBothWays) {
    GossipWorld world;
    for (const int node : {1, 2, 3}) world.start(node);
    std::map<std::pair<int, int>, int> links;
    for (const int one : {1, 2, 3})
        for (const int other : {1, 2, 3})
            if (one != other) links[{one, other}] = world.connect(one, other, true);
    world.settle();
    world.resetCounts();
    world.at(1).put("store/a", {{1, 0}, storeBody(1)});
    world.settle();
    EXPECT_LE(world.messages, 4u);
    EXPECT_TRUE(world.equal(1, 2) && world.equal(1, 3));
    // Lost with the link that it went by, it comes over the one that is left.
    for (const int one : {1, 3})
        for (const int other : {1, 3})
            if (one != other) world.cut(links[{one, other}]);
    world.at(1).put("store/b", {{1, 0}, storeBody(2)});
    world.cut(links[{2, 1}]);
    world.settle();
    EXPECT_TRUE(world.equal(1, 2) && world.equal(1, 3));
    EXPECT_EQ(world.brokenPromises, 0);
}

// ---- how records end ------------------------------------------------------------------------------

constexpr Nanoseconds minute = milliseconds(60'000);

TEST(Tombstones, EndAtTheSameAgeEverywhere) {
    GossipWorld world;
    world.start(1), world.start(2);
    world.at(1).put("store/a", {{1, 0}, storeBody(1)});
    world.at(1).put("store/a", {{2, 0}, nullptr});
    world.pass(9 * minute);
    world.connect(2, 1);
    world.settle();
    ASSERT_TRUE(world.at(2).recordTable().find("store/a"));
    world.pass(minute + milliseconds(2'000));
    EXPECT_FALSE(world.at(1).recordTable().find("store/a"));
    EXPECT_FALSE(world.at(2).recordTable().find("store/a"));
    // A register's value is no tombstone, however old.
    world.at(1).put("config", {{1, 0}, configOf(1, 2)});
    world.pass(30 * minute);
    EXPECT_TRUE(world.at(2).recordTable().find("config"));
}

TEST(Tombstones, HoldAgainstAProcessThatWasCutOffForAnyTime) {
    // Cut off for so many half minutes, directly or through another that was cut off, too.
    for (int halves = 1; halves < 50; ++halves)
        for (const bool through : {false, true}) {
            GossipWorld world;
            for (const int node : {1, 2, 3}) world.start(node);
            world.at(1).put("config", {{1, 0}, configOf(1, 2)});
            world.at(1).put("store/dead", {{1, 0}, storeBody(1)});
            world.at(1).put("store/lives", {{1, 0}, storeBody(2)});
            const int link = world.connect(2, 1);
            world.at(2).publish("front/two", {{"ip", "10.0.0.2"}});
            world.settle();
            world.cut(link);
            world.nodes[2].inContact = world.nodes[3].inContact = false;
            world.pass(milliseconds(500));
            world.at(1).put("store/dead", {{2, 0}, nullptr});
            world.pass(halves * minute / 4);
            if (through) world.connect(3, 2);
            world.pass(halves * minute / 4);
            const int returning = through ? 3 : 2;
            if (through) world.kill(2);
            world.connect(returning, 1);
            world.settle();
            ASSERT_TRUE(!world.at(1).recordTable().find("store/dead") ||
                        world.at(1).recordTable().find("store/dead")->body.is_null());
            world.nodes[returning].inContact = true;
            world.pass(gossip::confirmationTimeout + milliseconds(3'000));
            for (const int node : {1, returning}) {
                const Record* dead = world.at(node).recordTable().find("store/dead");
                ASSERT_TRUE(!dead || dead->body.is_null()) << halves << " " << through << " at " << node;
                const Record* lives = world.at(node).recordTable().find("store/lives");
                ASSERT_TRUE(lives && lives->body.is_object()) << halves << " " << through << " at " << node;
            }
            EXPECT_TRUE(world.at(1).recordTable().find("config"));
            if (!through) {
                EXPECT_TRUE(world.at(1).recordTable().find("front/two")->body.is_object());
            }
        }
}

// Each process without contact tells the next shortly before it would doubt what it holds.
TEST(Tombstones, HoldAgainstAChainOfProcessesWithoutContact) {
    GossipWorld world;
    world.start(0);
    world.at(0).put("store/dead", {{1, 0}, storeBody(1)});
    world.start(1);
    world.connect(1, 0);
    world.settle();
    world.kill(0);
    world.nodes[0].inContact = true;
    world.start(0);
    world.at(0).put("store/dead", {{2, 0}, nullptr});
    for (int node = 1; node < 7; ++node) {
        world.nodes[node].inContact = false;
        world.pass(gossip::maxIsolation - milliseconds(5'000));
        world.nodes[node + 1].inContact = false;
        world.start(node + 1);
        world.connect(node + 1, node);
        world.settle();
        world.kill(node);
    }
    EXPECT_FALSE(world.at(0).recordTable().find("store/dead"));
    world.connect(7, 0);
    world.settle();
    world.nodes[7].inContact = true;
    world.pass(gossip::confirmationTimeout + milliseconds(2'000));
    for (const int node : {0, 7}) EXPECT_FALSE(world.at(node).recordTable().find("store/dead")) << node;
}

TEST(Tombstones, LeaveWhatIsKnownUsableWhileControlIsAway) {
    GossipWorld world;
    for (const int node : {1, 2, 3}) world.start(node);
    world.at(1).put(storeName(1), {{5, 0}, storeBody(1)});
    world.connect(2, 1);
    world.settle();
    for (auto& [name, node] : world.nodes) node.inContact = false;
    world.pass(30 * minute);
    EXPECT_TRUE(world.at(2).recordTable().find(storeName(1)));
    world.connect(3, 2);  // also for one that starts now
    world.settle();
    EXPECT_TRUE(world.at(3).recordTable().find(storeName(1)));
    // Control is there again and hears of the store anew, below the version that was held.
    world.nodes[1].inContact = true;
    world.pass(milliseconds(2'000));
    world.at(1).put(storeName(1), {{1, 5}, storeBody(1)});
    world.settle();
    world.nodes[2].inContact = world.nodes[3].inContact = true;
    world.pass(gossip::confirmationTimeout + milliseconds(2'000));
    for (const int node : {1, 2, 3}) EXPECT_TRUE(world.at(node).recordTable().find(storeName(1))) << node;
}

// Three processes renew their records; one dies without a word, one is cut off for hours and comes back.
TEST(Renewals, EndTheRecordOfAProcessThatDiedAndOfNoOther) {
    for (const bool comesBack : {false, true}) {
        GossipWorld world;
        for (const int node : {1, 2, 3}) world.start(node);
        for (const int node : {1, 2, 3})
            world.at(node).publish("front/" + std::to_string(node), {{"ip", node}});
        world.connect(2, 1);
        const int link = world.connect(3, 1);
        world.settle();
        if (comesBack) {
            world.cut(link);
            world.nodes[3].inContact = false;
        } else {
            world.kill(3);
        }
        const auto takeDown = [&] {  // as a member of control with a lease does
            std::vector<std::string> names = world.at(1).overdueRecords();
            for (const std::string& name : names) {
                const std::uint64_t major = world.at(1).recordTable().find(name)->version.major;
                world.at(1).put(name, {{major + 1, 0}, nullptr});
            }
            return names;
        };
        for (Nanoseconds passed = 0; passed < gossip::renewalTimeout - minute; passed += minute) {
            world.pass(minute);
            ASSERT_TRUE(takeDown().empty());
        }
        world.pass(2 * minute);
        EXPECT_EQ(takeDown(), std::vector<std::string>{"front/3"});
        world.settle();
        EXPECT_TRUE(world.at(2).recordTable().find("front/3")->body.is_null());
        for (int hour = 0; hour < 5; ++hour) {
            world.pass(60 * minute);
            EXPECT_TRUE(takeDown().empty());
        }
        EXPECT_FALSE(world.at(1).recordTable().find("front/3"));  // the tombstone has ended, too
        for (const int node : {1, 2}) {
            const Record* lives = world.at(1).recordTable().find("front/" + std::to_string(node));
            EXPECT_TRUE(lives && lives->body.is_object());
        }
        if (!comesBack) continue;
        world.connect(3, 1);
        world.nodes[3].inContact = true;
        world.pass(milliseconds(3'000));
        for (const int node : {1, 2, 3}) {
            const Record* back = world.at(node).recordTable().find("front/3");
            EXPECT_TRUE(back && back->body.is_object()) << node;
        }
    }
}

// A record taken down while its owner was only slow to renew it: the owner hears of that and puts it anew.
TEST(Renewals, AnOwnerThatLivesPutsItsRecordAnew) {
    GossipWorld world;
    for (const int node : {1, 2}) world.start(node);
    world.at(2).publish("front/2", {{"ip", 2}});
    world.connect(2, 1);
    world.settle();
    const std::uint64_t major = world.at(1).recordTable().find("front/2")->version.major;
    world.at(1).put("front/2", {{major + 1, 0}, nullptr});
    world.settle();
    for (const int node : {1, 2}) EXPECT_TRUE(world.at(node).recordTable().find("front/2")->body.is_object());
}

// A member that heard nobody for hours holds that against nobody.
TEST(Renewals, WhoWasWithoutContactTakesNothingDown) {
    GossipWorld world;
    for (const int node : {1, 2}) world.start(node);
    world.at(2).publish("front/2", {{"ip", 2}});
    const int link = world.connect(2, 1);
    world.settle();
    world.cut(link);
    world.nodes[1].inContact = false;
    world.pass(3 * gossip::renewalTimeout);
    world.connect(2, 1);
    world.nodes[1].inContact = true;
    world.pass(milliseconds(1'000));
    EXPECT_TRUE(world.at(1).overdueRecords().empty());
    world.pass(gossip::renewalTimeout + minute);
    EXPECT_TRUE(world.at(1).overdueRecords().empty());
    EXPECT_TRUE(world.at(1).recordTable().find("front/2")->body.is_object());
}

// All are without contact for half an hour on links that stand; then the stores' next heartbeats confirm
// them. No record disappears anywhere at any time, but for that of a store that is heard no more.
TEST(Tombstones, LoseNothingThatLivesInAnOutageOfAll) {
    GossipWorld world;
    constexpr int nodes = 9;  // more links in a row than exchanges are begun again
    for (int node = 1; node <= nodes; ++node)
        world.start(node), world.at(node).publish("front/" + std::to_string(node), 1);
    for (const int store : {1, 2}) world.at(1).put(storeName(store), {{1, 0}, storeBody(store)});
    for (int node = 2; node <= nodes; ++node) world.connect(node, node - 1);
    world.settle();
    for (auto& [name, node] : world.nodes) node.inContact = false;
    world.pass(30 * minute);
    for (auto& [name, node] : world.nodes) node.inContact = true;
    for (int second = 0; second < 30; ++second) {
        world.pass(milliseconds(1'000));
        if (second == 1 && world.at(1).isUnconfirmed(storeName(1)))
            world.at(1).put(storeName(1), {{2, 0}, storeBody(1)});
        for (int node = 1; node <= nodes; ++node) {
            ASSERT_TRUE(world.at(node).recordTable().find(storeName(1))) << node << " " << second;
            for (int front = 1; front <= nodes; ++front)
                ASSERT_TRUE(world.at(node).recordTable().find("front/" + std::to_string(front)))
                    << node << front;
        }
    }
    for (int node = 1; node <= nodes; ++node)
        EXPECT_FALSE(world.at(node).recordTable().find(storeName(2))) << node;
    EXPECT_EQ(world.brokenPromises, 0);
}

TEST(Owner, PutsItsRecordAboveWhateverAnEarlierLifeLeft) {
    // The earlier life's record at the peer: another body, taken down, or of a high version.
    const Json body{{"district", "new"}};
    for (const char* const district : {"old", "older", "new"})
        for (const int afterwards : {0, 1, 2}) {
            GossipWorld world;
            world.start(1), world.start(2);
            world.at(1).publish("front/x", {{"district", district}});
            world.connect(1, 2);
            world.settle();
            world.kill(1);
            // Left as it was, taken down, or changed many times.
            if (afterwards == 1) world.at(2).put("front/x", {{2, 0}, nullptr});
            if (afterwards == 2) world.at(2).put("front/x", {{7, 0}, {{"district", "other"}}});
            world.start(1);
            world.at(1).publish("front/x", body);
            world.connect(1, 2);
            world.settle();
            EXPECT_EQ(world.at(2).recordTable().find("front/x")->body, body) << district << " " << afterwards;
            EXPECT_TRUE(world.equal(1, 2));
        }
}

// ---- what may be believed on a new link -----------------------------------------------------------

// An agent with the lead as an earlier parent told it comes to another, which knows of a newer lead and
// answers each question for the lease at once. Whatever moment it asks at, it holds the newer lead before it
// has a lease.
TEST(Gate, GivesAnAgentNoLeaseBeforeItHasWhatItsParentHeld) {
    for (int asksAfter = 0; asksAfter < 8; ++asksAfter) {
        Nanoseconds now = milliseconds(1'000'000);
        settings::Settings settings;
        settings.station = "proxy-1";
        settings.ip = "10.0.0.9";
        agent::Agent agent(settings, now);
        std::deque<Json> toAgent;
        gossip::RecordReplicator parent([&](int, Json message) { toAgent.push_back(std::move(message)); },
                                        [](auto&, auto&) {});
        parent.advance(now, true);
        gossip::UpdateBatch early;
        for (int i = 0; i < 100; ++i) {
            parent.put(storeName(i), {{1, 0}, storeBody(i)});
            early.records.push_back({storeName(i), {1, 0}, {}, storeBody(i)});
        }
        early.records.push_back({"lead/svc", {1, 0}, {}, {{"store", "old"}}});
        parent.put("lead/svc", {{2, 0}, {{"store", "new"}}});
        agent.receive(1, early.toJson(), now);
        agent.setParentLink(2, "10.0.0.1", now);
        parent.addLink(7, gossip::Side::acceptor);
        for (int step = 0; step < 20; ++step) {
            if (step == asksAfter) agent.tick(now);
            for (const auto& said : agent.takeOutgoing()) {
                if (said.message["k"] != "lease?") {
                    parent.receive(7, said.message);
                    continue;
                }
                const Json none = Json::object();
                toAgent.push_back({{"k", "lease"}, {"t", said.message["t"]}, {"left", 700'000}, {"c", none}});
            }
            if (toAgent.empty()) continue;
            const Json message = std::exchange(toAgent.front(), {});
            toAgent.pop_front();
            agent.receive(2, message, now);
            if (agent.leaseUntil() > now) {
                ASSERT_EQ(agent.recordTable().find("lead/svc")->body.at("store"), "new") << asksAfter;
            }
        }
        EXPECT_EQ(agent.recordTable().find("lead/svc")->body.at("store"), "new");
        agent.tick(now += milliseconds(200));
        for (const auto& said : agent.takeOutgoing())
            if (said.message["k"] == "lease?")
                agent.receive(
                    2, {{"k", "lease"}, {"t", said.message["t"]}, {"left", 1}, {"c", Json::object()}}, now);
        EXPECT_GT(agent.leaseUntil(), now);
    }
}

// Which leads may change is forgotten only under a lease that lasts at least as long as the one it replaces.
TEST(Gate, KeepsAnAgentsUnsettledLeadsUnderAShorterLease) {
    Nanoseconds now = milliseconds(1'000'000);
    agent::Agent agent(settings::Settings{}, now);
    agent.childConnected(9, now);
    auto answered = [&](std::int64_t left_us, const Json& unsettled) {
        agent.tick(now += milliseconds(200));
        for (const auto& said : agent.takeOutgoing()) {
            if (said.message["k"] == gossip::Inventory::kind && said.link == 2)
                agent.receive(2, gossip::ExchangeComplete{said.message["exchange"], 0}.toJson(), now);
            if (said.message["k"] == "lease?")
                agent.receive(
                    2, {{"k", "lease"}, {"t", said.message["t"]}, {"left", left_us}, {"c", unsettled}}, now);
        }
        agent.receive(9, {{"k", "lease?"}, {"t", 1}}, now);
        return agent.takeOutgoing().back().message.at("c");
    };
    agent.setParentLink(2, "10.0.0.1", now);
    const Json unsettled{{"svc", 4}};
    EXPECT_EQ(answered(700'000, unsettled), unsettled);
    EXPECT_EQ(answered(0, Json::object()), unsettled);
    EXPECT_EQ(answered(100'000, Json::object()), unsettled);
    EXPECT_EQ(answered(700'000, Json::object()), Json::object());
}

// A voter knows of a newer lead and answers each round at once. Whatever moment the member asks at, it holds
// the newer lead before it has a lease.
TEST(Gate, GivesAMemberNoLeaseBeforeItHasWhatTheVotersHeld) {
    const std::string self = "10.0.0.1:80", voter = "10.0.0.2:80";
    for (int asksAfter = 0; asksAfter < 8; ++asksAfter) {
        Nanoseconds now = milliseconds(1'000'000);
        settings::Settings settings;
        settings.controlListenAddress = self;
        const Json voterSet{{"epoch", 1}, {"voters", {self, voter, "10.0.0.3:80"}}};
        control::ControlMember member(settings, "1", {{"core", voterSet}}, now);
        std::deque<Json> toMember;
        gossip::RecordReplicator peer([&](int, Json message) { toMember.push_back(std::move(message)); },
                                      [](auto&, auto&) {});
        peer.advance(now, true);
        gossip::UpdateBatch early;
        for (int i = 0; i < 100; ++i) {
            peer.put(storeName(i), {{1, 0}, storeBody(i)});
            early.records.push_back({storeName(i), {1, 0}, {}, storeBody(i)});
        }
        early.records.push_back({"lead/svc", {1, 0}, {}, {{"store", "old"}}});
        peer.put("lead/svc", {{2, 0}, {{"store", "new"}}});
        const auto lead = [&] {
            const auto& recordTable = static_cast<const control::Failover::Host&>(member).recordTable();
            return recordTable.find("lead/svc")->body.at("store").get<std::string>();
        };
        const auto leased = [&] { return member.state(now)["lease_left_ms"].get<int>() > 0; };
        member.linkUp(1, "", now);
        member.handleMessage(1, early.toJson(), now);
        member.linkUp(2, voter, now);
        peer.addLink(7, gossip::Side::acceptor);
        const auto answerAll = [&] {
            for (const control::Output& each : member.takeOutputs()) {
                const auto* out = std::get_if<control::ToLink>(&each);
                if (!out || out->link != 2) continue;
                if (out->message["k"] != "round") {
                    peer.receive(7, out->message);
                    continue;
                }
                const auto question = control::LeaseRoundRequest::fromJson(out->message);
                toMember.push_back(control::LeaseRoundReply{question.round, 1, {}}.toJson());
            }
        };
        for (int step = 0; step < 20; ++step) {
            if (step == asksAfter) member.tick(now);
            answerAll();
            if (toMember.empty()) continue;
            const Json message = std::exchange(toMember.front(), {});
            toMember.pop_front();
            member.handleMessage(2, message, now);
            if (leased()) {
                ASSERT_EQ(lead(), "new") << asksAfter;
            }
        }
        EXPECT_EQ(lead(), "new");
        member.tick(now += milliseconds(200));
        answerAll();
        for (; !toMember.empty(); toMember.pop_front()) member.handleMessage(2, toMember.front(), now);
        EXPECT_TRUE(leased());
    }
}

// 350 changes, 80 ms apart, over 300 routes; a member is killed amid them and starts again a second later.
// From then on it is up to date within a second, and has a lease only with what the others held when it got
// it.
TEST(CatchingUp, TakesAMemberUnderASecondAmidChanges) {
    constexpr std::uint64_t changes = 350, killedAt = 150;
    constexpr int everyMs = 80, awayMs = 1000, withinMs = 1000;
    standins::ControlWorld world(3, 0, 5);
    const std::string taker = world.address(1), restarted = world.address(0);
    const auto edition = [&](const std::string& name) {
        const Json known = world.members[name].control->state(world.now)["edition"];
        return known.is_null() ? std::uint64_t(0) : known.get<std::uint64_t>();
    };
    const auto leased = [&] {
        return world.members[restarted].control->state(world.now)["lease_left_ms"].get<int>() > 0;
    };
    world.run(milliseconds(1500));
    Nanoseconds startedAt = 0, caughtUpAt = 0;
    for (std::uint64_t change = 1; change <= changes; ++change) {
        world.members[taker].control->handleCall(++world.lastCall, "PUT", {"config"},
                                                 configOf(change, 300).dump(), world.now);
        world.carry(taker);
        for (int ms = 0; ms < everyMs; ++ms) {
            const std::uint64_t before = edition(taker);
            world.step();
            if (startedAt == 0 || caughtUpAt != 0) continue;
            if (leased()) {
                EXPECT_GE(edition(restarted) + 1, before);
            }
            if (before > killedAt && edition(restarted) >= before) caughtUpAt = world.now;
        }
        if (change == killedAt) world.kill(restarted);
        if (change == killedAt + awayMs / everyMs) {
            world.start(restarted);
            startedAt = world.now;
        }
    }
    ASSERT_GT(caughtUpAt, 0);
    EXPECT_LT(caughtUpAt - startedAt, milliseconds(withinMs));
    world.run(milliseconds(300));
    EXPECT_EQ(edition(restarted), changes);
    EXPECT_TRUE(leased());
    std::printf("up to date %ld ms after its start\n",
                static_cast<long>((caughtUpAt - startedAt) / milliseconds(1)));
}
}  // namespace
