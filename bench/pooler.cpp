// What a statement costs the system's proxy, beside what a transaction costs the module that decides in both programs.
// Stores answer at once and out of nothing: their stand-in is in the figure, so it is an upper bound.
#include <benchmark/benchmark.h>

#include "standins/outlet.hpp"
#include "standins/poolerrig.hpp"

namespace {
using granitereel::millis;
using granitereel::standins::PoolerRig;

void statement(benchmark::State& state, const char* database, const std::string& text) {
    PoolerRig rig;
    const int client = rig.client(database), writer = rig.client();
    rig.told(client), rig.told(writer);
    rig.ask(writer, "QUERY w0 WRITE x 1");
    std::uint64_t no = 0;
    for (auto _ : state) {
        rig.say(client, "QUERY q" + std::to_string(++no) + " " + text);
        while (rig.step()) {
        }
        benchmark::DoNotOptimize(rig.told(client));
        if (no % 64 == 0) {
            state.PauseTiming();
            rig.pass(millis(20));
            rig.ask(writer, "QUERY w" + std::to_string(no) + " WRITE x 1");
            state.ResumeTiming();
        }
    }
}
void readLead(benchmark::State& state) { statement(state, "primary", "READ x"); }
void readReplica(benchmark::State& state) { statement(state, "bounded", "READ x"); }

void transaction(benchmark::State& state) {
    PoolerRig rig;
    const int client = rig.client();
    rig.told(client);
    std::uint64_t no = 0;
    for (auto _ : state) {
        for (const char* text : {"BEGIN", "READ x", "READ y", "COMMIT"}) {
            rig.say(client, "QUERY t" + std::to_string(++no) + " " + text);
            while (rig.step()) {
            }
        }
        benchmark::DoNotOptimize(rig.told(client));
        if (no % 256 == 0) {
            state.PauseTiming();
            rig.pass(millis(20));
            state.ResumeTiming();
        }
    }
}

// The module alone: a read that is taken, launched and answered.
struct Sink : granitereel::standins::SilentOutlet {
    void launch(const std::string& t, const std::string& s, granitereel::Nanos) override { last = {t, s}; }
    std::pair<std::string, std::string> last;
};
void decision(benchmark::State& state) {
    granitereel::Charter charter;
    charter.launchLimit = 4;
    granitereel::Lane lane;
    lane.name = "look";
    lane.goalTime = millis(200);
    lane.cutOff = millis(1000);
    charter.lanes = {lane};
    Sink sink;
    granitereel::Nanos now = millis(1000);
    granitereel::Front front(charter, 1, now, sink);
    front.listBegins(true);
    for (const char* store : {"a", "b", "c"}) front.listEntry(store, 1, 0, granitereel::Standing::up, 0, store[0] == 'a');
    front.listEnds();
    std::uint64_t no = 0;
    for (auto _ : state) {
        front.clock(now += 1'000'000);
        const std::string id = std::to_string(++no);
        front.take(id, 0, "", millis(1000), 1, {});
        front.ended(id, 0, sink.last.second, granitereel::Ending::delivered, millis(1), granitereel::Role::unknown, {}, true);
        if (no % 20 == 0) front.woke(0);
    }
}
BENCHMARK(decision);
BENCHMARK(readLead);
BENCHMARK(readReplica);
BENCHMARK(transaction);
}  // namespace

BENCHMARK_MAIN();
