#include "bench.hpp"

using namespace granitereel;

// A silence is judged against the gaps seen before; harmless launches are then called back, others not.
void unusualSilenceIsNoticed() {
    Bench b;
    Store& s = b.store("s");
    for (int i = 0; i < 50; ++i) s.responseGaps.add(b.now, milliseconds(5000), 10e6);
    b.startAttempt(b.transaction(look, "l"), s);
    b.startAttempt(b.transaction(pay, "w"), s);
    b.pass(150);
    b.checkSilence(s);
    assert(!s.suspectSince);
    b.pass(60);
    b.checkSilence(s);
    assert(s.suspectSince && b.notes.count("cancel l") == 1 && b.notes.count("cancel w") == 0);
}

// A launch that is out for much longer than usual is called back once most such launches were lost of late,
// and goes elsewhere; not while they came in the end, not a write, and not where no time is left for another
// try.
void lostLaunchesAreCalledBack() {
    for (const bool lost : {false, true}) {
        Bench b;
        Store& s = b.store("s");
        for (int i = 0; i < 50; ++i) b.seen(look, milliseconds(10)), b.seen(pay, milliseconds(10));
        s.responseGaps.add(b.now, milliseconds(5000), 1e9);  // it goes on answering others
        const auto out = [&](const std::string& kind, int n, int lane) {
            for (int i = 0; i < n; ++i) b.startAttempt(b.transaction(lane, kind + std::to_string(i)), s);
        };
        out("past", 8, look);
        for (int i = 0; i < 8; ++i)
            b.front.attemptEnded("past" + std::to_string(i), 0, "s",
                                 lost ? AttemptOutcome::timedOut : AttemptOutcome::succeeded,
                                 milliseconds(300), Role::unknown, {}, true);
        b.pass(1000);
        out("read", 40, look);
        out("write", 40, pay);
        b.pass(40);
        b.front.timerFired(0);
        assert(b.notes.count("cancel") == 0);
        b.pass(30);
        b.front.timerFired(0);
        b.front.timerFired(0);
        assert(b.notes.count("cancel write") == 0);
        assert(lost ? b.notes.count("cancel read") > 20 && b.notes.count("cancel read") < 40
                    : b.notes.count("cancel") == 0);
        if (!lost) continue;
        const int before = b.notes.count("cancel");
        Transaction& late = b.transaction(look, "late");
        late.targetTime = b.now + milliseconds(55);
        b.startAttempt(late, s);
        b.pass(60);
        b.front.timerFired(0);
        assert(b.notes.count("cancel") == before);
    }
}

// A silent store gets single trials, and is whole again once it delivers.
void silentStoreIsTried() {
    Bench b;
    Store& s = b.store("s");
    b.markUnhealthy(s, false);
    assert(!b.isUsable(s));
    b.pass(250);
    assert(b.isUsable(s));
    b.startAttempt(b.transaction(look), s);
    assert(!b.isUsable(s));
    b.end("t", 0, s, AttemptOutcome::succeeded);
    assert(b.isUsable(s));
}

// A refusal is no answer: the silence of a store goes on (ie6d8e0).
void refusalDoesNotEndASilence() {
    Bench b;
    Store& s = b.store("s");
    b.startAttempt(b.transaction(look), s);
    b.markUnhealthy(s, false);
    b.end("t", 0, s, AttemptOutcome::overloaded);
    assert(s.suspectSince);
}

// A spoilt answer is one all the same: the store is neither away nor silent, nor does it rest.
void spoiltAnswerIsASignOfLife() {
    Bench b;
    Store& s = b.store("s");
    b.startAttempt(b.transaction(look), s);
    b.markUnhealthy(s, false);
    b.end("t", 0, s, AttemptOutcome::invalidResponse);
    assert(b.isUsable(s) && b.launchedTo("t", "s") && b.notes.count("probe") == 0);
    b.markUnhealthy(s, true);
    b.front.probeEnded("s", AttemptOutcome::invalidResponse);
    assert(!s.unreachableSince);
}

