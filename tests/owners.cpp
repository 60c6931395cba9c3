// One owner at a time, in virtual time: whatever is lost, late, cut, stalled or started again, no two fronts
// may act for one key at one moment, and terms go up.
#undef NDEBUG
#include <rapidcheck.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <set>

#include "owners/clerk.hpp"
#include "standins/world.hpp"

using namespace granitereel;
using namespace granitereel::owners;
using standins::World;
using tier::State;

namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int large = 60;
#else
constexpr int large = 300;
#endif

// A world whose fronts want keys, watched at every step: the acts that a front could do, by its own word.
struct Fleet {
    World world;
    Terms terms;
    std::vector<Electors> electors;
    std::vector<std::string> keys;
    std::map<Key, std::pair<std::uint64_t, int>> last;  // the highest term acted under, and by whom
    std::map<Key, Nanoseconds> ownerless;               // since when nobody may act
    std::vector<double> gaps;                           // seconds without an owner
    int changes = 0;
    std::uint64_t floor = 1000;
    bool greedy = false;  // each front takes every duty for its own

    Fleet(int count, std::uint64_t seed, std::vector<std::string> names)
        : world(count, seed),
          electors(static_cast<std::size_t>(count), Electors::first(count)),
          keys(std::move(names)) {
        world.guests = [this](int front, tier::Members& members, Nanoseconds now, std::uint64_t guestSeed) {
            World::Guests all;
            const auto log = [this, front](const std::string& line) {
                if (world.onLog) world.onLog(front, "owners: " + line);
            };
            const Electors& list = electors[static_cast<std::size_t>(front)];
            auto clerk =
                greedy ? std::make_unique<Clerk>(
                             members, list, terms, floor, guestSeed, now, log,
                             Owners::View{[front] { return std::vector<int>{front}; }, [] { return true; }})
                       : std::make_unique<Clerk>(members, list, terms, floor, guestSeed, now, log);
            for (const std::string& key : keys) clerk->owners().need(keyOf(key), key);
            all.push_back(std::move(clerk));
            return all;
        };
        if (std::getenv("TRACE"))
            world.onLog = [this](int front, const std::string& line) {
                if (line.find("owners:") == 0)
                    std::printf("%.3f %d: %s\n", double(world.now()) / 1e9 - 1000, front, line.c_str());
            };
    }
    void startAll() {
        for (int i = 0; i < world.count(); ++i) world.start(i);
    }
    Clerk& clerk(int front) { return static_cast<Clerk&>(world.guest(front)); }
    // Who may act for a key now: -1 nobody. Asserts that there is one at most, and that terms go up.
    int owner(const std::string& name) {
        const Key key = keyOf(name);
        int found = -1;
        for (int i = 0; i < world.count(); ++i) {
            if (!world.up(i)) continue;
            const auto hold = clerk(i).owners().holds(world.clockOf(i), key);
            if (!hold) continue;
            assert(found < 0);
            found = i;
            auto& [term, by] = last[key];
            assert(hold->term >= term && (hold->term > term || by == i));
            if (hold->term > term) ++changes;
            term = hold->term;
            by = i;
        }
        for (int i = 0; i < world.count(); ++i)
            if (tier::Guest* elder = world.elderGuest(i))
                if (static_cast<Clerk*>(elder)->owners().holds(world.clockOf(i, true), key)) {
                    assert(found < 0);
                    found = i;
                }
        if (found < 0) {
            ownerless.emplace(key, world.now());
        } else if (const auto since = ownerless.find(key); since != ownerless.end()) {
            gaps.push_back(double(world.now() - since->second) / 1e9);
            ownerless.erase(since);
        }
        return found;
    }
    void pass(Nanoseconds time, Nanoseconds step = milliseconds(20)) {
        for (const Nanoseconds end = world.now() + time; world.now() < end;) {
            world.run(std::min(end, world.now() + step));
            for (const std::string& key : keys) owner(key);
        }
    }
    // Passes until each key has an owner.
    bool owned(Nanoseconds atMost) {
        for (const Nanoseconds end = world.now() + atMost; world.now() < end;) {
            pass(milliseconds(20));
            bool all = true;
            for (const std::string& key : keys) all &= owner(key) >= 0;
            if (all) return true;
        }
        return false;
    }
};

void namesDutiesAlike() {
    std::vector<int> here;
    for (int i = 0; i < 300; ++i) here.push_back(i);
    std::vector<int> load(300);
    for (int k = 0; k < 1000; ++k) {
        const Key key = keyOf("warm/s-" + std::to_string(k));
        const int duty = dutyOf(key, here);
        ++load[static_cast<std::size_t>(duty)];
        // Whoever else goes, it stays; if it goes itself, another has it.
        std::vector<int> fewer = here;
        std::erase(fewer, (duty + 1) % 300);
        assert(dutyOf(key, fewer) == duty);
        std::erase(fewer, duty);
        assert(dutyOf(key, fewer) != duty);
    }
    assert(*std::max_element(load.begin(), load.end()) <= 15 && dutyOf(1, {}) == -1);
}

