/* Leases of reads and the promotion of a replica, as a model, in three parts that are searched by themselves.
 *
 * READ: three voters, a member of control that gives a lease, a front, an owner that promotes. Time is a counter that
 * goes on whenever it likes. Knowledge of a lead is 0 (the old lead, steady) or 1 (unsteady, or a new lead).
 * Stands for, in src/control: voters for ControlMember::vote and "round" (unsettledLeads, and the records that go
 * before an answer on its link); member() for rounds, "roundok" and "lease?"; front() for Agent and Front::leads;
 * owner() for Succession::guard and weigh. Claim: where the front may read plainly from the old lead, no new lead may have
 * acknowledged anything. A front that checks its lease and then freezes keeps the claim: a read has to show what was
 * acknowledged before its first byte, and that came before the check.
 *
 * DUTY: two owners, one after the other, the register of the lead (a compare and set; registers.pml has why it may be
 * taken for one), the platform. A call is underway for up to DELIVERY ticks, until it has taken effect. Stands
 * for Succession::guard, promote, standDown and take over, and change() by `seq`. Claims: the platform never gets a lower
 * fence after a higher one, nor one fence of two holders; a promotion takes effect only while the register has been
 * unsteady for WAIT, so that READ's claim covers it.
 *
 * LOG: a primary that is cut off from control alone and commits on, two replicas of which one has to have received what is
 * acknowledged (`sync_replicas` 1), the same two owners. Stands for pauseAll, answered, weigh, settle's and standDown's RESUME.
 * A commit that the primary acknowledged is told to its client only under a lease from before the register was unsteady, or once
 * it is steady again (proxy::LeadEvidence). Claim: the log of the store that is promoted has every commit that was told.
 *
 * Variants, each of which has to fail: with READ, FORGETFUL (a voter that restarts does not take its unsettled leads from
 * its slots), LEASE_BEFORE_NEWS (a lease may come before the records that its giver held), NO_WAIT (promotes without waiting
 * for leases to end), FROM_ANSWER (a lease counts from the answer, not from the question); with DUTY, NO_CONFIRM (a promotion is
 * sent after a freeze without reading the register again; the platform checks no fences), NO_FENCE (who takes over keeps the
 * fence), STAND_DOWN_AT_ONCE (the lead is steady again while an earlier owner's call may be underway); with LOG, STAND_DOWN_AT_ONCE
 * too (replicas go on while an earlier owner may promote by what it heard of them), ONE_HEARD (one
 * of two replicas is heard), EARLY_ROWS (positions count that were heard while an earlier owner's RESUME may be underway),
 * with REPLICA_RESTARTS too
 * (a pause ends with a replica's restart at any moment: with it alone the claim holds), TOLD_AT_ONCE (a client is told whatever was
 * acknowledged, whenever).
 */
byte now = 0;

#ifdef READ
#define LEASE 2
#define DRIFT 1             /* of two clocks over one lease */
#define END 4
#ifdef NO_WAIT
#define WAIT LEASE
#else
#define WAIT (LEASE + DRIFT)
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif
#ifndef ASKS
#define ASKS 1
#endif

bit slot[3];                /* on disk: has accepted the unsteady lead */
bit mark[3];                /* in memory: an unsettled lead */
bit record[3];              /* in memory: the board's record of it */
bit promoted = 0;           /* a new lead may have acknowledged */
bit chosen = 0;             /* a majority of slots holds it: it may become a record */

/* Between the member and a voter: the round's answer and what it says. */
mtype = { none, asked, answered };
mtype way[3] = none;
bit told[3];
bit behind[3];              /* a record that is still underway behind the answer */
byte roundAt = 0, got = 0, rounds = 0;
byte leaseEnd = 0;          /* the member's, by its own clock */
bit memberKnows = 0;

/* Between the front and the member. */
mtype lease = none;
byte left = 0, askedAt = 0, frontEnd = 0, asks = 0;
bit leaseTold = 0, leaseBehind = 0, frontKnows = 0;
byte restarts = 0;

#define mayRead (now < frontEnd && !frontKnows)
#define safe assert(!(promoted && mayRead))
#define knows(i) (mark[i] || record[i])

