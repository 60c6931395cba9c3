#include "configuration/configuration.hpp"

#include <algorithm>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace granitereel::configuration {

namespace {
using nlohmann::json;

// Fields that are not named here are ignored: operators' tools add their own.
const char* const schemaText = R"({
  "type": "object",
  "required": ["edition", "itineraries", "depots"],
  "properties": {
    "edition": {"type": "integer", "minimum": 0},
    "itineraries": {"type": "array", "items": {
      "type": "object",
      "required": ["hostname", "depot", "deadline_ms"],
      "properties": {
        "label": {"type": "string"},
        "hostname": {"type": "string", "minLength": 1},
        "path_prefix": {"type": "string"},
        "mode": {"enum": ["head_office", "age_bounded", "own"]},
        "deadline_ms": {"type": "number", "minimum": 1},
        "target_ms": {"type": "number", "minimum": 0},
        "staleness_ms": {"type": "number", "minimum": 0},
        "precedence": {"type": "integer", "minimum": 0},
        "tries": {"type": "integer", "minimum": 0},
        "depot": {"type": "string", "minLength": 1}}}},
    "depots": {"type": "array", "items": {
      "type": "object",
      "required": ["label"],
      "properties": {
        "label": {"type": "string", "minLength": 1},
        "berth_cap": {"type": "integer", "minimum": 0},
        "sync_replicas": {"type": "integer", "minimum": 0}}}},
    "limits": {"type": "object", "properties": {
      "tx_idle_ms": {"type": "number", "minimum": 0}}}}})";

const valijson::Schema& schema() {
    static const auto parsedSchema = [] {
        auto parsed = std::make_unique<valijson::Schema>();
        const json document = json::parse(schemaText);
        valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(document), *parsed);
        return parsed;
    }();
    return *parsedSchema;
}

std::int64_t integerOr(const json& object, const char* field, std::int64_t fallback) {
    const auto it = object.find(field);
    return it == object.end() ? fallback : static_cast<std::int64_t>(it->get<double>());
}
}  // namespace

Configuration parse(const json& body) {
    valijson::Validator validator;
    valijson::ValidationResults errors;
    if (!validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(body), &errors)) {
        valijson::ValidationResults::Error error;
        std::string text = "not of the form";
        // Reported once for each enclosing level: the innermost one gives the place of the error.
        for (std::size_t depth = 0; errors.popError(error);) {
            if (error.context.size() < depth) continue;
            depth = error.context.size();
            text.clear();
            for (const std::string& segment : error.context) text += segment;
            text += ": " + error.description;
        }
        throw InvalidConfiguration(text);
    }
    Configuration configuration;
    configuration.edition = body.at("edition").get<std::uint64_t>();
    std::set<std::string> services;
    for (const json& each : body.at("depots")) {
        Service service{each.at("label"), static_cast<int>(integerOr(each, "berth_cap", 0)),
                        static_cast<int>(integerOr(each, "sync_replicas", 0))};
        if (!services.insert(service.name).second)
            throw InvalidConfiguration("depots: '" + service.name + "' stands twice");
        configuration.services.push_back(std::move(service));
    }
    std::set<std::pair<std::string, std::string>> hostnamesAndPaths;
    for (const json& each : body.at("itineraries")) {
        Route route;
        route.label = each.value("label", "");
        route.database = each.at("hostname");
        route.service = each.at("depot");
        route.deadline_ms = integerOr(each, "deadline_ms", 0);
        route.target_ms = integerOr(each, "target_ms", route.deadline_ms / 4);
        route.staleness_ms = integerOr(each, "staleness_ms", 0);
        route.precedence = static_cast<int>(integerOr(each, "precedence", 0));
        route.tries = static_cast<int>(integerOr(each, "tries", 1));
        const std::string mode = each.value("mode", "head_office");
        route.mode = mode == "own"           ? ReadMode::ownWrites
                     : mode == "age_bounded" ? ReadMode::boundedStaleness
                                             : ReadMode::primary;
        const std::string description = "itineraries: '" + route.label + "' ('" + route.database + "')";
        if (!services.count(route.service))
            throw InvalidConfiguration(description + " names an unknown depot '" + route.service + "'");
        if (!hostnamesAndPaths.insert({route.database, each.value("path_prefix", "/")}).second)
            throw InvalidConfiguration(description + " shares hostname and path_prefix with another");
        configuration.routes.push_back(std::move(route));
    }
    if (const auto limits = body.find("limits"); limits != body.end())
        configuration.transactionIdleTimeout_ms = integerOr(*limits, "tx_idle_ms", 0);
    std::sort(configuration.routes.begin(), configuration.routes.end(),
              [](auto& left, auto& right) { return left.database < right.database; });
    return configuration;
}

Configuration parse(const std::string& text) {
    json body;
    try {
        body = json::parse(text);
    } catch (const json::parse_error& error) {
        throw InvalidConfiguration("not JSON, at byte " + std::to_string(error.byte));
    }
    try {
        return parse(body);
    } catch (const json::exception& error) {
        throw InvalidConfiguration(error.what());
    }
}

const Route* Configuration::route(const std::string& database) const {
    const auto it =
        std::lower_bound(routes.begin(), routes.end(), database,
                         [](const Route& route, const std::string& name) { return route.database < name; });
    return it != routes.end() && it->database == database ? &*it : nullptr;
}

const Service* Configuration::service(const std::string& name) const {
    for (const Service& each : services)
        if (each.name == name) return &each;
    return nullptr;
}

}  // namespace granitereel::configuration