// Out of reach: probes find out. One that has refused connections for a second may have started again, and be
// cold; one that only gave no sign comes back warm, and work tries it at once, though it was silent before.
void awayStoreComesBackByProbe() {
    for (const bool refused : {false, true}) {
        Bench b;
        Store& s = b.store("s");
        b.markUnhealthy(s, false);
        b.markUnhealthy(s, true);
        b.pass(990);
        assert(!b.isUsable(s));
        b.front.timerFired(0);  // asks
        b.pass(refused ? 11 : 60);
        b.front.probeEnded("s", AttemptOutcome::unreachable);
        assert(!b.isUsable(s));
        b.front.probeEnded("s", AttemptOutcome::succeeded);
        assert(b.isUsable(s) && s.startedAt == (refused ? b.now : 0));
    }
}

// A connection refused at once may be the connection's fault alone, as of one kept for too long.
void refusalAsksForAProbe() {
    Bench b;
    Store& s = b.store("s");
    b.settle(s, AttemptOutcome::unreachable, milliseconds(3));
    assert(b.notes.count("probe s") == 1 && !b.isUsable(s));
    b.front.probeEnded("s", AttemptOutcome::succeeded);
    assert(b.isUsable(s));
}

// A primary that is away is asked for four times a second, a replica once.
void awayPrimaryIsAskedForMore() {
    Bench b;
    Store &p = b.primary("p"), &r = b.store("r");
    b.markUnhealthy(p, true);
    b.markUnhealthy(r, true);
    for (int i = 0; i < 500; ++i) {
        b.front.timerFired(0);
        b.pass(20);
        for (const char* id : {"p", "r"}) b.front.probeEnded(id, AttemptOutcome::timedOut);
    }
    assert(b.notes.count("probe p") > 35 && b.notes.count("probe r") < 15);
}

// A reset may be the connection's end only: a probe is sent at once, and nothing is called back (i11437b).
void resetAsksForAProbe() {
    Bench b;
    Store& s = b.store("s");
    b.startAttempt(b.transaction(look, "a"), s);
    b.startAttempt(b.transaction(look, "b"), s);
    b.end("a", 0, s, AttemptOutcome::connectionLost);
    assert(b.notes.count("probe s") == 1 && b.notes.count("cancel") == 0 && !b.isUsable(s));
}

// A store that fails fast looks idle: it rests, longer each time, until it delivers (i717714).
void fruitlessStoreRests() {
    Bench b;
    Store& s = b.store("s");
    b.settle(s, AttemptOutcome::overloaded, milliseconds(1));
    b.pass(19);
    assert(!b.isUsable(s));
    b.pass(1);
    assert(b.isUsable(s));
    b.settle(s, AttemptOutcome::overloaded, milliseconds(1));
    b.pass(39);
    assert(!b.isUsable(s));
    b.settle(s, AttemptOutcome::succeeded, milliseconds(1));
    assert(s.consecutiveFailures == 0);
}

// A window shrinks when answers come near their goal time or lapse, and grows when full of good ones.
void windowFollowsTheAnswers() {
    Bench b;
    Store& s = b.store("s");
    s.window = 4;
    for (int i = 0; i < 4; ++i) s.attempts.push_back({"x", i, look, b.now, false});
    b.settle(s, AttemptOutcome::succeeded, milliseconds(50));
    assert(s.window > 4);
    s.window = 4;
    b.settle(s, AttemptOutcome::succeeded, milliseconds(300));
    assert(s.window < 4);
    b.pass(200);
    const double before = s.window;
    b.settle(s, AttemptOutcome::timedOut, milliseconds(300));
    assert(s.window < before);
}

