#include "charter.hpp"

#include <cmath>
#include <stdexcept>

namespace granitereel {

using simdjson::dom::element;
using simdjson::dom::object;

Nanos nanosOf(double milliseconds) {
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
    Charter& charter = opening.charter;
    const object caps = part(settings, "caps"), domain = part(settings, "domain"),
                 guarantees = part(settings, "guarantees"), report = part(settings, "report");

    charter.front = static_cast<int>(number(settings, "me"));
    charter.fronts = static_cast<int>(number(settings, "siblings", 1));
    charter.zone = static_cast<int>(number(settings, "az"));
    charter.tick = nanosOf(number(settings, "tick-ms"));
    charter.mustAsk = word(settings, "membership-mode") == "ask";

    charter.launchLimit = static_cast<int>(number(caps, "try-limit", 1));
    charter.mayProbe = mark(caps, "probes");
    charter.mayCancel = mark(caps, "cancel");
    opening.mayTell = mark(caps, "may-tell");
    charter.adviceHeard = mark(caps, "retry-after");
    charter.longestAdvice = nanosOf(number(caps, "max-retry-after-ms"));

    charter.askWithin = nanosOf(number(guarantees, "ask-within-ms"));
    charter.coldTime = nanosOf(number(guarantees, "ramp-time-ms"));
    charter.coldFrom = number(guarantees, "cold-from", 1);
    charter.fallMultiple = number(guarantees, "fall-multiple", 1);
    if (const auto charges = present(settings, "charges"))
        charter.crossingCost = number(object(*charges), "cross-zone");
    charter.onlyDrainingBinds = mark(guarantees, "drain-binds-alone");

    // Zero would mean that no connection is ever in time; a second is what most clients of stores allow.
    opening.connectWithin = nanosOf(number(caps, "connect-timeout-ms", 1000));
    opening.idleLimit = nanosOf(number(caps, "idle-close-ms"));

    charter.storesCheck = word(domain, "guards") != "off";
    charter.catchUpWait = nanosOf(number(domain, "catch-up-wait-ms"));
    charter.marksKept = word(domain, "session-marks") == "kept";
    if (word(report, "how") != "off" && present(report, "fields"))
        for (element field : simdjson::dom::array(report["fields"])) {
            if (std::string_view(field) == "x1") charter.reportsTellRole = true;
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
        Lane lane;
        lane.name = word(from, "name");
        lane.need = named<Need>(std::string_view(needs.at(at)),
                                {{"eventual", Need::any},
                                 {"lag_bound", Need::bounded},
                                 {"causal", Need::session},
                                 {"strong", Need::fresh},
                                 {"mutate", Need::write}},
                                "read level");
        lane.effect = named<Effect>(
            word(from, "effect"),
            {{"repeatable", Effect::harmless}, {"by_key", Effect::stamped}, {"once", Effect::oneShot}},
            "effect");
        const std::string_view reach = word(from, "group");
        lane.reach = reach == "all" ? Reach::everywhere : reach == "zone" ? Reach::zone : Reach::group;
        lane.gain = double(from["worth"]);
        lane.lateShare = number(from, "late-value");
        lane.goalTime = nanosOf(double(from["aim-ms"]));
        lane.cutOff = nanosOf(number(from, "hard-limit-ms"));
        lane.window = nanosOf(number(from, "window-ms"));
        if (bounds) lane.bound = nanosOf(double(simdjson::dom::array(*bounds).at(at)));
        charter.lanes.push_back(std::move(lane));
        ++at;
    }
    return opening;
}

}  // namespace granitereel
