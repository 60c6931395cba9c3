/* Who votes on control's registers, and how that changes, as a model: one register; members 0 1 2 that vote at first and
 * a successor, 3; the epochs 0: {0 1 2}, 1: {0 1 2 3}, 2: {1 2 3}; two proposers that may still work in an earlier epoch;
 * a manager that has the register accepted anew by a majority of the present epoch before each change; disks that are lost
 * at any time, with recovery.
 *
 * Stands for, in src/control: question() for ControlMember::vote (the epoch, adopt(), the vote of an empty disk) and
 * Acceptor; proposer() for Proposer; manager() for ControlMember::manage and changeCore; disk() for hello, dump? and dump of a
 * member whose disk is empty; `counted` for the answers that a change under way counts, until its deadline.
 *
 * A question and its answer are one step. A process that takes no further step is one that was cut off, frozen or
 * killed, so that every loss after a change is among the runs, as is a voter that still holds the earlier epoch when it
 * comes back. A majority of the present voters takes the change in the code; where the register is carried that bounds the
 * runs further, so the model leaves it out of the writers' part and has it in CLASH.
 *
 * Claims: what is acknowledged is one body for ever; at each moment every majority of every epoch that would still
 * answer shows it (`readable`), and every proposer reads it; no two sets of voters under one epoch (CLASH).
 *
 * CLASH: the register is that of the voters itself, and two managers want different ones to leave: {1 2 3} and {0 2 3}.
 * JOINT: instead of the epoch of four voters one that takes a majority of the old three and one of the new three.
 * WIPES: how many disks are lost, one after the other (default 1).
 *
 * Variants, each of which has to fail: NO_CARRY (nothing is accepted anew), SWAP (a voter replaced in one step, without
 * a joint majority), ANY_DUMP (recovery counts dumps of any epoch), EMPTY_VOTES (a lost disk votes at once), FIRST_HELLO (a
 * member with an empty disk takes the first epoch it hears of for the present one, and where that does not name it, votes
 * in a later one with nothing), FEW_DUMPS (recovery counts itself), EARLY_DUMP (recovery reads while answers of the
 * lost disk are counted); with CLASH, NO_OLD (a change that the present voters' majority never took).
 */
#define bit(i) (1 << (i))
#define in(mask, i) (((mask) >> (i)) & 1)
#ifndef WIPES
#define WIPES 1
#endif
#ifndef PROPOSERS
#define PROPOSERS 1
#endif

byte promised[4], accepted[4], value[4], epoch[4];
bit blank[4];               /* lost its disk and has not read the state */
byte counted[3];            /* by proposer: the voters whose answers it counts now */
byte known = 0;             /* the epoch that is chosen */
byte acknowledged = 0;
#ifdef CLASH
byte last = 0;              /* the voters of epoch 2: 2 is {1 2 3}, 3 is {0 2 3} */
#endif

/* Majorities, of those in a mask. */
#define of012(m) (in(m, 0) + in(m, 1) + in(m, 2) >= 2)
#define of123(m) (in(m, 1) + in(m, 2) + in(m, 3) >= 2)
#define of023(m) (in(m, 0) + in(m, 2) + in(m, 3) >= 2)
#define of0123(m) (in(m, 0) + in(m, 1) + in(m, 2) + in(m, 3) >= 3)
#if defined(CLASH)
#define votes(i, e) ((e) == 0 && (i) < 3 || (e) == 1 || (e) == 2 && (last == 2 && (i) != 0 || last == 3 && (i) != 1))
#define majority(m, e) ((e) == 0 && of012(m) || (e) == 1 && of0123(m) || (e) == 2 && (last == 2 && of123(m) || last == 3 && of023(m)))
#elif defined(SWAP)
#define votes(i, e) ((e) == 0 && (i) < 3 || (e) == 1 && (i) > 0)
#define majority(m, e) ((e) == 0 && of012(m) || (e) == 1 && of123(m))
#elif defined(JOINT)
#define votes(i, e) ((e) == 0 && (i) < 3 || (e) == 1 || (e) == 2 && (i) > 0)
#define majority(m, e) ((e) == 0 && of012(m) || (e) == 1 && of012(m) && of123(m) || (e) == 2 && of123(m))
#else
#define votes(i, e) ((e) == 0 && (i) < 3 || (e) == 1 || (e) == 2 && (i) > 0)
#define majority(m, e) ((e) == 0 && of012(m) || (e) == 1 && of0123(m) || (e) == 2 && of123(m))
#endif
#ifdef SWAP
#define CHANGES 1
#else
#define CHANGES 2
#endif

