// What a tier costs and how soon it sees a death, in virtual time: the deciding part of every front, with the
// datagrams as they are written. One row a case; `--benchmark_counters_tabular=true` makes a table of them.
#include <benchmark/benchmark.h>
#include <time.h>

#include <algorithm>

#include "standins/world.hpp"

using namespace granitereel;
using standins::World;
using tier::State;

namespace {

double processorSeconds() {
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return double(used.tv_sec) + double(used.tv_nsec) / 1e9;
}

double quantile(std::vector<double> values, double share) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * double(values.size())))];
}

std::unique_ptr<World> begun(int count, double loss) {
    auto world = std::make_unique<World>(count, 1);
    world->drift = 0.001;
    for (int i = 0; i < count; ++i) world->start(i);
    world->runUntil(milliseconds(120'000),
                    [&] { return world->agree() && world->sight(0) == tier::Sight::whole; });
    world->run(world->now() + milliseconds(10'000));
    world->loss = loss;
    world->run(world->now() + milliseconds(5'000));
    world->verdicts.clear();
    return world;
}

// At rest: bytes and datagrams that arrive, a front and second; their price in points of G; processor time.
void rests(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0));
    for (auto each : state) {
        const auto world = begun(count, double(state.range(1)) / 100);
        const std::int64_t bytes = world->deliveredBytes, datagrams = world->delivered;
        const double before = processorSeconds(), seconds = count >= 1000 ? 30 : count >= 300 ? 120 : 3600;
        world->run(world->now() + milliseconds(static_cast<std::int64_t>(seconds * 1000)));
        const double per = seconds * count;
        const double bytesEach = double(world->deliveredBytes - bytes) / per;
        state.counters["bytes_s"] = bytesEach;
        state.counters["datagrams_s"] = double(world->delivered - datagrams) / per;
        // 0.01 of a first try's worth for 256 bytes.
        state.counters["G_at_5"] = bytesEach / 256 * 0.01 / 5;
        state.counters["G_at_15"] = bytesEach / 256 * 0.01 / 15;
        state.counters["cpu_us_s"] = (processorSeconds() - before) * 1e6 / per;
        state.counters["false_h"] = world->falseVerdicts() * 3600 / seconds;
    }
}

// All start together, from nothing: seconds until each sees the whole and all views are equal.
void starts(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0));
    for (auto each : state) {
        World world(count, 1);
        world.loss = double(state.range(1)) / 100;
        const Nanoseconds begin = world.now();
        for (int i = 0; i < count; ++i) world.start(i);
        world.runUntil(milliseconds(120'000), [&] {
            for (int i = 0; i < count; ++i)
                if (world.sight(i) != tier::Sight::whole) return false;
            return world.agree();
        });
        state.counters["equal_s"] = double(world.now() - begin) / 1e9;
        state.counters["KB_a_front"] = double(world.deliveredBytes) / 1024 / count;
    }
}

// One front dies after another: seconds until the first and the last of the others say so, and what it costs
// all.
void dies(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0)), deaths = count >= 1000 ? 3 : count >= 300 ? 10 : 60;
    for (auto each : state) {
        const auto world = begun(count, double(state.range(1)) / 100);
        std::vector<double> first, last;
        int falsely = 0;
        for (int n = 0; n < deaths; ++n) {
            const int victim = n % count;
            world->verdicts.clear();
            world->kill(victim);
            const Nanoseconds died = world->now();
            world->runUntil(milliseconds(120'000), [&] {
                for (int i = 0; i < count; ++i)
                    if (world->up(i) && world->at(i).member(victim).state != State::gone) return false;
                return true;
            });
            double soonest = 1e9;
            for (const auto& verdict : world->verdicts)
                if (verdict.subject == victim) soonest = std::min(soonest, double(verdict.when - died) / 1e9);
            first.push_back(soonest);
            last.push_back(double(world->now() - died) / 1e9);
            falsely += world->falseVerdicts();
            world->start(victim);
            world->run(world->now() + milliseconds(10'000));
        }
        state.counters["first_s"] = quantile(first, 0.5);
        state.counters["first_p99"] = quantile(first, 0.99);
        state.counters["last_s"] = quantile(last, 0.5);
        state.counters["last_p99"] = quantile(last, 0.99);
        state.counters["false"] = falsely;
    }
}

// Seven in ten die at once and start together.
void herds(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0)), dead = count * 7 / 10;
    for (auto each : state) {
        const auto world = begun(count, double(state.range(1)) / 100);
        const std::int64_t bytes = world->deliveredBytes;
        const Nanoseconds died = world->now();
        for (int i = 0; i < dead; ++i) world->kill(i);
        const auto until = [&](auto holds) {
            world->runUntil(milliseconds(120'000), [&] {
                for (int i = 0; i < count; ++i)
                    if (world->up(i) && !holds(i)) return false;
                return true;
            });
            return double(world->now());
        };
        state.counters["all_gone_s"] =
            (until([&](int i) { return static_cast<int>(world->at(i).in(State::gone).size()) >= dead; }) -
             double(died)) /
            1e9;
        state.counters["false"] = world->falseVerdicts();
        const Nanoseconds back = world->now();
        for (int i = 0; i < dead; ++i) world->start(i);
        state.counters["all_back_s"] =
            (until([&](int i) { return world->sight(i) == tier::Sight::whole; }) - double(back)) / 1e9;
        state.counters["KB_a_front"] = double(world->deliveredBytes - bytes) / 1024 / count;
    }
}

// Two halves are cut from each other for a minute: seconds until all views are equal again.
void heals(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0));
    for (auto each : state) {
        const auto world = begun(count, double(state.range(1)) / 100);
        world->cut = [count](int from, int to) { return (from < count / 2) != (to < count / 2); };
        world->run(world->now() + milliseconds(60'000));
        world->cut = nullptr;
        const Nanoseconds healed = world->now();
        world->runUntil(milliseconds(120'000), [&] {
            for (int i = 0; i < count; ++i)
                if (world->sight(i) != tier::Sight::whole) return false;
            return world->agree();
        });
        state.counters["equal_s"] = double(world->now() - healed) / 1e9;
    }
}

void cases(benchmark::internal::Benchmark* benchmark) {
    for (const int count : {3, 30, 300, 1000})
        for (const int loss : {0, 5, 20}) benchmark->Args({count, loss});
    benchmark->Iterations(1)->Unit(benchmark::kSecond);
}

BENCHMARK(rests)->Apply(cases);
BENCHMARK(starts)->Apply(cases);
BENCHMARK(dies)->Apply(cases);
BENCHMARK(herds)->Apply([](auto* benchmark) {
    for (const int count : {10, 100, 300}) benchmark->Args({count, 0})->Args({count, 5});
    benchmark->Iterations(1)->Unit(benchmark::kSecond);
});
BENCHMARK(heals)->Apply([](auto* benchmark) {
    for (const int count : {4, 30, 300}) benchmark->Args({count, 0})->Args({count, 5});
    benchmark->Iterations(1)->Unit(benchmark::kSecond);
});

}  // namespace

BENCHMARK_MAIN();