active proctype clock() {
    do
    :: d_step { now < END ->
        now++;
        /* what is over is forgotten, so that states that differ by it alone are one */
        if :: now >= frontEnd -> frontEnd = 0 :: else fi;
        if :: now >= leaseEnd -> leaseEnd = 0 :: else fi;
#ifndef FROM_ANSWER
        if
        :: rounds > 0 && now >= roundAt + LEASE + DRIFT ->
            roundAt = 0; got = 0;
            way[0] = none; way[1] = none; way[2] = none;
            told[0] = 0; told[1] = 0; told[2] = 0
        :: else
        fi;
        if :: lease == answered && now >= askedAt + left -> lease = none; left = 0; leaseTold = 0 :: else fi;
        if :: lease == none -> askedAt = 0 :: else fi;
#endif
        safe
       }
    od
}

inline restartVoter(i) {
    restarts++;
    record[i] = 0;
#ifdef FORGETFUL
    mark[i] = 0
#else
    mark[i] = slot[i]
#endif
}

inline answerRound(i) {
    way[i] = answered;
#ifdef LEASE_BEFORE_NEWS
    told[i] = mark[i] && !record[i];
    behind[i] = record[i]
#else
    told[i] = knows(i)      /* as a mark in the answer, or as a record before it */
#endif
}

active [3] proctype voter() {
    byte i;
    i = _pid - 1;
    do
    :: d_step { way[i] == asked -> answerRound(i) }
    /* the record of what was chosen reaches it */
    :: d_step { chosen && !record[i] -> record[i] = 1; mark[i] = 0 }
    :: d_step { restarts < 1 && knows(i) -> restartVoter(i) }
    od
}

inline hearAnswer(i) {
    way[i] = none;
    memberKnows = memberKnows || told[i];
    told[i] = 0;
    got++;
    if
    :: got == 2 ->
#ifdef FROM_ANSWER
        leaseEnd = now + LEASE
#else
        leaseEnd = roundAt + LEASE + DRIFT  /* by a clock that is slower than the owner's */
#endif
    :: else
    fi
}

active proctype member() {
    do
    :: d_step { rounds < ROUNDS && now < END ->
        rounds++;
        roundAt = now;
        got = 0;
        way[0] = asked; way[1] = asked; way[2] = asked;
        told[0] = 0; told[1] = 0; told[2] = 0
       }
    :: d_step { way[0] == answered -> hearAnswer(0) }
    :: d_step { way[1] == answered -> hearAnswer(1) }
    :: d_step { way[2] == answered -> hearAnswer(2) }
#ifdef LEASE_BEFORE_NEWS
    :: d_step { behind[0] -> behind[0] = 0; memberKnows = 1 }
    :: d_step { behind[1] -> behind[1] = 0; memberKnows = 1 }
    :: d_step { behind[2] -> behind[2] = 0; memberKnows = 1 }
#endif
    :: d_step { lease == asked && now < leaseEnd ->
        lease = answered;
        left = leaseEnd - now;
        leaseTold = memberKnows
       }
    /* It starts anew, and knows nothing. */
    :: d_step { restarts < 1 && rounds > 0 ->
        restarts++;
        memberKnows = 0; leaseEnd = 0; got = 0;
        way[0] = none; way[1] = none; way[2] = none;
        told[0] = 0; told[1] = 0; told[2] = 0;
        behind[0] = 0; behind[1] = 0; behind[2] = 0;
        if :: lease == asked -> lease = none :: else fi
       }
    od
}

active proctype front() {
    do
    :: d_step { asks < ASKS && now < END -> asks++; askedAt = now; lease = asked }
    :: d_step { lease == answered ->
        lease = none;
        frontKnows = frontKnows || leaseTold;
#ifdef FROM_ANSWER
        frontEnd = now + left;
#else
        frontEnd = askedAt + left;
#endif
        if :: now >= frontEnd -> frontEnd = 0 :: else fi;
        left = 0; leaseTold = 0;
        safe
       }
    /* It starts anew, or hangs on another parent: what it knew of leads is gone with its lease. */
    :: d_step { restarts < 1 && asks > 0 -> restarts++; frontKnows = 0; frontEnd = 0; lease = none; left = 0; leaseTold = 0 }
    od
}

active proctype owner() {
    byte guardedAt;
    bit waits = 0;
    do
    /* in this order, as the three are alike */
    :: d_step { !slot[0] -> slot[0] = 1; mark[0] = !record[0] }
    :: d_step { slot[0] && !slot[1] -> slot[1] = 1; mark[1] = !record[1] }
    :: d_step { slot[1] && !slot[2] -> slot[2] = 1; mark[2] = !record[2] }
    :: d_step { !waits && slot[0] + slot[1] + slot[2] >= 2 -> waits = 1; chosen = 1; guardedAt = now }
    :: atomic { waits && now >= guardedAt + WAIT -> promoted = 1; safe; guardedAt = 0; break }
    od
}
#endif

