/* The registers of control, as a model: one register, three acceptors that promise and accept, two proposers that clash,
 * give up at any step, try again and restart, a disk that is lost, power that is lost. Who votes stays as it is here:
 * membership.pml has the change of voters.
 *
 * Stands for, in src/control: question() for Acceptor::promise and Acceptor::accept behind ControlMember::vote; the
 * proposer's ballot for Ballot (round, proposer, life of the proposer); proposer() for Proposer; wiped() for the dumps of
 * ControlMember's recovery; `counted` for Proposer's answers, which end with a change's deadline; taken(), then answer()
 * for a reply that leaves only once its slot is on disk, while later questions already meet the slot in memory.
 *
 * A question and its answer are one step, but with POWER, which has the sync between them. A question that is never asked
 * is one that was lost, and a proposer that takes no further step is one that was cut off, frozen or killed. A message
 * that comes later is a question asked later.
 *
 * Claims: what is acknowledged is one body for ever, and whoever reads later by a majority reads it.
 *
 * Each kind of trouble is searched by itself: RESTART (two tries of one proposer, either in one life or in two), WIPE,
 * POWER; RESTART also with WIPE. DESCENDING: a later life's ballot of the same round is the lower one, as the lives of a
 * member that lost its disk have no order.
 *
 * Variants, each of which has to fail: NO_LIFE (with RESTART: a second life uses the ballots of the first again),
 * EMPTY_VOTES (with WIPE: a lost disk votes at once), EARLY_DUMP (with WIPE: recovery counts dumps while an answer of the
 * lost disk may still be counted), EARLY (with POWER: an answer leaves before the disk has it),
 * LEARNED_COUNTS (with WIPE and two tries each: what a disk was given by dumps counts like what it accepted, where a read finds
 * one ballot at a majority and writes nothing).
 */
#define N 3
#define MAJORITY 2
#ifndef TRIES
#define TRIES 1                             /* of the first proposer */
#endif
#ifndef OTHER
#define OTHER 1                             /* of the second */
#endif
#ifdef RESTART
#define LIVES 2                             /* of the first proposer */
#else
#define LIVES 1
#endif
#define bit(i) (1 << (i))

byte promised[N], accepted[N], value[N];    /* what answers are made from */
bit learned[N];                             /* what it holds accepted was read from others' disks, not asked of it */
bit blank[N];                               /* lost its disk and has not read the state */
byte counted[2];                            /* by proposer: the acceptors whose answers it counts now */
byte acknowledged = 0;
#ifdef POWER
byte dpromised[N], daccepted[N], dvalue[N]; /* what the disk holds */
bit powerLost = 0, diskLost = 0;
#define resets(i) (powerLost + ((i) == 0 && diskLost))
#define sync(i) dpromised[i] = promised[i]; daccepted[i] = accepted[i]; dvalue[i] = value[i]
#endif

#ifdef LEARNED_COUNTS
#define MAY_COUNT(i) 1
#else
#define MAY_COUNT(i) !learned[i]
#endif

#define majority(mask) ((mask) == 3 || (mask) == 5 || (mask) == 6 || (mask) == 7)

#ifdef DESCENDING
#define order(life) (1 - (life))
#else
#define order(life) (life)
#endif
#ifdef NO_LIFE
#define ballotOf(round, me, life) (4 * (round) + 2 * (me))
#else
#define ballotOf(round, me, life) (4 * (round) + 2 * (me) + order(life))
#endif

/* Acceptor i takes the question into memory. An equal ballot with another value is refused. */
#define refuses(i) (blank[i] || ballot < promised[i] || \
                    (accepting && ballot == accepted[i] && v != value[i]))
inline takes(i) {
    promised[i] = ballot;
    if
    :: accepting -> accepted[i] = ballot; value[i] = v; learned[i] = 0
    :: else
    fi
}

/* Its answer is counted by the proposer. */
inline counts(i) {
    if
    :: !accepting ->
        same = accepted[i] != 0 && MAY_COUNT(i) && (counted[me] == 0 || (same && accepted[i] == best));
        if
        :: accepted[i] > best -> best = accepted[i]; was = value[i]
        :: else
        fi
    :: else
    fi;
    counted[me] = counted[me] | bit(i)
}

inline question(i) {
    if
    :: refuses(i)
    :: else ->
        takes(i);
#ifdef POWER
        asked = i + 1;
#ifdef EARLY
        counts(i)
#endif
#else
        counts(i)
#endif
    fi
}

