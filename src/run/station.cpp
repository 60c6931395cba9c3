#include "station.hpp"

#include <sys/resource.h>

#include <charconv>

#include "wire/discovery.hpp"

namespace granitereel {

namespace {

std::string chosen(const std::string& told, const simdjson::dom::object& file, std::string_view name) {
    if (!told.empty()) return told;
    const auto found = present(file, name);
    return found && found->is_string() ? std::string(std::string_view(*found)) : std::string();
}

std::uint64_t seedOf(const simdjson::dom::object& file) {
    const auto found = present(file, "seed");
    if (!found) return 1;
    if (found->is_uint64()) return std::uint64_t(*found);
    const std::string_view digits(*found);
    std::uint64_t seed = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16).ec != std::errc())
        throw Misread("seed: not a number in hexadecimal digits");
    return seed;
}

tcp::endpoint address(const std::string& text, std::string_view what) {
    if (text.empty()) throw Misread(std::string(what) + ": not given");
    try {
        return endpointOf(text);
    } catch (const std::invalid_argument& fault) {
        throw Misread(std::string(what) + ": " + fault.what());
    }
}

}  // namespace

Station readStation(const Told& told) {
    if (told.config.empty()) throw Misread("no config: give --config FILE or BALANCER_CONFIG");
    Station station;
    simdjson::dom::parser parser;
    simdjson::dom::element document;
    if (const auto fault = parser.load(told.config).get(document))
        throw Misread(told.config + ": " + simdjson::error_message(fault));
    try {
        const simdjson::dom::object file(document);
        station.name = chosen(told.name, file, "name");
        station.listen = address(chosen(told.listen, file, "listen"), "listen");
        station.discovery = address(chosen(told.discovery, file, "discovery"), "discovery");
        station.seed = seedOf(file);
        station.opening = readCharter(simdjson::dom::object(file["settings"]));
        // Where the simulator brings changes by themselves, a front on sockets still has to open the watch.
        station.opening.charter.listMustBeRequested = true;
        if (const auto known = present(file, "known")) station.known = simdjson::minify(*known);
        station.peerListen = chosen("", file, "peer_listen");
        if (const auto peers = present(file, "peers"))
            for (const simdjson::dom::element each : simdjson::dom::array(*peers))
                station.peers.emplace_back(std::string_view(each));

        // Without limits in the file, a small machine's.
        double memory = 128, sockets = 1024;
        if (const auto limits = present(file, "limits")) {
            const simdjson::dom::object in(*limits);
            if (const auto mb = present(in, "memory_mb")) memory = double(*mb);
            if (const auto most = present(in, "sockets")) sockets = double(*most);
            if (const auto cores = present(in, "cores")) station.cores = double(*cores);
        }
        rlimit own{};
        if (::getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur != RLIM_INFINITY)
            sockets = std::min(sockets, double(own.rlim_cur));
        if (!(memory >= 16 && memory < 1e6)) throw Misread("limits: memory_mb must be 16 or more");
        if (!(sockets >= 64 && sockets < 1e7)) throw Misread("limits: sockets must be 64 or more");
        if (!(station.cores > 0 && station.cores < 1e4)) throw Misread("limits: cores must be above 0");
        station.cores = std::min(station.cores, 1.0);  // one thread uses no more
        station.memory = static_cast<std::size_t>(memory) << 20;
        station.descriptors = static_cast<std::size_t>(sockets);
    } catch (const simdjson::simdjson_error& fault) {
        throw Misread(told.config + ": " + fault.what());
    }
    return station;
}

}  // namespace granitereel
