#include "settings/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace granitereel::settings {

namespace {
template <class T>
T need(const toml::table& table, const char* path) {
    const auto value = table.at_path(path).value<T>();
    if (!value) throw InvalidSettings(std::string("field '") + path + "' is missing or of another type");
    return *value;
}
}  // namespace

std::string usualPath() {
    const char* told = std::getenv("GRANITEREEL_BOOT");
    return told && *told ? told : "/etc/granitereel/local.toml";
}

Settings read(const std::string& path) {
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error& fault) {
        std::ostringstream text;
        text << path << ", line " << fault.source().begin.line << ", column " << fault.source().begin.column
             << ": " << fault.description();
        throw InvalidSettings(text.str());
    }
    Settings s;
    s.station = need<std::string>(table, "station");
    s.ip = need<std::string>(table, "ip_addr");
    s.district = need<std::string>(table, "district");
    const toml::array* ports = table["spare_ports"].as_array();
    if (!ports || ports->size() != 2)
        throw InvalidSettings("field 'spare_ports' must be a first and a last port");
    s.firstPort = ports->get(0)->value_or(0);
    s.lastPort = ports->get(1)->value_or(0);
    if (s.firstPort <= 0 || s.lastPort < s.firstPort || s.lastPort > 65535)
        throw InvalidSettings("field 'spare_ports' must hold two ports in order");
    const toml::array* seeds = table["seed_list"].as_array();
    if (!seeds) throw InvalidSettings("field 'seed_list' is missing or no list");
    for (const auto& seed : *seeds) s.seeds.push_back(seed.value_or(std::string()));
    s.firstBoot = table["first_boot"].value_or(false);
    if (const toml::table* districts = table["districts"].as_table())
        for (const auto& [name, in] : *districts)
            s.territoryOf[std::string(name.str())] = in.value_or(std::string());
    s.frontAddress = table.at_path("listen_on.front_addr").value_or(std::string());
    s.readyAddress = table.at_path("listen_on.ready_addr").value_or(std::string());
    s.controlAddress = table.at_path("listen_on.control_addr").value_or(std::string());
    s.dataPath = table["data_path"].value_or(std::string());
    s.ramMb = table.at_path("limits.ram_mb").value_or(s.ramMb);
    s.fileHandles = table.at_path("limits.file_handles").value_or(s.fileHandles);
    s.beatInterval_ms = table["beat_interval_ms"].value_or(s.beatInterval_ms);
    auto seconds = [&](const char* field, int otherwise) {
        return static_cast<int>(1000 * table.at_path(field).value_or(otherwise / 1000.0));
    };
    s.grace_ms = seconds("guarantees.grace_s", s.grace_ms);
    s.syncIn_ms = seconds("guarantees.sync_in_s", s.syncIn_ms);
    s.drain_ms = table.at_path("guarantees.drain_ms").value_or(s.drain_ms);
    s.contact_ms = table.at_path("guarantees.contact_ms").value_or(s.contact_ms);
    s.tolerance = table.at_path("tolerance.machine_count").value_or(s.tolerance);
    s.fenceChecked = table.at_path("guarantees.fence_checked").value_or(s.fenceChecked);
    s.lease_ms = std::max(0, table.at_path("guarantees.lease_ms").value_or(s.lease_ms));
    s.platform = table.at_path("platform_api.address").value_or(std::string());
    if (const toml::array* duties = table.at_path("platform_api.assignments").as_array())
        for (const auto& duty : *duties) s.promotes |= duty.value_or(std::string()) == "promotion";
    return s;
}

}  // namespace granitereel::settings