/* Asks the acceptors in any order until a majority has answered, or gives up. */
inline ask() {
    do
    :: atomic { majority(counted[me]) -> ok = 1; break }
    :: atomic { ok = 0; break }
#ifdef POWER
    :: atomic { !majority(counted[me]) && asked == 0 && !(counted[me] & 1) -> since = resets(0); question(0) }
    :: atomic { !majority(counted[me]) && asked == 0 && !(counted[me] & 2) -> since = resets(1); question(1) }
    :: atomic { !majority(counted[me]) && asked == 0 && !(counted[me] & 4) -> since = resets(2); question(2) }
    /* The sync, and the answer behind it. An acceptor that lost power or disk meanwhile does not answer. */
    :: atomic { asked != 0 ->
        if
        :: since == resets(asked - 1) && promised[asked - 1] >= ballot ->
            sync(asked - 1);
#ifndef EARLY
            counts(asked - 1)
#endif
        :: else
        fi;
        asked = 0; since = 0
       }
#else
    :: atomic { !majority(counted[me]) && !(counted[me] & 1) -> question(0) }
    :: atomic { !majority(counted[me]) && !(counted[me] & 2) -> question(1) }
    :: atomic { !majority(counted[me]) && !(counted[me] & 4) -> question(2) }
#endif
    od
}

proctype proposer(byte me; byte tries) {
    byte ballot, best, was, v, before, try, round, life;
    bit ok, accepting, same;
#ifdef POWER
    byte asked;                             /* the acceptor that has taken a question and not synced it, plus one */
    byte since;                             /* resets of that acceptor before it took the question */
#endif
    do
    :: atomic { try < tries ->
        if
        :: me == 0 && life < LIVES - 1 && try > 0 -> life++; round = 1     /* a new life: its rounds begin anew */
        :: round++
        fi;
        try++;
        ballot = ballotOf(round, me, life);
        accepting = 0; best = 0; was = 0; counted[me] = 0;
        before = acknowledged
       };
       ask();
       atomic {
        if
        :: !ok -> counted[me] = 0; best = 0; was = 0; before = 0; same = 0
        :: ok ->
            assert(before == 0 || was == before);
            if                              /* a majority holds it under one ballot: nothing need be written */
            :: same -> ok = 0; assert(acknowledged == 0 || acknowledged == was); acknowledged = was
            :: else
            fi;
            same = 0;
            v = (was -> was : 2 * try + me - 1);   /* each try has a value of its own */
            accepting = 1; counted[me] = 0; best = 0; was = 0; before = 0
        fi
       };
       if
       :: ok ->
            ask();
            atomic {
                if
                :: ok -> assert(acknowledged == 0 || acknowledged == v); acknowledged = v
                :: else
                fi;
                counted[me] = 0; v = 0; accepting = 0
            }
       :: else
       fi
    :: atomic { try >= tries -> break }
    od
}

#ifdef WIPE
#define forgotten (!(counted[0] & bit(0)) && !(counted[1] & bit(0)))
inline dump(j) {
    if
    :: promised[j] > promised[0] -> promised[0] = promised[j]
    :: else
    fi;
    if
    :: accepted[j] > accepted[0] -> accepted[0] = accepted[j]; value[0] = value[j]; learned[0] = 1
    :: else
    fi;
#ifdef POWER
    sync(0)
#endif
}

/* A disk is lost, once, of any of three alike. Its member asks the others what they hold, one after the other, once
 * nothing that it said before is counted any more. */
active proctype wiped() {
    atomic {
        promised[0] = 0; accepted[0] = 0; value[0] = 0; learned[0] = 0;
#ifdef POWER
        diskLost = 1;
        sync(0);
#endif
#ifndef EMPTY_VOTES
        blank[0] = 1
#endif
    };
    atomic {
#ifndef EARLY_DUMP
        forgotten ->
#endif
        dump(1)
    };
    atomic {
#ifdef EARLY_DUMP
        forgotten ->                        /* waited for before it votes, but not before it reads */
#endif
        dump(2);
        blank[0] = 0
    }
}
#endif

#ifdef POWER
/* Power is lost everywhere, once: what is not on disk is gone. */
active proctype power() {
    byte i = 0;
    atomic {
        powerLost = 1;
        do
        :: i < N ->
            promised[i] = dpromised[i]; accepted[i] = daccepted[i]; value[i] = dvalue[i];
            i++
        :: else -> i = 0; break
        od
    }
}
#endif

init { atomic { run proposer(0, TRIES); run proposer(1, OTHER) } }
