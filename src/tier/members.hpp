// Who is there: the fronts of a tier, as one front sees them. Free of I/O, clocks and chance of its own:
// time, datagrams' contents and a seed come in, what is to be sent and told goes out by an outlet.
// docs/tier-design.md names the ways weighed. Probing, helpers, suspicion and refutation follow SWIM (Das,
// Gupta, Motivala, 2002), the front's judgement of itself Lifeguard (Dadgar, Phillips, Currey, 2018), the
// wish for several accusers Rapid (Suresh et al., 2018).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "nanoseconds.hpp"

namespace granitereel::tier {

// Of two statements on one member with the same incarnation the later in this order holds.
enum class State { here, suspect, gone, leaving };
// How much of the tier a front hears and is heard by: nobody; less than most; more than half of it, itself
// counted; everyone.
enum class Sight { alone, few, most, whole };

const char* nameOf(State state);
const char* nameOf(Sight sight);

// What is said of one member. An incarnation of 0 stands for: nothing known. `by`: who accused it, for
// suspect and gone alone, else -1.
struct Fact {
    int member = 0;
    State state = State::here;
    std::uint32_t incarnation = 0;
    int by = -1;
    bool operator==(const Fact&) const = default;
};

// All that is known of 32 members in a row, the last block perhaps fewer.
struct Block {
    int number = 0;
    std::vector<State> states;
    std::vector<std::uint32_t> incarnations;
    bool operator==(const Block&) const = default;
};

// Two processes bear the name of one member: the younger speaks for it.
struct Twins {
    std::uint32_t younger = 0, elder = 0;  // their births
    Nanoseconds youngerAge = 0;
    bool operator==(const Twins&) const = default;
};

// What a part that builds on the tier has to say; `kind` names that part.
struct Further {
    int kind = 0;
    std::string bytes;
    bool operator==(const Further&) const = default;
};

// What one datagram says; everything beyond the first five is left out where it is empty or 0.
struct Said {
    std::uint32_t birth = 0;        // drawn anew by each process; not 0
    std::uint32_t incarnation = 0;  // the sender's own; 0: it does not know yet
    Nanoseconds age = 0;       // of the sender's process by its own steady clock; whole milliseconds travel
    int members = 0;           // in the sender's list of peers
    std::uint32_t nth = 0;     // of the datagrams that this process has sent to this receiver, from 1 on
    std::uint32_t digest = 0;  // of the sender's view; 0: not told
    std::uint32_t probe = 0;   // a number to be answered
    std::uint32_t answer = 0;  // the number that is answered
    int about = -1;            // with probe: ask this member for me; with answer: it was asked for you
    bool silent = false;       // with answer and about: it has not answered me
    std::optional<Twins> twins;
    std::vector<Fact> facts;
    std::vector<std::uint16_t> blockDigests;  // of all blocks in order, to find where two views differ
    std::vector<Block> blocks;                // where yours differ from mine
    std::optional<Further> further;
    bool operator==(const Said&) const = default;
};

// The most that facts, digests and blocks of one datagram may take on the wire, in bytes, so that with all
// the rest it stays within 256: frame and head take 60 at most.
constexpr int mostLoad = 190;
constexpr int mostFurther = mostLoad - 10;  // with its kind, and room for a fact of the receiver
constexpr int blockSize = 32;
int loadOf(const Fact& fact);
int loadOf(const Block& block);

class Outlet {
public:
    virtual ~Outlet() = default;
    virtual void send(int member, const Said& what) = 0;
    // One line for people: a change, with its reason.
    virtual void log(const std::string& line) = 0;
    // Somebody has something further to say, and is believed. `sent`: when that was by this front's clock, or
    // no more than the shortest delay on that way later.
    virtual void received(int /*from*/, std::uint32_t /*birth*/, Nanoseconds /*sent*/, const Further&) {}
};

// How the tier is watched.
struct Pace {
    // Each front probes one other in each round.
    Nanoseconds round = milliseconds(500);
    // A direct answer is waited for so long; helpers are asked for the rest of the round.
    Nanoseconds answer = milliseconds(200);
    // A datagram later than this is not believed: it was held somewhere.
    Nanoseconds goodFor = milliseconds(5000);
    // A suspicion that nobody else confirms stands this many times as long as one that several do.
    int unconfirmed = 6;
};

struct Member {
    State state = State::gone;
    std::uint32_t incarnation = 0;  // 0: never heard of
    Nanoseconds since = 0;          // of this state
    int by = -1;                    // whose word it is: itself, this front or another
    std::uint32_t birth = 0;        // of the process that last spoke for it to this front; 0: none did
    Nanoseconds born = 0;           // when that process started, by this front's clock, no later than that
    std::uint32_t spoken = 0;       // the highest incarnation that this process gave itself
    std::uint32_t elderBirth = 0;   // of the process before it
    Nanoseconds elderBorn = 0, elderSeen = 0;
    bool elderTold = false;
    Nanoseconds heard = 0;  // last sound datagram first hand; 0: none
    Nanoseconds firstHeard = 0;
    int members = 0;                      // in its list of peers, as it last said
    std::uint32_t nthIn = 0, nthOut = 0;  // datagrams from it and to it
    Nanoseconds toldOff = 0;              // last told what is said of it
    std::vector<int> accusers;            // while suspect
    Nanoseconds verdictAt = 0;            // while suspect: when last calls begin
    int lastCalls = 0;                    // of those, made so far
    Nanoseconds calledSince = 0;
    int sends = -1;  // of its fact as a rumour, so far; -1: no rumour
    int rumourBy = -1;
};

class Members {
public:
    // `me` counts from 0, below `count`. `birth` must not be 0 and differ from process to process.
    Members(int me, int count, std::uint32_t birth, std::uint64_t seed, const Pace& pace, Nanoseconds now,
            Outlet& outlet);

