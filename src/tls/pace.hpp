// How many handshakes may be under way, and whose comes next: decided here, free of sockets, clocks and TLS
// itself. A front on a part of a core must not starve the statements in flight for handshakes; a store that
// can't be trusted is spared; connections made under old trust are renewed a few at a time.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "nanoseconds.hpp"

namespace granitereel::tls {

// What a handshake is for, in the order in which they are served.
enum class For { statement, probe, renewal };

class Pace {
public:
    struct Terms {
        int atOnce = 16, perStore = 4;
        double share = 0.3;        // of all the time there is, that handshakes may take of the processor
        Nanoseconds coldTime = 0;  // a store started less than this ago gets one handshake at a time
    };
    using Turn = std::uint64_t;

    Pace(const Terms& terms, Nanoseconds now);
    void change(const Terms& terms) { terms_ = terms; }

    // Whether a store is spared now, as what it showed last could not be trusted.
    bool spares(const std::string& store, Nanoseconds now) const;
    // Queues for a handshake with a store that started at `started` (0: long ago).
    Turn asks(const std::string& store, For what, Nanoseconds started, Nanoseconds now);
    // Of those that wait, the next that may begin now; it counts as begun. None: ask again at `lookAt`, or
    // when one has ended.
    std::optional<Turn> next(Nanoseconds now);
    std::optional<Nanoseconds> lookAt() const { return lookAt_; }
    // One that waits gives up, or one that has begun is over. `cost`: of the processor's time.
    void leaves(Turn turn);
    enum class End { full, resumed, broken, untrusted };
    void ended(Turn turn, End how, Nanoseconds cost, Nanoseconds now);

    std::size_t waiting() const { return queue_.size(); }
    int underWay() const { return underWay_; }

private:
    struct Asker {
        std::string store;
        For what = For::statement;
        Nanoseconds started = 0, expected = 0;
        bool begun = false;
    };
    struct Store {
        int underWay = 0, waiting = 0, untrusted = 0;  // untrusted: times in a row
        Nanoseconds sparedUntil = 0;
    };
    void refill(Nanoseconds now);
    void forget(const std::string& store, Nanoseconds now);

    Terms terms_;
    std::map<Turn, Asker> askers_;
    std::set<std::pair<For, Turn>> queue_;
    std::map<std::string, Store> stores_;
    int underWay_ = 0;
    Turn last_ = 0;
    double purse_ = 0;  // nanoseconds of the processor that may be spent now
    Nanoseconds filledAt_ = 0;
    double usual_;  // cost of a handshake, as learnt
    std::optional<Nanoseconds> lookAt_;
};

// The connections made under trust that has been replaced: which is renewed next.
class Renewal {
public:
    explicit Renewal(Nanoseconds within) : within_(within) {}
    // New trust holds from now on.
    void begins(Nanoseconds now) { began_ = now, on_ = true; }
    void change(Nanoseconds within) { within_ = within; }
    bool on() const { return on_; }
    // Whether idle connections of the old kind are closed now whether or not another can be had.
    bool overdue(Nanoseconds now) const { return on_ && now >= began_ + within_; }
    // Of the stores with idle connections of the old kind, each with when one was used last, the one to renew
    // now; none while as many as are needed are under way. No such store and none under way: it is done.
    std::optional<std::string> next(const std::map<std::string, Nanoseconds>& old, std::size_t connections,
                                    Nanoseconds now);
    void ended(const std::string& store, Nanoseconds took);

private:
    Nanoseconds within_, began_ = 0;
    bool on_ = false;
    std::set<std::string> underWay_;
    double usual_ = 50e6;  // what one takes from asking to being there: on a busy morning, until learnt
};

}  // namespace granitereel::tls
