// Hosts many Fronts on the simulator's wire: a line of JSON in, a line of JSON out. It decodes, calls and
// encodes; it decides nothing.
#include <simdjson.h>

#include <cmath>
#include <iostream>
#include <map>
#include <stdexcept>

#include "reply.hpp"
#include "run/charter.hpp"

namespace granitereel::adapter {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

struct Instance {
    Reply reply;
    Nanoseconds origin = 0;
    bool stamps = false;
    std::unique_ptr<Router> front;
    std::string actions;
    bool inBatch = false;

    // What the actions so far add to the reply. A killed front's last actions are void with it.
    void collect() {
        std::string more = reply.drain();
        if (more.empty()) return;
        if (!actions.empty()) actions += ',';
        actions += more;
    }
};

struct Entry {
    std::string store;
    int group, zone;
    StoreState standing;
    Nanoseconds started;
    bool primary;
};

// The one thing that instances of a process share: the numbered inventories, as the wire defines them.
std::map<std::int64_t, std::vector<Entry>> inventories;
std::map<std::string, Instance, std::less<>> instances;

double numberOr(const object& in, std::string_view name, double otherwise) {
    auto value = present(in, name);
    return value ? double(*value) : otherwise;
}

std::string text(const object& in, std::string_view name) {
    return std::string(std::string_view(in[name]));
}

AttemptOutcome endingOf(std::string_view code) {
    static constexpr std::pair<char, AttemptOutcome> known[] = {
        {'S', AttemptOutcome::succeeded},   {'E', AttemptOutcome::error},
        {'F', AttemptOutcome::overloaded},  {'T', AttemptOutcome::timedOut},
        {'C', AttemptOutcome::unreachable}, {'R', AttemptOutcome::connectionLost},
        {'X', AttemptOutcome::cancelled},   {'N', AttemptOutcome::notSent},
        {'M', AttemptOutcome::notEligible}};
    if (code.size() == 1)
        for (const auto& [letter, ending] : known)
            if (letter == code[0]) return ending;
    throw Misread("unknown state-code '" + std::string(code) + "'");
}

StoreState standingOf(std::string_view condition) {
    if (condition == "up") return StoreState::up;
    if (condition == "draining") return StoreState::draining;
    if (condition == "removed") return StoreState::removed;
    throw Misread("unknown condition '" + std::string(condition) + "'");
}

void readInventory(const object& event) {
    std::vector<Entry> entries;
    for (element item : array(event["items"])) {
        const object from(item);
        entries.push_back({text(from, "store"), static_cast<int>(double(from["shard"])),
                           static_cast<int>(double(from["dc"])),
                           standingOf(std::string_view(from["condition"])),
                           nanosOf(numberOr(from, "since-ms", 0)), numberOr(from, "head", 0) == 1});
    }
    inventories[std::int64_t(event["ref"])] = std::move(entries);
}

void members(Router& front, const object& event) {
    const std::string_view how(event["how"]);
    if (how == "failed") return front.listFailed();
    if (how != "delta" && how != "full" && how != "cached")
        throw Misread("unknown list event '" + std::string(how) + "'");
    const auto inventory = inventories.find(std::int64_t(event["ref"]));
    if (inventory == inventories.end()) throw Misread("list event with an unknown ref");
    front.listBegins(how != "delta");
    for (const Entry& e : inventory->second)
        front.listEntry(e.store, e.group, e.zone, e.standing, e.started, e.primary);
    front.listEnds();
}

void gauge(const Instance& instance, const object& event) {
    const auto report = present(event, "gauge");
    if (!report) return;
    const object values(*report);
    std::optional<Nanoseconds> position;
    std::optional<bool> primary;
    if (auto x0 = present(values, "x0"))
        position = instance.origin + static_cast<Nanoseconds>(std::floor(double(*x0) * 1e9));
    if (auto x1 = present(values, "x1")) primary = double(*x1) >= 0.5;
    instance.front->storeReported(text(event, "store"), position, primary);
}

void outcome(const Instance& instance, const object& event) {
    const std::int64_t mark = present(event, "mark") ? std::int64_t(event["mark"]) : 0;
    std::optional<Nanoseconds> position;
    if (mark > 0 && (instance.stamps || mark / 4 > 0)) position = instance.origin + milliseconds(mark / 4);
    const Role role = mark % 4 == 1 ? Role::primary : mark % 4 == 2 ? Role::replica : Role::unknown;
    gauge(instance, event);
    instance.front->attemptEnded(text(event, "id"), static_cast<int>(std::int64_t(event["send-no"])),
                                 text(event, "store"), endingOf(std::string_view(event["state-code"])),
                                 nanosOf(double(event["delay-seen-ms"])), role, position,
                                 present(event, "finished") && bool(event["finished"]));
}

void create(Instance& instance, const object& event, Nanoseconds now) {
    const Opening opening = readCharter(object(event["params"]));
    instance.origin = opening.origin;
    instance.stamps = opening.stamps;
    const element seed = event["init-seed"];
    instance.front = std::make_unique<Router>(
        opening.charter, seed.is_uint64() ? std::uint64_t(seed) : std::uint64_t(std::int64_t(seed)), now,
        instance.reply);
}

void handle(Instance& instance, std::string_view name, const object& event, Nanoseconds now) {
    if (name == "Create") return create(instance, event, now);
    if (!instance.front) throw Misread("event for an instance that was not created");
    Router& front = *instance.front;
    front.setTime(now);
    if (name == "Order") {
        std::optional<Nanoseconds> sinceWrite;
        // 0 stands for a session that has written nothing.
        if (const double since = numberOr(event, "since-write-ms", 0); since > 0) sinceWrite = nanosOf(since);
        front.submit(text(event, "id"), static_cast<int>(std::int64_t(event["qos"])),
                     present(event, "user") ? text(event, "user") : std::string(),
                     nanosOf(double(event["expires-in-ms"])), static_cast<int>(double(event["cluster-no"])),
                     sinceWrite);
    } else if (name == "Outcome") {
        outcome(instance, event);
    } else if (name == "Timer") {
        front.timerFired(std::int64_t(event["handle"]));
    } else if (name == "Health") {
        gauge(instance, event);
        front.probeEnded(text(event, "store"), endingOf(std::string_view(event["state-code"])));
    } else if (name == "Members") {
        members(front, event);
    } else if (name == "Lapsed") {
        front.abandon(text(event, "id"));
    } else if (name == "Begun") {
        front.responseStarted(text(event, "id"));
    } else if (name != "Memo") {  // fronts say nothing to each other, so there is nothing to hear
        throw Misread("unknown event '" + std::string(name) + "'");
    }
}

std::string batch(const element& line) {
    const object from(line);
    const Nanoseconds now = nanosOf(double(from["ts-ms"]));
    const std::int64_t frame(from["frame"]);
    std::vector<std::pair<std::string, Instance*>> active;
    for (element item : array(from["parts"])) {
        const object part(item);
        const std::string id = text(part, "front-id");
        Instance& instance = instances[id];
        if (!instance.inBatch) {
            instance.inBatch = true;
            active.emplace_back(id, &instance);
        }
        for (element each : array(part["items"])) {
            const object event(each);
            const std::string_view name(event["t"]);
            if (name == "Inventory") {
                readInventory(event);
            } else if (name == "Detach") {
                instance.front.reset();
                instance.reply.drain();
                instance.actions.clear();
            } else {
                try {
                    handle(instance, name, event, now);
                } catch (const simdjson::simdjson_error&) {
                    throw;  // the message lacks something: the wire's fault, not the decisions'
                } catch (const Misread&) {
                    throw;
                } catch (const std::exception& fault) {
                    instance.reply.panic(fault.what());
                }
                instance.collect();
            }
        }
    }
    std::string reply = "{\"frame\":" + std::to_string(frame) + ",\"parts\":[";
    bool first = true;
    for (auto& [id, instance] : active) {
        instance->inBatch = false;
        if (instance->actions.empty()) continue;
        reply += first ? "{\"front-id\":" : ",{\"front-id\":";
        first = false;
        quote(reply, id);
        reply += ",\"out\":[" + instance->actions + "]}";
        instance->actions.clear();
    }
    return reply + "]}\n";
}

}  // namespace
}  // namespace granitereel::adapter

int main() {
    std::ios::sync_with_stdio(false);
    simdjson::dom::parser parser;
    std::string line;
    while (std::getline(std::cin, line)) {
        try {
            std::cout << granitereel::adapter::batch(parser.parse(line)) << std::flush;
        } catch (const std::exception& fault) {
            std::cerr << "granitereel_adapter: bad line: " << fault.what() << std::endl;
            return 2;
        }
    }
    return 0;
}