/* What a read by these voters in this epoch would show, where they would answer. */
#define answers(i, e) (!blank[i] && epoch[i] <= (e))
#define further(a, b) (accepted[a] >= accepted[b] -> a : b)
#define shows(a, b, e) (!answers(a, e) || !answers(b, e) || value[further(a, b)] == acknowledged)
#define shows3(a, b, c, e) (!answers(a, e) || !answers(b, e) || !answers(c, e) || \
    value[(accepted[a] >= accepted[b] -> further(a, c) : further(b, c))] == acknowledged)
#define first (shows(0, 1, 0) && shows(0, 2, 0) && shows(1, 2, 0))
#if defined(SWAP)
#define second (shows(1, 2, 1) && shows(1, 3, 1) && shows(2, 3, 1))
#define third 1
#else
#if defined(JOINT)
#define second (shows(1, 2, 1) && shows3(0, 1, 3, 1) && shows3(0, 2, 3, 1))
#else
#define second (shows3(0, 1, 2, 1) && shows3(0, 1, 3, 1) && shows3(0, 2, 3, 1) && shows3(1, 2, 3, 1))
#endif
#define third (shows(1, 2, 2) && shows(1, 3, 2) && shows(2, 3, 2))
#endif
#define readable (acknowledged == 0 || first && (known < 1 || second) && (known < 2 || third))

/* Voter i is asked in epoch e of this ballot, and answers or not; a later epoch is adopted. */
inline question(i) {
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
        counted[me] = counted[me] | bit(i);
        assert(readable)
    fi
}

/* Asks the voters in any order until a majority has answered, or gives up. */
inline ask() {
    do
    :: atomic { majority(counted[me], e) -> ok = 1; break }
#if WIPES > 0
    :: atomic { ok = 0; break }
#endif
    :: atomic { !majority(counted[me], e) && votes(0, e) && !in(counted[me], 0) -> question(0) }
    :: atomic { !majority(counted[me], e) && votes(1, e) && !in(counted[me], 1) -> question(1) }
    :: atomic { !majority(counted[me], e) && votes(2, e) && !in(counted[me], 2) -> question(2) }
    :: atomic { !majority(counted[me], e) && votes(3, e) && !in(counted[me], 3) -> question(3) }
    od
}

/* Any epoch that was chosen: it may not have heard of the last change, or of none. */
inline someEpoch() {
    if
    :: e = 0
    :: known >= 1 -> e = 1
    :: known >= 2 -> e = 2
    fi
}

#ifndef CLASH
proctype proposer(byte me) {
    byte ballot, best, was, v, e, before;
    bit ok, accepting;
    atomic {
        ballot = 3 * (me + 1);              /* between the manager's */
        before = acknowledged;
        someEpoch()
    };
    ask();
    if
    :: atomic { ok ->
        assert(before == 0 || was == before);
        v = (was -> was : me + 1);
        accepting = 1; ok = 0; best = 0; was = 0; before = 0; counted[me] = 0
       };
       ask();
       atomic {
        if
        :: ok ->
            assert(acknowledged == 0 || acknowledged == v);
            acknowledged = v;
            assert(readable)
        :: else
        fi
       }
    :: atomic { !ok -> skip }
    fi;
    atomic { counted[me] = 0; ballot = 0; best = 0; was = 0; v = 0; e = 0; before = 0; accepting = 0; ok = 0 }
}

/* Who votes changes: the register is accepted anew first, by a majority of the voters of now. */
proctype manager() {
    byte ballot, best, was, v, e;
    bit ok, accepting;
    byte me = 2;
    do
    :: atomic { e < CHANGES ->
#if defined(BELOW)
        ballot = 1 + e
#elif defined(ABOVE)
        ballot = 4 + e
#elif defined(AROUND)
        ballot = (e == 0 -> 1 : 5)
#else
        if                                  /* a ballot below, between or above the proposers' */
        :: ballot <= 1 + e -> ballot = 1 + e
        :: ballot <= 4 + e -> ballot = 4 + e
#if PROPOSERS > 1
        :: ballot = 7 + e
#endif
        fi
#endif
       };
       ask();
       if
       :: atomic { !ok -> break }
       :: atomic { ok -> accepting = 1; v = was; ok = 0; best = 0; was = 0; counted[me] = 0 }
       fi;
#ifdef NO_CARRY
       accepting = 0;                       /* only asks whether the change is taken */
#endif
       ask();
       if
       :: atomic { !ok -> break }
       :: atomic { ok ->
            counted[me] = 0; accepting = 0; v = 0; best = 0; was = 0; ok = 0;
            e++;
            known = e;
            assert(readable)
          }
       fi
    :: atomic { e >= CHANGES -> break }
    od;
    atomic { counted[me] = 0; ballot = 0; best = 0; was = 0; v = 0; e = 0; accepting = 0; ok = 0 }
}

