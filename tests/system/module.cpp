// What the module of both programs learnt for the system: lanes that come, a lead that is told, a position
// that is lowered, the near replica of either tier, and how long a late statement is held.
#include <gtest/gtest.h>

#include "router.hpp"
#include "standins/outlet.hpp"

namespace {
using namespace granitereel;

struct Sink : granitereel::standins::SilentOutlet {
    void startAttempt(const std::string& t, const std::string& s, Nanoseconds) override {
        launched.emplace_back(t, s);
    }
    void reject(const std::string& t, Nanoseconds) override { nacked.push_back(t); }
    void reportIndeterminate(const std::string& t) override { nacked.push_back(t); }
    void probe(const std::string& s) override { probed.push_back(s); }
    std::vector<std::pair<std::string, std::string>> launched;
    std::vector<std::string> nacked, probed;
};

TransactionClass lane(const char* name, Consistency need, Nanoseconds goal,
                      RetrySafety effect = RetrySafety::idempotent) {
    TransactionClass made;
    made.name = name;
    made.consistency = need;
    made.retrySafety = effect;
    made.targetLatency = goal;
    made.timeout = milliseconds(1000);
    made.maxStaleness = milliseconds(1500);
    made.lateValueShare = 0.3;
    return made;
}

// A primary "p" in zone 1 and replicas "near" in zone 0, where the front is, and "far" in zone 2.
struct Rig {
    Sink sink;
    Nanoseconds now = milliseconds(10'000);
    RoutingConfig charter;
    std::unique_ptr<Router> front;
    explicit Rig(bool nearAnyTier, double holdShare = 0.5) {
        charter.maxAttempts = 4;
        charter.probesAllowed = charter.cancelAllowed = true;
        charter.crossZoneCost = 0.01;
        charter.preferZoneOverTier = nearAnyTier;
        charter.maxQueueShare = holdShare;
        front = std::make_unique<Router>(charter, 1, now, sink);
        front->listBegins(true);
        front->listEntry("far", 1, 2, StoreState::up, 0, false);
        front->listEntry("near", 1, 0, StoreState::up, 0, false);
        front->listEntry("p", 1, 1, StoreState::up, 0, false);
        front->listEnds();
        front->setDecidedPrimary(1, "p");
        for (const char* store : {"near", "far"}) front->storeReported(store, now, {});
    }
    std::string take(const std::string& id, const TransactionClass& of) {
        const std::size_t before = sink.launched.size();
        front->setTime(now);
        front->submit(id, front->indexOfClass(of), "", milliseconds(1000), 1, {});
        return sink.launched.size() > before ? sink.launched.back().second : "";
    }
    void end(const std::string& id, const std::string& store) {
        front->setTime(now += milliseconds(5));
        front->attemptEnded(id, 0, store, AttemptOutcome::succeeded, milliseconds(5), Role::unknown, {},
                            true);
    }
};

TEST(Module, KeepsALanesNumberAsOthersCome) {
    Rig rig(false);
    const int board = rig.front->indexOfClass(lane("board", Consistency::bounded, milliseconds(800)));
    const int write =
        rig.front->indexOfClass(lane("write", Consistency::write, milliseconds(200), RetrySafety::unsafe));
    EXPECT_EQ(rig.front->indexOfClass(lane("board", Consistency::bounded, milliseconds(800))), board);
    EXPECT_NE(board, write);
    // Reads that are out when another lane takes their tier are counted off where they were counted: else its
    // replica would look full for ever.
    const TransactionClass quick = lane("quick", Consistency::bounded, milliseconds(100));
    const std::string store = rig.take("a", lane("board", Consistency::bounded, milliseconds(800)));
    ASSERT_FALSE(store.empty());
    EXPECT_EQ(rig.take("b", lane("board", Consistency::bounded, milliseconds(800))), store);
    rig.front->indexOfClass(quick);
    rig.end("a", store);
    rig.end("b", store);
    EXPECT_EQ(rig.take("c", quick), store);
    EXPECT_EQ(rig.take("d", quick), store);
}

TEST(Module, SendsWritesToWhomItIsToldLeads) {
    Rig rig(false);
    const TransactionClass write = lane("write", Consistency::write, milliseconds(200), RetrySafety::unsafe);
    EXPECT_EQ(rig.take("a", write), "p");
    rig.end("a", "p");
    rig.front->setDecidedPrimary(1, "far");
    EXPECT_EQ(rig.take("b", write), "far");
    EXPECT_EQ(rig.front->primaryOf(1), "far");
    rig.front->setDecidedPrimary(1, "");
    EXPECT_FALSE(rig.front->primaryOf(1));
}

TEST(Module, BelievesAStoreThatSaysItLags) {
    Rig rig(true);
    const TransactionClass board = lane("board", Consistency::bounded, milliseconds(800));
    EXPECT_EQ(rig.take("a", board), "near");
    rig.end("a", "near");
    rig.front->storeLags("near", milliseconds(1));
    rig.front->storeLags("far", milliseconds(1));
    rig.sink.probed.clear();
    EXPECT_EQ(rig.take("b", board), "p");
    rig.end("b", "p");
    // It is asked again, but not at each read.
    EXPECT_EQ(rig.take("c", board), "p");
    EXPECT_LE(rig.sink.probed.size(), 2u);
}

TEST(Module, ReadsTheNearReplicaOfEitherTierWhileItIsLittleUsed) {
    const TransactionClass premium = lane("own", Consistency::bounded, milliseconds(200)),
                           freemium = lane("board", Consistency::bounded, milliseconds(800));
    int farWithout = 0, farWith = 0;
    for (const bool on : {false, true}) {
        Rig rig(on);
        rig.front->indexOfClass(premium);
        rig.front->indexOfClass(freemium);
        for (const TransactionClass* each : {&premium, &freemium}) {
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
        rig.front->setDecidedPrimary(1, "");
        for (const char* store : {"near", "far", "p"}) rig.front->storeReported(store, rig.now, false);
        const Nanoseconds began = rig.now;
        EXPECT_EQ(rig.take("w", lane("write", Consistency::write, milliseconds(200), RetrySafety::unsafe)),
                  "");
        while (rig.sink.nacked.empty() && rig.now - began < milliseconds(1000)) {
            rig.front->setTime(rig.now += milliseconds(5));
            rig.front->timerFired(0);
        }
        ASSERT_EQ(rig.sink.nacked.size(), 1u);
        EXPECT_LE(rig.now - began, static_cast<Nanoseconds>(share * 1e9));
        EXPECT_GE(rig.now - began, static_cast<Nanoseconds>(share * 1e9) - milliseconds(60));
    }
}
}  // namespace
