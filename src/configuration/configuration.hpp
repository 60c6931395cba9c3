// The operator's configuration: read from JSON, checked by a schema and then across its parts. Whole or not
// at all.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace granitereel::configuration {

// Why a configuration is refused, with the place of the fault.
struct Invalid : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Which commits a read has to see.
enum class Mode { headOffice, ageBounded, own };

struct Route {
    std::string label, database, service;
    Mode mode = Mode::headOffice;
    std::int64_t deadline_ms = 1000, target_ms = 0, staleness_ms = 0;
    int precedence = 0, tries = 1;
    bool operator==(const Route&) const = default;
};

struct Service {
    std::string name;
    int berthCap = 0;  // connections of all callers at one store; 0: not bounded
    int syncReplicas = 0;
};

struct Configuration {
    std::uint64_t edition = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::int64_t txIdle_ms = 0;  // 0: never ended for resting

    const Route* route(const std::string& database) const;
    const Service* service(const std::string& name) const;
};

// Throws Invalid.
Configuration read(const std::string& text);
Configuration read(const nlohmann::json& body);

}  // namespace granitereel::configuration
