// What a statement costs the system's proxy, beside what a transaction costs the module that decides in both
// programs. Stores answer at once and out of nothing: their stand-in is in the figure, so it is an upper
// bound.
#include <benchmark/benchmark.h>

#include "standins/outlet.hpp"
#include "standins/poolerrig.hpp"

namespace {
using granitereel::milliseconds;
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
            rig.pass(milliseconds(20));
            rig.ask(writer, "QUERY w" + std::to_string(no) + " WRITE x 1");
            state.ResumeTiming();
        }
    }
}
void readLead(benchmark::State& state) {
    statement(state, "primary", "READ x");
}
void readReplica(benchmark::State& state) {
    statement(state, "bounded", "READ x");
}

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
            rig.pass(milliseconds(20));
            state.ResumeTiming();
        }
    }
}

// The module alone: a read that is taken, launched and answered.
struct Sink : granitereel::standins::SilentOutlet {
    void startAttempt(const std::string& t, const std::string& s, granitereel::Nanoseconds) override {
        last = {t, s};
    }
    std::pair<std::string, std::string> last;
};
void decision(benchmark::State& state) {
    granitereel::RoutingConfig charter;
    charter.maxAttempts = 4;
    granitereel::TransactionClass transactionClass;
    transactionClass.name = "look";
    transactionClass.targetLatency = milliseconds(200);
    transactionClass.timeout = milliseconds(1000);
    charter.classes = {transactionClass};
    Sink sink;
    granitereel::Nanoseconds now = milliseconds(1000);
    granitereel::Router front(charter, 1, now, sink);
    front.listBegins(true);
    for (const char* store : {"a", "b", "c"})
        front.listEntry(store, 1, 0, granitereel::StoreState::up, 0, store[0] == 'a');
    front.listEnds();
    std::uint64_t no = 0;
    for (auto _ : state) {
        front.setTime(now += 1'000'000);
        const std::string id = std::to_string(++no);
        front.submit(id, 0, "", milliseconds(1000), 1, {});
        front.attemptEnded(id, 0, sink.last.second, granitereel::AttemptOutcome::succeeded, milliseconds(1),
                           granitereel::Role::unknown, {}, true);
        if (no % 20 == 0) front.timerFired(0);
    }
}
BENCHMARK(decision);
BENCHMARK(readLead);
BENCHMARK(readReplica);
BENCHMARK(transaction);
}  // namespace

BENCHMARK_MAIN();
