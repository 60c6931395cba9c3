#include "bench.hpp"

using namespace granitereel;

// A store missing from a whole list is gone; one missing from a change is not.
void wholeListEndsTheMissing() {
    Bench b;
    Store& a = b.store("a");
    Store& z = b.store("z");
    b.front.listBegins(false);
    b.front.listEntry("a", 0, 0, StoreState::up, 0, false);
    b.front.listEnds();
    assert(z.state == StoreState::up);
    b.front.listBegins(true);
    b.front.listEntry("a", 0, 0, StoreState::up, 0, false);
    b.front.listEnds();
    assert(a.state == StoreState::up && z.state == StoreState::removed);
}

// A store that the list took out is forgotten in time, one that still works or is back is not.
void forgetsWhatIsGone() {
    Bench b;
    for (const char* id : {"a", "b", "c", "d"}) b.store(id);
    b.startAttempt(b.transaction(look), *b.group.members[1]);
    auto list = [&](const char* id, StoreState standing) {
        b.front.listBegins(false);
        b.front.listEntry(id, 0, 0, standing, 0, false);
        b.front.listEnds();
    };
    for (const char* id : {"a", "b", "c"}) list(id, StoreState::removed);
    list("c", StoreState::up);
    b.pass(59'000);
    b.front.timerFired(0);
    assert(b.front.knowsStore("a"));
    b.pass(2'000);
    b.front.timerFired(0);
    assert(!b.front.knowsStore("a") && b.front.knowsStore("b") && b.front.knowsStore("c") &&
           b.front.knowsStore("d"));
    assert(b.group.members.size() == 3);
    b.end("t", 0, *b.group.members[0], AttemptOutcome::succeeded);
    b.pass(1'000);
    b.front.timerFired(0);
    assert(!b.front.knowsStore("b"));
}

// A list that names a primary is believed only while nothing better is known.
void listNamesThePrimaryOnlyAtFirst() {
    Bench b;
    b.front.listBegins(true);
    b.front.listEntry("a", 0, 0, StoreState::up, 0, true);
    b.front.listEnds();
    assert(b.group.primary && b.group.primary->id == "a");
    b.front.listBegins(false);
    b.front.listEntry("b", 0, 0, StoreState::up, 0, true);
    b.front.listEnds();
    assert(b.group.primary->id == "a");
}

// Rule 3: the list is asked at once, again well before silence counts as told, and soon after a failure.
void keepsAskingTheList() {
    RoutingConfig c = charter();
    c.listMustBeRequested = true;
    Bench b(c);
    b.front.timerFired(0);
    assert(b.notes.count("follow") == 1);
    b.pass(6980);
    b.front.timerFired(0);
    assert(b.notes.count("follow") == 1);
    b.pass(20);
    b.front.timerFired(0);
    assert(b.notes.count("follow") == 2);
    b.front.listFailed();
    b.pass(1500);
    b.front.timerFired(0);
    assert(b.notes.count("follow") == 3);
}

// A drained primary is no longer written to, and the pools are dealt again.
void drainedPrimaryIsNone() {
    Bench b;
    b.primary("p");
    b.front.listBegins(false);
    b.front.listEntry("p", 0, 0, StoreState::draining, 0, true);
    b.front.listEnds();
    assert(!b.group.primary);
}

// Of two statements on a role the later one holds; a report is as old as its position.
void laterRoleHolds() {
    Bench b;
    Store& p = b.primary("p");
    Store& s = b.store("s");
    b.front.storeReported("s", b.now - milliseconds(500), true);
    assert(b.group.primary == &p);
    b.pass(100);
    b.front.storeReported("s", b.now - milliseconds(10), true);
    assert(b.group.primary == &s);
}

// A primary that hands over answers reads as one still, and is not believed (id3961c); a replica just
// elected is.
void handingOverDoesNotFlip() {
    Bench b;
    Store& p = b.primary("p");
    b.pass(10);
    b.updateRole(p, Role::replica, b.now, true);
    assert(!b.group.primary);
    b.pass(100);
    b.updateRole(p, Role::primary, b.now, true);
    assert(!b.group.primary);
    Store& s = b.store("s");
    b.updateRole(s, Role::replica, b.now, true);
    b.pass(10);
    b.updateRole(s, Role::primary, b.now, true);
    assert(b.group.primary == &s);
}

// Step 2: a write tries members in order past those that are replicas, then waits; its last launch is kept.
void writeSeeksThePrimary() {
    Bench b;
    Store& a = b.store("a");
    Store& c = b.store("c");
    Transaction& t = b.transaction(pay);
    assert(b.selectStore(t) == &a);
    a.role = Role::replica;
    a.roleUpdatedAt = b.now;
    assert(b.selectStore(t) == &c);
    c.role = Role::replica;
    c.roleUpdatedAt = b.now;
    assert(b.selectStore(t) == nullptr);
    b.pass(1000);
    assert(b.selectStore(t) == &a);
    t.attempts = 5;
    assert(b.selectStore(t) == nullptr);
}

// Many fronts seek a lost primary when they need it, and together no more often than a few would.
void manyFrontsSeekSeldom() {
    RoutingConfig c = charter();
    c.proxyCount = 200;
    Bench b(c);
    b.store("a").role = Role::replica;
    b.front.timerFired(0);
    assert(b.notes.count("probe") == 0);
    const Transaction& t = b.transaction(pay);
    b.selectStore(t);
    b.group.members[0]->probing = false;
    b.pass(500);
    b.selectStore(t);
    assert(b.notes.count("probe") == 1);
    b.pass(101);
    b.selectStore(t);
    assert(b.notes.count("probe") == 2);
}

// A look for the primary costs each member of the group a probe: 300 fronts with a group of ten, where
// none is known as primary for ten seconds, send it some 300 probes a second in all, not so many to each.
void seekingCostsTheGroupNotEachMember() {
    RoutingConfig c = charter();
    c.proxyCount = 300;
    Bench b(c);
    for (int i = 0; i < 10; ++i) b.store("s" + std::to_string(i)).role = Role::replica;
    const Transaction& t = b.transaction(pay);
    for (int step = 0; step < 100; ++step) {
        b.selectStore(t);
        for (Store* s : b.group.members) s->probing = false;
        b.pass(100);
    }
    // This front's probes in ten seconds, as all 300 send them: at most twice the 300 a second aimed at.
    const int fleetEachSecond = b.notes.count("probe") * 300 / 10;
    assert(fleetEachSecond > 0 && fleetEachSecond <= 2 * 300);
}

// A report that is untrue: an answer says that the store is no primary, so it is not read as one.
void answerBeatsAnUntrueReport() {
    Bench b;
    Store& s = b.store("s");
    b.updateRole(s, Role::replica, b.now, true);
    b.pass(1500);
    b.front.storeReported("s", b.now, true);
    assert(b.group.primary == &s && b.selectStore(b.transaction(check)) == nullptr);
}

int main() {
    wholeListEndsTheMissing();
    forgetsWhatIsGone();
    listNamesThePrimaryOnlyAtFirst();
    keepsAskingTheList();
    drainedPrimaryIsNone();
    laterRoleHolds();
    handingOverDoesNotFlip();
    writeSeeksThePrimary();
    manyFrontsSeekSeldom();
    answerBeatsAnUntrueReport();
    seekingCostsTheGroupNotEachMember();
}
