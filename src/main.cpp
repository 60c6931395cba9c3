// The command line: granitereel COMMAND [OPTION...].
#include <getopt.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "run/program.hpp"

namespace {

using granitereel::Misread;
using granitereel::Station;
using granitereel::Told;

constexpr const char* usage =
    "usage: granitereel COMMAND [OPTION...]\n"
    "  serve      run a front until SIGTERM or SIGINT\n"
    "  check      read a config as serve would, and say what is in it or what is wrong\n"
    "  version    print the version\n"
    "options of serve and check:\n"
    "  -c, --config FILE      what the front is told, as JSON     (BALANCER_CONFIG)\n"
    "  -l, --listen ADDR      where clients connect               (BALANCER_LISTEN)\n"
    "  -d, --discovery ADDR   where the list of stores is kept    (BALANCER_DISCOVERY)\n"
    "  -n, --name NAME        the front's name                    (BALANCER_NAME)\n"
    "  -h, --help             print this\n";

// Exit codes: 0 done, 1 could not serve, 2 wrong command line or config.
constexpr int cannotServe = 1, wrong = 2;

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

int serve(const Station& station, const Told& told) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        granitereel::Program(station, told).run();
    } catch (const boost::system::system_error& fault) {
        std::cerr << "granitereel: " << station.listen << ": " << fault.code().message() << "\n";
        return cannotServe;
    }
    return 0;
}

int check(const Station& station) {
    std::cout << station.name << ": listens on " << station.listen << ", discovery at " << station.discovery
              << ", " << station.opening.charter.lanes.size() << " lanes, front "
              << station.opening.charter.front + 1 << " of " << station.opening.charter.fronts << ", "
              << (station.memory >> 20) << " MB, " << station.descriptors << " descriptors\n";
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    static const option longOptions[] = {{"config", required_argument, nullptr, 'c'},
                                         {"listen", required_argument, nullptr, 'l'},
                                         {"discovery", required_argument, nullptr, 'd'},
                                         {"name", required_argument, nullptr, 'n'},
                                         {"help", no_argument, nullptr, 'h'},
                                         {nullptr, 0, nullptr, 0}};
    Told told{environment("BALANCER_CONFIG"), environment("BALANCER_NAME"), environment("BALANCER_LISTEN"),
              environment("BALANCER_DISCOVERY")};
    for (int c; (c = ::getopt_long(argc, argv, "c:l:d:n:h", longOptions, nullptr)) != -1;) {
        if (c == 'c') told.config = optarg;
        if (c == 'l') told.listen = optarg;
        if (c == 'd') told.discovery = optarg;
        if (c == 'n') told.name = optarg;
        if (c == 'h') {
            std::cout << usage;
            return 0;
        }
        if (c == '?') return wrong;  // getopt has said why
    }
    const std::string command = optind + 1 == argc ? argv[optind] : "";
    if (command == "version") {
        std::cout << "granitereel " GRANITEREEL_VERSION "\n";
        return 0;
    }
    if (command != "serve" && command != "check") {
        std::cerr << usage;
        return wrong;
    }
    // Lines go to standard output as they are written, so that none is lost with the process.
    auto log = spdlog::stdout_logger_st("granitereel");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    log->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(log));
    try {
        const Station station = granitereel::readStation(told);
        return command == "serve" ? serve(station, told) : check(station);
    } catch (const Misread& fault) {
        std::cerr << "granitereel: " << fault.what() << "\n";
        return wrong;
    } catch (const std::exception& fault) {
        std::cerr << "granitereel: " << fault.what() << "\n";
        return cannotServe;
    }
}
