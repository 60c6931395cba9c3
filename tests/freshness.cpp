#include "bench.hpp"

using namespace granitereel;

// Step 3: a bounded read wants a position within its bound; time alone never advances one.
void boundedReadWantsTheBound() {
    Bench b;
    Store& s = b.store("s");
    const Transaction& t = b.transaction(look);
    b.pass(299);
    assert(b.isFreshEnough(s, t));
    b.pass(1);
    assert(!b.isFreshEnough(s, t));
}

void sessionReadWantsItsToken() {
    Bench b;
    Store& s = b.store("s");
    Transaction& t = b.transaction(recent);
    t.minPosition = s.position;
    assert(b.isFreshEnough(s, t));
    t.minPosition = s.position + 1;
    assert(!b.isFreshEnough(s, t));
}

// An older position told late takes nothing back.
void positionsOnlyGrow() {
    Bench b;
    Store& s = b.store("s");
    const Nanoseconds before = s.position;
    b.front.storeReported("s", before - milliseconds(50), {});
    assert(s.position == before);
    b.front.storeReported("s", before + milliseconds(50), {});
    assert(s.position == before + milliseconds(50));
}

// Step 3: no replica is fresh enough, so the primary is read, unless an answer has called it a replica.
void spillsToThePrimary() {
    Bench b;
    Store& p = b.primary("p");
    b.store("s", Pool::premium).position = 0;
    const Transaction& t = b.transaction(look);
    assert(b.selectStore(t) == &p);
    p.saysReplica = true;
    assert(b.selectStore(t) == nullptr);
}

// Where stores check: the least-behind replica that may catch up, and none that surely misses (i717714).
void triesOnlyWhatMayCatchUp() {
    RoutingConfig c = charter();
    c.storesCheckFreshness = true;
    c.catchUpTimeout = milliseconds(100);
    Bench b(c);
    Store& p = b.primary("p");
    Store& near = b.store("n", Pool::premium);
    const Transaction& t = b.transaction(look);
    near.position = b.now - milliseconds(350);
    assert(b.selectStore(t) == &near);
    near.position = b.now - milliseconds(450);
    assert(b.selectStore(t) == &p);
}

// Probes: when the position is older than half the bound and nothing has renewed it; laggards less often.
void probesWhenDue() {
    Bench b;
    Store& s = b.store("s");
    b.pass(150);
    assert(!b.probeIsDue(s));
    b.pass(1);
    assert(b.probeIsDue(s));
    s.probedAt = b.now;
    assert(!b.probeIsDue(s));
    s.position = b.now - milliseconds(4000);
    s.positionUpdatedAt = b.now;
    b.pass(999);
    assert(!b.probeIsDue(s));
    b.pass(2);
    assert(b.probeIsDue(s));
}

// Long reads stop the log where they run: all fronts send theirs to the same replica, the first by id
// (i8e8e57).
void longReadsGoToTheFirst() {
    Bench b;
    Store& first = b.store("a", Pool::freemium);
    b.store("b", Pool::premium).position -= milliseconds(2000);
    assert(b.selectStore(b.transaction(report)) == &first);
}

// A mark kept for a session binds its next read.
void keepsTheMarksOfSessions() {
    RoutingConfig c = charter();
    c.sessionWritesTracked = true;
    Bench b(c);
    Store& p = b.primary("p");
    Transaction& t = b.transaction(pay);
    t.user = "u";
    b.startAttempt(t, p);
    b.front.attemptEnded("t", 0, "p", AttemptOutcome::succeeded, milliseconds(20), Role::primary,
                         b.now + milliseconds(3), true);
    b.pass(10);
    b.front.submit("r", recent, "u", milliseconds(900), 0, {});
    assert(b.launchedTo("r", "p"));
    Store& s = b.store("s", Pool::freemium);
    s.position = b.now - milliseconds(8);
    b.front.submit("q", recent, "u", milliseconds(900), 0, {});
    assert(b.launchedTo("q", "p"));
    s.position = b.now;
    b.front.submit("v", recent, "u", milliseconds(900), 0, {});
    assert(b.launchedTo("v", "s"));
}

// The marks of sessions are bounded: of 50,000 sessions with a write each, at most two generations of 20,000
// are kept, and a session whose mark was let go asks for no less than it had.
void marksOfSessionsAreBounded() {
    RoutingConfig c = charter();
    c.sessionWritesTracked = true;
    Bench b(c);
    Store& p = b.primary("p");
    p.window = 1e9;
    for (int i = 0; i < 50'000; ++i) {
        const std::string id = "w" + std::to_string(i);
        Transaction& t = b.transaction(pay, id);
        t.user = "u" + std::to_string(i);
        b.startAttempt(t, p);
        b.front.attemptEnded(id, 0, "p", AttemptOutcome::succeeded, milliseconds(1), Role::primary, b.now + i,
                             true);
    }
    const auto [newer, older] = b.marks();
    assert(newer <= 20'000 && older <= 20'000 && newer + older >= 20'000);
    b.front.submit("r", recent, "u0", milliseconds(900), 0, {});
    assert(!b.known("r") || b.mustSee("r") >= b.now);
    // Marks of both generations kept are each session's own.
    b.store("s", Pool::freemium).position = b.now - milliseconds(1000);
    for (const int user : {25'000, 45'000}) {
        const std::string id = "r" + std::to_string(user);
        b.front.submit(id, recent, "u" + std::to_string(user), milliseconds(900), 0, {});
        assert(b.mustSee(id) == b.now + user);
    }
}

// A front with few reads knows no position young enough: it asks, and waits before it reads the primary.
void quietReadWaitsForItsProbe() {
    Bench b;
    Store& p = b.primary("p");
    Store& s = b.store("s", Pool::premium);
    b.pass(5000);
    const Transaction& t = b.transaction(look);
    assert(b.selectStore(t) == nullptr && b.notes.count("probe s") == 1);
    b.front.storeReported("s", b.now - milliseconds(100), {});
    assert(b.selectStore(t) == &s);
    b.pass(5000);
    const Transaction& later = b.transaction(look, "later");
    assert(b.selectStore(later) == nullptr);
    b.pass(41);
    assert(b.selectStore(later) == &p);
}

// Where stores check, a replica that was never asked is read at once, and one a second is asked as well.
void unknownReplicaIsTriedWhereStoresCheck() {
    RoutingConfig c = charter();
    c.storesCheckFreshness = true;
    Bench b(c);
    b.primary("p");
    Store& s = b.store("s", Pool::premium);
    s.position = -1, s.positionUpdatedAt = 0;
    for (int i = 0; i < 2; ++i, s.probing = false, b.pass(500))
        assert(b.selectStore(b.transaction(look)) == &s && b.notes.count("probe s") == 1);
}

int main() {
    boundedReadWantsTheBound();
    sessionReadWantsItsToken();
    positionsOnlyGrow();
    spillsToThePrimary();
    triesOnlyWhatMayCatchUp();
    probesWhenDue();
    longReadsGoToTheFirst();
    keepsTheMarksOfSessions();
    marksOfSessionsAreBounded();
    quietReadWaitsForItsProbe();
    unknownReplicaIsTriedWhereStoresCheck();
}
