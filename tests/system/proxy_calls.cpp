// Every call between proxy and stores against faults: no answer reaches the wrong question, nothing that may
// not be repeated runs twice, no promise is broken, no read is older than its route allows.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

#include "standins/poolerrig.hpp"

namespace {
using granitereel::milliseconds;
using granitereel::Nanoseconds;
using granitereel::standins::Databases;
using granitereel::standins::Fault;
using granitereel::standins::PoolerRig;
using nlohmann::json;
using Lines = std::vector<std::string>;

std::string first(const Lines& lines) {
    return lines.empty() ? "" : lines.front();
}
std::string state(const Lines& lines) {
    return lines.empty() || !lines.back().starts_with("READY ") ? "" : lines.back().substr(6, 1);
}
std::string errorIn(const Lines& lines) {
    for (const std::string& line : lines)
        if (line.starts_with("ERROR ")) return line.substr(6, line.find(' ', 6) - 6);
    return "";
}
bool promises(const std::string& error) {
    static const std::set<std::string> promised{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISSENT", "FULL"};
    return promised.count(error) > 0;
}
// A fault for requests that contain `word`; others pass.
auto onRequest(std::string word, Fault fault) {
    return [word = std::move(word), fault](const std::string&, const std::string& request) {
        return request.find(word) == request.npos ? Fault() : fault;
    };
}
Fault answers(std::string bytes) {
    Fault fault;
    fault.arrives = false;
    fault.answer = std::move(bytes);
    return fault;
}
int opened(PoolerRig& rig, const std::string& database = "primary") {
    const int client = rig.client(database);
    rig.told(client);
    return client;
}
// A commit by somebody else, unseen by the proxy.
void commitElsewhere(PoolerRig& rig, const std::string& id) {
    const int connection = rig.databases.connect(rig.databases.lead());
    rig.databases.said(connection, "QUERY " + id + " WRITE x 1");
    rig.databases.closed(connection);
}

TEST(ProxyCalls, WhatAStoreSaysUnaskedIsNobodysAnswer) {
    for (const char* said : {"ROW forged\r\n", "DONE forged\r\n", "ERROR BUSY forged\r\n", "READY I 1.9\r\n",
                             "ROW forged\r\nDONE forged\r\nREADY I 1.9\r\n"}) {
        PoolerRig rig;
        const int c = opened(rig);
        rig.ask(c, "QUERY w1 WRITE x 1");
        for (const int line : rig.linesTo("s0")) rig.storeSays(line, said);
        const Lines told = rig.ask(c, "QUERY w2 WRITE x 2");
        EXPECT_EQ(rig.databases.stampedFor(first(told).substr(5)), "w2") << said << first(told);
        EXPECT_EQ(rig.databases.effects("w2"), 1) << said;
        const Lines read = rig.ask(c, "QUERY r1 READ x");
        EXPECT_EQ(read.size(), 3u) << said;
        EXPECT_EQ(first(read), "ROW 2") << said;
    }
}

TEST(ProxyCalls, AnAnswerInTheWrongFormIsNoSuccessAndNoPromise) {
    for (const char* bad :
         {"READY I 1.9\r\n", "ROW x\r\nREADY I 1.9\r\n", "DONE a\r\nDONE b\r\nREADY I 1.9\r\n",
          "DONE a\r\nROW x\r\nREADY I 1.9\r\n", "DONE a\r\nERROR BUSY b\r\nREADY I 1.9\r\n",
          "ERROR BUSY b\r\nDONE a\r\nREADY I 1.9\r\n", "DONE a\r\nREADY\r\n", "DONE a\r\nREADY X 1.9\r\n",
          "DONE\r\nREADY I 1.9\r\n", "HELLO\r\n"}) {
        PoolerRig rig;
        const int c = opened(rig);
        rig.ask(c, "QUERY w0 WRITE x 1");
        Fault fault;
        fault.answer = bad;  // the write runs, what is said of it is spoilt
        rig.fault = onRequest(" WRITE ", fault);
        const Lines told = rig.ask(c, "QUERY w1 WRITE x 1");
        EXPECT_EQ(errorIn(told), "INDOUBT") << bad;
        EXPECT_EQ(rig.databases.effects("w1"), 1) << bad;
        rig.fault = nullptr;
        EXPECT_EQ(first(rig.ask(c, "QUERY w2 WRITE x 1")).substr(0, 4), "DONE") << bad;
    }
}

TEST(ProxyCalls, ALineWhoseValuesWereNotTakenServesNobodyMore) {
    for (const char* what : {" SET ", " PARSE ", " RESET"}) {
        PoolerRig rig;
        const int a = opened(rig);
        if (std::string(what) == " RESET") {  // so that the line holds values which the next session lacks
            const int before = opened(rig);
            rig.ask(before, "QUERY v1 SET zone south");
            rig.ask(before, "QUERY v2 READ x");
            rig.leave(before);
        }
        rig.ask(a, "QUERY a1 SET hue red");
        rig.ask(a, "QUERY a2 PARSE s READ shape");
        rig.fault = onRequest(what, answers("ERROR BUSY x\r\nREADY I 1.0\r\n"));
        rig.holdsAnswers = true;
        rig.say(a, "QUERY a3 EXECUTE s k");
        while (rig.step()) {
        }
        rig.deliver();  // greetings, where the line is new
        while (rig.step()) {
        }
        rig.leave(a);  // in the middle of the preparation
        rig.holdsAnswers = false;
        rig.deliver();
        rig.run();
        rig.fault = nullptr;
        const int b = opened(rig);
        rig.ask(b, "QUERY b1 SET hue red");
        rig.ask(b, "QUERY b2 PARSE s READ shape");
        EXPECT_EQ(first(rig.ask(b, "QUERY b3 EXECUTE s k")), "ROW 0 hue=red") << what;
        EXPECT_EQ(rig.databases.runs().back().shape, "READ shape") << what;
    }
}

TEST(ProxyCalls, ABeginThatBeganNothingCarriesNoStatement) {
    PoolerRig rig;
    const int c = opened(rig);
    int begins = 0;
    rig.fault = [&](const std::string&, const std::string& request) {
        return request.ends_with(" BEGIN") && ++begins == 1 ? answers("DONE -\r\nREADY I 1.0\r\n") : Fault();
    };
    rig.ask(c, "QUERY b1 BEGIN");
    rig.ask(c, "QUERY w1 WRITE x 1");
    EXPECT_EQ(rig.databases.effects("w1"), 0);
    EXPECT_EQ(first(rig.ask(c, "QUERY c1 COMMIT")).substr(0, 4), "DONE");
    EXPECT_EQ(rig.databases.effects("w1"), 1);
}

TEST(ProxyCalls, ATransactionThatAStoreEndsUnaskedIsRolledBack) {
    PoolerRig rig;
    const int c = opened(rig);
    rig.ask(c, "QUERY b1 BEGIN");
    rig.ask(c, "QUERY w1 WRITE x 1");
    rig.fault = onRequest(" READ ", answers("ROW 0\r\nDONE r\r\nREADY I 1.0\r\n"));
    const Lines told = rig.ask(c, "QUERY r1 READ x");
    EXPECT_EQ(errorIn(told), "ABORTED");
    EXPECT_EQ(state(told), "E");
    EXPECT_EQ(errorIn(rig.ask(c, "QUERY c1 COMMIT")), "ABORTED");
    EXPECT_EQ(rig.databases.effects("w1"), 0);
}

TEST(ProxyCalls, AConnectionToWhereAStoreWasServesNobodyMore) {
    PoolerRig rig;
    const int c = opened(rig);
    rig.ask(c, "QUERY b1 BEGIN");
    rig.ask(c, "QUERY w1 WRITE x 1");
    rig.standing("s0", "accepting", "", "s1");
    EXPECT_EQ(first(rig.ask(c, "QUERY c1 COMMIT")).substr(0, 4), "DONE");
    rig.run();
    EXPECT_TRUE(rig.linesTo("s0").empty());
}

TEST(ProxyCalls, AnAnswerToOneWhoLeftMeetsNobodyElse) {
    for (const char* left : {"READ x", "WRITE y 1"}) {
        PoolerRig rig;
        const int a = opened(rig), b = opened(rig);
        rig.ask(a, "QUERY a0 WRITE x 1");
        rig.holdsAnswers = true;
        rig.say(a, std::string("QUERY a1 ") + left);
        while (rig.step()) {
        }
        rig.leave(a);
        rig.say(b, "QUERY b1 WRITE x 1");
        while (rig.step()) {
        }
        rig.holdsAnswers = false;
        rig.deliver();
        rig.run();
        EXPECT_EQ(rig.databases.stampedFor(first(rig.told(b)).substr(5)), "b1") << left;
        EXPECT_EQ(rig.databases.effects("b1"), 1) << left;
    }
}

TEST(ProxyCalls, ARollbackThatFailsOrStaysUnansweredEndsItsLine) {
    for (const bool silent : {false, true}) {
        PoolerRig rig;
        const int c = opened(rig);
        int aborts = 0;
        Fault lost;
        lost.arrives = false;
        rig.fault = [&](const std::string&, const std::string& request) {
            if (!request.ends_with(" ABORT") || ++aborts > 20) return Fault();
            return silent ? lost : answers("ERROR BUSY x\r\nREADY T 1.0\r\n");
        };
        rig.ask(c, "QUERY b1 BEGIN");
        rig.ask(c, "QUERY w1 WRITE x 1");
        const std::size_t open = rig.open();
        EXPECT_EQ(first(rig.ask(c, "QUERY a1 ABORT")), "DONE -");
        rig.run(milliseconds(5000));
        EXPECT_EQ(aborts, 1);
        EXPECT_LT(rig.open(), open);
        EXPECT_EQ(first(rig.ask(c, "QUERY w2 WRITE x 1")).substr(0, 4), "DONE");
        EXPECT_EQ(rig.databases.effects("w1"), 0);
    }
}

TEST(ProxyCalls, ANumberThatComesAgainIsAnotherSession) {
    for (const bool amidAnswer : {false, true}) {
        PoolerRig rig;
        const int c = opened(rig);
        rig.ask(c, "QUERY b1 BEGIN");
        rig.ask(c, "QUERY w1 WRITE x 1");
        rig.holdsAnswers = true;
        if (amidAnswer) rig.say(c, "QUERY r1 READ x");
        rig.step();
        rig.pooler->onClientConnected(c, rig.now);  // its end was not told
        rig.say(c, "GREET primary u");
        rig.told(c);
        rig.holdsAnswers = false;
        rig.deliver();
        rig.run();
        EXPECT_TRUE(rig.told(c).empty());
        EXPECT_EQ(std::count(rig.requests.begin(), rig.requests.end(), "QUERY - ABORT"), 1);
        EXPECT_EQ(state(rig.ask(c, "QUERY w2 WRITE x 1")), "I");
        EXPECT_EQ(rig.databases.effects("w1"), 0);
        EXPECT_EQ(rig.databases.effects("w2"), 1);
    }
}

TEST(ProxyCalls, AnAnswerAfterItsLineWasGivenUpMeetsNobody) {
    PoolerRig rig;
    const int a = opened(rig), b = opened(rig);
    rig.ask(a, "QUERY a0 WRITE x 1");
    rig.holdsAnswers = true;
    rig.say(a, "QUERY a1 READ x");
    rig.run(milliseconds(1200));  // over its deadline
    EXPECT_TRUE(promises(errorIn(rig.told(a))));
    rig.say(a, "QUERY a2 READ y");
    rig.run(milliseconds(10));
    rig.leave(a);
    rig.say(b, "QUERY b1 WRITE x 1");
    rig.run(milliseconds(10));
    rig.holdsAnswers = false;
    rig.deliver();
    rig.run(milliseconds(900));
    const Lines told = rig.told(b);
    ASSERT_EQ(told.size(), 2u);
    // The store was silent for long: a promise will do, but no answer of another's.
    const bool served = rig.databases.stampedFor(told[0].substr(5)) == "b1";
    EXPECT_TRUE(served || promises(errorIn(told))) << told[0];
    EXPECT_EQ(rig.databases.effects("b1"), served ? 1 : 0);
    rig.run(milliseconds(2000));
    EXPECT_EQ(rig.databases.stampedFor(first(rig.ask(b, "QUERY b2 WRITE x 1")).substr(5)), "b2");
}

// A commit that wrote nothing succeeds at a store that has lost the lead: its position covers nothing.
TEST(ProxyCalls, ACommitThatWroteNothingProvesNoLead) {
    PoolerRig rig;
    const int c = opened(rig), reader = opened(rig, "bounded");
    rig.ask(c, "QUERY w0 WRITE x 1");
    rig.ask(c, "QUERY b1 BEGIN");
    rig.ask(c, "QUERY r1 READ x");
    rig.leases = false;
    rig.pass(milliseconds(800));
    rig.databases.slow("s0", true);
    rig.databases.slow("s2", true);
    ASSERT_TRUE(rig.databases.promote("s1"));
    commitElsewhere(rig, "other");
    EXPECT_EQ(rig.databases.commits(), 2u);
    rig.pass(milliseconds(20));
    EXPECT_EQ(first(rig.ask(c, "QUERY c1 COMMIT")).substr(0, 4), "DONE");
    rig.pass(milliseconds(1490));  // the other's commit is now older than the route allows
    for (int i = 0; i < 6; ++i) {
        const Lines told = rig.ask(reader, "QUERY o" + std::to_string(i) + " READ x");
        EXPECT_TRUE(first(told) == "ROW 2" || errorIn(told) == "BUSY") << first(told);
    }
}

// A replica's greeting that comes once the store leads shows the position of a replica.
TEST(ProxyCalls, AGreetingProvesTheLeadOnlyOfWhoHadItWhenAsked) {
    PoolerRig rig;
    const int c = opened(rig), reader = opened(rig, "bounded");
    rig.ask(c, "QUERY w0 WRITE x 1");
    rig.cutAll("s1");
    rig.cutAll("s2");
    rig.databases.slow("s1", true);
    rig.databases.slow("s2", true);
    rig.pass(milliseconds(100));
    commitElsewhere(rig, "other");
    rig.pass(milliseconds(100));
    rig.holdsAnswers = true;
    rig.say(reader, "QUERY r1 READ x");
    while (rig.step()) {
    }
    rig.pass(milliseconds(100));
    ASSERT_FALSE(rig.linesTo("s1").empty() && rig.linesTo("s2").empty());
    const std::string next = rig.linesTo("s1").empty() ? "s2" : "s1";
    rig.databases.slow(next, false);
    ASSERT_TRUE(rig.databases.promote(next));
    rig.lead(next);
    rig.standing("s0", "");  // so that the one replica left is the one that lags
    rig.deliver();
    rig.holdsAnswers = false;
    rig.run(milliseconds(20));
    rig.leases = false;
    rig.pass(milliseconds(1340));  // so that 1,500 ms ago lies between the other's commit and the greeting
    rig.told(reader);
    for (int i = 0; i < 4; ++i) {
        const Lines told = rig.ask(reader, "QUERY o" + std::to_string(i) + " READ x");
        EXPECT_TRUE(first(told) == "ROW 2" || errorIn(told) == "BUSY") << first(told);
    }
    // 1.1 lacks the other's commit, which is older than the route allows to miss.
    for (const std::string& request : rig.requests)
        EXPECT_FALSE(request.starts_with("QUERY o") && request.find("AFTER 1.1 ") != request.npos) << request;
}

TEST(ProxyCalls, ARefusedCommitLeavesNoTransactionBehind) {
    PoolerRig rig;
    const int c = opened(rig);
    rig.ask(c, "QUERY b1 BEGIN");
    rig.ask(c, "QUERY w1 WRITE x 1");
    rig.ask(c, "QUERY s1 SET hue red");
    rig.fault = onRequest(" SET ", answers("ERROR BUSY x\r\nREADY T 1.0\r\n"));
    const Lines told = rig.ask(c, "QUERY c1 COMMIT");  // the value can't be made right before it
    EXPECT_EQ(errorIn(told), "ABORTED");
    EXPECT_EQ(state(told), "I");
    EXPECT_EQ(rig.databases.effects("w1"), 0);
}

// The outcome of COMMIT and of a single write against what the store did, whatever reaches it and whichever
// bytes of the answer come back, by a break, by silence and by news of another lead.
enum class End { cut, silence, newLead };

void endEverywhere(const std::string& word, End end, bool arrives, std::size_t bytes) {
    PoolerRig rig;
    const int c = opened(rig);
    rig.ask(c, "QUERY w0 WRITE x 1");
    if (word == "COMMIT") {
        rig.ask(c, "QUERY b1 BEGIN");
        rig.ask(c, "QUERY w1 WRITE x 1");
    }
    int runs = 0;
    rig.fault = [&](const std::string&, const std::string& request) {
        if (request.find(word) == request.npos) return Fault();
        ++runs;
        Fault fault;
        fault.arrives = arrives;
        fault.bytes = bytes;
        fault.cut = end == End::cut;
        return fault;
    };
    rig.say(c, word == "COMMIT" ? "QUERY c1 COMMIT" : "QUERY w1 WRITE x 1");
    rig.run(milliseconds(20));
    if (end == End::newLead) {
        ASSERT_TRUE(rig.databases.promote("s1"));
        rig.lead("s1");
    }
    rig.run(milliseconds(2500));
    const Lines told = rig.told(c);
    const std::string error = errorIn(told);
    SCOPED_TRACE(word + " end " + std::to_string(static_cast<int>(end)) + " arrives " +
                 std::to_string(arrives) + " bytes " + std::to_string(bytes) + " told " + first(told));
    EXPECT_EQ(state(told), "I");
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(rig.databases.effects("w1"), arrives ? 1 : 0);
    EXPECT_FALSE(promises(error) && rig.databases.effects("w1") > 0);
    if (error.empty()) {
        EXPECT_EQ(rig.databases.effects("w1"), 1);
        EXPECT_EQ(rig.databases.stampedFor(first(told).substr(5)), word == "COMMIT" ? "c1" : "w1");
    }
}

TEST(ProxyCalls, NoPromiseIsBrokenAtAnyByteOfAnAnswer) {
    for (const char* word : {"COMMIT", "WRITE"})
        for (const End end : {End::cut, End::silence, End::newLead}) {
            endEverywhere(word, end, false, 0);
            for (std::size_t bytes = 0; bytes < 32; ++bytes) endEverywhere(word, end, true, bytes);
        }
}

TEST(ProxyCalls, WhatAStoreSaysOfACommitOrWriteIsToldAsItIs) {
    for (const char* word : {"COMMIT", "WRITE"})
        for (const char* error : {"BUSY", "READONLY", "LAGGING", "ABORTED", "EXPIRED", "FAILED", "INDOUBT"}) {
            PoolerRig rig;
            const int c = opened(rig);
            rig.ask(c, "QUERY w0 WRITE x 1");
            const bool commit = std::string(word) == "COMMIT";
            if (commit) rig.ask(c, "QUERY b1 BEGIN"), rig.ask(c, "QUERY w1 WRITE x 1");
            // Nothing ran where that is promised; else it did, and stays so.
            Fault fault;
            fault.arrives = !promises(error);
            fault.answer = std::string("ERROR ") + error + " s0\r\nREADY I 1.1\r\n";
            rig.fault = onRequest(word, fault);
            const Lines told = rig.ask(c, commit ? "QUERY c1 COMMIT" : "QUERY w1 WRITE x 1");
            EXPECT_EQ(promises(errorIn(told)), promises(error)) << word << error << first(told);
            EXPECT_EQ(state(told), "I") << word << error;
            rig.run(milliseconds(1500));
            EXPECT_EQ(rig.databases.effects("w1"), promises(error) ? 0 : 1) << word << error;
        }
}

TEST(ProxyCalls, AtSigtermATransactionHasHalfOfTheTimeToEnd) {
    PoolerRig rig;  // grace_ms is 6,000
    const int rests = opened(rig), works = opened(rig);
    for (const int c : {rests, works}) {
        const std::string name = std::to_string(c);
        rig.ask(c, "QUERY b" + name + " BEGIN");
        rig.ask(c, "QUERY w" + name + " WRITE x 1");
    }
    rig.pooler->beginShutdown(rig.now);
    rig.run(milliseconds(1500));
    rig.ask(rests, "QUERY r1 READ x");  // so that it isn't ended for resting too long
    rig.run(milliseconds(1400));
    rig.say(works, "QUERY r2 READ x");  // before the half is over, and so it keeps its connection
    rig.run(milliseconds(50));
    EXPECT_EQ(state(rig.told(works)), "T");
    EXPECT_EQ(first(rig.ask(works, "QUERY c2 COMMIT")).substr(0, 4), "DONE");
    EXPECT_FALSE(rig.ended(rests));
    rig.run(milliseconds(200));
    EXPECT_TRUE(rig.ended(rests));
    EXPECT_EQ(rig.databases.effects("w" + std::to_string(rests)), 0);
    EXPECT_EQ(rig.databases.effects("w" + std::to_string(works)), 1);
}

// ---- a proxy that stood still, and its lease ------------------------------------------------------

TEST(ProxyCalls, AfterAFreezeNothingIsReadUnderAnOldLease) {
    for (const bool lateGrant : {false, true}) {
        PoolerRig rig;
        const int c = opened(rig);
        rig.ask(c, "QUERY r0 READ x");
        if (lateGrant) {  // asked before, answered after
            rig.leases = false;
            rig.run(milliseconds(250));
        }
        rig.freeze(milliseconds(20'000));
        ASSERT_TRUE(rig.databases.promote("s1"));
        commitElsewhere(rig, "other");
        rig.databases.slow("s0", true);
        const auto guarded = rig.pooler->counters().guarded;
        if (lateGrant)
            rig.pooler->onAgentMessage(
                {{"k", "lease"}, {"t", rig.toCourier.back()["t"]}, {"left", 700'000}, {"c", json::object()}},
                rig.now);
        rig.leases = false;
        rig.say(c, "QUERY r1 READ x");
        for (int i = 0; i < 6; ++i) rig.step();
        EXPECT_NE(first(rig.told(c)).substr(0, 3), "ROW");
        EXPECT_GT(rig.pooler->counters().guarded, guarded);
    }
}

TEST(ProxyCalls, WhatItsDeadlinePassedOverIsNotSentOnWaking) {
    for (const char* text : {"WRITE x 1", "READ x"}) {
        PoolerRig rig;
        const int c = opened(rig), other = opened(rig);
        rig.ask(other, "QUERY b1 BEGIN");
        rig.ask(other, "QUERY v1 WRITE y 1");
        rig.holdsAnswers = true;
        rig.say(c, std::string("QUERY q1 ") + text);
        while (rig.step()) {
        }
        rig.freeze(milliseconds(20'000));
        rig.holdsAnswers = false;
        rig.deliver();  // the greeting of the line that it waits for comes before any timer
        while (rig.step()) {
        }
        for (const std::string& request : rig.requests) EXPECT_EQ(request.find("QUERY q1"), request.npos);
        rig.run();
        EXPECT_EQ(errorIn(rig.told(c)), "BUSY");
        EXPECT_EQ(rig.databases.effects("q1"), 0);
        // And the transaction that rested meanwhile is rolled back.
        EXPECT_EQ(state(rig.ask(other, "QUERY v2 WRITE y 2")), "E");
        EXPECT_EQ(errorIn(rig.ask(other, "QUERY c1 COMMIT")), "ABORTED");
        EXPECT_EQ(rig.databases.effects("v1"), 0);
    }
}

TEST(ProxyCalls, AnAgentWithoutALeaseTakesNoWarningBack) {
    PoolerRig rig;
    const int c = opened(rig);
    rig.ask(c, "QUERY r0 READ x");
    rig.leases = false;
    auto answer = [&](int left_ms, const json& unsettled) {
        rig.run(milliseconds(205));
        rig.pooler->onAgentMessage(
            {{"k", "lease"}, {"t", rig.toCourier.back()["t"]}, {"left", left_ms * 1000}, {"c", unsettled}},
            rig.now);
    };
    answer(700, {{"svc", 99}});  // the lead is about to change
    answer(0, json::object());   // the agent has started anew
    const auto guarded = rig.pooler->counters().guarded;
    rig.ask(c, "QUERY r1 READ x");
    EXPECT_EQ(rig.pooler->counters().guarded, guarded + 1);
}

TEST(ProxyCalls, AnAnswerOfAnEarlierLinkToTheAgentGrantsNothing) {
    PoolerRig rig;
    const int c = opened(rig);
    rig.ask(c, "QUERY r0 READ x");
    rig.leases = false;
    rig.run(milliseconds(1000));
    const json question = rig.toCourier.back()["t"];
    rig.pooler->onAgentDisconnected();
    rig.pooler->onAgentConnected(rig.now);
    rig.pooler->onAgentMessage({{"k", "lease"}, {"t", question}, {"left", 700'000}, {"c", json::object()}},
                               rig.now);
    const auto guarded = rig.pooler->counters().guarded;
    rig.ask(c, "QUERY r1 READ x");
    EXPECT_EQ(rig.pooler->counters().guarded, guarded + 1);
}

// ---- everything at once, by seed ------------------------------------------------------------------

// Clients that pipeline, set, prepare, write, read, begin, commit, abort and leave, over stores whose
// requests and answers break at any byte, are lost or come late; leads change, the proxy freezes, its lease
// runs out.
class Fray {
public:
    explicit Fray(unsigned seed) : random_(seed) {
        rig_.fault = [this](const std::string&, const std::string&) { return mishap(); };
    }
    std::string play() {
        for (int i = 0; i < 250 && fault_.empty(); ++i) event();
        calm_ = true;
        rig_.holdsAnswers = false;
        rig_.deliver();
        lease(true);
        rig_.run(milliseconds(8000));
        hear();
        audit();
        return fault_;
    }

private:
    struct Ask {
        std::string id, text, error, stamp, row;
        bool answered = false, mayAnswer = true;
        std::map<std::string, std::string> values;
        std::string shape;
        std::size_t committed = 0;  // acknowledged when it was asked, as its route requires them
        bool reads = false;
    };
    struct Client {
        int no = 0;
        bool bounded = false, inTx = false, wroteInTx = false;
        int transactions = 0;
        std::map<std::string, std::string> values, shapes;
        std::vector<Ask> asks;
        std::size_t heard = 0;
        std::size_t txCommitted = 0;
    };

    int pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

    Fault mishap() {
        Fault fault;
        if (calm_) return fault;
        switch (pick(40)) {
            case 0:
                fault.cut = true;
                fault.bytes = static_cast<std::size_t>(pick(40));
                break;
            case 1:
                fault.cut = true;
                fault.arrives = false;
                break;
            case 2:
                fault.bytes = static_cast<std::size_t>(pick(40));
                break;  // then silence
            case 3:
                fault.refusal = "BUSY";
                fault.cut = pick(2) == 0;
                break;
            default:
                break;
        }
        return fault;
    }

    void event() {
        switch (pick(13)) {
            case 0:
                clients_.size() < 4 ? come() : say();
                break;
            case 1:
                rig_.holdsAnswers = !rig_.holdsAnswers;
                break;
            case 2:
                rig_.deliver();
                break;
            case 3:
                rig_.run(milliseconds(pick(60)));
                break;
            case 4:
                if (pick(8) == 0) rig_.cutAll("s" + std::to_string(pick(3)));
                break;
            case 5:
                if (pick(10) == 0) promote();
                break;
            case 6:
                if (pick(10) == 0) rig_.freeze(milliseconds(pick(3000)));
                break;
            case 7:
                if (pick(5) == 0) lease(!rig_.leases);
                break;
            case 8:
                if (pick(6) == 0) leave();
                break;
            case 10:
                if (pick(3) == 0) slow();
                break;
            case 9:
                for (int i = pick(8); i > 0; --i) rig_.step();
                break;
            default:
                say();
        }
        hear();
    }

    void promote() {
        lease(false);  // as control has it: no lease outlives the old lead
        rig_.run(milliseconds(760));
        const std::string next = "s" + std::to_string(pick(3));
        rig_.databases.slow(next, false);
        rig_.databases.promote(next);
        unheard_ = true;
        if (pick(3)) hearOfLead();
    }

    void hearOfLead() {
        if (std::exchange(unheard_, false)) rig_.lead(rig_.databases.lead());
    }

    // No lease is given over a lead that has changed unheard.
    void lease(bool on) {
        if (on) hearOfLead();
        rig_.leases = on;
    }

    void slow() {
        const std::string store = "s" + std::to_string(pick(3));
        if (store != rig_.databases.lead()) rig_.databases.slow(store, pick(2) == 0);
    }

    void come() {
        Client c;
        c.bounded = pick(2) == 0;
        c.no = opened(rig_, c.bounded ? "bounded" : "primary");
        clients_.push_back(std::move(c));
    }

    void leave() {
        if (clients_.empty()) return;
        const std::size_t at = static_cast<std::size_t>(pick(static_cast<int>(clients_.size())));
        hear();
        rig_.leave(clients_[at].no);
        gone_.push_back(std::move(clients_[at]));
        clients_.erase(clients_.begin() + static_cast<std::ptrdiff_t>(at));
    }

    std::size_t acknowledged(Nanoseconds before) const {
        std::size_t count = 0;
        for (const Nanoseconds at : acknowledged_) count += at < before;
        return count;
    }

    // One to three statements at once.
    void say() {
        if (clients_.empty()) return come();
        Client& c = clients_[static_cast<std::size_t>(pick(static_cast<int>(clients_.size())))];
        if (rig_.ended(c.no) || c.asks.size() > c.heard) return;
        for (int i = pick(3); i >= 0; --i) statement(c);
    }

    void statement(Client& c) {
        Ask ask;
        const std::string operation =
            "c" + std::to_string(c.no) + "o" + std::to_string(c.transactions += !c.inTx);
        ask.id = operation + "." + std::to_string(++asked_);
        switch (pick(9)) {
            case 0:
                ask.text = c.inTx ? "COMMIT" : "BEGIN";
                break;
            case 1:
                ask.text = c.inTx ? "ABORT" : pick(2) ? "BEGIN READ" : "BEGIN";
                break;
            case 2:
                ask.text = "SET hue v" + std::to_string(pick(3));
                break;
            case 3:
                ask.text = std::string("PARSE p ") + (pick(2) ? "READ" : "WRITE") + " shape" +
                           std::to_string(pick(3));
                break;
            case 4:
            case 5:
                ask.text = "READ x";
                break;
            case 6:
                ask.text = c.shapes.empty() ? "READ x" : "EXECUTE p k v";
                break;
            default:
                ask.text = "WRITE x 1";
        }
        if (ask.text == "BEGIN" || ask.text == "BEGIN READ") {
            c.inTx = true;
            c.txCommitted = acknowledged(c.bounded ? rig_.now - milliseconds(1500) : rig_.now);
        } else if (ask.text == "COMMIT" || ask.text == "ABORT") {
            c.inTx = false;
        }
        ask.committed =
            c.inTx ? c.txCommitted : acknowledged(c.bounded ? rig_.now - milliseconds(1500) : rig_.now);
        c.asks.push_back(ask);
        rig_.say(c.no, "QUERY " + ask.id + " " + ask.text);
        hear();
    }

    void hear() {
        for (Client& c : clients_)
            for (const std::string& line : rig_.told(c.no)) heard(c, line);
    }

    void heard(Client& c, const std::string& line) {
        if (c.heard >= c.asks.size()) {
            if (!line.starts_with("READY I")) fault_ = "an answer to nothing: " + line;
            return;
        }
        Ask& ask = c.asks[c.heard];
        if (line.starts_with("ROW ")) ask.row = line.substr(4);
        if (line.starts_with("DONE ")) ask.stamp = line.substr(5);
        if (line.starts_with("ERROR ")) ask.error = line.substr(6, line.find(' ', 6) - 6);
        if (!line.starts_with("READY ")) return;
        ask.answered = true;
        ++c.heard;
        answered(c, ask);
    }

    void answered(Client& c, Ask& ask) {
        const std::string word = ask.text.substr(0, ask.text.find(' '));
        if (ask.error.empty() && word == "SET") c.values["hue"] = ask.text.substr(8);
        if (ask.error.empty() && word == "PARSE") c.shapes["p"] = ask.text.substr(8);
        ask.values = c.values;
        ask.shape = c.shapes.count("p") ? c.shapes["p"] : "";
        const bool runs = word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT";
        if (!ask.error.empty() || !runs) return;
        if (rig_.databases.stampedFor(ask.stamp) != ask.id && !(word == "COMMIT" && ask.stamp == "-"))
            fault_ = ask.id + " " + ask.text + " has a success that is not its own: " + ask.stamp;
        const bool writes = word == "WRITE" || (word == "EXECUTE" && ask.shape.starts_with("WRITE"));
        if ((writes || word == "COMMIT") && rig_.databases.effects(ask.id) > 0)
            acknowledged_.push_back(rig_.now);
        if (!ask.row.empty()) read(ask);
    }

    void read(const Ask& ask) {
        if (std::stoul(ask.row) < ask.committed)
            fault_ = ask.id + " " + ask.text + " read " + ask.row + " of " + std::to_string(ask.committed);
        const std::string wanted = ask.values.count("hue") ? " hue=" + ask.values.at("hue") : "";
        if (ask.row.substr(ask.row.find_first_not_of("0123456789") == ask.row.npos
                               ? ask.row.size()
                               : ask.row.find_first_not_of("0123456789")) != wanted)
            fault_ = ask.id + " ran under other values: " + ask.row + ", wanted" + wanted;
    }

    void audit() {
        if (!fault_.empty()) return;
        std::map<int, std::string> operations;
        for (const Databases::Run& run : rig_.databases.runs()) {
            const std::string operation = run.id.substr(0, run.id.find('.'));
            if (!run.transaction) continue;
            auto& there = operations[run.transaction];
            if (!there.empty() && there != operation) fault_ = run.id + " ran in the transaction of " + there;
            there = operation;
        }
        for (const auto& all : {clients_, gone_})
            for (const Client& c : all) auditClient(c);
    }

    void auditClient(const Client& c) {
        std::vector<std::string> pending;
        bool inTx = false;
        for (const Ask& ask : c.asks) {
            const int effects = rig_.databases.effects(ask.id);
            if (effects > 1) fault_ = ask.id + " took effect twice";
            if (ask.text.starts_with("BEGIN") && ask.error.empty()) inTx = true, pending.clear();
            const bool writes = ask.text == "WRITE x 1" || ask.text.starts_with("EXECUTE");
            if (inTx && writes) pending.push_back(ask.id);
            if (!inTx && ask.answered && promises(ask.error) && effects)
                fault_ = ask.id + " was promised away as " + ask.error + " and took effect";
            if (ask.text == "COMMIT" || ask.text == "ABORT") {
                for (const std::string& id : pending) {
                    const int kept = rig_.databases.effects(id);
                    if (kept && ask.text == "ABORT") fault_ = id + " was kept over an abort";
                    if (kept && ask.answered && promises(ask.error))
                        fault_ = id + " was kept over " + ask.error;
                }
                pending.clear();
                inTx = false;
            }
        }
        for (const std::string& id : pending)
            if (rig_.databases.effects(id)) fault_ = id + " was kept and nobody asked to commit it";
    }

    std::mt19937 random_;
    PoolerRig rig_;
    std::vector<Client> clients_, gone_;
    std::vector<Nanoseconds> acknowledged_;
    std::string fault_;
    int asked_ = 0;
    bool calm_ = false, unheard_ = false;
};

TEST(ProxyCalls, KeepsTheRulesOverSeeds) {
    const char* given = std::getenv("SEEDS");
    const unsigned seeds = given ? static_cast<unsigned>(std::atoi(given)) : 12;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const std::string fault = Fray(seed).play();
        EXPECT_EQ(fault, "") << "seed " << seed;
    }
}
}  // namespace
