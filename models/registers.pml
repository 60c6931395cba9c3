/* The registers of control, as a model: one register under one number, acceptors that promise and accept, proposers
 * that clash, a disk that is lost, power that is lost, and who votes changing by one voter at a time.
 *
 * Stands for, in src/control: answers of acceptor i for Acceptor::promise and Acceptor::accept behind ControlMember::vote (the
 * epoch, the vote of an empty disk); proposer() for Proposer; recover() for Office's dumps; manager() for
 * ControlMember::manage. An answer and its question are one step; either may never come (a proposer gives up at any step).
 *
 * Claims: what is acknowledged is one body for ever, and whoever reads later reads it.
 *
 * Variants, each of which has to fail: EMPTY_VOTES (a lost disk votes at once), EARLY (an answer leaves before the disk
 * has it), and with CHANGE together NO_CARRY (registers are not accepted anew between two changes) and NO_OLD (a change
 * that the present voters' majority never took). CHANGE by itself, and two tries a proposer, have more states than were
 * searched whole: what holds there is held by tests/system/members.cpp alone.
 */
#ifdef CHANGE
#define N 4
#define EPOCHS 3
#else
#define N 3
#define EPOCHS 1
#endif
#ifndef TRIES
#define TRIES 1
#endif

byte promised[N], accepted[N], value[N];    /* what answers are made from */
byte dpromised[N], daccepted[N], dvalue[N]; /* what the disk holds */
byte epoch[N];
bit blank[N];                               /* lost its disk and has not read the state */
byte used[3];                               /* by proposer: whose answers it counts on now */
byte known = 0;                             /* the epoch that is chosen */
byte acknowledged = 0;
byte wipes = 0, losses = 0;

/* Who votes in an epoch: 0 1 2; then 0 1 2 3; then 2 3 1. */
#define votes(i, e) ((e == 0 && i < 3) || (e == 1 && i < 4) || (e == 2 && i > 0))
#define majority(e) (e == 1 -> 3 : 2)
#define bit(i) (1 << (i))

inline sync(i) {
    dpromised[i] = promised[i];
    daccepted[i] = accepted[i];
    dvalue[i] = value[i]
}

/* Asks each voter at most once, in any order; `ok` if a majority answered. */
inline ask(me, e, accepting) {
    got = 0;
    mask = 0;
    ok = 0;
    do
    :: got >= majority(e) -> ok = 1; break
    :: got < majority(e) ->
        if
        :: atomic { !(mask & bit(0)) && votes(0, e) -> i = 0 }
        :: atomic { !(mask & bit(1)) && votes(1, e) -> i = 1 }
        :: atomic { !(mask & bit(2)) && votes(2, e) -> i = 2 }
#ifdef CHANGE
        :: atomic { !(mask & bit(3)) && votes(3, e) -> i = 3 }
#endif
        :: break
        fi;
        atomic {
            mask = mask | bit(i);
            if
            :: blank[i] || e < epoch[i] || ballot < promised[i]
            :: else ->
                epoch[i] = e;
                promised[i] = ballot;
                if
                :: accepting -> accepted[i] = ballot; value[i] = v
                :: !accepting && accepted[i] > best -> best = accepted[i]; was = value[i]
                :: else
                fi;
#ifndef EARLY
                sync(i);
#endif
                used[me] = used[me] | bit(i);
                got++
            fi
        }
    od
}

proctype proposer(byte me) {
    byte ballot, best, was, v, i, got, mask, e, before, try = 0;
    bit ok;
    do
    :: try < TRIES ->
        atomic {
            try++;
            ballot = 3 * try + me;
            best = 0; was = 0; used[me] = 0;
            before = acknowledged;
            e = known
        };
        if  /* it may not have heard of the last change, or of none */
        :: e > 0 -> e--
        :: skip
        fi;
        ask(me, e, 0);
        if
        :: !ok
        :: ok ->
            assert(before == 0 || was == before);
            v = (was -> was : me + 1);
            ask(me, e, 1);
            atomic {
                if
                :: ok -> assert(acknowledged == 0 || acknowledged == v); acknowledged = v
                :: else
                fi
            }
        fi;
        used[me] = 0
    :: break
    od
}

#ifndef CHANGE  /* each kind of trouble is searched by itself */
/* A disk is lost, once; its member asks all others what they hold, when nothing it said before is counted on. */
active proctype wiped() {
    byte i, j;
    if
    :: i = 0
    :: i = 1
    fi;
    atomic {
        wipes++;
        promised[i] = 0; accepted[i] = 0; value[i] = 0;
        sync(i);
#ifndef EMPTY_VOTES
        blank[i] = 1
#endif
    };
    atomic {
        blank[i] && !(used[0] & bit(i)) && !(used[1] & bit(i)) && !(used[2] & bit(i)) ->
        j = 0;
        do
        :: j < N ->
            if
            :: j != i && votes(j, known) ->
                if
                :: promised[j] > promised[i] -> promised[i] = promised[j]
                :: else
                fi;
                if
                :: accepted[j] > accepted[i] -> accepted[i] = accepted[j]; value[i] = value[j]
                :: else
                fi;
                if
                :: epoch[j] > epoch[i] -> epoch[i] = epoch[j]
                :: else
                fi
            :: else
            fi;
            j++
        :: else -> break
        od;
        sync(i);
        blank[i] = 0
    }
}

/* Power is lost everywhere, once: what is not on disk is gone, and what proposers counted on with it. */
active proctype power() {
    byte i = 0;
    atomic {
        losses++;
        do
        :: i < N ->
            promised[i] = dpromised[i]; accepted[i] = daccepted[i]; value[i] = dvalue[i];
            i++
        :: else -> break
        od
    }
}

#else
/* Who votes changes, twice: each time the register is accepted anew first, then the change taken, by a majority of the
 * voters of now. */
active proctype manager() {
    byte ballot, best, was, v, i, got, mask, e, turn = 0;
    bit ok;
    do
    :: turn < 2 ->
        e = known;
        ballot = 20 + turn;
        best = 0; was = 0; ok = 1;
#ifndef NO_CARRY
        ask(2, e, 0);
        v = was;
        if
        :: ok && was -> ask(2, e, 1)
        :: else
        fi;
#endif
        if
        :: !ok -> used[2] = 0; break
        :: ok
        fi;
#ifndef NO_OLD
        /* The change itself is a register's: a majority of the present voters has accepted it. */
        best = 0; was = 0;
        ask(2, e, 0);
        if
        :: !ok -> used[2] = 0; break
        :: ok
        fi;
#endif
        known = e + 1;
        used[2] = 0;
        turn++
    :: else -> break
    od
}
#endif

init { atomic { run proposer(0); run proposer(1) } }
