// The command line of the system: one program for its three processes, and the checks of what operators
// write.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "agent/program.hpp"
#include "configuration/configuration.hpp"
#include "control/program.hpp"
#include "proxy/program.hpp"
#include "settings/settings.hpp"

namespace {
using namespace granitereel;

int check(const std::string& settings, const std::vector<std::string>& files) {
    int faults = 0;
    if (!settings.empty()) try {
            const auto read = settings::read(settings);
            std::cout << settings << ": sound, station " << read.station << "\n";
        } catch (const settings::InvalidSettings& fault) {
            std::cerr << settings << ": " << fault.what() << "\n";
            ++faults;
        }
    for (const std::string& file : files) try {
            std::ifstream in(file);
            if (!in) throw configuration::Invalid("can't be read");
            std::stringstream text;
            text << in.rdbuf();
            const auto read = configuration::read(text.str());
            std::cout << file << ": sound, edition " << read.edition << ", " << read.routes.size()
                      << " routes\n";
        } catch (const configuration::Invalid& fault) {
            std::cerr << file << ": " << fault.what() << "\n";
            ++faults;
        }
    return faults ? 2 : 0;
}
}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("granitereel-system",
                             "granitereel, the whole system: a database pooler with failover");
    options.positional_help("proxy | agent | control | check [CONFIGURATION...]");
    options.add_options()(
        "command", "proxy: serves clients; agent: beside it; control: keeps the state; check: checks files",
        cxxopts::value<std::string>())("files", "configurations to be checked",
                                       cxxopts::value<std::vector<std::string>>())(
        "settings", "the settings file; else GRANITEREEL_BOOT", cxxopts::value<std::string>())(
        "hollow", "agent without a proxy beside it, for runs of many on one machine")("h,help", "shows this")(
        "version", "shows the version");
    options.parse_positional({"command", "files"});
    try {
        const auto told = options.parse(argc, argv);
        if (told.count("help")) {
            std::cout << options.help();
            return 0;
        }
        if (told.count("version")) {
            std::cout << "granitereel-system " << GRANITEREEL_VERSION << "\n";
            return 0;
        }
        const std::string command = told.count("command") ? told["command"].as<std::string>() : "";
        const std::string path =
            told.count("settings") ? told["settings"].as<std::string>() : settings::usualPath();
        if (command == "check") {
            std::vector<std::string> files;
            if (told.count("files")) files = told["files"].as<std::vector<std::string>>();
            if (files.empty() && !told.count("settings")) {
                std::cerr << "check: names no file; see --help\n";
                return 2;
            }
            return check(told.count("settings") ? path : "", files);
        }
        if (told.count("files")) throw std::invalid_argument("'" + command + "' takes no files");
        spdlog::set_default_logger(spdlog::stdout_logger_st(command));
        spdlog::set_pattern("%H:%M:%S.%e %l %v");
        spdlog::flush_on(spdlog::level::info);
        // Until a process has its own handler the signal must not end it.
        std::signal(SIGHUP, SIG_IGN);
        if (command == "proxy") return proxy::serve(settings::read(path), path);
        if (command == "agent") return agent::serve(settings::read(path), path, told.count("hollow") > 0);
        if (command == "control") return control::serve(settings::read(path), path);
        std::cerr << "no such command: '" << command << "'; see --help\n";
        return 2;
    } catch (const settings::InvalidSettings& fault) {
        std::cerr << "settings: " << fault.what() << "\n";
        return 2;
    } catch (const cxxopts::exceptions::exception& fault) {
        std::cerr << fault.what() << "; see --help\n";
        return 2;
    } catch (const std::exception& fault) {
        std::cerr << "can't serve: " << fault.what() << "\n";
        return 1;
    }
}