    // A datagram whose sender was made sure of. Returns false where it is not believed: held too long, or
    // from an elder process of that name.
    bool heard(Nanoseconds now, int from, const Said& said);
    // To be called at next(), or whenever it is later than that.
    void tick(Nanoseconds now);
    Nanoseconds next() const;

    // Sends something further, of mostFurther bytes at most; false where it is longer, or nobody may speak.
    bool tell(Nanoseconds now, int to, Further further);
    // This front ends: tells the others at once.
    void leave(Nanoseconds now);
    // The list of peers has grown or shrunk at its end.
    void resize(Nanoseconds now, int count);

    int me() const { return me_; }
    int count() const { return static_cast<int>(members_.size()); }
    const Member& member(int number) const { return members_[static_cast<std::size_t>(number)]; }
    std::uint32_t incarnation() const { return member(me_).incarnation; }
    std::uint32_t birth() const { return birth_; }
    Sight sight(Nanoseconds now) const;
    // Members in a state, ascending; this front is `here` until it leaves.
    std::vector<int> in(State state) const;
    std::uint32_t digest() const;
    // A younger process bears this front's name: it says nothing any more.
    bool silenced() const { return silenced_; }
    // How far this front doubts itself, 0 to 8.
    int doubt() const { return doubt_; }
    // Share of datagrams that seem to be lost on the way here.
    double lossSeen(Nanoseconds now) const;
    // Since when the sight is what it is.
    Nanoseconds sightSince() const { return sightSince_; }

private:
    struct Pending {
        int member;
        Nanoseconds until;
        Nanoseconds againAt;  // sent once more then; 0: not
        std::function<void(bool answered)> next;
    };

    Member& at(int number) { return members_[static_cast<std::size_t>(number)]; }
    Fact factOf(int number) const;
    bool present(int number) const;
    bool knows(int from, const Said& said);
    void learn(const Fact& fact, int teller);
    void learnOfMyself(const Fact& fact, int teller);
    void accuse(int number, std::uint32_t incarnation, int by);
    void confirm(int number, int by);
    void setVerdictTime(Member& member);
    void condemn(int number, int by);
    void change(int number, State state, std::uint32_t incarnation, int by, const std::string& why);
    void rumour(int number);
    void mark(int number);  // what is known of it has changed: digests follow
    void say(int to, Said said);
    void fill(Said& said, int to, int room);
    void probeRound();
    void probe(int number, Nanoseconds within, std::function<void(bool)> next, bool twice = false);
    void askHelpers(int number);
    void failed(int number, bool helpersSpoke);
    void callTheGone(int many);
    void lastCalls();
    void spread();
    void compare(int from);
    void answerDigests(int from, const Said& said);
    void noteLoss(Member& member, std::uint32_t nth);
    void judgeSight();
    void doubt(int by);
    Nanoseconds patience() const { return pace_.answer * (2 + doubt_) / 2; }
    int neededAccusers() const;
    int callsNeeded() const;
    int pick(const std::function<bool(int)>& admits);
    int rumourLimit() const;

    Outlet& out_;
    const Pace pace_;
    const int me_;
    const std::uint32_t birth_;
    const Nanoseconds started_;
    std::minstd_rand chance_;
    Nanoseconds now_ = 0;
    std::vector<Member> members_;
    std::vector<std::uint32_t> blocks_;  // digests
    std::vector<int> turn_;              // whom to probe, in an order drawn anew when it is through
    std::map<std::uint32_t, Pending> pending_;
    std::uint32_t lastProbe_ = 0;
    std::vector<int> rumours_, suspects_;  // members
    Nanoseconds nextRound_ = 0, nextSpread_ = 0, nextCalls_ = 0, nextCompare_ = 0;
    Nanoseconds lastAnswer_ = 0, lastHeard_ = 0;  // an own probe answered; anything heard
    int heardInRound_ = 0;
    int doubt_ = 0;
    double lost_ = 0, came_ = 0;  // recent datagrams, halved now and then
    bool silenced_ = false, leaving_ = false;
    Sight sight_ = Sight::alone;
    Nanoseconds sightSince_ = 0;
};

}  // namespace granitereel::tier
