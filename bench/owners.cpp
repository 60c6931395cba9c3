// What leases cost, and for how long a key is without an owner, in virtual time; and how much of a cold
// store's credit is used with what others leave, and without. One row a case;
// `--benchmark_counters_tabular=true` makes a table.
#include <benchmark/benchmark.h>

#include <algorithm>

#include "owners/clerk.hpp"
#include "standins/world.hpp"

using namespace granitereel;
using namespace granitereel::owners;
using standins::World;

namespace {

double quantile(std::vector<double> values, double share) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * double(values.size())))];
}

struct Fleet {
    World world;
    Fleet(int count, double loss, std::vector<std::string> keys, std::uint64_t seed = 1)
        : world(count, seed) {
        world.drift = 0.001;
        world.guests = [count, keys](int, tier::Members& members, Nanoseconds now, std::uint64_t guestSeed) {
            World::Guests all;
            auto clerk = std::make_unique<Clerk>(members, Electors::first(count), Terms{}, 1000, guestSeed,
                                                 now, [](const std::string&) {});
            for (const std::string& key : keys) clerk->owners().need(keyOf(key), key);
            all.push_back(std::move(clerk));
            return all;
        };
        for (int i = 0; i < count; ++i) world.start(i);
        world.run(world.now() + milliseconds(15'000));
        world.loss = loss;
        world.run(world.now() + milliseconds(10'000));
    }
    bool holds(int front, Key key) {
        return world.up(front) && !world.stalledNow(front) &&
               static_cast<Clerk&>(world.guest(front)).owners().holds(world.clockOf(front), key).has_value();
    }
    int owner(Key key) {
        for (int i = 0; i < world.count(); ++i)
            if (holds(i, key)) return i;
        return -1;
    }
};

// Seconds until another owns the key after its owner dies (0), is stopped for long (1), leaves (2).
void changes(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0)), how = static_cast<int>(state.range(2));
    for (auto each : state) {
        Fleet fleet(count, double(state.range(1)) / 100, {"k"});
        const Key key = keyOf("k");
        std::vector<double> gaps;
        for (int n = 0; n < (count >= 300 ? 10 : 40); ++n) {
            World& world = fleet.world;
            world.runUntil(milliseconds(60'000), [&] { return fleet.owner(key) >= 0; });
            const int old = fleet.owner(key);
            if (old < 0) break;
            const Nanoseconds lost = world.now();
            if (how == 0) world.kill(old);
            if (how == 1) world.stall(old, milliseconds(30'000));
            if (how == 2) world.leave(old);
            world.runUntil(milliseconds(60'000),
                           [&] { return fleet.owner(key) >= 0 && fleet.owner(key) != old; });
            gaps.push_back(double(world.now() - lost) / 1e9);
            if (how == 2) world.run(world.now() + milliseconds(2'000));
            if (how != 1) world.start(old);
            world.run(world.now() + milliseconds(35'000));
        }
        state.counters["without_s"] = quantile(gaps, 0.5);
        state.counters["p99_s"] = quantile(gaps, 0.99);
    }
}

// At rest: datagrams and bytes a second that all keys together cost beyond what the tier costs without them.
void keys(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0)), many = static_cast<int>(state.range(1));
    for (auto each : state) {
        double bytes[2], datagrams[2];
        for (const bool with : {false, true}) {
            std::vector<std::string> names;
            for (int i = 0; with && i < many; ++i) names.push_back("k/" + std::to_string(i));
            Fleet fleet(count, 0, names);
            const auto before = fleet.world.deliveredBytes, sent = fleet.world.delivered;
            fleet.world.run(fleet.world.now() + milliseconds(30'000));
            bytes[with] = double(fleet.world.deliveredBytes - before) / 30;
            datagrams[with] = double(fleet.world.delivered - sent) / 30;
        }
        state.counters["bytes_s"] = bytes[1] - bytes[0];
        state.counters["datagrams_s"] = datagrams[1] - datagrams[0];
        state.counters["bytes_s_front"] = (bytes[1] - bytes[0]) / count;
    }
}

// One process's credit at one cold store, as `coldRoom` keeps it: earned in proportion, at most one launch of
// it kept.
struct Till final : Warmer::Till {
    const World& world;
    const double part;
    Nanoseconds at;
    double ceded = 0, credit = 0, lent = 0, used = 0;
    Nanoseconds lentUntil = 0;
    bool cold_ = false;
    static constexpr double work = 80e6;
    Till(const World& in, double share) : world(in), part(share), at(in.now()) {}
    void settle() {
        credit = std::min(work, credit + std::max(0.0, part - ceded) * double(world.now() - at));
        at = world.now();
    }
    std::vector<Warmer::Cold> cold() override {
        if (!cold_) return {};
        return {{"s", milliseconds(5), part}};
    }
    void cede(const std::string&, double by) override { settle(), ceded = by; }
    void lend(const std::string&, Nanoseconds amount, Nanoseconds until) override {
        lent += double(amount);
        lentUntil = until;
    }
    bool startAttempt(Nanoseconds now) {
        settle();
        if (now < lentUntil && lent >= work)
            lent -= work;
        else if (credit > 0)
            credit -= work;
        else
            return false;
        used += work;
        return true;
    }
};

struct Beside {
    Till till;
};
struct WarmHost final : Beside, WarmClerk {
    WarmHost(const World& world, double part, tier::Members& members, Clerk& leases, Nanoseconds now)
        : Beside{Till(world, part)}, WarmClerk(members, leases, {}, now, till, [](const std::string&) {}) {}
};

// Transactions that wait half a second each come to one front in ten at ten times the mean, by chance, and to
// the others seldom; all together twice what the store may be given (0.6 of a core for 15 s). Share of that
// used.
void warms(benchmark::State& state) {
    const int count = static_cast<int>(state.range(0));
    for (auto each : state) {
        for (const bool lending : {false, true}) {
            World world(count, 2);
            world.guests = [&world, count](int, tier::Members& members, Nanoseconds now, std::uint64_t seed) {
                World::Guests all;
                auto leases = std::make_unique<Clerk>(members, Electors::first(count), Terms{}, 1000, seed,
                                                      now, [](const std::string&) {});
                auto host = std::make_unique<WarmHost>(world, 0.6 / count, members, *leases, now);
                all.push_back(std::move(leases));
                all.push_back(std::move(host));
                return all;
            };
            for (int i = 0; i < count; ++i) world.start(i);
            world.run(world.now() + milliseconds(10'000));
            const auto host = [&](int i) -> WarmHost& { return static_cast<WarmHost&>(world.guest(i, 1)); };
            std::minstd_rand chance(7);
            chance.discard(2);
            std::vector<std::vector<Nanoseconds>> waiting(static_cast<std::size_t>(count));
            for (int i = 0; i < count; ++i) {
                host(i).till.settle();
                host(i).till.credit = -Till::work * double(chance() % 1000) / 1000;
                host(i).till.cold_ = lending;
            }
            const Nanoseconds began = world.now(), step = milliseconds(5);
            const int busy = std::max(1, count / 10);
            // Arrivals in a step, over all fronts: twice 0.6 core's worth of launches.
            const double arrivals = 2 * 0.6 * double(step) / Till::work;
            std::int64_t bytes = world.deliveredBytes;
            while (world.now() < began + milliseconds(15'000)) {
                world.run(world.now() + step);
                for (int i = 0; i < count; ++i) {
                    const double mine =
                        i < busy ? arrivals * 0.5 / busy : arrivals * 0.5 / std::max(1, count - busy);
                    auto& queue = waiting[static_cast<std::size_t>(i)];
                    if (double(chance() % 1'000'000) < mine * 1e6)
                        queue.push_back(world.now() + milliseconds(500));
                    std::erase_if(queue, [&](Nanoseconds until) { return until <= world.now(); });
                    while (!queue.empty() && host(i).till.startAttempt(world.now()))
                        queue.erase(queue.begin());
                    if (queue.empty() || !lending) continue;
                    const Nanoseconds clock = world.clockOf(i);
                    host(i).warmer().scarce(
                        clock, "s", {Nanoseconds(Till::work), 1, clock + queue.front() - world.now()});
                    world.stir(i);
                }
            }
            double used = 0;
            for (int i = 0; i < count; ++i) used += host(i).till.used;
            state.counters[lending ? "used_lent" : "used_alone"] = used / (0.6 * 15e9);
            if (lending) state.counters["KB_a_store"] = double(world.deliveredBytes - bytes) / 1024;
        }
    }
}

BENCHMARK(changes)->Apply([](auto* benchmark) {
    for (const int how : {0, 1, 2})
        for (const int count : {3, 30, 300})
            for (const int loss : {0, 5, 20}) benchmark->Args({count, loss, how});
    benchmark->Iterations(1)->Unit(benchmark::kSecond);
});
BENCHMARK(keys)->Apply([](auto* benchmark) {
    for (const int many : {1, 10, 100, 1000}) benchmark->Args({300, many});
    for (const int many : {1, 100}) benchmark->Args({3, many})->Args({30, many});
    benchmark->Iterations(1)->Unit(benchmark::kSecond);
});
BENCHMARK(warms)->Apply([](auto* benchmark) {
    for (const int count : {3, 60, 300}) benchmark->Args({count});
    benchmark->Iterations(1)->Unit(benchmark::kSecond);
});

}  // namespace

BENCHMARK_MAIN();