// Owners come after the electors' silence; one that dies is followed within lease and margin.
void followsTheDead() {
    for (const int count : {1, 2, 3, 5, 30}) {
        Fleet fleet(count, 1, {"work-order", "warm/s-1", "warm/s-2"});
        fleet.startAll();
        assert(fleet.owned(milliseconds(20'000)));
        if (count < 3) continue;
        const int owner = fleet.owner("work-order");
        fleet.world.kill(owner);
        // A verdict first: the duty is named by the view. Then what is left of the lease.
        assert(fleet.owned(milliseconds(20'000)));
        assert(fleet.owner("work-order") != owner);
        fleet.world.start(owner);
        fleet.pass(milliseconds(30'000));
    }
}

// One that leaves gives its keys up, and the next begins at once.
void handsOn() {
    Fleet fleet(10, 2, {"a", "b", "c", "d", "e"});
    fleet.startAll();
    assert(fleet.owned(milliseconds(20'000)));
    fleet.pass(milliseconds(5'000));
    for (int n = 0; n < 5; ++n) {
        const int owner = fleet.owner("a");
        fleet.gaps.clear();
        fleet.world.leave(owner);
        assert(fleet.owned(milliseconds(1'500)));
        fleet.world.kill(owner);
        fleet.pass(milliseconds(2'000));
        fleet.world.start(owner);
        assert(fleet.owned(milliseconds(20'000)));
        fleet.pass(milliseconds(25'000));
    }
}

// Stalled for longer than its lease and resumed: it is nobody's owner before it has looked at its clock.
void stallsAsOwner() {
    for (const std::uint64_t seed : {3u, 4u, 5u}) {
        Fleet fleet(5, seed, {"a"});
        fleet.world.drift = 0.005;
        fleet.startAll();
        assert(fleet.owned(milliseconds(20'000)));
        const int owner = fleet.owner("a");
        const auto before = fleet.clerk(owner).owners().holds(fleet.world.clockOf(owner), keyOf("a"));
        fleet.world.stall(owner, milliseconds(15'000));
        fleet.pass(milliseconds(20'000));
        const int next = fleet.owner("a");
        assert(next >= 0);
        const auto hold = fleet.clerk(next).owners().holds(fleet.world.clockOf(next), keyOf("a"));
        // What it does late under the old term is refused wherever the new one was seen, and by its end
        // elsewhere.
        Fence fence;
        fence.note(keyOf("a"), hold->term, next, fleet.world.now() + milliseconds(1000));
        if (hold->term > before->term)
            assert(!fence.admits(fleet.world.now(), keyOf("a"), before->term, INT64_MAX));
        assert(fence.admits(fleet.world.now(), keyOf("a"), hold->term, fleet.world.now() + 1));
        assert(!fence.admits(fleet.world.now(), keyOf("a"), hold->term, fleet.world.now()));
    }
}

// Answers that take long: an owner counts from when it asked.
void countsFromItsAsking() {
    for (std::uint64_t seed = 20; seed < 40; ++seed) {
        Fleet fleet(5, seed, {"a"});
        fleet.greedy = true;
        fleet.startAll();
        assert(fleet.owned(milliseconds(20'000)));
        const int owner = fleet.owner("a");
        fleet.world.holds = [owner](int, int to) { return to == owner; };
        fleet.pass(milliseconds(2'000));
        fleet.world.letGo();
        fleet.world.cut = [owner](int from, int) { return from == owner; };
        fleet.pass(milliseconds(15'000), milliseconds(5));
        assert(fleet.owner("a") >= 0 && fleet.owner("a") != owner);
    }
}

// Two processes of one name: the successor gets nothing while its elder, stopped meanwhile, may still hold
// it.
void keepsTwinsApart() {
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
        Fleet fleet(7, seed, {"a"});
        fleet.greedy = true;
        fleet.startAll();
        assert(fleet.owned(milliseconds(20'000)));
        const int owner = fleet.owner("a");
        fleet.world.stall(owner, milliseconds(900));
        fleet.world.startBeside(owner);
        fleet.pass(milliseconds(20'000), milliseconds(5));
    }
}

// The owner cut from all, from the electors alone, from half, and one way.
void cutsTheOwner() {
    for (int way = 0; way < 5; ++way) {
        Fleet fleet(7, 6, {"a"});
        fleet.startAll();
        assert(fleet.owned(milliseconds(20'000)));
        const int owner = fleet.owner("a");
        fleet.world.cut = [way, owner](int from, int to) {
            const int other = from == owner ? to : from;
            if (from != owner && to != owner) return false;
            return way == 0 || (way == 1 && other < 5) || (way == 2 && other % 2 == 0) ||
                   (way == 3 && from == owner) || (way == 4 && to == owner);
        };
        fleet.pass(milliseconds(30'000));
        if (way == 0 || way >= 3) assert(fleet.owner("a") >= 0 && fleet.owner("a") != owner);
        fleet.world.cut = nullptr;
        assert(fleet.owned(milliseconds(20'000)));
        fleet.pass(milliseconds(30'000));
    }
}

// Two of five electors killed and started from nothing within one lease, then all five at once.
void losesElectors() {
    for (const int dead : {2, 5}) {
        Fleet fleet(9, 7, {"a", "b"});
        fleet.startAll();
        assert(fleet.owned(milliseconds(20'000)));
        fleet.pass(milliseconds(3'000));
        for (int i = 0; i < dead; ++i) {
            fleet.world.start(i);
            fleet.pass(milliseconds(200));
        }
        fleet.pass(milliseconds(30'000));
        assert(fleet.owned(milliseconds(10'000)));
    }
}

// All restart from nothing, with wall clocks set back: whoever asks learns by the refusals, or by who
// remembers.
void goesAboveOldTerms() {
    Fleet fleet(5, 8, {"a"});
    fleet.floor = 5000;
    fleet.startAll();
    assert(fleet.owned(milliseconds(20'000)));
    fleet.floor = 1;
    for (int i = 0; i < 4; ++i) fleet.world.start(i);  // 4 remembers
    assert(fleet.owned(milliseconds(30'000)));
    const int owner = fleet.owner("a");
    assert(fleet.clerk(owner).owners().holds(fleet.world.clockOf(owner), keyOf("a"))->term > 5000);
}

// Many fronts after a mass restart: an owner for each key in bounded time.
void racesAfterARestart() {
    std::vector<std::string> keys;
    for (int i = 0; i < 40; ++i) keys.push_back("warm/s-" + std::to_string(i));
    Fleet fleet(large, 9, keys);
    fleet.startAll();
    const Nanoseconds began = fleet.world.now();
    assert(fleet.owned(milliseconds(30'000)));
    if (std::getenv("TRACE")) std::printf("owned after %.1f s\n", double(fleet.world.now() - began) / 1e9);
}

// A link between the owner and a quorum flaps for an hour: owners change a bounded number of times.
void flapsForAnHour() {
    Fleet fleet(5, 10, {"a"});
    fleet.startAll();
    assert(fleet.owned(milliseconds(20'000)));
    const int owner = fleet.owner("a");
    fleet.changes = 0;
    int beats = 0;
    for (int minute = 0; minute < 60; ++minute)
        for (int i = 0; i < 10; ++i) {
            const bool cut = ++beats % 2;
            fleet.world.cut = [cut, owner](int from, int to) {
                const int other = from == owner ? to : from;
                return cut && (from == owner || to == owner) && other != (owner + 1) % 5;
            };
            fleet.pass(milliseconds(6'000), milliseconds(100));
        }
    if (std::getenv("TRACE")) std::printf("%d changes in an hour\n", fleet.changes);
    assert(fleet.changes <= 900);
    fleet.world.cut = nullptr;
    assert(fleet.owned(milliseconds(20'000)));
}

// Fronts that go by other lists grant each other nothing, and say so.
void refusesOtherLists() {
    Fleet fleet(5, 11, {"a"});
    std::set<int> said;
    fleet.world.onLog = [&](int front, const std::string& line) {
        if (line.find("another list of electors") != std::string::npos) said.insert(front);
    };
    for (int i = 0; i < 5; ++i)
        fleet.electors[static_cast<std::size_t>(i)].now =
            i < 2 ? std::vector<int>{0, 1, 2} : std::vector<int>{2, 3, 4};
    fleet.startAll();
    fleet.pass(milliseconds(20'000));
    const Key key = keyOf("a");
    const int duty = fleet.clerk(0).owners().duty(key);
    assert(said.count(duty) || fleet.owner("a") == duty);
}

// The list is changed in two steps, each front started anew at its own time: at no moment two quorums.
void changesElectors() {
    for (const std::uint64_t seed : {12u, 13u, 14u}) {
        Fleet fleet(8, seed, {"a", "b"});
        const std::vector<int> old{0, 1, 2}, fresh{5, 6, 7};
        for (auto& each : fleet.electors) each.now = old;
        fleet.startAll();
        assert(fleet.owned(milliseconds(20'000)));
        for (const Electors& step : {Electors{fresh, old}, Electors{fresh, {}}}) {
            for (int i = 0; i < 8; ++i) {
                const int front = (i * 3 + static_cast<int>(seed)) % 8;
                fleet.electors[static_cast<std::size_t>(front)] = step;
                fleet.world.start(front);
                fleet.pass(milliseconds(1'500));
            }
            assert(fleet.owned(milliseconds(30'000)));
        }
    }
}

// A thousand keys over many fronts: spread by duty, one renewal for all of a front's keys.
void holdsManyKeys() {
    std::vector<std::string> keys;
    for (int i = 0; i < (large == 300 ? 1000 : 200); ++i) keys.push_back("k/" + std::to_string(i));
    Fleet fleet(large / 2, 15, keys);
    fleet.startAll();
    fleet.world.run(fleet.world.now() + milliseconds(20'000));
    int held = 0, most = 0;
    for (int i = 0; i < fleet.world.count(); ++i) {
        const int n = static_cast<int>(fleet.clerk(i).owners().leases().held(fleet.world.clockOf(i)).size());
        held += n;
        most = std::max(most, n);
    }
    assert(held == static_cast<int>(keys.size()) && most < 40);
}

void neverTwoOwners() {
    const bool held = rc::check("never two owners, and terms go up", [] {
        const int count = *rc::gen::inRange(3, 8);
        Fleet fleet(count, *rc::gen::inRange<std::uint64_t>(1, 1'000'000), {"a", "b"});
        fleet.world.drift = 0.005;  // a hundredth between any two
        fleet.world.repeats = 0.05;
        fleet.greedy = *rc::gen::arbitrary<bool>();
        fleet.startAll();
        fleet.pass(milliseconds(*rc::gen::inRange(0, 8'000)));
        for (int step = *rc::gen::inRange(3, 20); step > 0; --step) {
            const int who = *rc::gen::inRange(0, count), what = *rc::gen::inRange(0, 10);
            if (what == 0 && fleet.world.up(who)) fleet.world.kill(who);
            if (what <= 1 && !fleet.world.up(who)) fleet.world.start(who);
            if (what == 2 && fleet.world.up(who))
                fleet.world.stall(who, milliseconds(*rc::gen::inRange(100, 12'000)));
            if (what == 3) {
                const int part = *rc::gen::inRange(0, 255), oneWay = *rc::gen::inRange(0, 2);
                fleet.world.cut = [part, oneWay](int from, int to) {
                    return (part >> from & 1) != (part >> to & 1) && (!oneWay || (part >> from & 1));
                };
            }
            if (what == 4) fleet.world.cut = nullptr;
            if (what == 5) fleet.world.loss = *rc::gen::inRange(0, 5) / 10.0;
            if (what == 6) fleet.world.mostDelay = milliseconds(*rc::gen::inRange(2, 2'000));
            if (what == 7 && fleet.world.up(who)) fleet.world.leave(who);
            if (what == 8) {
                const int from = who, part = *rc::gen::inRange(0, 255);
                fleet.world.holds = [from, part](int a, int b) { return a == from && (part >> b & 1); };
            }
            if (what == 9) {
                fleet.world.holds = nullptr;
                fleet.world.letGo();
            }
            fleet.pass(milliseconds(*rc::gen::inRange(0, 10'000)), milliseconds(5));
        }
    });
    assert(held);
}

}  // namespace

int main(int argc, char** argv) {
    ::setenv("RC_PARAMS", "seed=20261201 max_success=200", 0);
    const std::pair<const char*, void (*)()> all[] = {{"namesDutiesAlike", namesDutiesAlike},
                                                      {"followsTheDead", followsTheDead},
                                                      {"handsOn", handsOn},
                                                      {"stallsAsOwner", stallsAsOwner},
                                                      {"countsFromItsAsking", countsFromItsAsking},
                                                      {"keepsTwinsApart", keepsTwinsApart},
                                                      {"cutsTheOwner", cutsTheOwner},
                                                      {"losesElectors", losesElectors},
                                                      {"goesAboveOldTerms", goesAboveOldTerms},
                                                      {"racesAfterARestart", racesAfterARestart},
                                                      {"flapsForAnHour", flapsForAnHour},
                                                      {"refusesOtherLists", refusesOtherLists},
                                                      {"changesElectors", changesElectors},
                                                      {"holdsManyKeys", holdsManyKeys},
                                                      {"neverTwoOwners", neverTwoOwners}};
    for (const auto& [name, test] : all) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        std::puts(name);
        std::fflush(stdout);
        test();
    }
}
