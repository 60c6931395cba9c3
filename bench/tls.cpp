// What TLS to stores costs: a handshake on the front's side, a statement through the front, a connection's
// memory. The stores are stand-ins in a process of their own, so that nothing of theirs is counted.
#include <benchmark/benchmark.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>

#include "bench.hpp"
#include "standins/store.hpp"
#include "tls/tls_stream.hpp"

using namespace granitereel;
using standins::Authority;

namespace {

// A primary and replicas in a child: what they are asked for comes by a pipe, a letter each.
struct Hall {
    Authority authority{"halls"};
    std::filesystem::path folder;
    std::vector<int> ports;  // the primary's first
    pid_t child = 0;
    int tell = -1;

    Hall(bool sealed, int takesMs, int stores = 2) : ports(static_cast<std::size_t>(stores)) {
        char name[] = "/tmp/granitereel-bench-XXXXXX";
        assert(::mkdtemp(name));
        folder = name;
        std::ofstream(folder / "trust.pem") << authority.certificate();
        std::ofstream(folder / "front.textproto") << "tls_to_stores { trust: 'trust.pem' }";
        int up[2], down[2];
        assert(::pipe(up) == 0 && ::pipe(down) == 0);
        child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            standins::Audit audit;
            std::vector<std::unique_ptr<standins::Store>> all;
            standins::Store::Ways ways;
            ways.takes = std::chrono::milliseconds(takesMs);
            for (std::size_t i = 0; i < ports.size(); ++i) {
                all.push_back(std::make_unique<standins::Store>(i == 0 ? "primary" : "replica", audit));
                all.back()->behave(ways);
                if (sealed) all.back()->seal(authority.issue(nameOf(i)));
                ports[i] = all.back()->place().port;
            }
            const auto size = static_cast<ssize_t>(ports.size() * sizeof(int));
            if (::write(up[1], ports.data(), static_cast<std::size_t>(size)) != size) ::_exit(1);
            char letter;
            // The only thing ever said: from now on the work takes no time.
            while (::read(down[0], &letter, 1) == 1) {
                ways.takes = {};
                for (const auto& each : all) each->behave(ways);
            }
            ::_exit(0);
        }
        ::close(down[0]);
        tell = down[1];
        const auto size = static_cast<ssize_t>(ports.size() * sizeof(int));
        assert(::read(up[0], ports.data(), static_cast<std::size_t>(size)) == size);
        ::close(up[0]), ::close(up[1]);
    }
    ~Hall() {
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
        ::close(tell);
        std::filesystem::remove_all(folder);
    }
    static std::string nameOf(std::size_t i) { return i == 0 ? "p" : i == 1 ? "r" : "r" + std::to_string(i); }
    fittings::TlsToStores terms() const {
        fittings::TlsToStores made;
        made.set_trust((folder / "trust.pem").string());
        return made;
    }
};

// One handshake, by the processor's time of this thread alone.
void handshake(benchmark::State& state) {
    const bool resume = state.range(0) != 0;
    Hall hall(true, 0);
    const auto trust = std::make_shared<tls::TrustStore>(hall.terms(), std::time(nullptr));
    std::shared_ptr<SSL_SESSION> ticket;
    std::int64_t resumed = 0, all = 0;
    for (auto _ : state) {
        tls::asio::io_context io;
        tls::tcp::socket socket(io);
        socket.connect(
            {tls::asio::ip::address_v4::loopback(), static_cast<unsigned short>(hall.ports.at(1))});
        const std::string request = postgres::sslRequestMessage();
        tls::asio::write(socket, tls::asio::buffer(request));
        char said;
        tls::asio::read(socket, tls::asio::buffer(&said, 1));
        const auto session = resume ? std::exchange(ticket, nullptr) : nullptr;
        tls::TlsStream sealed(trust, socket, "r", false, session.get(), [&](SSL_SESSION* offered) {
            ticket = {offered, SSL_SESSION_free};
        });
        std::int64_t cost = 0;
        tls::asio::co_spawn(
            io,
            [&]() -> tls::asio::awaitable<void> {
                const auto shaken = co_await sealed.handshake();
                assert(shaken.error.empty());
                cost = sealed.handshakeCpuTime();
                resumed += shaken.resumed;
                ++all;
                const std::string hello = postgres::startupMessage();
                co_await sealed.write(hello);
                char bytes[256];
                co_await sealed.read(bytes);  // the tickets come before it
            },
            [](std::exception_ptr fault) { assert(!fault); });
        io.run();
        state.SetIterationTime(double(cost) * 1e-9);
    }
    state.counters["resumed"] = double(resumed) / double(all);
}

