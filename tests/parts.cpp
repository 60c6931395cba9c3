// Whose part is whose: by any script of ends, kills, cuts and lists, the parts of the processes that run
// never sum to more than the whole; and a front that counts as many as before decides as one without a tier.
#undef NDEBUG
#include "tier/parts.hpp"

#include <rapidcheck.h>

#include <cassert>
#include <cstdlib>

#include "bench.hpp"
#include "standins/world.hpp"

using namespace granitereel;
using standins::World;
using tier::Parts;
using tier::State;

namespace {

constexpr Nanoseconds longestEnd = milliseconds(4000);

// A world whose fronts also count their parts.
struct Shares {
    World world;
    std::vector<std::unique_ptr<Parts>> parts;
    std::vector<Nanoseconds> endsAt;  // told to end, and works until then; 0: not told
    int listed;

    Shares(int count, std::uint64_t seed)
        : world(count, seed), endsAt(static_cast<std::size_t>(count)), listed(count) {
        for (int i = 0; i < count; ++i) {
            world.start(i);
            parts.push_back(std::make_unique<Parts>(count, longestEnd));
        }
    }
    double sum() {
        double all = 0;
        for (int i = 0; i < static_cast<int>(parts.size()); ++i) {
            const auto at = static_cast<std::size_t>(i);
            if (endsAt[at] && world.now() >= endsAt[at] && world.up(i)) world.kill(i);
            if (world.up(i)) all += 1.0 / parts[at]->count(world.clockOf(i), world.at(i));
        }
        return all;
    }
    void pass(Nanoseconds time) {
        for (const Nanoseconds end = world.now() + time; world.now() < end;) {
            world.run(std::min(end, world.now() + milliseconds(200)));
            assert(sum() <= 1 + 1e-9);
        }
    }
    void end(int front) {
        const auto at = static_cast<std::size_t>(front);
        if (!world.up(front) || endsAt[at]) return;
        world.leave(front);
        endsAt[at] = world.now() + longestEnd - milliseconds(500);
    }
    // Told to one front: the last of the list goes.
    void shrink(int front, int count) {
        if (!world.up(front) || front >= count || world.at(front).count() <= count) return;
        parts[static_cast<std::size_t>(front)]->listed(world.clockOf(front), world.at(front), count);
        world.resizeAt(front, count);
    }
};

// The last front ends in order and is taken off every list: the others take its part over, eased. One that is
// killed instead keeps its part for good, as nobody can tell it from one that is cut off.
void takesOverWhatLeft() {
    for (const bool killed : {false, true}) {
        Shares shares(20, 3);
        shares.pass(milliseconds(5000));
        if (killed)
            shares.world.kill(19);
        else
            shares.end(19);
        shares.pass(milliseconds(20'000));
        for (int i = 0; i < 19; ++i) shares.shrink(i, 19);
        shares.pass(milliseconds(3000));
        for (int i = 0; i < 19; ++i)
            assert(shares.parts[static_cast<std::size_t>(i)]->count(shares.world.clockOf(i),
                                                                    shares.world.at(i)) == 20);
        shares.pass(milliseconds(120'000));
        for (int i = 0; i < 19; ++i)
            assert(shares.parts[static_cast<std::size_t>(i)]->count(
                       shares.world.clockOf(i), shares.world.at(i)) == (killed ? 20 : 19));
        const std::string waits = shares.parts[0]->waitsFor(shares.world.clockOf(0), shares.world.at(0));
        assert(killed == (waits.find("never said that it leaves") != std::string::npos));
    }
}

// While one of them holds the old list, or is not heard, nobody takes anything over.
void waitsForAll() {
    Shares shares(4, 5);
    shares.pass(milliseconds(5000));
    shares.end(3);
    shares.pass(milliseconds(8000));
    shares.shrink(0, 3);
    shares.shrink(1, 3);
    shares.pass(milliseconds(30'000));
    assert(shares.parts[0]->waitsFor(shares.world.clockOf(0), shares.world.at(0)) ==
           "others hold another list");
    shares.world.cut = [](int from, int to) { return from == 2 || to == 2; };
    shares.shrink(2, 3);
    shares.pass(milliseconds(30'000));
    assert(shares.parts[0]->waitsFor(shares.world.clockOf(0), shares.world.at(0)) ==
           "the tier is not seen whole");
    shares.world.cut = nullptr;
    shares.pass(milliseconds(60'000));
    assert(shares.parts[0]->count(shares.world.clockOf(0), shares.world.at(0)) == 3);
    // All hold the new list, and one is not heard when the time has come.
    Shares later(4, 5);
    later.pass(milliseconds(5000));
    later.end(3);
    later.pass(milliseconds(1500));
    for (int i = 0; i < 3; ++i) later.shrink(i, 3);
    later.pass(milliseconds(1000));
    later.world.cut = shares.world.cut = [](int from, int to) { return from == 2 || to == 2; };
    later.pass(milliseconds(40'000));
    assert(later.parts[0]->count(later.world.clockOf(0), later.world.at(0)) == 4);
}

void neverSumsToMore() {
    const bool held = rc::check("parts never sum to more than the whole", [] {
        const int count = *rc::gen::inRange(2, 8);
        Shares shares(count, *rc::gen::inRange<std::uint64_t>(1, 1'000'000));
        shares.world.drift = 0.01;
        for (int step = *rc::gen::inRange(3, 16); step > 0; --step) {
            const int who = *rc::gen::inRange(0, count), what = *rc::gen::inRange(0, 8);
            const auto at = static_cast<std::size_t>(who);
            if (what == 0) shares.end(who);
            if (what == 1) shares.world.kill(who);
            // A front of the list as it is starts again, with the settings as they are; one that was taken
            // off starts with those that it had.
            if (what == 2 && !shares.world.up(who)) {
                shares.world.start(who);
                shares.endsAt[at] = 0;
                const int known = who < shares.listed ? shares.listed : count;
                shares.world.resizeAt(who, known);
                shares.parts[at] = std::make_unique<Parts>(known, longestEnd);
            }
            if (what == 3) {
                const int part = *rc::gen::inRange(0, 255);
                shares.world.cut = [part](int from, int to) {
                    return (part >> from & 1) != (part >> to & 1);
                };
            }
            if (what == 4) shares.world.cut = nullptr;
            if (what == 5) shares.world.loss = *rc::gen::inRange(0, 6) / 10.0;
            if (what == 6 && shares.world.up(who))
                shares.world.stall(who, milliseconds(*rc::gen::inRange(100, 20'000)));
            // Operators take a front off by ending it first; then it does not start again.
            if (what == 7 && shares.listed > 1 &&
                shares.endsAt[static_cast<std::size_t>(shares.listed - 1)]) {
                --shares.listed;
                for (int i = 0; i < shares.listed; ++i) shares.shrink(i, shares.listed);
            }
            shares.pass(milliseconds(*rc::gen::inRange(0, 30'000)));
        }
    });
    assert(held);
}

// As many as before: nothing is decided otherwise, transaction for transaction.
void decidesAsWithout() {
    RoutingConfig with = charter();
    with.proxyCount = 30;
    std::vector<std::string> lines[2];
    for (const bool tier : {false, true}) {
        Bench bench(with, 11);
        bench.primary("p");
        bench.store("r1", Pool::premium);
        bench.store("r2", Pool::freemium);
        for (int i = 0; i < 400; ++i) {
            if (tier) bench.front.setProxyCount(30);
            bench.pass(7);
            const std::string id = "t" + std::to_string(i);
            bench.front.submit(id, i % 6, "u", milliseconds(1000), 0, {});
            bench.front.timerFired(0);
            if (i % 3)
                bench.end(id, 0, *bench.group.members[static_cast<std::size_t>(i) % 3],
                          AttemptOutcome::succeeded);
        }
        lines[tier] = bench.notes.lines;
    }
    assert(lines[0] == lines[1] && lines[0].size() > 300);
}

}  // namespace

int main() {
    ::setenv("RC_PARAMS", "seed=20261201 max_success=100", 0);
    takesOverWhatLeft();
    waitsForAll();
    neverSumsToMore();
    decidesAsWithout();
}
