// When a client is told of its write's success: only where every later lead has the write, and when writes
// wait because that could not be known. docs/control-safety/promotion.md has the argument.
#include <gtest/gtest.h>

#include <algorithm>

#include "proxy/primary_evidence.hpp"
#include "proxy/replica_evidence.hpp"
#include "standins/poolerrig.hpp"
#include "standins/succession_rig.hpp"

namespace {
using namespace granitereel;
using proxy::AcknowledgedWrite;
using proxy::PrimaryEvidence;
using proxy::WriteDurability;
using standins::PoolerRig;
using Lines = std::vector<std::string>;

std::string first(const Lines& told) {
    return told.empty() ? "" : told.front();
}
bool succeeded(const Lines& told) {
    return first(told).starts_with("DONE");
}
bool inDoubt(const Lines& told) {
    return first(told).starts_with("ERROR INDOUBT");
}
std::size_t sent(const PoolerRig& rig, const std::string& text) {
    return static_cast<std::size_t>(
        std::count_if(rig.requests.begin(), rig.requests.end(),
                      [&](const std::string& request) { return request.find(text) != request.npos; }));
}
int opened(PoolerRig& rig) {
    const int client = rig.client("primary");
    rig.told(client);
    return client;
}
// The proxy has a connection, and no lease any more.
int openedWithoutLease(PoolerRig& rig) {
    const int client = opened(rig);
    EXPECT_TRUE(succeeded(rig.ask(client, "QUERY w0 WRITE x 1")));
    rig.leases = false;
    rig.pass(milliseconds(750));
    return client;
}
// A write, single or a transaction's, up to the store's success. What was told since.
Lines writes(PoolerRig& rig, int client, bool transaction) {
    if (transaction) {
        rig.ask(client, "QUERY b1 BEGIN");
        rig.ask(client, "QUERY w1 WRITE x 1");
        rig.say(client, "QUERY c1 COMMIT");
    } else {
        rig.say(client, "QUERY w1 WRITE x 1");
    }
    rig.run(milliseconds(20));
    EXPECT_EQ(rig.databases.effects("w1"), 1);
    return rig.told(client);
}

TEST(PrimaryEvidence, KeepsAWriteThatWasAnsweredUnderALeaseOfItsTerm) {
    PrimaryEvidence evidence;
    evidence.updateRecord(3, {});
    const AcknowledgedWrite write{LogPosition{3, 7}, 3, milliseconds(100)};
    EXPECT_EQ(evidence.durabilityOf(write), WriteDurability::undecided);
    evidence.extendSettled(milliseconds(100));
    EXPECT_EQ(evidence.durabilityOf(write),
              WriteDurability::undecided);  // at the end of the lease is behind it
    evidence.extendSettled(milliseconds(101));
    EXPECT_EQ(evidence.durabilityOf(write), WriteDurability::durable);
    evidence.extendSettled(milliseconds(50));  // leases end at different times, the latest counts
    EXPECT_EQ(evidence.durabilityOf(write), WriteDurability::durable);
}

TEST(PrimaryEvidence, ANewTermEndsWhatWasGrantedForTheOneBefore) {
    PrimaryEvidence evidence;
    evidence.updateRecord(3, {});
    evidence.extendSettled(milliseconds(900));
    evidence.updateRecord(4, {});
    EXPECT_FALSE(evidence.isSettled(milliseconds(100)));
    EXPECT_EQ(evidence.durabilityOf({LogPosition{3, 7}, 3, milliseconds(100)}), WriteDurability::unknown);
    EXPECT_EQ(evidence.durabilityOf({LogPosition{4, 1}, 4, milliseconds(100)}), WriteDurability::undecided);
    EXPECT_EQ(evidence.durabilityOf({LogPosition{5, 1}, 5, milliseconds(100)}), WriteDurability::undecided);
}

TEST(PrimaryEvidence, KeepsWhatThePromotedStoreHadOfTheTermBefore) {
    PrimaryEvidence evidence;
    evidence.updateRecord(3, {});
    evidence.updateRecord(4, LogPosition{3, 7});
    EXPECT_EQ(evidence.durabilityOf({LogPosition{3, 6}, 3, 0}), WriteDurability::durable);
    EXPECT_EQ(evidence.durabilityOf({LogPosition{3, 7}, 3, 0}), WriteDurability::durable);
    EXPECT_EQ(evidence.durabilityOf({LogPosition{3, 8}, 3, 0}), WriteDurability::unknown);
    EXPECT_EQ(evidence.durabilityOf({std::nullopt, 3, 0}), WriteDurability::unknown);
    // Of the terms before it is not known whether the lead in between had them.
    EXPECT_EQ(evidence.durabilityOf({LogPosition{2, 1}, 2, 0}), WriteDurability::unknown);
}

StoreStatus replicaRow(std::uint64_t term, LogPosition received) {
    StoreStatus row;
    row.term = term;
    row.receivedPosition = received;
    return row;
}

TEST(ReplicaEvidence, HoldsWhatEveryReplicaOnRecordHasReceivedInItsTerm) {
    proxy::ReplicaEvidence evidence;
    evidence.updateRecord(3, {"s1", "s2"});
    EXPECT_FALSE(evidence.allHave({3, 7}, 1));
    evidence.recordStatus("s1", replicaRow(3, {3, 7}));
    EXPECT_FALSE(evidence.allHave({3, 7}, 1));
    evidence.recordStatus("s2", replicaRow(3, {3, 9}));
    EXPECT_TRUE(evidence.allHave({3, 7}, 1));
    EXPECT_FALSE(evidence.allHave({3, 8}, 1));
    evidence.recordStatus("s2", replicaRow(3, {3, 6}));  // an earlier row that comes late takes nothing back
    EXPECT_TRUE(evidence.allHave({3, 7}, 1));
    EXPECT_FALSE(evidence.allHave({2, 1}, 1));  // of another term: may have been cut back
    evidence.updateRecord(3, {"s1", "s2", "s3"});
    EXPECT_FALSE(evidence.allHave({3, 7}, 1));
}

TEST(ReplicaEvidence, CountsNoRowOfAnotherTermOrOfAPrimary) {
    proxy::ReplicaEvidence evidence;
    evidence.updateRecord(3, {"s1"});
    evidence.recordStatus("s1", replicaRow(4, {3, 7}));  // follows the next lead: its log may be cut back
    evidence.recordStatus("s1", replicaRow(3, {2, 7}));
    StoreStatus leads = replicaRow(3, {3, 7});
    leads.primary = true;
    evidence.recordStatus("s1", leads);
    EXPECT_FALSE(evidence.allHave({3, 7}, 1));
    evidence.recordStatus("s1", replicaRow(3, {3, 7}));
    EXPECT_TRUE(evidence.allHave({3, 7}, 1));
    EXPECT_FALSE(evidence.allHave({3, 7}, 2));  // the record names fewer than are synchronous
    evidence.updateRecord(4, {"s1"});
    EXPECT_FALSE(evidence.allHave({4, 1}, 1));
}

TEST(ReplicaEvidence, HoldsNothingWithoutReplicasOnRecord) {
    proxy::ReplicaEvidence evidence;
    evidence.updateRecord(3, {});
    EXPECT_FALSE(evidence.allHave({3, 7}, 0));
    EXPECT_FALSE(evidence.allHave({3, 7}, 1));
}

// A proxy whose record of the lead names the replicas, without a lease for a while. A session reads on
// meanwhile.
struct WithoutControl {
    PoolerRig rig;
    int client = 0;
    WithoutControl() {
        rig.replicasOnRecord = true;
        rig.lead("s0");
        client = opened(rig);
        EXPECT_TRUE(succeeded(rig.ask(client, "QUERY w0 WRITE x 1")));
        rig.leases = false;
        rig.run(milliseconds(750));  // connections to the replicas are made while the last lease runs
    }
};

TEST(ReplicaEvidence, TellsASuccessWithoutALeaseWhereAllReplicasHaveTheWrite) {
    for (const bool transaction : {false, true}) {
        WithoutControl without;
        PoolerRig& rig = without.rig;
        EXPECT_TRUE(writes(rig, without.client, transaction).empty());
        rig.run(milliseconds(100));
        EXPECT_TRUE(succeeded(rig.told(without.client)));
        EXPECT_EQ(rig.databases.effects("w1"), 1);
        // One question to each replica.
        EXPECT_EQ(sent(rig, "STATUS"), 2u);
    }
}

TEST(ReplicaEvidence, AWriteThatOneReplicaLacksIsInDoubtUntilItHasIt) {
    for (const bool receives : {false, true}) {
        WithoutControl without;
        PoolerRig& rig = without.rig;
        rig.databases.deaf("s2", true);
        EXPECT_TRUE(writes(rig, without.client, false).empty());
        rig.run(milliseconds(500));
        EXPECT_TRUE(rig.told(without.client).empty());
        if (receives) rig.databases.deaf("s2", false);
        rig.databases.slow("s1", false);  // replicates
        rig.run(milliseconds(600));
        const Lines told = rig.told(without.client);
        EXPECT_EQ(succeeded(told), receives) << first(told);
        EXPECT_EQ(inDoubt(told), !receives) << first(told);
    }
}

// A replica that starts again has forgotten a pause, so what it says on a connection made since the last
// lease proves nothing: the target of a promotion may have been chosen already.
TEST(ReplicaEvidence, AReplicaThatStartedSinceTheLastLeaseProvesNothing) {
    WithoutControl without;
    PoolerRig& rig = without.rig;
    rig.cutAll("s2");
    EXPECT_TRUE(writes(rig, without.client, false).empty());
    rig.run(milliseconds(1200));
    EXPECT_TRUE(inDoubt(rig.told(without.client)));
}

TEST(ReplicaEvidence, AConnectionThatOpensBehindTheLastLeaseProvesNothing) {
    PoolerRig rig;
    rig.replicasOnRecord = true;
    rig.lead("s0");
    const int c = opened(rig);
    EXPECT_TRUE(succeeded(rig.ask(c, "QUERY w0 WRITE x 1")));
    rig.leases = false;
    rig.pass(milliseconds(750));  // asked for while it runs, but no store answers in that time
    EXPECT_TRUE(writes(rig, c, false).empty());
    ASSERT_FALSE(rig.linesTo("s1").empty());
    ASSERT_FALSE(rig.linesTo("s2").empty());
    rig.run(milliseconds(1200));
    EXPECT_TRUE(inDoubt(rig.told(c)));
}

// The record may lack a replica that came since; control makes up for that for a bounded time only.
TEST(ReplicaEvidence, LongBehindTheLastLeaseTheRecordIsNotRestedOn) {
    WithoutControl without;
    PoolerRig& rig = without.rig;
    for (int i = 0; i < 18; ++i) {
        EXPECT_TRUE(succeeded(rig.ask(without.client, "QUERY v" + std::to_string(i) + " WRITE x 1"))) << i;
        rig.run(milliseconds(1000));
    }
    rig.run(milliseconds(2500));
    rig.say(without.client, "QUERY late WRITE x 1");
    rig.run(milliseconds(1200));
    EXPECT_TRUE(inDoubt(rig.told(without.client)));
    rig.leases = true;
    rig.run(milliseconds(300));
    EXPECT_TRUE(succeeded(rig.ask(without.client, "QUERY again WRITE x 1")));
}

TEST(ReplicaEvidence, AProxyIsReadyWithItsFirstLeaseOrAWhileAfterItsConfiguration) {
    for (const bool leased : {false, true}) {
        PoolerRig rig(3, 1, leased);
        EXPECT_EQ(rig.pooler->ready(), leased);
        rig.pass(milliseconds(900));
        EXPECT_EQ(rig.pooler->ready(), leased);
        rig.pass(milliseconds(200));
        EXPECT_TRUE(rig.pooler->ready());
    }
}

TEST(Acknowledgements, ASuccessWithoutALeaseIsToldOnceThereIsOneAgain) {
    for (const bool transaction : {false, true}) {
        PoolerRig rig;
        const int c = openedWithoutLease(rig);
        EXPECT_TRUE(writes(rig, c, transaction).empty());
        rig.leases = true;
        rig.run(milliseconds(250));
        EXPECT_TRUE(succeeded(rig.told(c)));
        EXPECT_EQ(rig.databases.effects("w1"), 1);
        EXPECT_TRUE(succeeded(rig.ask(c, "QUERY w2 WRITE x 2")));
    }
}

TEST(Acknowledgements, WithoutALeaseUntilTheDeadlineTheClientIsInDoubt) {
    for (const bool transaction : {false, true}) {
        PoolerRig rig;
        const int c = openedWithoutLease(rig);
        EXPECT_TRUE(writes(rig, c, transaction).empty());
        rig.run(milliseconds(900));
        EXPECT_TRUE(rig.told(c).empty());
        rig.run(milliseconds(200));  // the route's deadline is 1,000 ms
        const Lines told = rig.told(c);
        EXPECT_TRUE(inDoubt(told)) << first(told);
        EXPECT_EQ(told.back(), "READY I -");
        rig.leases = true;
        rig.run(milliseconds(250));
        EXPECT_TRUE(rig.told(c).empty());  // nothing more is said of it
        EXPECT_TRUE(succeeded(rig.ask(c, "QUERY w2 WRITE x 2")));
    }
}

TEST(Acknowledgements, TheNextLeadsPositionDecidesWhatWasOpen) {
    for (const bool transaction : {false, true})
        for (const char* retained : {"1.2", "1.1", ""}) {  // w0 is 1.1, w1 is 1.2
            PoolerRig rig;
            const int c = openedWithoutLease(rig);
            EXPECT_TRUE(writes(rig, c, transaction).empty());
            ASSERT_TRUE(rig.databases.promote("s1"));
            rig.lead("s1", true, retained);
            const Lines told = rig.told(c);
            EXPECT_EQ(succeeded(told), std::string(retained) == "1.2") << retained << first(told);
            EXPECT_EQ(inDoubt(told), std::string(retained) != "1.2") << retained << first(told);
        }
}

TEST(Acknowledgements, AClientThatLeavesMeanwhileIsToldNothing) {
    PoolerRig rig;
    const int c = openedWithoutLease(rig);
    EXPECT_TRUE(writes(rig, c, false).empty());
    rig.leave(c);
    rig.leases = true;
    rig.run(milliseconds(250));
    EXPECT_TRUE(rig.told(c).empty());
    EXPECT_EQ(rig.pooler->sessionCount(), 0u);
}

TEST(Acknowledgements, AStatementBehindAnUntoldWriteWaitsForIt) {
    PoolerRig rig;
    const int c = openedWithoutLease(rig);
    EXPECT_TRUE(writes(rig, c, false).empty());
    rig.say(c, "QUERY r1 READ x");
    rig.run(milliseconds(20));
    EXPECT_EQ(sent(rig, "QUERY r1"), 0u);
    rig.leases = true;
    rig.run(milliseconds(250));
    const Lines told = rig.told(c);
    ASSERT_EQ(told.size(), 5u);
    EXPECT_TRUE(told.front().starts_with("DONE"));
    EXPECT_EQ(told[2], "ROW 2");
}

// The lead is known to be changing and the lease over: what is written now could not be told as a success.
TEST(Acknowledgements, AWriteWaitsWhileTheLeadChangesAndRunsOnce) {
    for (const bool moves : {false, true}) {
        PoolerRig rig;
        const int c = openedWithoutLease(rig);
        rig.lead("s0", false);
        rig.say(c, "QUERY w1 WRITE x 1");
        rig.run(milliseconds(300));
        EXPECT_EQ(sent(rig, "QUERY w1"), 0u);
        EXPECT_TRUE(rig.told(c).empty());
        if (moves) {
            ASSERT_TRUE(rig.databases.promote("s1"));
        }
        rig.leases = true;
        rig.lead(rig.databases.lead(), true, moves ? "1.1" : "");
        rig.run(milliseconds(250));
        EXPECT_TRUE(succeeded(rig.told(c))) << moves;
        EXPECT_EQ(rig.databases.effects("w1"), 1) << moves;
        EXPECT_EQ(sent(rig, "QUERY w1"), 1u) << moves;
    }
}

TEST(Acknowledgements, AWriteThatWaitedInVainIsPromisedNotToHaveRun) {
    PoolerRig rig;
    const int c = openedWithoutLease(rig);
    rig.lead("s0", false);
    rig.say(c, "QUERY w1 WRITE x 1");
    rig.run(milliseconds(1100));
    EXPECT_TRUE(first(rig.told(c)).starts_with("ERROR BUSY"));
    rig.leases = true;
    rig.lead("s0");
    rig.run(milliseconds(300));
    EXPECT_EQ(sent(rig, "QUERY w1"), 0u);
    EXPECT_TRUE(succeeded(rig.ask(c, "QUERY w2 WRITE x 2")));
}

TEST(Acknowledgements, ACommitWaitsWhileTheLeadChangesAndIsRolledBackWithTheLead) {
    for (const bool moves : {false, true}) {
        PoolerRig rig;
        const int c = openedWithoutLease(rig);
        rig.ask(c, "QUERY b1 BEGIN");
        rig.ask(c, "QUERY w1 WRITE x 1");
        rig.lead("s0", false);
        rig.say(c, "QUERY c1 COMMIT");
        rig.run(milliseconds(300));
        EXPECT_EQ(sent(rig, "QUERY c1"), 0u);
        if (moves) {
            ASSERT_TRUE(rig.databases.promote("s1"));
        }
        rig.leases = true;
        rig.lead(rig.databases.lead(), true, moves ? "1.1" : "");
        rig.run(milliseconds(250));
        const Lines told = rig.told(c);
        EXPECT_EQ(succeeded(told), !moves) << first(told);
        EXPECT_EQ(first(told).starts_with("ERROR ABORTED"), moves) << first(told);
        EXPECT_EQ(rig.databases.effects("w1"), moves ? 0 : 1);
    }
}

// Under a lease from before the change was written, writes go on: no promotion counts before its end.
TEST(Acknowledgements, WritesGoOnUntilTheLeaseFromBeforeTheChangeEnds) {
    PoolerRig rig;
    const int c = opened(rig);
    EXPECT_TRUE(succeeded(rig.ask(c, "QUERY w0 WRITE x 1")));
    rig.run(milliseconds(250));
    rig.leases = false;
    rig.lead("s0", false);
    EXPECT_TRUE(succeeded(rig.ask(c, "QUERY w1 WRITE x 1")));
    rig.run(milliseconds(750));
    rig.say(c, "QUERY w2 WRITE x 1");
    rig.run(milliseconds(50));
    EXPECT_TRUE(rig.told(c).empty());
    EXPECT_EQ(sent(rig, "QUERY w2"), 0u);
}

// What the promoted store had is written with the lead, and no later change but the next promotion's ends it.
TEST(Acknowledgements, APromotionWritesWhatThePromotedStoreHad) {
    standins::SuccessionRig rig;
    control::Failover owner("m1", "svc", milliseconds(750), rig);
    Nanoseconds now = milliseconds(10'000);
    owner.setOwner(true, now);
    settleDown(rig, owner, now, milliseconds(500));
    for (const char* id : {"w1", "w2", "w3"}) rig.write(id);
    ASSERT_TRUE(rig.lead);
    EXPECT_FALSE(rig.lead->retained);
    rig.databases.dark("s0", true);
    owner.primarySuspected("s0", now);
    settleDown(rig, owner, now, milliseconds(3000));
    ASSERT_TRUE(rig.lead->settled);
    EXPECT_NE(rig.lead->store, "s0");
    EXPECT_EQ(rig.lead->retained, (LogPosition{1, 3}));
    EXPECT_EQ(control::parsePrimaryRecord(control::serializePrimaryRecord(*rig.lead))->retained,
              (LogPosition{1, 3}));
    rig.beat("s9");  // a store that is new: its record is written, the position stays
    settleDown(rig, owner, now, milliseconds(1000));
    EXPECT_EQ(rig.lead->retained, (LogPosition{1, 3}));
}
}  // namespace