#ifdef DUTY
#define BOUND 1             /* a call leaves within this of the start of the read that confirms its fence */
#define DELIVERY 1          /* and has taken effect, or never will, within this of its sending */
#define WAIT 3              /* more than both, and than a lease with its drift */
#define END 9
#define GUARDS 2            /* of each owner */

byte seq = 1, fence = 0;    /* the register */
bit steady = 1;
byte since = 0;             /* unsteady since */
byte seen = 0, seenHolder = 0;
bit passed = 0;             /* the platform has made a replica the primary */
byte call[2], sentAt[2];    /* underway to the platform: its fence */

active proctype clock() {
    do
    :: d_step { now < END ->
        now++;
        if :: call[0] && now > sentAt[0] + DELIVERY -> call[0] = 0 :: else fi;
        if :: call[1] && now > sentAt[1] + DELIVERY -> call[1] = 0 :: else fi;
        if :: !call[0] -> sentAt[0] = 0 :: else fi;
        if :: !call[1] -> sentAt[1] = 0 :: else fi
       }
    od
}

inline arrives(o) {
#ifdef CHECKED
    if
    :: call[o] < seen
    :: else ->
#endif
        assert(call[o] >= seen);
        assert(call[o] > seen || seenHolder == 0 || seenHolder == o + 1);
        seen = call[o];
        seenHolder = o + 1;
        assert(passed || (!steady && now >= since + WAIT));
        passed = 1;
#ifdef CHECKED
    fi;
#endif
    call[o] = 0; sentAt[o] = 0
}

active proctype platform() {
    do
    :: d_step { call[0] -> arrives(0) }
    :: d_step { call[1] -> arrives(1) }
    od
}

/* A process may stop between any two steps and wake at any time. */
active [2] proctype owner() {
    byte me, mine, myFence, guardedAt, confirmedAt, guards;
    bit leads, tookOver;
    me = _pid - 2;
    do
    :: atomic { guards < GUARDS && !passed ->
        guards++;
        if
        :: steady -> steady = 0; since = now; tookOver = 0
        :: else -> tookOver = 1
        fi;
        seq++;
#ifdef NO_FENCE
        if :: fence == 0 -> fence = 1 :: else fi;
#else
        fence++;
#endif
        mine = seq; myFence = fence; guardedAt = now
       };
       do
       /* Confirms, then promotes. */
       :: atomic { now >= guardedAt + WAIT && seq == mine -> confirmedAt = now };
          if
#ifdef NO_CONFIRM
          :: atomic { call[me] == 0 -> call[me] = myFence; sentAt[me] = now; confirmedAt = 0 }
#else
          :: atomic { now <= confirmedAt + BOUND && call[me] == 0 -> call[me] = myFence; sentAt[me] = now; confirmedAt = 0 }
          :: atomic { now > confirmedAt + BOUND -> confirmedAt = 0 }
#endif
          fi
       /* A replica leads: it says so, if nobody took over. */
       :: atomic { passed && seq == mine -> seq++; steady = 1; since = 0; break }
       /* The old primary leads on: so it answers, then the register is written. Who found the lead steady need not wait: so
        * it would not be while an earlier owner's call may be underway. */
#ifdef STAND_DOWN_AT_ONCE
       :: atomic { call[me] == 0 -> leads = !passed };
#else
       :: atomic { (now >= guardedAt + WAIT || !tookOver) && call[me] == 0 -> leads = !passed };
#endif
          atomic {
            if
            :: leads && seq == mine -> seq++; steady = 1; since = 0; leads = 0; break
            :: else -> leads = 0
            fi
          }
       :: atomic { seq != mine -> break }   /* taken over */
       od;
       atomic { mine = 0; myFence = 0; guardedAt = 0; confirmedAt = 0; tookOver = 0 }
    :: atomic { guards >= GUARDS || passed -> break }
    od
}
#endif

#ifdef LOG
#define BOUND 1
#define DELIVERY 1
#define WAIT 3
#define END 8
#define COMMITS 2
#define LEASE 2                         /* with the drift of two clocks less than WAIT */

