// Ballots across lives of a proposer, what an acceptor refuses, and what a proposer sends again.
#include <gtest/gtest.h>

#include <algorithm>
#include <bitset>

#include "standins/control_world.hpp"

namespace {
using namespace granitereel;
using namespace granitereel::control;
using World = standins::ControlWorld;

const std::vector<std::string> voters{"a", "b", "c"};
const VoterSet voterSet{1, {"a", "b", "c"}};

// One life of a proposer that has no vote and no disk of its own, before three acceptors.
struct Life {
    std::map<std::string, Acceptor>& acceptors;
    Slot none;
    Proposer proposer;
    std::optional<Json> ended;

    Life(std::map<std::string, Acceptor>& before, std::uint64_t life)
        : acceptors(before),
          proposer({"d", "1", life}, [this](const std::string&) -> const Slot& { return none; }) {
        for (const std::string& voter : voters) proposer.linkUp(voter);
        proposer.setVoters(voterSet, 1);
    }
    void begin(const Json& value) {
        proposer.begin({"config", [value](const Json& was) { return was.is_null() ? value : was; },
                        [this](std::optional<Json> stands) { ended = stands; }},
                       1, milliseconds(900));
    }
    // Delivers what is said to these voters (by bits), and their answers; the rest is lost.
    void deliver(std::bitset<3> to, Nanoseconds now = milliseconds(1)) {
        for (const Proposer::OutgoingRequest& said : proposer.takeRequests()) {
            const auto place = std::find(voters.begin(), voters.end(), said.to) - voters.begin();
            if (!to[static_cast<std::size_t>(place)]) continue;
            const auto outcome = acceptors[said.to].handle(VoteRequest::fromJson(said.message));
            proposer.handleReply(said.to, outcome.reply.toJson(), now);
        }
    }
    // A refused attempt is made again, above.
    void settle(std::bitset<3> to) {
        for (Nanoseconds now = milliseconds(2); !ended && now < milliseconds(890); now += milliseconds(10)) {
            proposer.tick(now);
            deliver(to, now);
        }
    }
};

// A first life writes "one" at any of the voters and is killed; a second writes "two" by any majority; what
// was acknowledged, and what was read, is read from then on, by every majority in turn.
TEST(Ballots, AreNotUsedAgainByALaterLife) {
    const std::vector<std::bitset<3>> majorities{0b011, 0b101, 0b110, 0b111};
    int acknowledged = 0;
    for (const auto firstPromise : majorities)
        for (unsigned firstAccept = 0; firstAccept < 8; ++firstAccept)
            for (const auto second : majorities)
                for (const auto reader : majorities)
                    for (const auto nextReader : majorities) {
                        std::map<std::string, Acceptor> acceptors;
                        Life one(acceptors, 1), two(acceptors, 2), three(acceptors, 3), four(acceptors, 4);
                        one.begin("one");
                        one.deliver(firstPromise);
                        one.deliver(firstAccept);
                        two.begin("two");
                        two.settle(second);
                        three.begin(nullptr);
                        three.settle(reader);
                        four.begin(nullptr);
                        four.settle(nextReader);
                        ASSERT_TRUE(two.ended && three.ended && four.ended);
                        ++acknowledged;
                        if (one.ended) {
                            ASSERT_EQ(*two.ended, *one.ended);
                        }
                        ASSERT_EQ(*three.ended, *two.ended) << firstPromise << firstAccept << second;
                        ASSERT_EQ(*four.ended, *two.ended) << firstPromise << firstAccept << second;
                    }
    EXPECT_EQ(acknowledged, 4 * 8 * 4 * 4 * 4);
}

TEST(Ballots, CarryTheLifeThatAMembersDiskCounts) {
    World world(3, 0, 1);
    std::set<Json> proposers;
    std::size_t lives = 0;
    const std::string who = World::address(0);
    for (const bool wipe : {false, false, true, false}) {
        world.run(milliseconds(2500));
        world.put(who, ++lives, "x");
        for (const auto& packet : world.packets) {
            if (packet.from != who || packet.message.at("k") != "prepare") continue;
            Json proposer = packet.message.at("ballot");
            proposer.erase("round");
            proposers.insert(proposer);
        }
        EXPECT_EQ(proposers.size(), lives);
        world.kill(who, wipe);
        world.start(who);
    }
}

TEST(Ballots, OfASlotOfTheEarlierFormatAreReadAndStandBelowNewOnes) {
    const Slot slot = slotFromJson({{"pr", 5}, {"pb", "a"}, {"ar", 4}, {"ab", "b"}, {"v", {{"edition", 3}}}});
    EXPECT_EQ(slot.promised, (Ballot{5, {"a", "", 0}}));
    EXPECT_EQ(slot.accepted, (Ballot{4, {"b", "", 0}}));
    EXPECT_LT(slot.promised, (Ballot{5, {"a", "1", 1}}));
    const Slot again = slotFromJson(slotToJson(slot));
    EXPECT_EQ(again.promised, slot.promised);
    EXPECT_EQ(again.accepted, slot.accepted);
    EXPECT_EQ(again.value, slot.value);
    EXPECT_FALSE(again.learned);
}

VoteRequest acceptRequest(const Ballot& ballot, const Json& value) {
    VoteRequest request;
    request.phase = VotePhase::accept;
    request.name = "config";
    request.ballot = ballot;
    request.value = value;
    return request;
}

TEST(Ballots, HaveOneValueAtAnAcceptor) {
    Acceptor acceptor;
    const Ballot ballot{1, {"d", "1", 1}};
    EXPECT_EQ(acceptor.handle(acceptRequest(ballot, "one")).reply.kind, VoteKind::accepted);
    const auto same = acceptor.handle(acceptRequest(ballot, "one"));
    EXPECT_EQ(same.reply.kind, VoteKind::accepted);
    EXPECT_FALSE(same.changed);
    const auto other = acceptor.handle(acceptRequest(ballot, "two"));
    EXPECT_EQ(other.reply.kind, VoteKind::refused);
    EXPECT_TRUE(other.conflict);
    EXPECT_FALSE(other.changed);
    EXPECT_EQ(acceptor.slot("config").value, "one");
    // A proposer so refused does not wait for its deadline, but goes on above.
    std::map<std::string, Acceptor> acceptors{{"a", acceptor}};
    Life life(acceptors, 1);
    life.begin("two");
    life.deliver(0b110);
    life.deliver(0b001);
    EXPECT_EQ(acceptors["a"].slot("config").value, "one");
    life.settle(0b011);
    EXPECT_TRUE(life.ended);
}

// A proposer with promises of x and of the disk that "a" then lost; "b" alone accepted an earlier ballot.
// What "a" read from "b" must not make the two a majority that chose it: x may still accept the later one.
TEST(Ballots, ReadFromOthersDisksAreNoEvidenceOfAMajority) {
    std::map<std::string, Acceptor> acceptors;
    Life earlier(acceptors, 1), later(acceptors, 2), reader(acceptors, 3), next(acceptors, 4);
    earlier.begin("early");
    earlier.deliver(0b011);
    earlier.deliver(0b010);
    later.proposer.handleReply("a", Json{{"k", "refused"}, {"attempt", 1}, {"ballot", toJson({})}}, 1);
    later.begin("late");
    later.deliver(0b101);
    const std::vector<Proposer::OutgoingRequest> delayed = later.proposer.takeRequests();
    Acceptor recovered;
    for (const char* voter : {"b", "c"}) recovered.mergeRecovered("config", acceptors[voter].slot("config"));
    acceptors["a"] = recovered;
    reader.begin(nullptr);
    reader.settle(0b011);
    for (const Proposer::OutgoingRequest& said : delayed)
        if (said.to == "c") acceptors["c"].handle(VoteRequest::fromJson(said.message));
    next.begin(nullptr);
    next.settle(0b101);
    ASSERT_TRUE(reader.ended && next.ended);
    EXPECT_EQ(*reader.ended, *next.ended);
}

// Frozen behind its request, a proposer wakes long after its deadline and finds the answers.
TEST(Ballots, AreGivenUpAtTheDeadlineAlsoByAProcessThatWokeLate) {
    std::map<std::string, Acceptor> acceptors;
    Life life(acceptors, 1);
    life.begin("one");
    life.deliver(0b111, milliseconds(20'000));
    EXPECT_TRUE(life.proposer.takeRequests().empty());
    life.proposer.tick(milliseconds(20'000));
    EXPECT_FALSE(life.ended);
}

std::size_t told(Proposer& proposer, const std::string& voter) {
    const auto said = proposer.takeRequests();
    return static_cast<std::size_t>(
        std::count_if(said.begin(), said.end(), [&](const auto& each) { return each.to == voter; }));
}

TEST(Proposers, SayNothingTwiceOverALivingLink) {
    std::map<std::string, Acceptor> acceptors;
    Life life(acceptors, 1);
    life.proposer.linkDown("c");
    life.begin("one");
    EXPECT_EQ(told(life.proposer, "c"), 0u);
    for (Nanoseconds now = milliseconds(50); now < milliseconds(850); now += milliseconds(50))
        life.proposer.tick(now);
    EXPECT_TRUE(life.proposer.takeRequests().empty());
    // A new link is another matter; so is a voter that had no vote yet.
    life.proposer.linkDown("b");
    life.proposer.linkUp("b");
    EXPECT_EQ(told(life.proposer, "b"), 1u);
    VoteReply abstains;
    abstains.attempt = 1;
    abstains.ballot = {1, {"d", "1", 1}};
    life.proposer.handleReply("a", abstains.toJson(), milliseconds(860));
    life.proposer.tick(milliseconds(880));
    EXPECT_EQ(told(life.proposer, "a"), 1u);
}

TEST(Proposers, SendAWholeValueAgainOnlyToWhoLacksItsBase) {
    std::map<std::string, Acceptor> acceptors;
    Json big = {{"edition", 1}, {"text", std::string(4000, 'x')}};
    Life first(acceptors, 1);
    first.begin(big);
    first.settle(0b111);
    ASSERT_TRUE(first.ended);
    Life second(acceptors, 2);
    big["edition"] = 2;
    second.proposer.begin({"config", [&](const Json&) { return big; },
                           [&](std::optional<Json> stands) { second.ended = stands; }},
                          1, milliseconds(900));
    second.deliver(0b011);
    std::map<std::string, std::size_t> bytes;
    for (const auto& [to, message] : second.proposer.takeRequests()) {
        bytes[to] += message.dump().size();
        const auto outcome = acceptors[to].handle(VoteRequest::fromJson(message));
        if (to == "b") continue;  // its answer is lost with the link
        second.proposer.handleReply(to, outcome.reply.toJson(), milliseconds(2));
    }
    EXPECT_LT(bytes["a"], 500u);
    EXPECT_LT(bytes["b"], 500u);
    EXPECT_LT(bytes["c"], 500u);  // made no promise yet
    ASSERT_TRUE(second.ended);
    EXPECT_EQ(acceptors["b"].slot("config").value, big);
    // Asked anew, who has taken it answers so; who lacks the base says so.
    VoteRequest patch = acceptRequest(acceptors["b"].slot("config").accepted, nullptr);
    patch.patchBase = {1, {"e", "1", 1}};
    patch.patch = Json::array();
    EXPECT_EQ(acceptors["b"].handle(patch).reply.kind, VoteKind::accepted);
    patch.ballot.round += 1;
    EXPECT_EQ(acceptors["b"].handle(patch).reply.kind, VoteKind::needsFullValue);
}

TEST(Proposers, BeginAboveWhatTheirOwnDiskHasPromised) {
    std::map<std::string, Acceptor> acceptors;
    Life life(acceptors, 2);
    life.none.promised = {7, {"d", "1", 1}};
    life.begin("one");
    const auto said = life.proposer.takeRequests();
    ASSERT_EQ(said.size(), 3u);
    EXPECT_EQ(said[0].message.at("ballot").at("round"), 8);
}

// A disk that is lost takes its promises and acceptances along.
TEST(Proposers, CountNothingOfADiskThatWasLost) {
    std::map<std::string, Acceptor> acceptors;
    Life life(acceptors, 1);
    life.begin("one");
    life.deliver(0b001);
    life.proposer.handleDiskLoss("a", milliseconds(2));
    EXPECT_EQ(told(life.proposer, "a"), 1u);
    life.proposer.tick(milliseconds(2));
    VoteReply promised{VoteKind::promised, 1, {1, {"d", "1", 1}}, {}, false, Json()};
    life.proposer.handleReply("b", promised.toJson(), milliseconds(3));
    EXPECT_TRUE(life.proposer.takeRequests().empty());  // one promise is left
    life.proposer.handleReply("a", promised.toJson(), milliseconds(4));
    EXPECT_GT(life.proposer.takeRequests().size(), 0u);
    // While accepting: the ballot rests on a promise that nobody keeps.
    life.proposer.handleDiskLoss("b", milliseconds(5));
    for (const auto& [to, message] : life.proposer.takeRequests()) EXPECT_EQ(message.at("k"), "prepare");
    VoteReply accepted{VoteKind::accepted, 1, {1, {"d", "1", 1}}, {}, false, {}};
    for (const char* voter : {"a", "b", "c"})
        life.proposer.handleReply(voter, accepted.toJson(), milliseconds(6));
    EXPECT_FALSE(life.ended);
}

TEST(Proposers, SendTheWholeWhereTheBaseIsNotHeld) {
    std::map<std::string, Acceptor> acceptors;
    Json big = {{"edition", 1}, {"text", std::string(4000, 'x')}};
    Life first(acceptors, 1), second(acceptors, 2);
    first.begin(big);
    first.settle(0b111);
    second.proposer.begin({"config",
                           [&](const Json& was) {
                               Json next = was;
                               next["edition"] = 2;
                               return next;
                           },
                           [&](std::optional<Json> stands) { second.ended = stands; }},
                          1, milliseconds(900));
    second.deliver(0b111);
    for (const auto& [to, message] : second.proposer.takeRequests()) {
        ASSERT_TRUE(message.contains("patch"));
        if (to == "c") continue;
        acceptors[to] = {};  // what it held is not what it said
        second.proposer.handleReply(to, acceptors[to].handle(VoteRequest::fromJson(message)).reply.toJson(),
                                    milliseconds(2));
    }
    second.deliver(0b011, milliseconds(3));
    ASSERT_TRUE(second.ended);
    EXPECT_EQ(acceptors["a"].slot("config").value.at("edition"), 2);
}

TEST(Proposers, CutOffFromAVoterSendItNothing) {
    World world(3, 0, 4);
    world.run(milliseconds(2000));
    for (const int other : {0, 1}) world.cut.insert({World::address(2), World::address(other)});
    world.run(milliseconds(3000));
    world.bytesSent.clear();
    world.put(World::address(0), 5, std::string(10'000, 'x'));
    world.run(milliseconds(3000));
    EXPECT_LT(world.bytesSent["accept"], 11'000u);
    EXPECT_LT(world.bytesSent["prepare"], 3'000u);
}

TEST(Proposers, EightAtOnceMakeProgressAtNineMembers) {
    const char* const more = std::getenv("SEEDS");
    const unsigned seeds = more ? static_cast<unsigned>(std::stoul(more)) : 12;
    Nanoseconds latestFirst = 0, latest = 0;
    int unanswered = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        World world(3, 6, seed);
        world.run(milliseconds(9000));
        ASSERT_EQ(world.members[World::address(8)].control->state(world.now)["voters"].size(), 9u);
        std::vector<std::pair<std::string, std::uint64_t>> calls;
        const Nanoseconds start = world.now;
        for (int i = 0; i < 8; ++i)
            calls.emplace_back(World::address(i), world.put(World::address(i), 20 + (i * 5) % 8, "x"));
        Nanoseconds first = 0;
        std::size_t taken = 0;
        while (taken < calls.size() && world.now - start < milliseconds(900)) {
            world.step();
            taken = static_cast<std::size_t>(std::count_if(
                calls.begin(), calls.end(), [&](const auto& c) { return world.taken(c.first, c.second); }));
            if (taken > 0 && first == 0) first = world.now - start;
        }
        EXPECT_GT(first, 0) << "no progress with seed " << seed;
        latestFirst = std::max(latestFirst, first);
        latest = std::max(latest, world.now - start);
        unanswered += static_cast<int>(calls.size() - taken);
    }
    std::printf("first of eight acknowledged within %d ms, the last within %d ms; %d of %u not taken\n",
                static_cast<int>(latestFirst / milliseconds(1)), static_cast<int>(latest / milliseconds(1)),
                unanswered, 8 * seeds);
    EXPECT_LE(latestFirst, milliseconds(900));
}
}  // namespace
