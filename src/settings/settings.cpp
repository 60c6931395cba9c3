#include "settings/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace granitereel::settings {

namespace {
template <class T>
T required(const toml::table& table, const char* path) {
    const auto value = table.at_path(path).value<T>();
    if (!value) throw InvalidSettings(std::string("field '") + path + "' is missing or of another type");
    return *value;
}
}  // namespace

std::string defaultPath() {
    const char* path = std::getenv("GRANITEREEL_BOOT");
    return path && *path ? path : "/etc/granitereel/local.toml";
}

Settings read(const std::string& path) {
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        std::ostringstream text;
        text << path << ", line " << error.source().begin.line << ", column " << error.source().begin.column
             << ": " << error.description();
        throw InvalidSettings(text.str());
    }
    Settings settings;
    settings.station = required<std::string>(table, "station");
    settings.ip = required<std::string>(table, "ip_addr");
    settings.district = required<std::string>(table, "district");
    const toml::array* ports = table["spare_ports"].as_array();
    if (!ports || ports->size() != 2)
        throw InvalidSettings("field 'spare_ports' must be a first and a last port");
    settings.firstPort = ports->get(0)->value_or(0);
    settings.lastPort = ports->get(1)->value_or(0);
    if (settings.firstPort <= 0 || settings.lastPort < settings.firstPort || settings.lastPort > 65535)
        throw InvalidSettings("field 'spare_ports' must hold two ports in order");
    const toml::array* seeds = table["seed_list"].as_array();
    if (!seeds) throw InvalidSettings("field 'seed_list' is missing or no list");
    for (const auto& seed : *seeds) settings.seeds.push_back(seed.value_or(std::string()));
    settings.firstBoot = table["first_boot"].value_or(false);
    if (const toml::table* districts = table["districts"].as_table())
        for (const auto& [district, territory] : *districts)
            settings.territoryByDistrict[std::string(district.str())] = territory.value_or(std::string());
    settings.proxyListenAddress = table.at_path("listen_on.front_addr").value_or(std::string());
    settings.readinessListenAddress = table.at_path("listen_on.ready_addr").value_or(std::string());
    settings.controlListenAddress = table.at_path("listen_on.control_addr").value_or(std::string());
    settings.dataPath = table["data_path"].value_or(std::string());
    settings.memoryLimit_MB = table.at_path("limits.ram_mb").value_or(settings.memoryLimit_MB);
    settings.maxFileHandles = table.at_path("limits.file_handles").value_or(settings.maxFileHandles);
    settings.heartbeatInterval_ms = table["beat_interval_ms"].value_or(settings.heartbeatInterval_ms);
    auto secondsAsMilliseconds = [&](const char* field, int fallback) {
        return static_cast<int>(1000 * table.at_path(field).value_or(fallback / 1000.0));
    };
    settings.shutdownGrace_ms = secondsAsMilliseconds("guarantees.grace_s", settings.shutdownGrace_ms);
    settings.syncIn_ms = secondsAsMilliseconds("guarantees.sync_in_s", settings.syncIn_ms);
    settings.drain_ms = table.at_path("guarantees.drain_ms").value_or(settings.drain_ms);
    settings.contact_ms = table.at_path("guarantees.contact_ms").value_or(settings.contact_ms);
    settings.toleratedMachineLosses =
        table.at_path("tolerance.machine_count").value_or(settings.toleratedMachineLosses);
    settings.platformChecksFencingToken =
        table.at_path("guarantees.fence_checked").value_or(settings.platformChecksFencingToken);
    settings.lease_ms = std::max(0, table.at_path("guarantees.lease_ms").value_or(settings.lease_ms));
    settings.platformAddress = table.at_path("platform_api.address").value_or(std::string());
    if (const toml::array* assignments = table.at_path("platform_api.assignments").as_array())
        for (const auto& assignment : *assignments)
            settings.promotionsEnabled |= assignment.value_or(std::string()) == "promotion";
    return settings;
}

}  // namespace granitereel::settings
