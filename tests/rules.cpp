#include "bench.hpp"

using namespace granitereel;

// Rule 1: what can no longer be served in time is answered at once, and launched no more.
void hopelessIsAnswered() {
    Bench b;
    Transaction& t = b.transaction(look);
    b.primary("p");
    b.pass(1001);
    b.route(t);
    assert(b.notes.lines.back() == "nack t" && !b.known("t"));
    assert(b.notes.count("launch") == 0);
}

// Rule 2: a one-shot that may have run is neither launched again nor nacked.
void oneShotThatMayHaveRun() {
    Bench b;
    Store& p = b.primary("p");
    Transaction& t = b.transaction(pay);
    b.startAttempt(t, p);
    b.end("t", 0, p, AttemptOutcome::timedOut);
    assert(b.notes.lines.back() == "write off t");
    assert(b.notes.count("launch") == 1 && !b.known("t"));
}

// Rule 2: a stamped one goes again within its window, and is nacked only where all stores drop repeats.
void stampedKeepsItsWindow() {
    Bench b;
    Store& p = b.primary("p");
    Transaction& t = b.transaction(post);
    t.mayHaveRunSince = b.now;
    assert(b.mayStartAttempt(t, p) && !b.mayReject(t));
    b.pass(1200);
    assert(!b.mayStartAttempt(t, p));
}

// Rule 3: nothing new to a store that drains or is gone.
void drainedGetsNothing() {
    for (const StoreState standing : {StoreState::draining, StoreState::removed}) {
        Bench b;
        Store& s = b.store("s", Pool::premium);
        const Transaction& t = b.transaction(look);
        assert(b.mayStartAttempt(t, s));
        s.state = standing;
        assert(!b.mayStartAttempt(t, s));
    }
}

int main() {
    hopelessIsAnswered();
    oneShotThatMayHaveRun();
    stampedKeepsItsWindow();
    drainedGetsNothing();
}
