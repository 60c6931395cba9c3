// The command line: granitereel COMMAND [OPTION...].
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "run/program.hpp"

namespace {

using granitereel::Misfit;
using granitereel::Misread;
using granitereel::Station;
using granitereel::Told;
using granitereel::fittings::Fittings;
using granitereel::tls::CertificateError;

// Exit codes: 0 done, 1 could not serve, 2 wrong command line or config.
constexpr int cannotServe = 1, wrong = 2;

int serve(const Station& station, const Told& told, const Fittings& fittings) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        granitereel::Program(station, told, fittings).run();
    } catch (const boost::system::system_error& fault) {
        std::cerr << "granitereel: " << station.listen << ": " << fault.code().message() << "\n";
        return cannotServe;
    }
    return 0;
}

int check(const Station& station, const Fittings& fittings) {
    std::cout << station.name << ": listens on " << station.listen << ", discovery at " << station.discovery
              << ", " << station.opening.charter.classes.size() << " lanes, front "
              << station.opening.charter.proxyIndex + 1 << " of " << station.opening.charter.proxyCount
              << ", " << (station.memory >> 20) << " MB, " << station.descriptors << " descriptors\n";
    if (fittings.has_tls_to_stores()) {
        const granitereel::tls::TrustStore trust(fittings.tls_to_stores(), std::time(nullptr));
        std::cout << station.name << ": TLS to stores, expects '" << fittings.tls_to_stores().expected_name()
                  << "'" << (fittings.tls_to_stores().has_certificate() ? ", shows its own certificate" : "")
                  << "\n";
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("A read and write splitter for clusters of replicated databases.", "granitereel");
    Told told;
    app.add_option("-c,--config", told.config, "what the front is told, as JSON")
        ->envname("BALANCER_CONFIG")
        ->type_name("FILE");
    app.add_option("-l,--listen", told.listen, "where clients connect")
        ->envname("BALANCER_LISTEN")
        ->type_name("ADDR");
    app.add_option("-d,--discovery", told.discovery, "where the list of stores is kept")
        ->envname("BALANCER_DISCOVERY")
        ->type_name("ADDR");
    app.add_option("-n,--name", told.name, "the front's name")->envname("BALANCER_NAME")->type_name("NAME");
    app.add_option("-f,--fittings", told.fittings, "the front's own settings, as protobuf text")
        ->envname("GRANITEREEL_FITTINGS")
        ->type_name("FILE");
    app.require_subcommand(1);
    app.fallthrough();  // options stand before the command or behind it
    const auto* serves = app.add_subcommand("serve", "run a front until SIGTERM or SIGINT");
    app.add_subcommand("check", "read a config as serve would, and say what is in it or what is wrong");
    const auto* version = app.add_subcommand("version", "print the version");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& fault) {
        if (app.exit(fault, std::cout, std::cerr) == 0) return 0;  // help was asked for
        return wrong;
    }
    if (version->parsed()) {
        std::cout << "granitereel " GRANITEREEL_VERSION "\n";
        return 0;
    }
    // Lines go to standard output as they are written, so that none is lost with the process.
    auto log = spdlog::stdout_logger_st("granitereel");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    log->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
    try {
        const Station station = granitereel::readStation(told);
        const Fittings fittings =
            told.fittings.empty() ? Fittings() : granitereel::readFittings(told.fittings);
        return serves->parsed() ? serve(station, told, fittings) : check(station, fittings);
    } catch (const Misread& fault) {
        std::cerr << "granitereel: " << fault.what() << "\n";
        return wrong;
    } catch (const Misfit& fault) {
        std::cerr << "granitereel: " << fault.what() << "\n";
        return wrong;
    } catch (const CertificateError& fault) {
        std::cerr << "granitereel: " << fault.what() << "\n";
        return wrong;
    } catch (const std::exception& fault) {
        std::cerr << "granitereel: " << fault.what() << "\n";
        return cannotServe;
    }
}
