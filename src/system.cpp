// The command line of the system: one program for its three kinds of process, and the validation of the files
// that operators write.
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

int checkFiles(const std::string& settings, const std::vector<std::string>& files) {
    int errors = 0;
    if (!settings.empty()) try {
            const auto parsed = settings::read(settings);
            std::cout << settings << ": valid, station " << parsed.station << "\n";
        } catch (const settings::InvalidSettings& error) {
            std::cerr << settings << ": " << error.what() << "\n";
            ++errors;
        }
    for (const std::string& file : files) try {
            std::ifstream input(file);
            if (!input) throw configuration::InvalidConfiguration("can't be read");
            std::stringstream text;
            text << input.rdbuf();
            const auto parsed = configuration::parse(text.str());
            std::cout << file << ": valid, edition " << parsed.edition << ", " << parsed.routes.size()
                      << " routes\n";
        } catch (const configuration::InvalidConfiguration& error) {
            std::cerr << file << ": " << error.what() << "\n";
            ++errors;
        }
    return errors ? 2 : 0;
}
}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("granitereel-system",
                             "granitereel, the whole system: a database pooler with failover");
    options.positional_help("proxy | agent | control | check [CONFIGURATION...]");
    options.add_options()("command",
                          "proxy: serves clients; agent: runs beside a proxy; control: keeps the system's "
                          "state; check: validates files",
                          cxxopts::value<std::string>())("files", "configuration files to validate",
                                                         cxxopts::value<std::vector<std::string>>())(
        "settings", "the settings file; default: the path in GRANITEREEL_BOOT",
        cxxopts::value<std::string>())(
        "hollow", "agent: run without a proxy beside it, for many agents on one machine")(
        "h,help", "show this help")("version", "show the version");
    options.parse_positional({"command", "files"});
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << "granitereel-system " << GRANITEREEL_VERSION << "\n";
            return 0;
        }
        const std::string command = arguments.count("command") ? arguments["command"].as<std::string>() : "";
        const std::string path =
            arguments.count("settings") ? arguments["settings"].as<std::string>() : settings::defaultPath();
        if (command == "check") {
            std::vector<std::string> files;
            if (arguments.count("files")) files = arguments["files"].as<std::vector<std::string>>();
            if (files.empty() && !arguments.count("settings")) {
                std::cerr << "check: no file given; see --help\n";
                return 2;
            }
            return checkFiles(arguments.count("settings") ? path : "", files);
        }
        if (arguments.count("files")) throw std::invalid_argument("'" + command + "' takes no files");
        spdlog::set_default_logger(spdlog::stdout_logger_st(command));
        spdlog::set_pattern("%H:%M:%S.%e %l %v");
        spdlog::flush_on(spdlog::level::info);
        // Ignored until the process has installed its own handler: the default action would end it.
        std::signal(SIGHUP, SIG_IGN);
        if (command == "proxy") return proxy::serve(settings::read(path), path);
        if (command == "agent")
            return agent::serve(settings::read(path), path, arguments.count("hollow") > 0);
        if (command == "control") return control::serve(settings::read(path), path);
        std::cerr << "unknown command: '" << command << "'; see --help\n";
        return 2;
    } catch (const settings::InvalidSettings& error) {
        std::cerr << "settings: " << error.what() << "\n";
        return 2;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "; see --help\n";
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "fatal: " << error.what() << "\n";
        return 1;
    }
}