// Launches that get lost while answers come in good time are no sign of a queue (ib03880).
void lostLaunchesLeaveTheWindow() {
    Bench b;
    Store& s = b.store("s");
    for (int i = 0; i < 20; ++i) b.settle(s, AttemptOutcome::succeeded, milliseconds(20));
    const double before = s.window;
    b.settle(s, AttemptOutcome::timedOut, milliseconds(900));
    assert(s.window == before);
}

// Many fronts share a window; under one launch it is kept by payment for the time out (i6a0c13, i8c8a05): at
// 0.5 a launch pays twice its time, and two may run ahead.
void smallWindowIsPaidFor() {
    Bench b;
    Store& s = b.store("s");
    s.window = 0.5;
    for (const char* id : {"1", "2", "3"}) {
        assert(b.hasRoom(s, b.transaction(look, id)));
        b.startAttempt(b.transaction(look, id), s);
        s.attempts.clear();
    }
    b.settle(s, AttemptOutcome::overloaded, milliseconds(2));  // paid in full, though soon over
    b.pass(150);
    const Transaction& t = b.transaction(look, "4");
    assert(!b.hasRoom(s, t));
    b.settle(s, AttemptOutcome::timedOut, milliseconds(300));  // twice the 0.2 s beyond the usual
    b.pass(400);
    assert(!b.hasRoom(s, t));
    b.pass(300);
    assert(b.hasRoom(s, t));
}

// Reads that spill over leave half of the primary's window to writes; reads of more gain leave less.
void spiltReadsLeaveRoom() {
    Bench b;
    Store& p = b.primary("p");
    p.window = 4;
    for (int i = 0; i < 2; ++i) p.attempts.push_back({"x", i, pay, b.now, false});
    assert(!b.hasRoom(p, b.transaction(recent)) && b.hasRoom(p, b.transaction(pay, "w")));
    assert(b.hasRoom(p, b.transaction(look, "l")));
}

// A crowded replica that slips behind gets fewer reads; one that is long lost keeps them (id830c7).
void slippingReplicaSheds() {
    Bench b;
    Store& s = b.store("s");
    for (const auto& [lag, shrinks] : {std::pair{100, false}, {200, true}, {700, false}}) {
        s.window = 4;
        s.windowReducedAt = 0;
        s.position = b.now - milliseconds(lag);
        s.positionUpdatedAt = b.now;
        b.settle(s, AttemptOutcome::succeeded, milliseconds(20));
        assert((s.window < 4) == shrinks);
    }
}

// Rule 4: a cold store gets its share of what warm ones bear, long work none, and no burst.
void coldStoreKeepsItsShare() {
    RoutingConfig c = charter();
    c.proxyCount = 10;
    Bench b(c);
    Store& s = b.store("s");
    s.startedAt = b.now;
    s.warmUpCreditAt = b.now;
    const double work = 100e6;
    b.setBearing(0.8);
    int launched = 0;
    for (int i = 0; i < 300; ++i) {
        b.pass(5);
        if (!b.hasWarmUpCredit(s, work)) continue;
        s.warmUpCredit -= work;
        ++launched;
    }
    // A quarter to a third of 0.8 over 1.5 s, in launches of 0.1 s, and one ahead.
    assert(launched >= 3 && launched <= 5);
    assert(!b.hasWarmUpCredit(s, 10 * work));
}

// Handshakes with a cold store are work of its share; with a warm one they are not counted.
void handshakesAreBookedToColdStores() {
    Bench b;
    Store &cold = b.store("cold"), &warm = b.store("warm");
    cold.startedAt = b.now - milliseconds(1000);
    cold.warmUpCreditAt = warm.warmUpCreditAt = b.now;
    const double before = cold.warmUpCredit, warmBefore = warm.warmUpCredit;
    b.front.handshakeDone("cold", milliseconds(2));
    b.front.handshakeDone("warm", milliseconds(2));
    b.front.handshakeDone("nobody", milliseconds(2));
    assert(cold.warmUpCredit == before - 2e6 && warm.warmUpCredit == warmBefore);
}