#else
/* Two managers that want other voters to leave, each with two tries: what the register holds is the newest epoch's
 * voters. 1 is {0 1 2 3}. */
proctype manager(byte me) {
    byte ballot, best, was, v, e, try;
    bit ok, accepting;
    do
    :: atomic { try < 2 ->
        try++;
        ballot = 2 * try + me;
        someEpoch();
        if
        :: e == 2 -> break
        :: else
        fi
       };
#ifndef NO_OLD
       ask();
       if
       :: atomic { !ok -> counted[me] = 0; best = 0; was = 0; goto next }
       :: atomic { ok -> ok = 0; counted[me] = 0; accepting = 1 }
       fi;
#endif
       atomic {
        v = (was > e -> was : (e == 0 -> 1 : 2 + me));
        best = 0; was = 0
       };
#ifndef NO_OLD
       ask();
#else
       ok = 1;
#endif
       atomic {
        if
        :: ok && v == 1 -> known = (known < 1 -> 1 : known)
        :: ok && v > 1 ->
            assert(last == 0 || last == v);
            last = v;
            known = 2
        :: else
        fi;
        counted[me] = 0; v = 0; e = 0; accepting = 0; ok = 0
       };
next:  skip
    :: atomic { try >= 2 -> break }
    od;
    atomic { counted[me] = 0; ballot = 0; best = 0; was = 0; v = 0; e = 0; accepting = 0; ok = 0 }
}
#endif

#if WIPES > 0
#define forgotten(i) (!in(counted[0], i) && !in(counted[1], i) && !in(counted[2], i))

/* Voter j shows what it holds. It may have heard of the epoch just before; a later one it does not hide. */
inline dump(j) {
    if
#ifdef ANY_DUMP
    :: !blank[j] ->
#else
    :: !blank[j] && epoch[j] <= e && votes(j, e) ->
        epoch[j] = e;
#endif
        if
        :: promised[j] > promised[i] -> promised[i] = promised[j]
        :: else
        fi;
        if
        :: accepted[j] > accepted[i] -> accepted[i] = accepted[j]; value[i] = value[j]
        :: else
        fi;
        from = from | bit(j)
    :: else
    fi
}

#ifdef FEW_DUMPS
#define enough majority(from | bit(i), e)
#else
#define enough majority(from, e)
#endif
#ifdef EARLY_DUMP
#define mayRead 1
#else
#define mayRead forgotten(i)
#endif

/* Disks are lost, one after the other. */
active proctype disk() {
    byte i, e, from, wipes;
    do
    :: atomic { wipes < WIPES ->
        if
        :: i = 0
        :: i = 1
        :: i = 2
        :: i = 3
        fi;
        wipes++;
        promised[i] = 0; accepted[i] = 0; value[i] = 0; epoch[i] = 0;
#ifdef EMPTY_VOTES
        goto done;
#endif
        blank[i] = 1;
        from = 0
       };
       /* What it is told of the epoch first: by anyone. */
       atomic { someEpoch() };
       do
       :: atomic { votes(i, e) && mayRead && i != 0 && !in(from, 0) -> dump(0) }
       :: atomic { votes(i, e) && mayRead && i != 1 && !in(from, 1) -> dump(1) }
       :: atomic { votes(i, e) && mayRead && i != 2 && !in(from, 2) -> dump(2) }
       :: atomic { votes(i, e) && mayRead && i != 3 && !in(from, 3) -> dump(3) }
       /* It hears of a later epoch, and begins anew. */
       :: atomic { e < known -> e++; from = 0 }
       :: atomic { votes(i, e) && enough && forgotten(i) -> break }
       /* It has no vote now: one that it gets later is given to a disk that has never voted. That it has none now is
        * read of a majority, not believed of whoever says it first. */
#ifdef FIRST_HELLO
       :: atomic { !votes(i, e) -> break }
#else
       :: atomic { !votes(i, e) && e == known -> break }
#endif
       od;
       atomic {
        blank[i] = 0;
        epoch[i] = e;
        assert(readable);
done:   e = 0; from = 0; i = 0
       }
    :: atomic { wipes >= WIPES -> break }
    od
}
#endif

#ifdef CLASH
init { atomic { run manager(0); run manager(1) } }
#else
init { atomic { run manager(); run proposer(0);
#if PROPOSERS > 1
    run proposer(1)
#endif
} }
#endif