struct Front : Stage {
    Front(const Hall& hall, bool sealed, int sockets = 1024) : Stage(Stage::Later{}) {
        const auto entry = [&](const std::string& name, int at, const std::string& role) {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + std::to_string(at) +
                   "\",\"zone\":\"a\",\"group\":3,\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0,"
                   "\"role\":\"" +
                   role + "\"}";
        };
        std::string entries;
        for (std::size_t i = 0; i < hall.ports.size(); ++i)
            entries += (i ? "," : "") + entry(Hall::nameOf(i), hall.ports[i], i ? "replica" : "primary");
        known = list(41, true, entries);
        if (sealed) options = {"--fittings", (hall.folder / "front.textproto").string()};
        begin(false, sockets);
    }
    double kilobytes(const std::string& what) const {
        std::ifstream in("/proc/" + std::to_string(program) + "/status");
        for (std::string line; std::getline(in, line);)
            if (line.starts_with(what)) return std::stod(line.substr(what.size() + 1));
        return 0;
    }
};

// One statement after another through the front, over one open connection.
void statementThrough(benchmark::State& state) {
    const bool sealed = state.range(0) != 0;
    Hall hall(sealed, static_cast<int>(state.range(1)));
    Front front(hall, sealed);
    End client = front.client();
    client.hello();
    std::vector<double> took;
    std::int64_t n = 0;
    for (auto _ : state) {
        const auto begun = std::chrono::steady_clock::now();
        client.ask(statement("s" + std::to_string(++n), "look"));
        const std::string said = client.answer();
        assert(said.starts_with("for "));
        took.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begun).count());
    }
    std::sort(took.begin(), took.end());
    state.counters["p50_us"] = took[took.size() / 2];
    state.counters["p99_us"] = took[took.size() * 99 / 100];
}

// Eight clients ask without a pause while a store's connections are cut twenty times a second: how many of
// the new ones take a session up again, and what the front spends.
void reconnects(benchmark::State& state) {
    const bool resume = state.range(0) != 0;
    Authority authority("halls");
    standins::Audit audit;
    standins::Store primary("primary", audit), replica("replica", audit);
    standins::Store::Ways ways;
    ways.takes = std::chrono::milliseconds(2);
    ways.forgetTickets = !resume;
    primary.behave(ways), replica.behave(ways);
    primary.seal(authority.issue("p")), replica.seal(authority.issue("r"));
    char name[] = "/tmp/granitereel-bench-XXXXXX";
    assert(::mkdtemp(name));
    const std::filesystem::path folder = name;
    std::ofstream(folder / "trust.pem") << authority.certificate();
    std::ofstream(folder / "front.textproto") << "tls_to_stores { trust: 'trust.pem' }";
    for (auto _ : state) {
        Stage stage{Stage::Later{}};
        stage.known = Stage::list(41, true,
                                  stage.entry("p", primary.place(), "Ready", "primary") + "," +
                                      stage.entry("r", replica.place(), "Ready", "replica"));
        stage.options = {"--fittings", (folder / "front.textproto").string()};
        stage.begin(true);
        std::atomic<bool> over{false};
        std::atomic<std::int64_t> served{0}, asked{0};
        std::vector<std::thread> threads;
        for (int c = 0; c < 8; ++c)
            threads.emplace_back([&, c] {
                End client = stage.client();
                client.hello();
                for (int i = 0; !over; ++i) {
                    client.ask(statement(std::to_string(c) + "-" + std::to_string(i), "look"));
                    ++asked;
                    served += client.answer().starts_with("for ");
                }
            });
        for (int i = 0; i < 100; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            (i % 2 ? primary : replica).cutAll();
        }
        const double fullBefore = primary.full() + replica.full(),
                     resumedBefore = primary.resumed() + replica.resumed();
        std::ofstream(folder / "trust.pem", std::ios::app) << Authority("next").certificate();
        ::kill(stage.program, SIGHUP);
        for (int i = 0; i < 40; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            (i % 2 ? primary : replica).cutAll();
        }
        over = true;
        for (std::thread& each : threads) each.join();
        const double fullAfter = primary.full() + replica.full() - fullBefore,
                     resumedAfter = primary.resumed() + replica.resumed() - resumedBefore;
        state.counters["resumed_after_rotation"] = resumedAfter / (fullAfter + resumedAfter);
        const double full = primary.full() + replica.full(), resumed = primary.resumed() + replica.resumed();
        state.counters["handshakes"] = full + resumed;
        state.counters["resumed"] = resumedBefore / (fullBefore + resumedBefore);
        state.counters["served"] = double(served) / double(asked);
        state.counters["statements"] = double(served);
    }
    std::filesystem::remove_all(folder);
}

