// A front's side of leases: the keys it wants, asks for, holds and gives back. Free of I/O, clocks and chance
// of its own. What it does as owner it does only while `holds` says so, asked anew after every wait and
// before every effect, and with the term and end that it gives.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "elector.hpp"
#include "talk.hpp"

namespace granitereel::owners {

// Who grants. While the list is changed, a lease needs a majority of both.
struct Electors {
    std::vector<int> now, before;
    std::uint32_t digest() const;
    // The first five of so many fronts; three of three or four; else all.
    static Electors first(int fronts);
};

struct Terms {
    Nanoseconds lease = milliseconds(3000);     // the time that a key is granted for
    Nanoseconds margin = milliseconds(200);     // an owner stops so much before its time is over
    Nanoseconds spread = milliseconds(10'000);  // a key whose duty is another's is handed to it after so long
};

struct Hold {
    std::uint64_t term = 0;
    Nanoseconds end = 0;  // by this front's clock; to act later is to act as nobody
};

class Leases {
public:
    class Outlet {
    public:
        virtual ~Outlet() = default;
        virtual void send(int member, const Talk& talk) = 0;  // an elector; may be this front
        virtual void log(const std::string& line) = 0;
        // A key has come or gone.
        virtual void changed(Key key, bool held) = 0;
    };

    // `floor`: no term is below it, such as the seconds of the wall clock: if everyone who knew a term has
    // forgotten it, the next is higher all the same, unless that clock was set back.
    Leases(int me, Electors electors, const Terms& terms, std::uint64_t floor, std::uint64_t seed,
           Nanoseconds now, Outlet& outlet);

    // From now on it tries to hold the key; a name for people.
    void want(Key key, const std::string& name);
    // No longer; what is held is given back, free for others after `hold`.
    void drop(Nanoseconds now, Key key, Nanoseconds hold = 0);
    bool wants(Key key) const { return keys_.count(key) > 0; }

    std::optional<Hold> holds(Nanoseconds now, Key key) const;
    std::vector<Key> held(Nanoseconds now) const;

    // An elector's answer.
    void heard(Nanoseconds now, int from, const Talk& talk);
    void tick(Nanoseconds now);
    Nanoseconds next() const;

    // Gives all keys back at once, and tells those that `heir` names. For each key: for how long still what
    // was given out under it may be used.
    void leave(Nanoseconds now, const std::function<int(Key)>& heir,
               const std::function<Nanoseconds(Key)>& hold);
    // A key whose duty has been another front's for the time set is handed to it, one at a time.
    void spread(Nanoseconds now, const std::function<int(Key)>& duty,
                const std::function<Nanoseconds(Key)>& hold);
    // The steady clock stood still for a while: nothing that is held can be trusted.
    void slept(Nanoseconds now);

    std::uint64_t highest() const { return highest_; }
    void learnTerm(std::uint64_t term) { highest_ = std::max(highest_, term); }
    const Electors& electors() const { return electors_; }
    const std::string& nameOf(Key key) const;

private:
    struct Wanted {
        std::string name;
        std::uint64_t term = 0;
        bool held = false;
        std::map<int, Nanoseconds> until;  // by elector: its grant lasts at least so long
        Nanoseconds end = 0;
        Nanoseconds nextAsk = 0;
        Nanoseconds giveUpAt = 0;     // grants that came to less than a majority by then are given back
        Nanoseconds othersSince = 0;  // its duty is another front's since then; 0: it is not
        int lost = 0;                 // rounds of asking in a row that came to nothing
    };
    struct Question {
        int elector;
        Nanoseconds sent;
        std::vector<Ask> asks;  // asked, or renewed
        bool renews;
    };
    Nanoseconds endOf(const Wanted& wanted) const;
    Nanoseconds grantedUntil(Nanoseconds sent) const;
    void judge(Nanoseconds now, Key key, Wanted& wanted, const char* why);
    void ask(Nanoseconds now, int elector, std::vector<Ask> asks);
    void giveBack(Nanoseconds now, Key key, const Wanted& wanted, Nanoseconds hold);
    void everyElector(const std::function<void(int)>& what) const;

    Outlet& out_;
    const int me_;
    const Electors electors_;
    const Terms terms_;
    std::minstd_rand chance_;
    std::map<Key, Wanted> keys_;
    std::map<std::uint32_t, Question> questions_;
    std::uint32_t lastQuestion_ = 0;
    std::uint64_t highest_;
    Nanoseconds nextRenewal_ = 0, nextSpread_ = 0;
    bool otherListTold_ = false;
    mutable Nanoseconds now_ = 0;
};

// Where an act takes effect: refuses what comes under a term lower than one seen, or past its end.
class Fence {
public:
    // Whether an act under this key, term and end may take effect now. The end is by the clock of who asks
    // here.
    bool admits(Nanoseconds now, Key key, std::uint64_t term, Nanoseconds end);
    std::uint64_t seen(Key key) const;
    struct Seen {
        std::uint64_t term = 0;
        int owner = -1;
        Nanoseconds end = 0;
    };
    void note(Key key, std::uint64_t term, int owner, Nanoseconds end);
    const std::map<Key, Seen>& all() const { return seen_; }

private:
    std::map<Key, Seen> seen_;
    std::uint64_t floor_ = 0;  // of keys that are forgotten
};

}  // namespace granitereel::owners
