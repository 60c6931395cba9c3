// The operator's configuration: read from JSON, validated against a schema and then for consistency between
// its parts. An invalid configuration is rejected as a whole.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace granitereel::configuration {

// Why a configuration is rejected, with the place of the error.
struct InvalidConfiguration : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Which commits a read must see.
enum class ReadMode {
    primary,           // all: reads are served by the primary
    boundedStaleness,  // all that are older than Route::staleness_ms
    ownWrites          // those of its own session
};

struct Route {
    std::string label, database, service;
    ReadMode mode = ReadMode::primary;
    std::int64_t deadline_ms = 1000, target_ms = 0, staleness_ms = 0;
    int precedence = 0, tries = 1;
    bool operator==(const Route&) const = default;
};

struct Service {
    std::string name;
    int connectionLimit = 0;  // connections of all callers to one store; 0: unlimited
    int syncReplicas = 0;
};

struct Configuration {
    std::uint64_t edition = 0;
    std::vector<Route> routes;  // ordered by database
    std::vector<Service> services;
    std::int64_t transactionIdleTimeout_ms = 0;  // 0: none

    const Route* route(const std::string& database) const;
    const Service* service(const std::string& name) const;
};

// Throws InvalidConfiguration.
Configuration parse(const std::string& text);
Configuration parse(const nlohmann::json& body);

}  // namespace granitereel::configuration
