// A tier in virtual time: the deciding part of every front in one thread, with a network that loses, delays,
// cuts, holds and repeats, clocks that drift, processes that stall, die, leave and start again. A seed plays
// the same world each time. Datagrams pass as bytes, through the codec.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "tier/guest.hpp"
#include "tier/letter.hpp"
#include "tier/members.hpp"

namespace granitereel::standins {

class World {
public:
    World(int count, std::uint64_t seed, const tier::Pace& pace = {});

    // The network. A datagram passes with 1 - loss, after a delay between these, unless the way is cut.
    double loss = 0, repeats = 0;
    Nanoseconds leastDelay = milliseconds(1), mostDelay = milliseconds(15);
    std::function<bool(int from, int to)> cut;  // empty: none is
    // Datagrams for which this says yes are kept until letGo().
    std::function<bool(int from, int to)> holds;
    void letGo();

    // Processes. Each is up from the start unless `count` were told to wait by `down`.
    void kill(int front);
    void start(int front);  // from nothing
    void stall(int front, Nanoseconds over);
    void leave(int front);   // says so; its process goes on until kill()
    void resize(int count);  // every front's list of peers, at once
    void resizeAt(int front, int count);
    // An elder process of the name goes on beside its successor: both are sent what comes for that name.
    void startBeside(int front);

    // What builds on the tier in each front, made anew with each process.
    using Guests = std::vector<std::unique_ptr<tier::Guest>>;
    std::function<Guests(int front, tier::Members& members, Nanoseconds now, std::uint64_t seed)> guests;

    // Clocks run between 1 - drift and 1 + drift as fast as the world's, and start anywhere.
    double drift = 0;

    Nanoseconds now() const { return now_; }
    void run(Nanoseconds until);
    // Runs until it holds, looked at every 10 ms, `atMost` from now; returns whether it came to hold.
    bool runUntil(Nanoseconds atMost, const std::function<bool()>& holds);

    bool up(int front) const;
    const tier::Members& at(int front) const;
    // The n-th guest of a front that is up.
    tier::Guest& guest(int front, std::size_t n = 0);
    // Of the elder process of its name; null where there is none, or it is stalled.
    tier::Guest* elderGuest(int front, std::size_t n = 0);
    // Has the front look at its guests' clockwork again, after they were told something.
    void stir(int front);
    const tier::Members* elder(int front) const;
    int count() const { return count_; }
    // Whether all fronts that are up hold the same view.
    bool agree() const;
    tier::Sight sight(int front) const;
    bool stalledNow(int front) const;
    // What a front's own clock shows now.
    Nanoseconds clockOf(int front, bool elder = false) const;

    struct Change {
        Nanoseconds when;
        int observer, subject;
        bool alive;  // the subject's process was up and running then
        std::string line;
    };
    // Each verdict `gone` that a front came to or was told.
    std::vector<Change> verdicts;
    int falseVerdicts() const;
    std::int64_t delivered = 0, deliveredBytes = 0, sent = 0, flawed = 0;
    // Any front's lines, as they come; for a look.
    std::function<void(int front, const std::string&)> onLog;

private:
    struct Process;
    struct Event {
        Nanoseconds when;
        std::uint64_t order;
        std::function<void()> what;
        bool operator>(const Event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    void after(Nanoseconds delay, std::function<void()> what);
    void plan(const std::shared_ptr<Process>& process);
    void carry(int from, int to, std::string bytes);
    void arrive(int from, int to, const std::string& bytes);
    std::shared_ptr<Process> begin(int front);
    double chance() { return double(chance_() - chance_.min()) / double(chance_.max() - chance_.min()); }

    int count_;
    const tier::Pace pace_;
    std::minstd_rand chance_;
    Nanoseconds now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<std::shared_ptr<Process>> processes_, elders_;
    std::vector<std::function<void()>> held_;
};

}  // namespace granitereel::standins