// Two hundred fronts that know nothing yet send a cold store, together, no more than a core's share of it.
void firstLaunchesAreSpread() {
    RoutingConfig c = charter();
    c.proxyCount = 200;
    double sent = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Bench b(c, seed);
        Store& s = b.store("s");
        s.startedAt = b.now;
        for (int i = 0; i < 3; ++i, b.pass(500))
            if (b.hasWarmUpCredit(s, 50e6)) s.warmUpCredit -= 50e6, sent += 50e6;
    }
    assert(sent > 0.1e9 && sent < c.coldCapacityShare * 1.5e9 * c.overloadMultiple);
}

// Long work is known as long before any has been answered: its silence is none.
void longWorkIsNoSilence() {
    Bench b;
    Store& s = b.store("s");
    s.attempts.push_back({"x", 0, report, b.now, false});
    b.pass(1500);
    b.checkSilence(s);
    assert(!s.suspectSince);
}

// A slow way: probes run out though work is answered late. The stores are not out of reach, keep their
// windows, and reads go to nearer ones.
void slowWayIsNotTheStore() {
    Bench b;
    Store& far = b.store("a", Pool::premium);
    Store& near = b.store("b", Pool::freemium);
    far.zone = 1;
    for (int i = 0; i < 5; ++i) b.settle(far, AttemptOutcome::succeeded, milliseconds(330)), b.pass(100);
    far.respondedAt = far.position = 0;
    far.probedAt = b.now;
    b.front.probeEnded("a", AttemptOutcome::timedOut);
    assert(far.unreachableSince);  // nothing heard from there
    b.heardFrom(1), far.unreachableSince = 0;
    b.front.probeEnded("a", AttemptOutcome::timedOut);
    assert(!far.unreachableSince);
    far.position = near.position = b.now;
    const double before = far.window;
    b.settle(far, AttemptOutcome::succeeded, milliseconds(330));
    assert(far.window >= before && b.selectReplica(b.transaction(look)) == &near);
}

// The clockwork finds silence at a store that it had stopped watching.
void clockworkWatchesAgain() {
    Bench b;
    Store& s = b.store("s");
    b.front.timerFired(0);
    b.startAttempt(b.transaction(look), s);
    b.pass(900);
    b.front.timerFired(0);
    assert(s.suspectSince && b.notes.count("cancel t 0") == 1);
}

// A well store that refuses connections is full of idle ones: each front gives back its own (i3bb1cb).
void fullTableIsRelieved() {
    Bench b;
    Store& s = b.store("s");
    b.settle(s, AttemptOutcome::succeeded, milliseconds(20));
    assert(b.notes.count("hang up") == 0);
    b.settle(s, AttemptOutcome::unreachable, milliseconds(3));
    b.front.probeEnded("s", AttemptOutcome::succeeded);
    b.settle(s, AttemptOutcome::succeeded, milliseconds(20));
    assert(b.notes.count("hang up s") == 1);
}

int main() {
    unusualSilenceIsNoticed();
    lostLaunchesAreCalledBack();
    silentStoreIsTried();
    refusalDoesNotEndASilence();
    spoiltAnswerIsASignOfLife();
    awayStoreComesBackByProbe();
    refusalAsksForAProbe();
    awayPrimaryIsAskedForMore();
    resetAsksForAProbe();
    fruitlessStoreRests();
    windowFollowsTheAnswers();
    lostLaunchesLeaveTheWindow();
    smallWindowIsPaidFor();
    spiltReadsLeaveRoom();
    slippingReplicaSheds();
    coldStoreKeepsItsShare();
    handshakesAreBookedToColdStores();
    firstLaunchesAreSpread();
    longWorkIsNoSilence();
    slowWayIsNotTheStore();
    clockworkWatchesAgain();
    fullTableIsRelieved();
}
