// The proxy's state machine against stand-in databases: one backend for a transaction, one outcome for each
// statement, no promise broken, no read too old.
#include <gtest/gtest.h>

#include <algorithm>

#include "standins/poolerrig.hpp"

namespace {
using granitereel::milliseconds;
using granitereel::Nanoseconds;
using granitereel::standins::PoolerRig;
using Lines = std::vector<std::string>;

std::string first(const Lines& lines) {
    return lines.empty() ? "" : lines.front();
}
std::string state(const Lines& lines) {
    return lines.empty() || !lines.back().starts_with("READY ") ? "" : lines.back().substr(6, 1);
}

TEST(Pooler, RefusesWhatTheConfigurationDoesNotName) {
    PoolerRig rig;
    const int lost = rig.client("nowhere");
    EXPECT_EQ(first(rig.told(lost)).substr(0, 14), "ERROR NOSUCHDB");
    EXPECT_TRUE(rig.ended(lost));
    // A route that goes binds from the next transaction on.
    const int c = rig.client("bounded");
    rig.told(c);
    rig.ask(c, "QUERY b1 BEGIN READ");
    rig.config(2, false);
    EXPECT_EQ(first(rig.ask(c, "QUERY r1 READ x")).substr(0, 3), "ROW");
    EXPECT_EQ(first(rig.ask(c, "QUERY c1 COMMIT")).substr(0, 4), "DONE");
    EXPECT_EQ(first(rig.ask(c, "QUERY r2 READ x")).substr(0, 14), "ERROR NOSUCHDB");
    rig.config(1, true);  // an older one is never gone back to
    EXPECT_EQ(first(rig.ask(c, "QUERY r3 READ x")).substr(0, 14), "ERROR NOSUCHDB");
}

TEST(Pooler, KeepsATransactionOnOneConnectionAndSharesLookups) {
    PoolerRig rig;
    const int a = rig.client(), b = rig.client();
    rig.told(a), rig.told(b);
    EXPECT_EQ(first(rig.ask(a, "QUERY a1 BEGIN")), "DONE -");
    EXPECT_EQ(state(rig.ask(a, "QUERY a2 WRITE x 1")), "T");
    EXPECT_EQ(state(rig.ask(b, "QUERY b1 WRITE y 2")), "I");
    EXPECT_EQ(state(rig.ask(a, "QUERY a3 READ x")), "T");
    EXPECT_EQ(first(rig.ask(a, "QUERY a4 COMMIT")).substr(0, 10), "DONE stamp");
    const auto line = rig.databases.ranOn("a2");
    ASSERT_EQ(line.size(), 1u);
    EXPECT_EQ(rig.databases.ranOn("a3"), line);
    EXPECT_EQ(rig.databases.ranOn("a4"), line);
    EXPECT_NE(rig.databases.ranOn("b1"), line);
    EXPECT_EQ(rig.databases.effects("a2"), 1);
    // Once it has ended, its connection serves others.
    const std::size_t open = rig.open();
    rig.ask(b, "QUERY b2 WRITE y 3");
    EXPECT_EQ(rig.open(), open);
}

TEST(Pooler, MakesSessionValuesAndNamesRightWhereverItRuns) {
    PoolerRig rig;
    const int a = rig.client(), b = rig.client();
    rig.told(a), rig.told(b);
    rig.ask(a, "QUERY a1 SET zone north");
    rig.ask(a, "QUERY a2 PARSE s READ shapeA");
    rig.ask(b, "QUERY b1 PARSE s WRITE shapeB");
    for (int i = 0; i < 3; ++i) {
        EXPECT_NE(first(rig.ask(a, "QUERY ar" + std::to_string(i) + " EXECUTE s k")).find("zone=north"),
                  std::string::npos);
        EXPECT_EQ(first(rig.ask(b, "QUERY bw" + std::to_string(i) + " EXECUTE s k v")).substr(0, 4), "DONE");
        EXPECT_EQ(first(rig.ask(b, "QUERY br" + std::to_string(i) + " READ k")).find("zone="),
                  std::string::npos);
    }
    EXPECT_EQ(rig.databases.effects("bw0"), 1);
    EXPECT_EQ(first(rig.ask(a, "QUERY a9 EXECUTE t k")).substr(0, 13), "ERROR UNKNOWN");
    rig.ask(a, "QUERY a10 CLOSE s");
    EXPECT_EQ(first(rig.ask(a, "QUERY a11 EXECUTE s k")).substr(0, 13), "ERROR UNKNOWN");
}

TEST(Pooler, TellsALostWriteInDoubtAndRunsItOnce) {
    PoolerRig rig;
    const int c = rig.client();
    rig.told(c);
    rig.databases.loseNextAnswer("s0");
    const Lines told = rig.ask(c, "QUERY w1 WRITE x 1");
    EXPECT_EQ(first(told).substr(0, 13), "ERROR INDOUBT");
    EXPECT_EQ(state(told), "I");
    EXPECT_EQ(rig.databases.effects("w1"), 1);
    // A read whose answer is lost is harmless and ends as a promise, or is answered from elsewhere.
    rig.databases.loseNextAnswer("s0");
    EXPECT_NE(first(rig.ask(c, "QUERY r1 READ x")).substr(0, 13), "ERROR INDOUBT");
}

TEST(Pooler, EndsATransactionWithItsStore) {
    PoolerRig rig;
    const int c = rig.client();
    rig.told(c);
    rig.ask(c, "QUERY b1 BEGIN");
    rig.ask(c, "QUERY w1 WRITE x 1");
    rig.cutAll("s0");
    Lines told = rig.ask(c, "QUERY w2 WRITE x 2");
    EXPECT_EQ(first(told).substr(0, 15), "ERROR MALFORMED");
    EXPECT_EQ(state(told), "E");
    told = rig.ask(c, "QUERY c1 COMMIT");
    EXPECT_EQ(first(told).substr(0, 13), "ERROR ABORTED");
    EXPECT_EQ(state(told), "I");
    EXPECT_EQ(rig.databases.effects("w1"), 0);
}

TEST(Pooler, RollsBackWhatItsClientLeftAndWhatRests) {
    PoolerRig rig;
    const int a = rig.client(), b = rig.client();
    rig.told(a), rig.told(b);
    rig.ask(a, "QUERY b1 BEGIN");
    rig.ask(a, "QUERY w1 WRITE x 1");
    rig.leave(a);
    rig.run();
    rig.ask(b, "QUERY w2 WRITE x 2");
    EXPECT_EQ(rig.databases.effects("w1"), 0);
    EXPECT_EQ(rig.databases.effects("w2"), 1);
    rig.ask(b, "QUERY b3 BEGIN");
    rig.ask(b, "QUERY w3 WRITE x 3");
    rig.run(milliseconds(3200));        // tx_idle_ms is 3,000
    EXPECT_EQ(rig.told(b).size(), 0u);  // nothing is said unasked
    EXPECT_EQ(state(rig.ask(b, "QUERY w4 WRITE x 4")), "E");
    EXPECT_EQ(state(rig.ask(b, "QUERY a5 ABORT")), "I");
    EXPECT_EQ(rig.databases.effects("w3"), 0);
}

TEST(Pooler, ReadsTheLeadWithoutALeaseOnlyUnderProof) {
    PoolerRig rig;
    const int c = rig.client();
    rig.told(c);
    rig.leases = false;
    rig.pass(milliseconds(1000));
    const auto before = rig.pooler->counters().guarded;
    EXPECT_EQ(first(rig.ask(c, "QUERY r1 READ x")).substr(0, 3), "ROW");
    EXPECT_EQ(rig.pooler->counters().guarded, before + 1);
    // Unheard of here, another leads: the old lead refuses within a transaction, so nothing stale is read.
    ASSERT_TRUE(rig.databases.promote("s1"));
    const Lines told = rig.ask(c, "QUERY r2 READ x");
    EXPECT_EQ(first(told).substr(0, 10), "ERROR BUSY") << first(told);
    rig.lead("s1");
    EXPECT_EQ(first(rig.ask(c, "QUERY r3 READ x")).substr(0, 3), "ROW");
}

// The agent answers questions for the lease, and may hold a newer lead that has not come yet.
TEST(Pooler, BelievesNoLeaseBeforeItHasWhatTheAgentHeld) {
    PoolerRig rig;
    const int c = rig.client();
    rig.told(c);
    rig.pooler->onAgentDisconnected();
    rig.exchanges = false;
    rig.pooler->onAgentConnected(rig.now);
    rig.pass(milliseconds(1000));
    const auto before = rig.pooler->counters().guarded;
    EXPECT_EQ(first(rig.ask(c, "QUERY r1 READ x")).substr(0, 3), "ROW");
    EXPECT_EQ(rig.pooler->counters().guarded, before + 1);
    rig.exchanges = true;
    rig.pass(milliseconds(4000));  // the exchange is begun again
    EXPECT_EQ(first(rig.ask(c, "QUERY r2 READ x")).substr(0, 3), "ROW");
    EXPECT_EQ(rig.pooler->counters().guarded, before + 1);
}

TEST(Pooler, ReadsReplicasOnlyBehindAPositionThatIsYoungEnough) {
    PoolerRig rig;
    const int w = rig.client(), r = rig.client("bounded"), m = rig.client("mine");
    rig.told(w), rig.told(r), rig.told(m);
    rig.databases.slow("s1", true);
    rig.databases.slow("s2", true);
    for (int i = 0; i < 5; ++i) {
        rig.ask(w, "QUERY w" + std::to_string(i) + " WRITE x 1");
        rig.run(milliseconds(100));
    }
    rig.run(milliseconds(1600));
    rig.ask(w, "QUERY wl WRITE x 1");
    // Both replicas have applied none of what is older than 1.5 s: they say so, and the lead answers.
    EXPECT_EQ(first(rig.ask(r, "QUERY r1 READ x")), "ROW 6");
    // One's own commit is seen at once.
    EXPECT_EQ(first(rig.ask(m, "QUERY m1 WRITE x 2")).substr(0, 4), "DONE");
    EXPECT_EQ(first(rig.ask(m, "QUERY m2 READ x")), "ROW 7");
    rig.databases.slow("s1", false);
    rig.databases.slow("s2", false);
    EXPECT_EQ(first(rig.ask(m, "QUERY m3 READ x")), "ROW 7");
}

TEST(Pooler, GoesOnAtTheNextLeadAndDoublesNothing) {
    PoolerRig rig;
    const int open = rig.client(), idle = rig.client();
    rig.told(open), rig.told(idle);
    rig.ask(open, "QUERY b1 BEGIN");
    rig.ask(open, "QUERY w1 WRITE x 1");
    rig.databases.dark("s0", true);
    rig.say(open, "QUERY c1 COMMIT");
    rig.say(idle, "QUERY w2 WRITE y 1");
    rig.run(milliseconds(300));
    // Control hears of it before anyone else notices.
    EXPECT_TRUE(std::any_of(rig.toCourier.begin(), rig.toCourier.end(), [](const auto& m) {
        return m.value("k", "") == "suspect" && m.value("store", "") == "s0";
    }));
    ASSERT_TRUE(rig.databases.promote("s1"));
    rig.lead("s1");
    rig.run(milliseconds(100));
    EXPECT_EQ(first(rig.told(open)).substr(0, 13), "ERROR INDOUBT");
    // What never left for the old lead runs at the next, once.
    EXPECT_EQ(first(rig.told(idle)).substr(0, 4), "DONE");
    EXPECT_EQ(first(rig.ask(idle, "QUERY w3 WRITE y 1")).substr(0, 4), "DONE");
    rig.databases.dark("s0", false);
    rig.run(milliseconds(1500));
    EXPECT_EQ(rig.databases.effects("w1"), 0);
    EXPECT_EQ(rig.databases.effects("w2"), 1);
    EXPECT_EQ(rig.databases.effects("w3"), 1);
}

TEST(Pooler, AnswersBusyAtOnceWhereNothingCanRun) {
    PoolerRig rig;
    const int c = rig.client();
    rig.told(c);
    for (const std::string& store : rig.databases.names()) rig.databases.dark(store, true);
    const Nanoseconds before = rig.now;
    rig.say(c, "QUERY r1 READ x");
    for (int i = 0; i < 400 && rig.told(c).empty(); ++i) rig.run(milliseconds(5));
    EXPECT_LT(rig.now - before, milliseconds(1100));
}

TEST(Pooler, LeavesInOrder) {
    PoolerRig rig;
    const int rests = rig.client(), works = rig.client();
    rig.told(rests), rig.told(works);
    rig.ask(works, "QUERY b1 BEGIN");
    rig.ask(works, "QUERY w1 WRITE x 1");
    rig.pooler->beginShutdown(rig.now);
    EXPECT_FALSE(rig.pooler->ready());
    rig.run(milliseconds(2500));
    EXPECT_TRUE(rig.ended(rests));
    EXPECT_FALSE(rig.ended(works));
    EXPECT_EQ(first(rig.ask(works, "QUERY c1 COMMIT")).substr(0, 4), "DONE");
    rig.run(milliseconds(200));
    EXPECT_TRUE(rig.pooler->drained());
}

TEST(Pooler, NamesWhatIsMalformedAndHarmsNobody) {
    PoolerRig rig;
    const int c = rig.client();
    rig.told(c);
    for (const char* bad :
         {"QUERY q1 FLY x", "QUERY q2 READ", "QUERY - READ x", "QUERY q3 COMMIT", "QUERY q4 ABORT",
          "QUERY q5 PARSE s BOTH x", "QUERY q6 SET", "QUERY", "QUERY q7"}) {
        const Lines told = rig.ask(c, bad);
        EXPECT_EQ(first(told).substr(0, 15), "ERROR MALFORMED") << bad;
        EXPECT_EQ(state(told), "I") << bad;
    }
    EXPECT_EQ(first(rig.ask(c, "QUERY r1 READ x")).substr(0, 3), "ROW");
    rig.say(c, "HELLO");
    EXPECT_TRUE(rig.ended(c));
}

// Every order of seven kinds of event, up to six in a row, against the three claims: one connection for a
// transaction, one final answer for each statement asked, and no promise broken.
class Orders : public testing::TestWithParam<int> {};

struct Played {
    std::vector<int> events;
    std::string fault;
};

std::string playOne(const std::vector<int>& events) {
    PoolerRig rig;
    const int c = rig.client(), other = rig.client();
    rig.told(c);
    static const char* const script[] = {"BEGIN", "WRITE x 1", "COMMIT", "WRITE y 2", "READ x"};
    std::size_t asked = 0, answered = 0;
    std::vector<std::string> outcome(5);
    bool left = false;
    auto hear = [&] {
        std::string error;
        for (const std::string& line : rig.told(c)) {
            if (line.starts_with("ERROR ")) error = line.substr(6, line.find(' ', 6) - 6);
            if (!line.starts_with("READY ")) continue;
            if (answered >= asked) return std::string("an answer to nothing");
            outcome[answered++] = error.empty() ? "DONE" : std::exchange(error, "");
        }
        return std::string();
    };
    for (const int event : events) {
        switch (event) {
            case 0:  // the client's next statement, once the last is answered
                if (left || asked > answered || asked == 5 || rig.ended(c)) break;
                rig.say(c, "QUERY q" + std::to_string(asked) + " " + script[asked]);
                ++asked;
                break;
            case 1:  // something arrives
                rig.step();
                rig.step();
                rig.step();
                break;
            case 2:  // the lead's connections break
                rig.cutAll(rig.databases.lead());
                break;
            case 3:  // another leads, and it is heard of
                rig.databases.promote(rig.databases.lead() == "s0" ? "s1" : "s0");
                rig.lead(rig.databases.lead());
                break;
            case 4:
                if (!left) rig.leave(c);
                left = true;
                break;
            case 5:
                rig.pooler->beginShutdown(rig.now);
                break;
            case 6:  // an answer is lost, and time passes
                rig.databases.loseNextAnswer(rig.databases.lead());
                rig.run(milliseconds(1200));
                break;
        }
        if (const std::string fault = hear(); !fault.empty()) return fault;
    }
    rig.run(milliseconds(8000));
    if (const std::string fault = hear(); !fault.empty()) return fault;
    if (!left && answered < asked && !rig.ended(c)) return "a statement has no answer";
    const int w1 = rig.databases.effects("q1"), w3 = rig.databases.effects("q3");
    if (w1 > 1 || w3 > 1) return "a write took effect twice";
    const bool asksCommit = asked > 2;
    if (w1 && !asksCommit) return "committed what nobody asked to commit";
    auto promise = [](const std::string& o) {
        return o == "BUSY" || o == "ABORTED" || o == "READONLY" || o == "FULL";
    };
    if (answered > 2 && promise(outcome[2]) && w1) return "a promise was broken: " + outcome[2];
    if (answered > 2 && outcome[2] == "DONE" && outcome[1] == "DONE" && !w1)
        return "an acknowledged commit is lost";
    if (answered > 3 && promise(outcome[3]) && w3) return "a promise was broken: " + outcome[3];
    if (answered > 3 && outcome[3] == "DONE" && outcome[0] == "DONE" && !w3 && outcome[2] != "")
        return "a write is lost";
    const auto a = rig.databases.ranOn("q1"), b = rig.databases.ranOn("q2");
    if (a.size() > 1) return "a transaction's statement ran on two connections";
    if (!a.empty() && !b.empty() && a != b) return "a transaction was split";
    // Whatever happened, others are served.
    if (!rig.pooler->drained()) {
        rig.told(other);
        for (const std::string& store : rig.databases.names()) rig.databases.loseNextAnswer(store, false);
        if (!rig.ended(other)) {
            const Lines told = rig.ask(other, "QUERY o1 WRITE z 1");
            if (first(told).substr(0, 4) != "DONE") return "others are not served: " + first(told);
        }
    }
    return {};
}

TEST_P(Orders, KeepTheClaims) {
    // The first two events are the parameter's; four more in every order.
    std::vector<int> events{GetParam() / 7, GetParam() % 7, 0, 0, 0, 0};
    for (int rest = 0; rest < 7 * 7 * 7 * 7; ++rest) {
        for (int i = 0, r = rest; i < 4; ++i, r /= 7) events[2 + static_cast<std::size_t>(i)] = r % 7;
        // A client that has said BEGIN and its write is where it gets interesting: so each order is also
        // played behind that.
        std::vector<int> behind{0, 1, 0, 1};
        behind.insert(behind.end(), events.begin() + 2, events.end());
        const std::string fault = GetParam() == 0 ? playOne(behind) : rest % 7 == 0 ? playOne(events) : "";
        ASSERT_EQ(fault, "") << testing::PrintToString(GetParam() == 0 ? behind : events);
    }
}
INSTANTIATE_TEST_SUITE_P(All, Orders, testing::Range(0, 49, 4));
// The record of a front without contact may have been taken down, and its share of connections given to
// others.
TEST(Pooler, KeepsOneConnectionAStoreOnceItsRecordMayBeGone) {
    for (const bool contact : {true, false}) {
        PoolerRig rig;
        rig.leases = contact;
        rig.pass(granitereel::gossip::presumedExpiredAfter + milliseconds(5'000));
        for (int i = 0; i < 4; ++i) {
            const int client = rig.client("primary");
            rig.say(client, "QUERY b BEGIN");
            rig.say(client, "QUERY r READ x");
        }
        rig.run(milliseconds(100));
        std::size_t most = 0;
        for (const std::string& store : rig.databases.names())
            most = std::max(most, rig.linesTo(store).size());
        EXPECT_EQ(most > 1, contact) << most;
        EXPECT_GE(most, 1u);
    }
}
}  // namespace
