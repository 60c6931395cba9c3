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
#include "tls/sealed.hpp"

using namespace granitereel;
using standins::Authority;

namespace {

// Two stores in a child: what they are asked for comes by a pipe, a letter each.
struct Hall {
    Authority authority{"halls"};
    std::filesystem::path folder;
    int ports[2] = {0, 0};
    pid_t child = 0;
    int tell = -1;

    Hall(bool sealed, int takesMs) {
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
            standins::Store p("primary", audit), r("replica", audit);
            standins::Store::Ways ways;
            ways.takes = std::chrono::milliseconds(takesMs);
            p.behave(ways), r.behave(ways);
            if (sealed) p.seal(authority.issue("p")), r.seal(authority.issue("r"));
            const int found[2] = {p.place().port, r.place().port};
            if (::write(up[1], found, sizeof found) != sizeof found) ::_exit(1);
            char letter;
            while (::read(down[0], &letter, 1) == 1) r.cutAll();
            ::_exit(0);
        }
        ::close(down[0]);
        tell = down[1];
        assert(::read(up[0], ports, sizeof ports) == sizeof ports);
        ::close(up[0]), ::close(up[1]);
    }
    ~Hall() {
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
        ::close(tell);
        std::filesystem::remove_all(folder);
    }
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
    const auto trust = std::make_shared<tls::Trust>(hall.terms(), std::time(nullptr));
    std::shared_ptr<SSL_SESSION> ticket;
    std::int64_t resumed = 0, all = 0;
    for (auto _ : state) {
        tls::asio::io_context io;
        tls::tcp::socket socket(io);
        socket.connect({tls::asio::ip::address_v4::loopback(), static_cast<unsigned short>(hall.ports[1])});
        const std::string request = postgres::sslRequestMessage();
        tls::asio::write(socket, tls::asio::buffer(request));
        char said;
        tls::asio::read(socket, tls::asio::buffer(&said, 1));
        const auto session = resume ? std::exchange(ticket, nullptr) : nullptr;
        tls::Sealed sealed(trust, socket, "r", false, session.get(), [&](SSL_SESSION* offered) {
            ticket = {offered, SSL_SESSION_free};
        });
        std::int64_t cost = 0;
        tls::asio::co_spawn(
            io,
            [&]() -> tls::asio::awaitable<void> {
                const auto shaken = co_await sealed.shake();
                assert(shaken.fault.empty());
                cost = sealed.cost();
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
    Front(const Hall& hall, bool sealed) : Stage(Stage::Later{}) {
        const auto entry = [&](const std::string& name, int at, const std::string& role) {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + std::to_string(at) +
                   "\",\"zone\":\"a\",\"group\":3,\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0,"
                   "\"role\":\"" +
                   role + "\"}";
        };
        known =
            list(41, true, entry("p", hall.ports[0], "primary") + "," + entry("r", hall.ports[1], "replica"));
        if (sealed) options = {"--fittings", (hall.folder / "front.textproto").string()};
        begin();
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
    Hall hall(sealed, 0);
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
    ->ArgName("sealed")
    ->Arg(0)
    ->Arg(1)
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(20000);
BENCHMARK(memory)->ArgName("sealed")->Arg(0)->Arg(1)->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
