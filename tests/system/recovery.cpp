// What a member that restarts, wakes late or has lost its disk may still say.
#include <gtest/gtest.h>

#include <algorithm>

#include "gossip/messages.hpp"
#include "standins/control_world.hpp"

namespace {
using namespace granitereel;
using namespace granitereel::control;
using World = standins::ControlWorld;

Json leadOf(std::uint64_t sequence, bool steady) {
    PrimaryRecord lead;
    lead.store = "i-1";
    lead.term = 3;
    lead.sequence = sequence;
    lead.settled = steady;
    return serializePrimaryRecord(lead);
}

Slot slotOf(std::uint64_t round, const Json& value) {
    const Ballot ballot{round, {"b", "1", 1}};
    return {ballot, ballot, value};
}

// One member, with what others say given by hand. Links 1 to 4 are dialled to the members "b" to "e".
struct Lone {
    settings::Settings settings;
    Nanoseconds now = milliseconds(5'000);
    std::unique_ptr<ControlMember> member;
    std::vector<Json> said;
    std::map<std::string, Json> disk;

    explicit Lone(std::map<std::string, Json> before = {}, Nanoseconds at = milliseconds(5'000))
        : now(at), disk(std::move(before)) {
        settings.controlListenAddress = "a";
        settings.station = "control-a";
        settings.seeds = {"b", "c"};
        settings.firstBoot = false;
        disk[processIncarnationKey] = nextProcessIncarnation(disk);
        member = std::make_unique<ControlMember>(settings, "7", disk, now);
        int link = 0;
        for (const char* other : {"b", "c", "d", "e"}) member->linkUp(++link, other, now);
        collect();
    }
    // Its disk writes at once; the others hold nothing that its board lacks.
    void collect() {
        for (Outputs outputs = member->takeOutputs(); !outputs.empty(); outputs = member->takeOutputs())
            for (Output& each : outputs) {
                if (auto* write = std::get_if<ToDisk>(&each)) disk[write->name] = write->body;
                if (auto* vote = std::get_if<ToSelf>(&each)) member->handleDurableVote(vote->reply, now);
                auto* out = std::get_if<ToLink>(&each);
                if (!out) continue;
                said.push_back(out->message);
                if (out->message.at("k") == gossip::Inventory::kind)
                    member->handleMessage(
                        out->link, gossip::ExchangeComplete{out->message.at("exchange"), 0}.toJson(), now);
            }
    }
    void hear(int link, const Json& message) {
        member->handleMessage(link, message, now);
        collect();
    }
    void hello(int link, std::uint64_t epoch, const std::set<std::string>& voters) {
        hear(link, {{"k", "hello"},
                    {"kind", "member"},
                    {"member", std::string(1, static_cast<char>('a' + link))},
                    {"incarnation", "1"},
                    {"epoch", epoch},
                    {"voters", voters}});
    }
    void dump(int link, std::uint64_t epoch, const std::map<std::string, Slot>& slots = {}) {
        Json all = Json::object();
        for (const auto& [name, slot] : slots) all[name] = slotToJson(slot);
        hear(link, {{"k", "dump"}, {"e", epoch}, {"slots", all}});
    }
    void run(Nanoseconds time) {
        for (const Nanoseconds until = now + time; now < until;) {
            now += milliseconds(50);
            member->tick(now);
            collect();
        }
    }
    std::size_t count(const std::string& kind) const {
        return static_cast<std::size_t>(
            std::count_if(said.begin(), said.end(), [&](const Json& each) { return each.at("k") == kind; }));
    }
    std::optional<LeaseRoundReply> round(std::uint64_t epoch) {
        said.clear();
        hear(1, LeaseRoundRequest{4, epoch}.toJson());
        for (const Json& each : said)
            if (each.at("k") == "roundok") return LeaseRoundReply::fromJson(each);
        return std::nullopt;
    }
    UnsettledSequences toldUnderLease() {
        said.clear();
        hear(1, {{"k", "lease?"}, {"t", 1}});
        return said.at(0).at("c").get<UnsettledSequences>();
    }
    void news(const std::string& name, std::uint64_t version, const Json& body) {
        hear(1, gossip::UpdateBatch{{{name, {version, 0}, std::nullopt, body}}}.toJson());
    }
    bool votes() const { return member->state(now)["votes"]; }
    int lease() const { return member->state(now)["lease_left_ms"]; }
};

Json voterSetJson(std::uint64_t epoch, const std::set<std::string>& voters) {
    return {{"epoch", epoch}, {"voters", voters}};
}

// ---- unsettled leads ----------------------------------------------------------------------------------

TEST(UnsettledLead, IsToldByAVoterThatRestarted) {
    for (const bool steady : {false, true}) {
        Lone lone({{"core", voterSetJson(1, {"a", "b", "c"})},
                   {"slot/lead/svc", slotToJson(slotOf(4, leadOf(6, steady)))}});
        EXPECT_EQ(lone.round(1)->unsettled, (UnsettledSequences{{"svc", 6}}));
        EXPECT_EQ(lone.toldUnderLease(), (UnsettledSequences{{"svc", 6}}));
        // Once the board shows it: an unsteady one is still told, as the asker's board may not have it yet.
        lone.news("lead/svc", 6, leadOf(6, steady));
        EXPECT_EQ(lone.round(1)->unsettled, steady ? UnsettledSequences{} : (UnsettledSequences{{"svc", 6}}));
    }
}

TEST(UnsettledLead, IsToldByAVoterThatReadItFromOthersDisks) {
    Lone lone;
    lone.hello(1, 1, {"a", "b", "c"});
    lone.run(milliseconds(1300));
    for (const int link : {1, 2}) lone.dump(link, 1, {{"lead/svc", slotOf(4, leadOf(6, false))}});
    ASSERT_TRUE(lone.votes());
    EXPECT_EQ(lone.round(1)->unsettled, (UnsettledSequences{{"svc", 6}}));
}

TEST(UnsettledLead, ToldByAVoterStandsAsLongAsALeaseMayRestOnIt) {
    Lone lone({{"core", voterSetJson(1, {"a", "b", "c"})}});
    lone.hear(1, LeaseRoundReply{1, 1, {{"svc", 6}}}.toJson());
    EXPECT_EQ(lone.toldUnderLease(), (UnsettledSequences{{"svc", 6}}));
    lone.now += LeaseRounds::leaseDuration - 1;
    EXPECT_EQ(lone.toldUnderLease(), (UnsettledSequences{{"svc", 6}}));
    lone.now += 1;  // nobody says so any more
    EXPECT_EQ(lone.toldUnderLease(), UnsettledSequences{});
    lone.hear(1, LeaseRoundReply{1, 1, {{"svc", 6}}}.toJson());
    lone.news("lead/svc", 6, leadOf(6, true));
    EXPECT_EQ(lone.toldUnderLease(), UnsettledSequences{});
}

// ---- the lease ----------------------------------------------------------------------------------------

TEST(Lease, IsHadFromAMajorityOfOneEpochOnly) {
    const VoterSet first{1, {"a", "b", "c", "d"}}, second{2, {"a", "b", "c"}};
    LeaseRounds rounds;
    const LeaseRoundRequest old = rounds.begin(first, "a", milliseconds(1000));
    rounds.answered("b", {old.round, 1, {}}, first);
    // The epoch changes: three of the earlier epoch are no two of this one.
    rounds.answered("c", {old.round, 1, {}}, second);
    rounds.answered("c", {old.round, 2, {}}, second);
    EXPECT_EQ(rounds.expiresAt(), 0);
    const LeaseRoundRequest present = rounds.begin(second, "a", milliseconds(1100));
    rounds.answered("b", {present.round, 1, {}}, second);
    rounds.answered("d", {present.round, 2, {}}, second);
    EXPECT_EQ(rounds.expiresAt(), 0);
    rounds.answered("b", {present.round, 2, {}}, second);
    EXPECT_EQ(rounds.expiresAt(), milliseconds(1100) + LeaseRounds::leaseDuration);
}

TEST(Lease, RunsFromTheSendingHoweverLateAnAnswerIsRead) {
    Lone lone({{"core", voterSetJson(1, {"a", "b", "c"})}});
    lone.run(milliseconds(100));
    lone.hear(1, LeaseRoundReply{1, 1, {}}.toJson());
    EXPECT_GT(lone.lease(), 500);
    // Frozen for 20 s with an answer in its buffer: that ends long before, and nothing is told under it.
    lone.run(milliseconds(300));
    lone.now += milliseconds(20'000);
    lone.hear(1, LeaseRoundReply{2, 1, {}}.toJson());
    lone.said.clear();
    lone.hear(1, {{"k", "lease?"}, {"t", 1}});
    EXPECT_EQ(lone.said.at(0).at("left"), 0);
    EXPECT_EQ(lone.lease(), 0);
}

TEST(Lease, IsNotHadByAMemberThatWokeBeforeTheOthersAnswerAnew) {
    World world(3, 0, 8);
    world.run(milliseconds(2000));
    const std::string who = World::address(0);
    world.frozen.insert(who);
    world.run(milliseconds(1000));
    const auto call = world.put(World::address(1), 5, "x");
    world.run(milliseconds(19'000));
    ASSERT_TRUE(world.taken(World::address(1), call));
    world.frozen.clear();
    world.resume();
    for (int i = 0; i < 5; ++i) {
        const Json state = world.members[who].control->state(world.now);
        EXPECT_TRUE(state["lease_left_ms"] == 0 || state["edition"] == 5) << i;
        world.step();
    }
    world.run(milliseconds(500));
    EXPECT_GT(world.members[who].control->state(world.now)["lease_left_ms"], 0);
}

// ---- the recovery of an empty disk --------------------------------------------------------------------

TEST(Recovery, CountsVotersOfItsEpochOtherThanItself) {
    Lone lone;
    lone.hello(1, 4, {"a", "b", "c", "d", "e"});
    lone.run(milliseconds(1300));
    EXPECT_GT(lone.count("dump?"), 0u);
    lone.dump(1, 4);
    lone.dump(1, 4);
    lone.dump(2, 3);  // of an earlier epoch
    lone.dump(3, 5);
    EXPECT_FALSE(lone.votes());
    lone.dump(2, 4);
    EXPECT_FALSE(lone.votes());
    lone.dump(3, 4);
    EXPECT_TRUE(lone.votes());
    EXPECT_FALSE(lone.disk.at("core").value("recovering", false));
}

TEST(Recovery, CountsNoMemberWithoutAVote) {
    Lone lone;
    lone.hello(1, 4, {"a", "b", "c"});
    lone.run(milliseconds(1300));
    lone.dump(1, 4);
    lone.dump(3, 4);
    EXPECT_FALSE(lone.votes());
}

TEST(Recovery, GivesNoVoteBeforeItsEnd) {
    const VoterSet voterSet{4, {"a", "b", "c"}};
    VoteRequest request;
    request.name = "config";
    request.ballot = {3, {"b", "1", 1}};
    request.voterSet = voterSet;
    Lone lone;
    lone.hear(1, request.toJson());
    EXPECT_EQ(lone.count("abstains"), 1u);
    EXPECT_EQ(lone.count("promised"), 0u);
    EXPECT_FALSE(lone.round(4));
    lone.run(milliseconds(1300));
    for (const int link : {1, 2}) lone.dump(link, 4);
    lone.hear(1, request.toJson());
    EXPECT_EQ(lone.count("promised"), 1u);
    EXPECT_TRUE(lone.round(4));
    EXPECT_FALSE(lone.round(3));
    EXPECT_FALSE(lone.round(5));
}

TEST(Recovery, AsksOnlyOnceItsEarlierLifesAnswersAreOutOfUse) {
    Lone lone;
    lone.hello(1, 1, {"a", "b", "c"});
    lone.run(milliseconds(1100));
    EXPECT_EQ(lone.count("dump?"), 0u);
    for (const int link : {1, 2}) lone.dump(link, 1);
    EXPECT_FALSE(lone.votes());
    lone.run(milliseconds(200));
    EXPECT_EQ(lone.count("dump?"), 2u);
    EXPECT_FALSE(lone.votes());
}

TEST(Recovery, BeginsAnewInALaterEpoch) {
    Lone lone;
    lone.hello(1, 4, {"a", "b", "c"});
    lone.run(milliseconds(1300));
    lone.dump(1, 4);
    lone.hear(2, {{"k", "stale"}, {"e", 5}, {"c", {"a", "b", "c"}}});
    lone.run(milliseconds(50));
    lone.dump(2, 5);
    EXPECT_FALSE(lone.votes());
    lone.dump(1, 5);
    EXPECT_TRUE(lone.votes());
}

TEST(Recovery, GoesOnInItsNextLife) {
    Lone lone;
    lone.hello(1, 4, {"a", "b", "c"});
    lone.run(milliseconds(1300));
    lone.dump(1, 4);
    Lone next(lone.disk, lone.now);
    EXPECT_FALSE(next.votes());
    next.run(milliseconds(1300));
    next.dump(2, 4);
    EXPECT_FALSE(next.votes());
    next.dump(1, 4);
    EXPECT_TRUE(next.votes());
}

// The epoch first heard may be an old one, from a member that is cut off, in which this member had no vote.
// Whatever it hears there, it does not vote in a later epoch without having read that one's state.
TEST(Recovery, IsNotSkippedByHearingAnOldEpochFirst) {
    Lone lone;
    lone.hello(1, 4, {"b", "c", "d"});
    lone.run(milliseconds(1500));
    lone.dump(1, 4);
    lone.hello(2, 6, {"a", "c", "d", "e"});
    EXPECT_FALSE(lone.votes());
    lone.run(milliseconds(100));
    for (const int link : {2, 3}) lone.dump(link, 6);
    EXPECT_FALSE(lone.votes());
    lone.dump(4, 6);
    EXPECT_TRUE(lone.votes());
}

// A majority of an old epoch that has not heard of the next holds the next's acceptance all the same.
TEST(Recovery, DoesNotEndInAnEpochThatMayBeOver) {
    Lone lone;
    lone.hello(1, 4, {"a", "b", "c"});
    lone.run(milliseconds(1300));
    lone.dump(1, 4, {{"core", slotOf(9, voterSetJson(5, {"a", "b", "c", "d"}))}});
    lone.dump(2, 4);
    EXPECT_FALSE(lone.votes());
    // It finds out whether that was chosen, in case that nobody else does.
    EXPECT_EQ(lone.count("prepare"), 0u);
    lone.run(milliseconds(350));
    EXPECT_EQ(lone.count("prepare"), 2u);
    lone.hear(2, {{"k", "stale"}, {"e", 5}, {"c", {"a", "b", "c", "d"}}});
    lone.run(milliseconds(50));
    for (const int link : {1, 2, 3}) lone.dump(link, 5);
    EXPECT_TRUE(lone.votes());
}

TEST(Recovery, IsAnsweredOnlyInTheEpochThatItAsksIn) {
    Lone lone({{"core", voterSetJson(5, {"a", "b", "c"})}});
    lone.said.clear();
    lone.hear(1, {{"k", "dump?"}, {"e", 4}, {"c", {"a", "b", "c", "d"}}});
    EXPECT_EQ(lone.count("dump"), 0u);
    EXPECT_EQ(lone.count("stale"), 1u);
    lone.hear(1, {{"k", "dump?"}, {"e", 6}, {"c", {"a", "b", "c", "d"}}});
    EXPECT_EQ(lone.count("dump"), 1u);
    EXPECT_EQ(lone.member->state(lone.now)["epoch"], 6);
}

TEST(Votes, AreGivenInThePresentEpochOnly) {
    Lone lone({{"core", voterSetJson(5, {"a", "b", "c"})}});
    VoteRequest request;
    request.name = "config";
    request.ballot = {3, {"b", "1", 1}};
    request.voterSet = {4, {"a", "b", "c", "d"}};
    lone.hear(1, request.toJson());
    EXPECT_EQ(lone.count("promised"), 0u);
    EXPECT_EQ(lone.count("stale"), 1u);
    request.voterSet = {6, {"a", "b", "c", "d"}};
    lone.hear(1, request.toJson());
    EXPECT_EQ(lone.count("promised"), 1u);
    EXPECT_EQ(lone.member->state(lone.now)["epoch"], 6);
}

TEST(Recovery, IsNotAnsweredByAMemberThatDoesNotVote) {
    for (const bool recovering : {false, true}) {
        Json voterSet = voterSetJson(5, {"a", "b", "c"});
        if (recovering) voterSet["recovering"] = true;
        Lone lone({{"core", voterSet}});
        lone.hear(1, {{"k", "dump?"}, {"e", 5}, {"c", {"a", "b", "c"}}});
        EXPECT_EQ(lone.count("dump"), recovering ? 0u : 1u);
    }
}

// One that comes with an empty disk and reaches one voter alone may have voted in an epoch that this one
// does not know of: the others wait. (Given a vote, it could not use it, and the majority would be larger.)
TEST(Recovery, OfAMemberThatComesGoesBeforeItsVote) {
    World world(3, 0, 5);
    world.run(milliseconds(2000));
    const std::string fourth = World::address(3);
    world.members[fourth].settings = world.members[World::address(0)].settings;
    world.members[fourth].settings.controlListenAddress = fourth;
    world.members[fourth].settings.firstBoot = false;
    for (const int other : {1, 2}) world.cut.insert({World::address(other), fourth});
    world.start(fourth);
    world.run(milliseconds(3000));
    EXPECT_EQ(world.members[World::address(0)].control->state(world.now)["voters"].size(), 3u);
    world.cut.clear();
    world.kill(World::address(2));
    world.run(milliseconds(3000));
    // It has taken the place of the one that is gone.
    const Json state = world.members[fourth].control->state(world.now);
    EXPECT_EQ(state["voters"], Json({World::address(0), World::address(1), fourth}));
    EXPECT_TRUE(state["votes"]);
}

TEST(Recovery, OfAMemberWithoutAVoteReadsOnlyWhetherTheEpochStands) {
    Lone lone;
    lone.hello(1, 4, {"b", "c", "d"});
    lone.run(milliseconds(100));
    EXPECT_EQ(lone.said.back().value("only", ""), "core");
    for (const int link : {1, 2}) lone.dump(link, 4);
    EXPECT_FALSE(lone.member->state(lone.now)["recovering"]);
    lone.hear(1, {{"k", "stale"}, {"e", 5}, {"c", {"a", "b", "c", "d"}}});
    EXPECT_TRUE(lone.votes());
}

// Two of five and two of nine disks are lost, at once or one after the other; what was acknowledged stays.
TEST(Recovery, OfTwoDisksKeepsWhatWasAcknowledged) {
    for (const int size : {5, 9})
        for (const Nanoseconds apart :
             {milliseconds(0), milliseconds(1), milliseconds(700), milliseconds(1250), milliseconds(3000)}) {
            World world(3, size - 3, 21);
            world.run(milliseconds(1500 + 900 * size));
            const std::string reader = World::address(size - 1);
            ASSERT_EQ(world.members[reader].control->state(world.now)["voters"].size(),
                      static_cast<std::size_t>(size));
            // Accepted by a bare majority with both of the disks that go.
            for (int i = size / 2 + 1; i < size; ++i)
                for (int j = 0; j < size; ++j)
                    if (i != j) world.cut.insert({World::address(i), World::address(j)});
            const auto call = world.put(World::address(2), 5, "kept");
            world.run(milliseconds(300));
            ASSERT_TRUE(world.taken(World::address(2), call));
            world.cut.clear();
            for (const int lost : {0, 1}) {
                world.kill(World::address(lost), true);
                world.start(World::address(lost));
                if (lost == 0) world.run(apart);
            }
            world.run(milliseconds(4000));
            for (const int lost : {0, 1})
                EXPECT_TRUE(world.members[World::address(lost)].control->state(world.now)["votes"]);
            // The two and those who had not heard of it are a majority by now.
            for (int i = 2; i < size / 2 + 1; ++i) world.kill(World::address(i));
            world.run(milliseconds(1000));
            const auto read = world.get(reader);
            ASSERT_TRUE(read) << size << " " << apart;
            EXPECT_EQ(read->at("mark"), "kept") << size << " " << apart;
        }
}

// One of five is gone for good and another comes for it: two changes of voters. A disk is lost at each step
// of them.
TEST(Recovery, DuringAChangeOfVotersKeepsWhatWasAcknowledged) {
    int changed = 0;
    for (int at = 0; at < 40; ++at) {
        World world(3, 2, 5);
        world.run(milliseconds(5000));
        const std::string gone = World::address(4), successor = World::address(5);
        const Json before = world.members[gone].control->state(world.now);
        ASSERT_EQ(before["voters"].size(), 5u);
        const auto call = world.put(World::address(2), 5, "kept");
        world.run(milliseconds(100));
        ASSERT_TRUE(world.taken(World::address(2), call));
        world.members[successor].settings = world.members[World::address(0)].settings;
        world.members[successor].settings.controlListenAddress = successor;
        world.members[successor].settings.firstBoot = false;
        world.kill(gone);
        world.start(successor);
        world.run(milliseconds(800) + milliseconds(50) * at);
        const std::string lost = World::address(at % 4);
        world.kill(lost, true);
        world.run(milliseconds(30));
        world.start(lost);
        world.run(milliseconds(6000));
        for (const int i : {0, 1, 2, 3, 5}) {
            const Json state = world.members[World::address(i)].control->state(world.now);
            EXPECT_EQ(state["voters"].size(), 5u) << at << " " << i;
            EXPECT_FALSE(state["voters"].dump().find(successor) == std::string::npos) << at << " " << i;
            EXPECT_TRUE(state["votes"]) << at << " " << i;
            changed += state["epoch"] == before["epoch"].get<int>() + 2;
        }
        const auto read = world.get(lost);
        ASSERT_TRUE(read) << at;
        EXPECT_EQ(read->at("mark"), "kept") << at;
    }
    EXPECT_GT(changed, 0);
}
}  // namespace
