#include "bench.hpp"

using namespace granitereel;

// Step 1: two fifths each, the rest Mixed, rotated by the front's number; the primary stays out.
void dealsTwoFifths() {
    RoutingConfig c = charter();
    c.proxyIndex = 1;
    Bench b(c);
    for (const char* id : {"a", "b", "c", "d", "e"}) b.store(id);
    b.primary("p");
    b.assignPools();
    const Pool expected[] = {Pool::mixed,    Pool::premium,  Pool::premium,
                             Pool::freemium, Pool::freemium, Pool::none};
    for (int i = 0; i < 6; ++i) assert(b.group.members[i]->pool == expected[i]);
}

// Step 4: the least-loaded of the own pool while it is below the threshold.
void takesTheLeastLoadedOfItsOwn() {
    Bench b;
    Store& busy = b.store("a", Pool::premium);
    Store& idle = b.store("b", Pool::premium);
    b.store("c", Pool::mixed);
    busy.reads[0] = 1;
    assert(b.selectReplica(b.transaction(look)) == &idle);
}

// Step 5: a full own pool borrows Mixed first; Premium then takes a lighter Freemium above the floor.
void borrowsMixedThenFreemium() {
    Bench b;
    b.store("a", Pool::premium).reads[0] = 100;
    Store& mixed = b.store("b", Pool::mixed);
    Store& light = b.store("c", Pool::freemium);
    b.store("d", Pool::freemium).reads[1] = 1;
    const Transaction& t = b.transaction(look);
    assert(b.selectReplica(t) == &mixed && mixed.pool == Pool::premium && mixed.lender == Pool::mixed);
    mixed.reads[0] = 100;
    assert(b.selectReplica(t) == &light && light.lender == Pool::freemium);
}

// Where crossing zones costs, the steps are gone through with the own zone's replicas first, to twice the
// threshold while their answers are not late; then with all.
void ownZoneFirst() {
    for (const bool costs : {false, true})
        for (const bool late : {false, true}) {
            RoutingConfig c = charter();
            c.crossZoneCost = costs ? 0.05 : 0;
            Bench b(c);
            Store &far = b.store("a", Pool::premium), &mixed = b.store("b", Pool::mixed),
                  &own = b.store("c", Pool::premium);
            far.zone = 1;
            own.reads[0] = 1;
            const Transaction& t = b.transaction(look);
            assert(b.selectReplica(t) == (costs ? &own : &far));
            for (int i = 0; late && i < 9; ++i) b.settle(own, AttemptOutcome::succeeded, milliseconds(399));
            own.reads[0] = 2;
            assert(b.selectReplica(t) == (!costs ? &far : late ? &mixed : &own));
            own.reads[0] = mixed.reads[0] = 100;
            own.window = mixed.window = 0.5;
            own.pacedUntil = mixed.pacedUntil = b.now + milliseconds(1000);
            assert(b.selectReplica(t) == &far);
        }
}

void keepsTheFreemiumFloor() {
    Bench b;
    Store& own = b.store("a", Pool::premium);
    own.reads[0] = 50;
    b.store("c", Pool::freemium);
    assert(b.selectReplica(b.transaction(look)) == &own);
}

// Step 5: Freemium takes a Premium replica only if it is empty and Premium's target holds.
void freemiumBorrowsAboveTheTarget() {
    Bench b;
    Store& own = b.store("a", Pool::freemium);
    own.reads[1] = 50;
    Store& empty = b.store("b", Pool::premium);
    b.store("c", Pool::premium).reads[0] = 1;
    const Transaction& t = b.transaction(recent);
    b.group.poolTarget[0] = 2;
    assert(b.selectReplica(t) == &own);
    b.group.poolTarget[0] = 1;
    assert(b.selectReplica(t) == &empty && empty.lender == Pool::premium);
}

// Step 6: an eased pool gives back what it borrowed and no longer uses, to a lender below its target.
void givesBackAtTheWatermark() {
    Bench b;
    Store& own = b.store("a", Pool::premium);
    Store& lent = b.store("b", Pool::premium);
    lent.lender = Pool::freemium;
    b.group.poolTarget[1] = 1;
    own.reads[0] = 100;
    b.returnBorrowed(0);
    assert(lent.pool == Pool::premium);
    own.reads[0] = 0;
    lent.reads[0] = 1;
    b.returnBorrowed(0);
    assert(lent.pool == Pool::premium);
    lent.reads[0] = 0;
    b.returnBorrowed(0);
    assert(lent.pool == Pool::freemium && lent.lender == Pool::none);
}

// Fronts with few reads find all loads alike: each takes the first from its own place on, whatever the zone.
void quietFrontsSpread() {
    for (int front : {0, 1}) {
        RoutingConfig c = charter();
        c.proxyIndex = front;
        Bench b(c);
        for (const char* id : {"a", "b"}) b.store(id, Pool::premium).window = 0.1;
        b.group.members[0]->zone = 1;
        assert(b.selectReplica(b.transaction(look)) == b.group.members[front]);
    }
}

int main() {
    dealsTwoFifths();
    takesTheLeastLoadedOfItsOwn();
    borrowsMixedThenFreemium();
    ownZoneFirst();
    keepsTheFreemiumFloor();
    freemiumBorrowsAboveTheTarget();
    givesBackAtTheWatermark();
    quietFrontsSpread();
}
