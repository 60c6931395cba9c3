/* Leases without a disk, as a model: three electors that forget when they start anew, two fronts that want one key,
 * any loss, delay and order of messages, a stall at every step, clocks that drift by one tick in a lease. Time is a
 * counter that goes on whenever it likes.
 *
 * Stands for, in src/owners: grant() for Elector::heard and Elector::answer, with the silence of Elector's
 * constructor; asking and hearing in front() for Leases::tick, Leases::heard, Leases::grantedUntil and
 * Leases::judge; holds for Leases::holds; the effect for Fence::admits; `out` for what an owner gives out under its
 * lease.
 *
 * Claims: never two fronts that may act at one time (one, in every run); no act of an older term takes effect after one
 * of a newer (ORDER); what is out never sums to more than the whole (SUM).
 *
 * Variants, each of which has to fail: NO_SILENCE, NO_MARGIN, TRUST_CLOCK; with ORDER NO_FENCE.
 */
#define LEASE 2
#define END 5          /* time stops here */
#define ROUNDS 2       /* times that each front asks, or renews */
#define RESTARTS 1
#define WHOLE 1        /* of what is given out */

#ifdef NO_MARGIN
#define OWNS LEASE
#else
#define OWNS (LEASE - 1)   /* grantedUntil: less drift and margin */
#endif
#ifdef NO_SILENCE
#define SILENCE 0
#else
#define SILENCE (LEASE + 1)
#endif

byte now = 1;
byte restarts = 0;

/* what electors know */
byte owner[3];          /* 0 nobody, else front + 1 */
byte term[3];
byte until[3];
byte silent[3];

/* what fronts believe */
byte mine[2];           /* the term asked for */
byte got[2];            /* electors that granted this asking */
byte sent[2];           /* when it was asked */
byte end[2];            /* acts only before this */
byte rounds[2];
bool owns[2];

/* Between a front and an elector: the ask on its way, then the answer; from an asking that is over, neither is
 * believed (questions_, and the term of the reply). */
mtype = { none, asked, granted };
mtype way[6] = none;

/* the place of the effect */
byte seen = 0;          /* the highest term that took effect */
byte out = 0;           /* given out, good until the lease under which it was given ends */
byte outUntil = 0;

#ifdef TRUST_CLOCK
#define holds(f) (owns[f])
#else
#define holds(f) (owns[f] && now < end[f])
#endif
#define one assert(!(holds(0) && holds(1)))

inline grant(f, e) {
    if
    :: now < silent[e] || (now < until[e] && owner[e] != f + 1) ||
       (owner[e] == f + 1 && mine[f] < term[e]) || (owner[e] != f + 1 && mine[f] <= term[e]) ->
           way[f * 3 + e] = none                          /* refused, or not answered */
    :: else ->
           owner[e] = f + 1;
           term[e] = mine[f];
           if                                             /* its clock may be ahead by one tick in a lease */
           :: until[e] = now + LEASE
           :: until[e] = now + LEASE - 1
           fi;
           way[f * 3 + e] = granted                       /* lost, where it is never heard */
    fi
}

/* A second grant makes a majority; a third adds nothing. */
inline hear(f) {
    got[f]++;
    if
    :: got[f] == 2 && now < sent[f] + OWNS -> owns[f] = true; end[f] = sent[f] + OWNS
    :: else
    fi;
    one
}

active proctype clock() {
    byte i;
end_clock:
    do
    :: d_step { now < END ->
           now++;
           if
           :: out > 0 && now >= outUntil -> out = 0; outUntil = 0
           :: else
           fi;
           /* what is over is forgotten, so that states that differ by it alone are one */
           i = 0;
           do
           :: i < 3 ->
                  if :: now >= until[i] -> until[i] = 0 :: else fi;
                  if :: now >= silent[i] -> silent[i] = 0 :: else fi;
                  i++
           :: else -> break
           od;
           i = 0;
           do
           :: i < 2 ->
                  if
                  :: now >= sent[i] + OWNS ->
                         sent[i] = 0; got[i] = 0;
                         way[i * 3] = none; way[i * 3 + 1] = none; way[i * 3 + 2] = none
                  :: else
                  fi;
#ifndef TRUST_CLOCK
                  if :: now >= end[i] -> end[i] = 0; owns[i] = false :: else fi;
#endif
                  i++
           :: else -> break
           od;
           i = 0;
           one
       }
    od
}

active [3] proctype elector() {
    byte e;
    e = _pid - 1;
end_elector:
    do
    :: atomic { way[e] == asked -> grant(0, e) }
    :: atomic { way[3 + e] == asked -> grant(1, e) }
    /* an ask that is never looked at is lost */
    :: d_step { e == 0 && restarts < RESTARTS ->           /* starts from nothing; any of three alike */
           restarts++;
           owner[e] = 0; term[e] = 0; until[e] = 0;
           silent[e] = now + SILENCE
       }
    od
}

active [2] proctype front() {
    byte f, acting, actEnd;
    f = _pid - 4;
end_front:
    do
    /* Leases::tick: a renewal under its term, or a term above those that were used before */
    :: d_step { rounds[f] < ROUNDS && now < END ->
           rounds[f]++;
           if
           :: owns[f] && now < end[f]
           :: else -> mine[f] = (mine[f] == 0 -> 1 + f : mine[f] + 2); owns[f] = false; end[f] = 0
           fi;
           got[f] = 0;
           sent[f] = now;
           way[f * 3] = asked; way[f * 3 + 1] = asked; way[f * 3 + 2] = asked
       }
    /* Leases::heard, Leases::judge: each grant counts from the asking */
    :: d_step { way[f * 3] == granted -> way[f * 3] = none; hear(f) }
    :: d_step { way[f * 3 + 1] == granted -> way[f * 3 + 1] = none; hear(f) }
    :: d_step { way[f * 3 + 2] == granted -> way[f * 3 + 2] = none; hear(f) }
#ifdef ORDER
    /* acts: looks at its lease, then anything may pass before the effect; of two late acts one is enough to be late */
    :: d_step { f == 0 && holds(0) && acting == 0 && seen == 0 -> acting = mine[0]; actEnd = end[0] }
    :: d_step { f == 0 && acting != 0 ->
#ifdef NO_FENCE
           assert(acting >= seen);
           seen = acting;
#else
           if
           :: acting >= seen && now < actEnd -> assert(acting >= seen); seen = acting
           :: else                                        /* refused */
           fi;
#endif
           acting = 0; actEnd = 0
       }
    :: d_step { f == 1 && holds(1) && seen < mine[1] -> seen = mine[1] }
#endif
#ifdef SUM
    /* gives out: good until its lease ends, so that the next owner finds nothing out */
    :: d_step { holds(f) && out < WHOLE && rounds[f] > 0 ->
           out++;
           outUntil = end[f];
           assert(out <= WHOLE)
       }
#endif
    od
}