byte length = 0, acknowledged = 0;      /* of the primary's log */
byte told = 0;                          /* to clients */
bit steady = 1;                         /* the register */
byte unsteadyAt = 0;
byte received[2];                       /* by replica */
bit paused[2];
byte holder = 0;                        /* the owner on the register */
bit resume[4];                          /* underway: owner * 2 + replica */
byte resumeAt[2];                       /* by owner */
bit passed = 0;

active proctype clock() {
    do
    :: d_step { now < END ->
        now++;
        if :: now > resumeAt[0] + DELIVERY -> resume[0] = 0; resume[1] = 0; resumeAt[0] = 0 :: else fi;
        if :: now > resumeAt[1] + DELIVERY -> resume[2] = 0; resume[3] = 0; resumeAt[1] = 0 :: else fi
       }
    od
}

active proctype primary() {
    do
    :: d_step { !passed && length < COMMITS -> length++ }
    :: d_step { !paused[0] && received[0] < length && !passed -> received[0]++ }
    :: d_step { !paused[1] && received[1] < length && !passed -> received[1]++ }
    :: d_step { !passed && acknowledged < received[0] -> acknowledged = received[0] }
    :: d_step { !passed && acknowledged < received[1] -> acknowledged = received[1] }
#ifdef TOLD_AT_ONCE
    :: d_step { told < acknowledged -> told = acknowledged }
#else
    :: d_step { !passed && told < acknowledged && (steady || now < unsteadyAt + LEASE) -> told = acknowledged }
#endif
    :: d_step { resume[0] -> resume[0] = 0; paused[0] = 0 }
    :: d_step { resume[1] -> resume[1] = 0; paused[1] = 0 }
    :: d_step { resume[2] -> resume[2] = 0; paused[0] = 0 }
    :: d_step { resume[3] -> resume[3] = 0; paused[1] = 0 }
#ifdef REPLICA_RESTARTS
    :: d_step { paused[0] -> paused[0] = 0 }
#endif
    od
}

/* One owner after the other; the first may freeze at any step and wake at any time. */
active [2] proctype owner() {
    byte me, guardedAt, confirmedAt;
    byte row[2];                        /* what each said, plus one */
    me = _pid - 2;
    atomic { holder == me && !passed ->
        holder = me + 1;
        guardedAt = now;
        if :: steady -> steady = 0; unsteadyAt = now :: else fi
    };
    do
#ifdef EARLY_ROWS
    :: d_step { row[0] == 0 -> paused[0] = 1; row[0] = received[0] + 1 }
    :: d_step { row[1] == 0 -> paused[1] = 1; row[1] = received[1] + 1 }
#else
    :: d_step { row[0] == 0 && now >= guardedAt + WAIT -> paused[0] = 1; row[0] = received[0] + 1 }
    :: d_step { row[1] == 0 && now >= guardedAt + WAIT -> paused[1] = 1; row[1] = received[1] + 1 }
    /* paused before that too, so that positions stand still sooner */
    :: d_step { now < guardedAt + WAIT && !paused[0] -> paused[0] = 1 }
    :: d_step { now < guardedAt + WAIT && !paused[1] -> paused[1] = 1 }
#endif
    /* Confirms, then promotes the furthest, or stands down: the replicas go on. */
    :: atomic { holder == me + 1 && !passed -> confirmedAt = now };
       if
#ifdef ONE_HEARD
       :: atomic { now <= confirmedAt + BOUND && now >= guardedAt + WAIT && (row[0] || row[1]) ->
#else
       :: atomic { now <= confirmedAt + BOUND && now >= guardedAt + WAIT && row[0] && row[1] ->
#endif
            if
            :: row[0] >= row[1] -> assert(received[0] >= told)
            :: row[1] >= row[0] -> assert(received[1] >= told)
            fi;
            passed = 1;
            break
          }
#ifdef STAND_DOWN_AT_ONCE
       :: atomic { now <= confirmedAt + BOUND ->
#else
       :: atomic { now <= confirmedAt + BOUND && now >= guardedAt + WAIT ->
#endif
            resume[2 * me] = 1; resume[2 * me + 1] = 1; resumeAt[me] = now;
            if :: holder == me + 1 -> steady = 1; unsteadyAt = 0 :: else fi;
            break
          }
       :: atomic { now > confirmedAt + BOUND -> confirmedAt = 0 }
       fi
    :: atomic { passed -> break }
    od;
    atomic { row[0] = 0; row[1] = 0; guardedAt = 0; confirmedAt = 0 }
}
#endif
