#include "bench.hpp"

using namespace granitereel;

// Each launch leaves a step behind; a harmless one goes elsewhere when its launch came to nothing.
void harmlessGoesElsewhere() {
    Bench b;
    Store& a = b.store("a", Pool::premium);
    b.store("c", Pool::premium);
    b.startAttempt(b.transaction(look), a);
    b.end("t", 0, a, AttemptOutcome::unreachable);
    assert(b.launchedTo("t", "c"));
}

// A write that was turned away unseen waits for its primary and goes again.
void refusedWriteWaits() {
    Bench b;
    Store& p = b.primary("p");
    b.startAttempt(b.transaction(pay), p);
    b.end("t", 0, p, AttemptOutcome::overloaded);
    assert(b.known("t") && b.group.queue.size() == 1);
    b.pass(200);
    b.front.timerFired(0);
    assert(b.notes.count("launch t p") == 2);
}

// Writes wait for a new primary without burning launches.
void writesWaitForANewPrimary() {
    Bench b;
    Store& a = b.store("a");
    a.role = Role::replica;
    a.roleUpdatedAt = b.now;
    Transaction& t = b.transaction(pay);
    b.route(t);
    assert(t.attempts == 0 && b.group.queue.size() == 1);
    b.pass(20);
    b.updateRole(a, Role::primary, b.now, true);
    b.front.timerFired(0);
    assert(b.launchedTo("t", "a"));
}

// Nobody to ask at all: the transaction is held, and answered before its client's time is up.
void emptyGroupIsAnsweredInTime() {
    Bench b;
    b.front.submit("t", look, "", milliseconds(900), 5, {});
    for (int i = 0; i < 50 && b.known("t"); ++i) {
        b.pass(20);
        b.front.timerFired(0);
    }
    assert(b.notes.lines.back() == "nack t" && b.now < milliseconds(1'000'900));
}

// No primary for a long time: a write that never ran is nacked in time, with launches to spare.
void longWithoutAPrimary() {
    Bench b;
    b.store("a");
    b.front.submit("t", pay, "", milliseconds(1900), 0, {});
    for (int no = 0; b.known("t"); b.pass(20), b.front.timerFired(0))
        if (b.notes.count("launch") > no)
            b.end("t", no++, *b.group.members[0], AttemptOutcome::notEligible, Role::replica);
    assert(b.notes.count("nack t") == 1 && b.notes.count("launch") < 4 && b.now < milliseconds(1'001'900));
}

// A try with unusual patience is a repeat: its goal time ran from the first try (i96527c).
void repeatsAreToldByTheirPatience() {
    Bench b;
    for (int i = 0; i < 20; ++i) assert(b.alreadyWaited(look, milliseconds(700) + i * 100'000) == 0);
    assert(b.alreadyWaited(look, milliseconds(500)) == milliseconds(500));
    assert(b.alreadyWaited(look, milliseconds(700)) == 0);
}

void varyingPatienceTellsNothing() {
    Bench b;
    for (int i = 0; i < 40; ++i) assert(b.alreadyWaited(look, milliseconds(100 + 21 * i)) == 0);
}

// Held transactions go by the gain to be expected: one with little time left gives way.
void expectedGainFallsWithTime() {
    Bench b;
    const Transaction& t = b.transaction(look);
    const double fresh = b.valueRate(t);
    b.pass(350);
    assert(b.valueRate(t) < 0.6 * fresh);
    assert(b.valueRate(b.transaction(recent, "r")) < fresh);
}

// The client has left: launches are called off, nothing more is sent.
void lapsedIsForgotten() {
    Bench b;
    Store& a = b.store("a", Pool::premium);
    b.startAttempt(b.transaction(look), a);
    b.front.abandon("t");
    assert(!b.known("t") && b.notes.lines.back() == "cancel t 0");
    b.end("t", 0, a, AttemptOutcome::cancelled);
    assert(a.attempts.empty() && a.reads[0] == 0);
}

// What has reached no store is told so by half of its time, once its goal time has passed; what was turned
// away by a store may go on waiting.
void waitsInVainForHalfItsTime() {
    for (const bool reached : {false, true}) {
        Bench b;
        b.primary("p").unreachableSince = b.now;
        Transaction& t = b.transaction(pay);
        t.maybeReached = reached;
        b.route(t);
        b.pass(900);
        b.front.timerFired(0);
        assert(b.known("t"));
        b.pass(80);
        b.front.timerFired(0);
        assert(b.known("t") == reached && b.notes.count("nack t") == !reached);
    }
}

// Connecting takes a while: a launch that the list, an answer or the age of a position has overtaken stays.
void overtakenLaunchStays() {
    Bench b;
    Store& a = b.store("a", Pool::premium);
    b.startAttempt(b.transaction(look), a);
    assert(b.front.mayStillSend("t", "a") && !b.front.mayStillSend("u", "a") &&
           !b.front.mayStillSend("t", "b"));
    b.pass(301);
    assert(!b.front.mayStillSend("t", "a"));
    a.position = b.now;
    assert(b.front.mayStillSend("t", "a"));
    a.state = StoreState::draining;
    assert(!b.front.mayStillSend("t", "a"));
}

// A front that ends gives every answer: a nack only where that is harmless.
void givesUpAtTheEnd() {
    Bench b;
    Store& p = b.primary("p");
    b.startAttempt(b.transaction(pay, "t"), p);
    b.front.finishNow("t");
    b.route(b.transaction(look, "u"));
    b.front.finishNow("u");
    b.front.finishNow("unknown");
    assert(b.notes.count("write off t") == 1 && b.notes.count("nack u") == 1 && !b.known("t") &&
           !b.known("u"));
}

int main() {
    waitsInVainForHalfItsTime();
    overtakenLaunchStays();
    givesUpAtTheEnd();
    harmlessGoesElsewhere();
    refusedWriteWaits();
    writesWaitForANewPrimary();
    emptyGroupIsAnsweredInTime();
    longWithoutAPrimary();
    repeatsAreToldByTheirPatience();
    varyingPatienceTellsNothing();
    expectedGainFallsWithTime();
    lapsedIsForgotten();
}
