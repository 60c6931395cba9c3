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

// Fields that are not named here are passed over: operators' tools add their own.
const char* const form = R"({
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
    static const auto made = [] {
        auto parsed = std::make_unique<valijson::Schema>();
        const json text = json::parse(form);
        valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(text), *parsed);
        return parsed;
    }();
    return *made;
}

std::int64_t whole(const json& in, const char* field, std::int64_t otherwise) {
    const auto at = in.find(field);
    return at == in.end() ? otherwise : static_cast<std::int64_t>(at->get<double>());
}
}  // namespace

Configuration read(const json& body) {
    valijson::Validator validator;
    valijson::ValidationResults faults;
    if (!validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(body), &faults)) {
        valijson::ValidationResults::Error fault;
        std::string text = "not of the form";
        // Told of each level that holds it: the innermost says where it is.
        for (std::size_t depth = 0; faults.popError(fault);) {
            if (fault.context.size() < depth) continue;
            depth = fault.context.size();
            text.clear();
            for (const std::string& step : fault.context) text += step;
            text += ": " + fault.description;
        }
        throw Invalid(text);
    }
    Configuration w;
    w.edition = body.at("edition").get<std::uint64_t>();
    std::set<std::string> services;
    for (const json& each : body.at("depots")) {
        Service service{each.at("label"), static_cast<int>(whole(each, "berth_cap", 0)),
                        static_cast<int>(whole(each, "sync_replicas", 0))};
        if (!services.insert(service.name).second)
            throw Invalid("depots: '" + service.name + "' stands twice");
        w.services.push_back(std::move(service));
    }
    std::set<std::pair<std::string, std::string>> places;
    for (const json& each : body.at("itineraries")) {
        Route route;
        route.label = each.value("label", "");
        route.database = each.at("hostname");
        route.service = each.at("depot");
        route.deadline_ms = whole(each, "deadline_ms", 0);
        route.target_ms = whole(each, "target_ms", route.deadline_ms / 4);
        route.staleness_ms = whole(each, "staleness_ms", 0);
        route.precedence = static_cast<int>(whole(each, "precedence", 0));
        route.tries = static_cast<int>(whole(each, "tries", 1));
        const std::string mode = each.value("mode", "head_office");
        route.mode = mode == "own" ? Mode::own : mode == "age_bounded" ? Mode::ageBounded : Mode::headOffice;
        const std::string place = "itineraries: '" + route.label + "' ('" + route.database + "')";
        if (!services.count(route.service))
            throw Invalid(place + " names an unknown depot '" + route.service + "'");
        if (!places.insert({route.database, each.value("path_prefix", "/")}).second)
            throw Invalid(place + " shares hostname and path_prefix with another");
        w.routes.push_back(std::move(route));
    }
    if (const auto limits = body.find("limits"); limits != body.end())
        w.txIdle_ms = whole(*limits, "tx_idle_ms", 0);
    std::sort(w.routes.begin(), w.routes.end(), [](auto& a, auto& b) { return a.database < b.database; });
    return w;
}

Configuration read(const std::string& text) {
    json body;
    try {
        body = json::parse(text);
    } catch (const json::parse_error& fault) {
        throw Invalid("not JSON, at byte " + std::to_string(fault.byte));
    }
    try {
        return read(body);
    } catch (const json::exception& fault) {
        throw Invalid(fault.what());
    }
}

const Route* Configuration::route(const std::string& database) const {
    const auto at = std::lower_bound(routes.begin(), routes.end(), database,
                                     [](const Route& r, const std::string& d) { return r.database < d; });
    return at != routes.end() && at->database == database ? &*at : nullptr;
}

const Service* Configuration::service(const std::string& name) const {
    for (const Service& each : services)
        if (each.name == name) return &each;
    return nullptr;
}

}  // namespace granitereel::configuration
