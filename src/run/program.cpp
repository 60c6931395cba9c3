#include "program.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fleet.hpp"

namespace granitereel {

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

}  // namespace

// The last to stand in a lane's cut-off: how long a client may wait at most.
Nanoseconds longestCutOff(const RoutingConfig& charter) {
    Nanoseconds longest = 0;
    for (const TransactionClass& transactionClass : charter.classes)
        longest = std::max(longest, transactionClass.timeout);
    return longest;
}

Program::Program(const Station& station, const Told& told, const fittings::Fittings& fittings)
    : station_(station),
      told_(told),
      // Three eighths of the memory for what has come in; answers on their way out may take as much again.
      budget_(station.memory / 8 * 3),
      places_(station.descriptors),
      pool_(io_.get_executor(), places_, station.opening.idleLimit),
      desk_(io_.get_executor(), clock_, station.opening.charter, station.seed),
      tlsConnector_(fittings.has_tls_to_stores()
                        ? std::make_unique<tls::TlsConnector>(
                              io_.get_executor(), clock_, book_, fittings.tls_to_stores(), station.cores,
                              station.memory, station.opening.charter.warmUpTime)
                        : nullptr),
      post_(fleetOf(io_.get_executor(), clock_, station, fittings, desk_)),
      stores_(io_.get_executor(), clock_, desk_, book_, pool_, budget_, station.opening.connectWithin,
              station.opening.storesReport, tlsConnector_.get()),
      discovery_(io_.get_executor(), desk_, book_, station.opening.zones, station.discovery),
      clients_(io_.get_executor(), clock_, desk_, stores_, budget_, station.opening.charter.classes, places_),
      acceptor_(io_),
      endings_(io_, SIGTERM, SIGINT),
      hangUps_(io_, SIGHUP),
      lookers_(io_, SIGUSR1) {}

Program::~Program() {
    io_.letGo();
}

void Program::enter(Phase phase) {
    static constexpr const char* names[] = {"starting", "serving", "leaving", "finishing", "over"};
    phase_ = phase;
    spdlog::info("{}: {}, {} in hand, {} clients", station_.name, names[static_cast<int>(phase)],
                 desk_.openTransactions(), clients_.count());
}

asio::awaitable<void> Program::errands() {
    for (;;) {
        const std::vector<RouterTask> due = co_await desk_.nextTasks();
        for (const RouterTask& errand : due) {
            if (const auto* probe = std::get_if<ProbeStore>(&errand))
                asio::co_spawn(io_, stores_.probe(probe->store), asio::detached);
            else if (const auto* hangUp = std::get_if<CloseIdleConnections>(&errand))
                pool_.hangUp(hangUp->store);
            else if (std::holds_alternative<SubscribeToList>(errand))
                asio::co_spawn(io_, discovery_.follow(), asio::detached);
            else
                asio::co_spawn(io_, discovery_.ask(), asio::detached);
        }
    }
}

asio::awaitable<void> Program::upkeep() {
    asio::steady_timer pause(io_);
    for (unsigned round = 0;; ++round) {
        // Ten times a second: clients have seconds, and are owed a close at the end of them. Idle limits are
        // many seconds: once in ten.
        pause.expires_after(std::chrono::milliseconds(100));
        co_await pause.async_wait(quietly);
        clients_.tidy();
        if (tlsConnector_)
            for (const std::string& store : tlsConnector_->startDueRenewals(pool_))
                asio::co_spawn(io_, stores_.renew(store), asio::detached);
        if (round % 10 > 0) continue;
        pool_.sweep(clock_.now());
        std::erase_if(book_, [this](const auto& each) { return !desk_.knowsStore(each.first); });
    }
}

// SIGHUP: the config is read again. Of what stands in it, where discovery listens is taken over, whatever the
// environment or the command line said at the start; the rest must be sound, and holds from the next start
// on.
asio::awaitable<void> Program::reloads() {
    for (;;) {
        co_await hangUps_.async_wait(quietly);
        Told again = told_;
        again.discovery.clear();
        try {
            const Station read = readStation(again);
            const tcp::endpoint at = read.discovery;
            if (post_) post_->takePeers(peersOf(read));
            spdlog::info("{}: config read again, discovery at {}:{}", station_.name, at.address().to_string(),
                         at.port());
            discovery_.moveTo(at);
            asio::co_spawn(io_, discovery_.follow(), asio::detached);
        } catch (const std::runtime_error& fault) {
            spdlog::warn("config not read again, nothing changes: {}", fault.what());
        } catch (const std::invalid_argument& fault) {
            spdlog::warn("config not read again, nothing changes: {}", fault.what());
        }
        refit();
    }
}