// A rotation with so many idle connections, while one client goes on asking: how long until all are renewed,
// and what the client notices. Unpaced: as many at once as there are, in all the time there is.
void renewal(benchmark::State& state) {
    const int many = static_cast<int>(state.range(0));
    const bool paced = state.range(1) != 0;
    for (auto _ : state) {
        // So many stores that the windows which the decisions keep let all be open.
        Hall hall(true, 1500, 2 + many / 20);
        std::ofstream(hall.folder / "front.textproto")
            << "tls_to_stores { trust: 'trust.pem' "
            << (paced ? ""
                      : "pace { at_once: 1000 at_once_per_store: 1000 share_percent: 90 "
                        "renew_within_seconds: 1 }")
            << " }";
        Front front(hall, true, 4096);
        std::vector<End> clients;
        for (int i = 0; i < many; ++i) {
            clients.push_back(front.client());
            clients.back().hello();
            clients.back().ask(statement("m" + std::to_string(i), i % 2 ? "look" : "pay", 3900));
        }
        int open = 0;
        for (End& each : clients) open += each.answer().starts_with("for ");
        assert(::write(hall.tell, "f", 1) == 1);
        End client = front.client();
        client.hello();
        std::vector<double> before, during;
        std::atomic<bool> over{false};
        int n = 0;
        const auto ask = [&](std::vector<double>& took) {
            const auto begun = std::chrono::steady_clock::now();
            client.ask(statement("s" + std::to_string(++n), "look"));
            client.answer();
            took.push_back(
                std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count());
        };
        for (int i = 0; i < 1000; ++i) ask(before);
        const auto begun = std::chrono::steady_clock::now();
        std::ofstream(hall.folder / "trust.pem", std::ios::app) << Authority("next").certificate();
        ::kill(front.program, SIGHUP);
        std::thread watch([&] {
            front.logged("TLS: all connections are renewed");
            over = true;
        });
        while (!over) ask(during);
        watch.join();
        const auto quantile = [](std::vector<double>& of, double q) {
            std::sort(of.begin(), of.end());
            return of[static_cast<std::size_t>(double(of.size() - 1) * q)];
        };
        state.counters["seconds"] =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
        state.counters["served_to_open"] = open;
        state.counters["p99_before_ms"] = quantile(before, 0.99);
        state.counters["p99_ms"] = quantile(during, 0.99);
        state.counters["most_ms"] = during.back();
    }
}

// Memory of the front with so many connections to stores, in use and then idle.
void memory(benchmark::State& state) {
    const bool sealed = state.range(0) != 0;
    constexpr int many = 100;
    for (auto _ : state) {
        Hall hall(sealed, 400);
        Front front(hall, sealed);
        std::vector<End> clients;
        for (int i = 0; i < many; ++i) clients.push_back(front.client()), clients.back().hello();
        const double before = front.kilobytes("RssAnon:");
        for (int i = 0; i < many; ++i) clients[i].ask(statement("m" + std::to_string(i), "look", 3000));
        double most = 0;
        for (int i = 0; i < 30; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            most = std::max(most, front.kilobytes("RssAnon:"));
        }
        for (End& each : clients) each.answer();
        state.counters["empty_kb"] = before;
        state.counters["busy_kb_each"] = (most - before) / many;
        state.counters["idle_kb_each"] = (front.kilobytes("RssAnon:") - before) / many;
    }
}

BENCHMARK(handshake)
    ->ArgName("resumed")
    ->Arg(0)
    ->Arg(1)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(300);
BENCHMARK(statementThrough)
    ->ArgNames({"sealed", "ms"})
    ->ArgsProduct({{0, 1}, {0, 2}})
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(4000);
BENCHMARK(renewal)->ArgNames({"connections", "paced"})->ArgsProduct({{1, 100, 1000}, {0, 1}})->Iterations(1);
BENCHMARK(reconnects)->ArgName("resumed")->Arg(0)->Arg(1)->Iterations(1);
BENCHMARK(memory)->ArgName("sealed")->Arg(0)->Arg(1)->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
