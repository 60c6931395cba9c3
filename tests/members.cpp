// Who is there, in virtual time: many fronts in one thread, failures by seed. TIER_SEEDS and TIER_SIZE widen
// the search by hand.
#undef NDEBUG
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <set>

#include "standins/world.hpp"

using namespace granitereel;
using standins::World;
using tier::Sight;
using tier::State;

namespace {

int asked(const char* name, int otherwise) {
    const char* told = std::getenv(name);
    return told ? std::atoi(told) : otherwise;
}

// Under the sanitizers a world is slow: the same tests with fewer fronts.
#ifdef __SANITIZE_ADDRESS__
constexpr int large = 60;
#else
constexpr int large = 300;
#endif

void startAll(World& world) {
    for (int i = 0; i < world.count(); ++i) world.start(i);
}

// Every front sees every other; a bound on the time from nothing.
void settle(World& world, Nanoseconds within = milliseconds(15'000)) {
    const bool settled = world.runUntil(within, [&] {
        for (int i = 0; i < world.count(); ++i)
            if (world.up(i) && world.sight(i) != Sight::whole) return false;
        return world.agree();
    });
    assert(settled);
    world.verdicts.clear();
}

void showing(World& world) {
    if (std::getenv("TRACE"))
        world.onLog = [&world](int front, const std::string& line) {
            std::printf("%.3f %d: %s\n", double(world.now()) / 1e9 - 1000, front, line.c_str());
        };
}

void startsFromNothing() {
    for (const int count : {1, 2, 3, 30, large}) {
        World world(count, 1);
        showing(world);
        startAll(world);
        settle(world);
        for (int i = 0; i < count; ++i) assert(static_cast<int>(world.at(i).in(State::here).size()) == count);
        world.run(world.now() + milliseconds(30'000));
        assert(world.verdicts.empty());
    }
}

// One dies: everyone says so within a bound, and nobody else is accused for good.
void seesADeath() {
    for (const int count : {2, 3, 10, 100}) {
        World world(count, 3);
        showing(world);
        startAll(world);
        settle(world);
        world.kill(1);
        const bool seen = world.runUntil(milliseconds(30'000), [&] {
            for (int i = 0; i < count; ++i)
                if (i != 1 && world.at(i).member(1).state != State::gone) return false;
            return true;
        });
        assert(seen && world.falseVerdicts() == 0);
        assert(world.sight(0) == (count == 2 ? Sight::alone : Sight::most));
        world.start(1);
        settle(world);
        assert(world.at(1).incarnation() > 1);
    }
}

// A front that leaves is not counted as failed, and its successor goes above what it was.
void leaves() {
    World world(20, 4);
    showing(world);
    startAll(world);
    settle(world);
    world.leave(7);
    const bool told = world.runUntil(milliseconds(1000), [&] {
        for (int i = 0; i < world.count(); ++i)
            if (world.at(i).member(7).state != State::leaving) return false;
        return true;
    });
    assert(told);
    world.kill(7);
    world.run(world.now() + milliseconds(30'000));
    assert(world.verdicts.empty() && world.at(3).in(State::leaving) == std::vector<int>{7});
    world.start(7);
    settle(world);
    assert(world.at(7).incarnation() == 2);
}

// Stopped for ten seconds, then resumed: gone, and back; it accuses nobody in its turn.
void stalls() {
    for (const int count : {3, 5, 30}) {
        World world(count, 5);
        showing(world);
        startAll(world);
        settle(world);
        std::set<int> accused;
        const auto before = world.onLog;
        world.onLog = [&](int front, const std::string& line) {
            if (before) before(front, line);
            if (line.find(" is suspect") != std::string::npos) accused.insert(std::stoi(line.substr(6)));
        };
        world.stall(2, milliseconds(10'000));
        assert(
            world.runUntil(milliseconds(10'000), [&] { return world.at(0).member(2).state == State::gone; }));
        world.run(world.now() + milliseconds(10'000));
        settle(world);
        assert(accused == std::set<int>{2});
    }
}

// Halves that don't hear each other: neither sees most; two thirds do, and the rest few; healed, all agree.
void cutsBetweenParts() {
    for (const int count : {4, 30, large})
        for (const int part : {count / 2, count / 3}) {
            World world(count, 6);
            showing(world);
            startAll(world);
            settle(world);
            world.cut = [part](int from, int to) { return (from < part) != (to < part); };
            const auto settled = [&] {
                for (int i = 0; i < count; ++i) {
                    const Sight wanted = part == count / 2 ? Sight::few
                                         : i >= part       ? Sight::most
                                         : part == 1       ? Sight::alone
                                                           : Sight::few;
                    if (world.sight(i) != wanted) return false;
                }
                return true;
            };
            const bool found = world.runUntil(milliseconds(60'000), settled);
            assert(found);
            world.run(world.now() + milliseconds(30'000));
            assert(settled());
            world.cut = nullptr;
            const Nanoseconds healed = world.now();
            settle(world, milliseconds(20'000));
            if (std::getenv("TRACE"))
                std::printf("%d fronts, %d cut off: equal %.1f s after\n", count, part,
                            double(world.now() - healed) / 1e9);
        }
}

// A front that hears and is not heard finds that out before anyone's verdict, as does one that is heard and
// does not hear.
void cutsOneWay() {
    for (const bool deaf : {false, true}) {
        World world(9, 8);
        showing(world);
        startAll(world);
        settle(world);
        world.cut = [deaf](int from, int to) { return deaf ? to == 4 : from == 4; };
        const bool knows =
            world.runUntil(milliseconds(6'000), [&] { return world.sight(4) == Sight::alone; });
        assert(knows && world.at(4).in(State::gone).empty());
        assert(
            world.runUntil(milliseconds(30'000), [&] { return world.at(0).member(4).state == State::gone; }));
        world.run(world.now() + milliseconds(60'000));
        assert(world.sight(4) == Sight::alone);
        for (int i = 0; i < 9; ++i)
            if (i != 4) assert(world.sight(i) == Sight::most && world.at(i).in(State::here).size() == 8);
        world.cut = nullptr;
        settle(world, milliseconds(20'000));
    }
}

// A link between two alone is cut: the others speak for both.
void cutsOneLink() {
    World world(6, 9);
    startAll(world);
    settle(world);
    world.cut = [](int from, int to) { return (from == 1 && to == 2) || (from == 2 && to == 1); };
    world.run(world.now() + milliseconds(60'000));
    assert(world.verdicts.empty());
}

// Half of all datagrams are lost for a minute: nobody is called gone.
void losesHalf() {
    const int seeds = asked("TIER_SEEDS", 40), count = asked("TIER_SIZE", 10);
    const double loss = asked("TIER_LOSS", 50) / 100.0;
    for (int seed = 1; seed <= seeds; ++seed) {
        World world(count, static_cast<std::uint64_t>(seed));
        world.drift = 0.01;
        showing(world);
        startAll(world);
        settle(world);
        world.loss = loss;
        world.run(world.now() + milliseconds(60'000));
        if (world.falseVerdicts() > 0)
            std::printf("seed %d: %s\n", seed, world.verdicts.front().line.c_str());
        assert(world.falseVerdicts() == 0);
        world.loss = 0;
        settle(world);
    }
}

// One front's core is taken: it is late with all it does, and what it says of others never becomes a verdict.
void accusesSlowly() {
    World world(12, 10);
    showing(world);
    startAll(world);
    settle(world);
    for (int i = 0; i < 60; ++i) {
        world.stall(5, milliseconds(900));
        world.run(world.now() + milliseconds(1000));
    }
    for (const auto& each : world.verdicts) assert(each.subject == 5);
    settle(world);
}

// Seven in ten are killed at once, and started together.
void losesSevenInTen() {
    for (const int count : {10, asked("TIER_HERD", 100)}) {
        World world(count, 11);
        showing(world);
        startAll(world);
        settle(world);
        const int dead = count * 7 / 10;
        for (int i = 0; i < dead; ++i) world.kill(i);
        const Nanoseconds died = world.now();
        const bool seen = world.runUntil(milliseconds(60'000), [&] {
            for (int i = dead; i < count; ++i)
                if (static_cast<int>(world.at(i).in(State::gone).size()) != dead) return false;
            return true;
        });
        assert(seen && world.falseVerdicts() == 0 && world.sight(count - 1) == Sight::few);
        if (std::getenv("TRACE")) std::printf("%d: %.1f s\n", count, double(world.now() - died) / 1e9);
        for (int i = 0; i < dead; ++i) world.start(i);
        settle(world);
    }
}

// An elder process of a name wakes up beside its successor: both say so, and the elder falls silent.
void tellsTwinsApart() {
    for (const bool othersForget : {false, true}) {
        World world(6, 12);
        showing(world);
        std::vector<std::string> said;
        world.onLog = [&](int front, const std::string& line) {
            if (front == 3) said.push_back(line);
            if (std::getenv("TRACE")) std::printf("%d: %s\n", front, line.c_str());
        };
        startAll(world);
        settle(world);
        world.stall(3, milliseconds(20'000));
        world.run(world.now() + milliseconds(2000));
        world.startBeside(3);
        world.run(world.now() + milliseconds(10'000));
        if (othersForget)
            for (const int i : {0, 1, 2, 4, 5}) world.start(i);
        world.run(world.now() + milliseconds(30'000));
        assert(world.elder(3)->silenced() && !world.at(3).silenced());
        bool younger = false, elder = false;
        for (const std::string& line : said) {
            younger |= line.find("an older process of this front's name") == 0;
            elder |= line.find("a younger process of this front's name") == 0;
        }
        assert(younger && elder);
        for (int i = 0; i < 6; ++i)
            assert(world.at(i).member(3).state == State::here &&
                   world.at(i).member(3).incarnation == world.at(3).incarnation());
    }
}

// What was held on the way for a minute changes nothing: not the dead, not the living.
void heedsNothingOld() {
    World world(8, 13);
    showing(world);
    startAll(world);
    settle(world);
    bool holding = true;
    world.holds = [&](int, int) { return holding && (world.sent % 3) == 0; };
    world.run(world.now() + milliseconds(3000));
    holding = false;
    world.kill(6);
    world.run(world.now() + milliseconds(30'000));
    world.start(2);
    world.run(world.now() + milliseconds(30'000));
    assert(world.at(0).member(6).state == State::gone);
    const std::uint32_t before = world.at(0).digest();
    world.verdicts.clear();
    world.letGo();
    world.run(world.now() + milliseconds(5000));
    assert(world.at(0).digest() == before && world.agree() && world.verdicts.empty());
}

// One front more and one fewer, read by each at another time.
void growsAndShrinks() {
    World world(5, 14);
    showing(world);
    startAll(world);
    settle(world);
    world.resize(6);
    world.start(5);
    settle(world);
    for (int i = 0; i < 4; ++i) {
        world.resizeAt(i, 5);
        world.run(world.now() + milliseconds(700));
    }
    world.kill(5);
    world.resize(5);
    settle(world);
}

}  // namespace

int main(int argc, char** argv) {
    const std::pair<const char*, void (*)()> all[] = {{"startsFromNothing", startsFromNothing},
                                                      {"seesADeath", seesADeath},
                                                      {"leaves", leaves},
                                                      {"stalls", stalls},
                                                      {"cutsBetweenParts", cutsBetweenParts},
                                                      {"cutsOneWay", cutsOneWay},
                                                      {"cutsOneLink", cutsOneLink},
                                                      {"losesHalf", losesHalf},
                                                      {"accusesSlowly", accusesSlowly},
                                                      {"losesSevenInTen", losesSevenInTen},
                                                      {"tellsTwinsApart", tellsTwinsApart},
                                                      {"heedsNothingOld", heedsNothingOld},
                                                      {"growsAndShrinks", growsAndShrinks}};
    for (const auto& [name, test] : all) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        std::puts(name);
        std::fflush(stdout);
        test();
    }
}