// SIGUSR1: what this front sees of its tier, as one line.
asio::awaitable<void> Program::shows() {
    for (;;) {
        co_await lookers_.async_wait(quietly);
        spdlog::info("tier {}", post_ ? post_->seen() : "{\"sight\":\"off\"}");
    }
}

// Certificates and their terms are taken whole, or the old ones hold on.
void Program::refit() {
    if (told_.fittings.empty()) return;
    try {
        const fittings::Fittings again = readFittings(told_.fittings);
        if (again.has_tls_to_stores() != (tlsConnector_ != nullptr))
            throw Misfit(told_.fittings + ": TLS is turned on or off by a restart alone");
        if (tlsConnector_) tlsConnector_->update(again.tls_to_stores());
    } catch (const std::runtime_error& fault) {
        spdlog::warn("fittings not read again, nothing changes: {}", fault.what());
    }
}

asio::awaitable<void> Program::untilOver() {
    co_await endings_.async_wait(quietly);
    const Nanoseconds told = clock_.now();
    // A front is not killed before its longest cut-off, of 3 s at most, and 0.7 s more are over; 0.3 s before
    // that everything in hand gets its answer. Until 0.7 s before then it serves on: the other fronts may be
    // restarting as well, and then those who hold connections here have nobody else.
    const Nanoseconds last =
        told + std::min(longestCutOff(station_.opening.charter), milliseconds(3000)) + milliseconds(400);
    const Nanoseconds closing = std::max(told + milliseconds(700), last - milliseconds(700));
    enter(Phase::leaving);
    if (post_) post_->leave();
    asio::steady_timer pause(io_);
    while (desk_.openTransactions() > 0 || clients_.count() > 0 || clock_.now() < closing) {
        const Nanoseconds now = clock_.now();
        if (now >= closing && phase_ == Phase::leaving) {
            enter(Phase::finishing);
            acceptor_.close();
        }
        if (phase_ == Phase::finishing) clients_.closeQuiet();
        // What is still asked meanwhile is told at once, too: a launch would not come back in time.
        if (now >= last) desk_.finishAll();
        // Answers need 100 ms at the most to be written; who has not taken them by then will not.
        if (now >= last + milliseconds(100) &&
            (desk_.openTransactions() == 0 || now >= last + milliseconds(200)))
            break;
        pause.expires_after(std::chrono::milliseconds(10));
        co_await pause.async_wait(quietly);
    }
    enter(Phase::over);
    io_.stop();
}

void Program::run() {
    enter(Phase::starting);
    if (!station_.known.empty()) {
        simdjson::dom::parser parser;
        try {
            discovery_.read(simdjson::dom::object(parser.parse(station_.known)));
        } catch (const simdjson::simdjson_error& fault) {
            spdlog::warn("known list: {}", fault.what());
        }
    }
    acceptor_.open(station_.listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(station_.listen);
    acceptor_.listen(1024);
    // None of these may end by a fault while the rest goes on.
    const auto orEnd = [](std::exception_ptr fault) {
        if (fault) std::rethrow_exception(fault);
    };
    asio::co_spawn(io_, errands(), orEnd);
    asio::co_spawn(io_, upkeep(), orEnd);
    asio::co_spawn(io_, clients_.listen(acceptor_), orEnd);
    asio::co_spawn(io_, reloads(), orEnd);
    asio::co_spawn(io_, shows(), orEnd);
    if (post_) {
        asio::co_spawn(io_, post_->receive(), orEnd);
        asio::co_spawn(io_, post_->watch(), orEnd);
    }
    asio::co_spawn(io_, untilOver(), orEnd);
    enter(Phase::serving);
    io_.run();
}

}  // namespace granitereel
