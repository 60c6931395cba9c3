// What the module of both programs learnt for the system: lanes that come, a lead that is told, a position
// that is lowered, the near replica of either tier, and how long a late statement is held.
#include <gtest/gtest.h>

#include "front.hpp"
#include "standins/outlet.hpp"

namespace {
using namespace granitereel;

struct Sink : granitereel::standins::SilentOutlet {
    void launch(const std::string& t, const std::string& s, Nanos) override { launched.emplace_back(t, s); }
    void nack(const std::string& t, Nanos) override { nacked.push_back(t); }
    void writeOff(const std::string& t) override { nacked.push_back(t); }
    void probe(const std::string& s) override { probed.push_back(s); }
    std::vector<std::pair<std::string, std::string>> launched;
    std::vector<std::string> nacked, probed;
};

Lane lane(const char* name, Need need, Nanos goal, Effect effect = Effect::harmless) {
    Lane made;
    made.name = name;
    made.need = need;
    made.effect = effect;
    made.goalTime = goal;
    made.cutOff = millis(1000);
    made.bound = millis(1500);
    made.lateShare = 0.3;
    return made;
}

// A primary "p" in zone 1 and replicas "near" in zone 0, where the front is, and "far" in zone 2.
struct Rig {
    Sink sink;
    Nanos now = millis(10'000);
    Charter charter;
    std::unique_ptr<Front> front;
    explicit Rig(bool nearAnyTier, double holdShare = 0.5) {
        charter.launchLimit = 4;
        charter.mayProbe = charter.mayCancel = true;
        charter.crossingCost = 0.01;
        charter.nearAnyTier = nearAnyTier;
        charter.holdShare = holdShare;
        front = std::make_unique<Front>(charter, 1, now, sink);
        front->listBegins(true);
        front->listEntry("far", 1, 2, Standing::up, 0, false);
        front->listEntry("near", 1, 0, Standing::up, 0, false);
        front->listEntry("p", 1, 1, Standing::up, 0, false);
        front->listEnds();
        front->leads(1, "p");
        for (const char* store : {"near", "far"}) front->reported(store, now, {});
    }
    std::string take(const std::string& id, const Lane& of) {
        const std::size_t before = sink.launched.size();
        front->clock(now);
        front->take(id, front->lane(of), "", millis(1000), 1, {});
        return sink.launched.size() > before ? sink.launched.back().second : "";
    }
    void end(const std::string& id, const std::string& store) {
        front->clock(now += millis(5));
        front->ended(id, 0, store, Ending::delivered, millis(5), Role::unknown, {}, true);
    }
};

TEST(Module, KeepsALanesNumberAsOthersCome) {
    Rig rig(false);
    const int board = rig.front->lane(lane("board", Need::bounded, millis(800)));
    const int write = rig.front->lane(lane("write", Need::write, millis(200), Effect::oneShot));
    EXPECT_EQ(rig.front->lane(lane("board", Need::bounded, millis(800))), board);
    EXPECT_NE(board, write);
    // Reads that are out when another lane takes their tier are counted off where they were counted: else its
    // replica would look full for ever.
    const Lane quick = lane("quick", Need::bounded, millis(100));
    const std::string store = rig.take("a", lane("board", Need::bounded, millis(800)));
    ASSERT_FALSE(store.empty());
    EXPECT_EQ(rig.take("b", lane("board", Need::bounded, millis(800))), store);
    rig.front->lane(quick);
    rig.end("a", store);
    rig.end("b", store);
    EXPECT_EQ(rig.take("c", quick), store);
    EXPECT_EQ(rig.take("d", quick), store);
}

TEST(Module, SendsWritesToWhomItIsToldLeads) {
    Rig rig(false);
    const Lane write = lane("write", Need::write, millis(200), Effect::oneShot);
    EXPECT_EQ(rig.take("a", write), "p");
    rig.end("a", "p");
    rig.front->leads(1, "far");
    EXPECT_EQ(rig.take("b", write), "far");
    EXPECT_EQ(rig.front->primaryOf(1), "far");
    rig.front->leads(1, "");
    EXPECT_FALSE(rig.front->primaryOf(1));
}

TEST(Module, BelievesAStoreThatSaysItLags) {
    Rig rig(true);
    const Lane board = lane("board", Need::bounded, millis(800));
    EXPECT_EQ(rig.take("a", board), "near");
    rig.end("a", "near");
    rig.front->lags("near", millis(1));
    rig.front->lags("far", millis(1));
    rig.sink.probed.clear();
    EXPECT_EQ(rig.take("b", board), "p");
    rig.end("b", "p");
    // It is asked again, but not at each read.
    EXPECT_EQ(rig.take("c", board), "p");
    EXPECT_LE(rig.sink.probed.size(), 2u);
}

TEST(Module, ReadsTheNearReplicaOfEitherTierWhileItIsLittleUsed) {
    const Lane premium = lane("own", Need::bounded, millis(200)),
               freemium = lane("board", Need::bounded, millis(800));
    int farWithout = 0, farWith = 0;
    for (const bool on : {false, true}) {
        Rig rig(on);
        rig.front->lane(premium);
        rig.front->lane(freemium);
        for (const Lane* each : {&premium, &freemium}) {
            const std::string store = rig.take(each->name, *each);
            (on ? farWith : farWithout) += store == "far";
            rig.end(each->name, store);
        }
        if (!on) continue;
        // At the threshold its own tier's replica takes over, wherever it stands.
        int near = 0, far = 0;
        for (int i = 0; i < 6; ++i) {
            const std::string store = rig.take("m" + std::to_string(i), i % 2 ? premium : freemium);
            near += store == "near";
            far += store == "far";
        }
        EXPECT_GE(near, 2);
        EXPECT_GE(far, 1);
    }
    EXPECT_EQ(farWithout, 1);
    EXPECT_EQ(farWith, 0);
}

TEST(Module, GivesUpLateStatementsWithinTheirShare) {
    for (const double share : {0.5, 0.45}) {
        Rig rig(false, share);
        rig.front->leads(1, "");
        for (const char* store : {"near", "far", "p"}) rig.front->reported(store, rig.now, false);
        const Nanos began = rig.now;
        EXPECT_EQ(rig.take("w", lane("write", Need::write, millis(200), Effect::oneShot)), "");
        while (rig.sink.nacked.empty() && rig.now - began < millis(1000)) {
            rig.front->clock(rig.now += millis(5));
            rig.front->woke(0);
        }
        ASSERT_EQ(rig.sink.nacked.size(), 1u);
        EXPECT_LE(rig.now - began, static_cast<Nanos>(share * 1e9));
        EXPECT_GE(rig.now - began, static_cast<Nanos>(share * 1e9) - millis(60));
    }
}
}  // namespace
