#include "charter.hpp"

#include <cmath>
#include <stdexcept>

namespace granitereel {

using simdjson::dom::element;
using simdjson::dom::object;

Nanoseconds nanosOf(double milliseconds) {
    return std::llround(milliseconds * 1e6);
}

std::optional<element> present(const object& in, std::string_view name) {
    auto found = in[name];
    if (found.error() || found.value_unsafe().is_null()) return {};
    return found.value_unsafe();
}

namespace {

double number(const object& in, std::string_view name, double otherwise = 0) {
    auto value = present(in, name);
    return value ? double(*value) : otherwise;
}

bool mark(const object& in, std::string_view name) {
    auto value = present(in, name);
    return value && bool(*value);
}

std::string_view word(const object& in, std::string_view name) {
    auto value = present(in, name);
    return value ? std::string_view(*value) : std::string_view();
}

object part(const object& in, std::string_view name) {
    return object(in[name]);
}

template <class T>
T named(std::string_view text, std::initializer_list<std::pair<std::string_view, T>> known,
        std::string_view what) {
    for (const auto& [name, value] : known)
        if (name == text) return value;
    throw Misread("settings: unknown " + std::string(what) + " '" + std::string(text) + "'");
}

}  // namespace

Opening readCharter(const object& settings) {
    Opening opening;
    RoutingConfig& charter = opening.charter;
    const object caps = part(settings, "caps"), domain = part(settings, "domain"),
                 guarantees = part(settings, "guarantees"), report = part(settings, "report");

    charter.proxyIndex = static_cast<int>(number(settings, "me"));
    charter.proxyCount = static_cast<int>(number(settings, "siblings", 1));
    charter.zone = static_cast<int>(number(settings, "az"));
    charter.tick = nanosOf(number(settings, "tick-ms"));
    charter.listMustBeRequested = word(settings, "membership-mode") == "ask";

    charter.maxAttempts = static_cast<int>(number(caps, "try-limit", 1));
    charter.probesAllowed = mark(caps, "probes");
    charter.cancelAllowed = mark(caps, "cancel");
    opening.mayTell = mark(caps, "may-tell");
    charter.clientsHonorRetryAfter = mark(caps, "retry-after");
    charter.maxRetryAfter = nanosOf(number(caps, "max-retry-after-ms"));

    charter.listMaxAge = nanosOf(number(guarantees, "ask-within-ms"));
    charter.warmUpTime = nanosOf(number(guarantees, "ramp-time-ms"));
    charter.coldCapacityShare = number(guarantees, "cold-from", 1);
    charter.overloadMultiple = number(guarantees, "fall-multiple", 1);
    if (const auto charges = present(settings, "charges"))
        charter.crossZoneCost = number(object(*charges), "cross-zone");
    charter.onlyDrainingIsBinding = mark(guarantees, "drain-binds-alone");

    // Zero would mean that no connection is ever in time; a second is what most clients of stores allow.
    opening.connectWithin = nanosOf(number(caps, "connect-timeout-ms", 1000));
    opening.idleLimit = nanosOf(number(caps, "idle-close-ms"));

    charter.storesCheckFreshness = word(domain, "guards") != "off";
    charter.catchUpTimeout = nanosOf(number(domain, "catch-up-wait-ms"));
    charter.sessionWritesTracked = word(domain, "session-marks") == "kept";
    if (word(report, "how") != "off" && present(report, "fields"))
        for (element field : simdjson::dom::array(report["fields"])) {
            if (std::string_view(field) == "x1") charter.reportsIncludeRole = true;
            opening.storesReport = true;
        }
    opening.origin = nanosOf(number(domain, "origin-time-ms"));
    opening.stamps = mark(domain, "stamps");

    for (element zone : simdjson::dom::array(settings["azs"]))
        opening.zones.emplace_back(std::string_view(zone));

    const auto needs = simdjson::dom::array(domain["read-level"]);
    const auto bounds = present(domain, "max-age-ms");
    std::size_t at = 0;
    for (element item : simdjson::dom::array(settings["classes"])) {
        const object from(item);
        TransactionClass transactionClass;
        transactionClass.name = word(from, "name");
        transactionClass.consistency = named<Consistency>(std::string_view(needs.at(at)),
                                                          {{"eventual", Consistency::eventual},
                                                           {"lag_bound", Consistency::bounded},
                                                           {"causal", Consistency::session},
                                                           {"strong", Consistency::strong},
                                                           {"mutate", Consistency::write}},
                                                          "read level");
        transactionClass.retrySafety = named<RetrySafety>(word(from, "effect"),
                                                          {{"repeatable", RetrySafety::idempotent},
                                                           {"by_key", RetrySafety::deduplicated},
                                                           {"once", RetrySafety::unsafe}},
                                                          "effect");
        const std::string_view reach = word(from, "group");
        transactionClass.deduplicationScope = reach == "all"    ? DeduplicationScope::global
                                              : reach == "zone" ? DeduplicationScope::zone
                                                                : DeduplicationScope::group;
        transactionClass.value = double(from["worth"]);
        transactionClass.lateValueShare = number(from, "late-value");
        transactionClass.targetLatency = nanosOf(double(from["aim-ms"]));
        transactionClass.timeout = nanosOf(number(from, "hard-limit-ms"));
        transactionClass.deduplicationWindow = nanosOf(number(from, "window-ms"));
        if (bounds) transactionClass.maxStaleness = nanosOf(double(simdjson::dom::array(*bounds).at(at)));
        charter.classes.push_back(std::move(transactionClass));
        ++at;
    }
    return opening;
}

}  // namespace granitereel
