#include "databases.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace granitereel::standins {

Databases::Databases(std::string service, int stores, int sync)
    : service_(std::move(service)), lead_("s0"), sync_(sync) {
    for (int i = 0; i < stores; ++i) stores_["s" + std::to_string(i)];
}

std::vector<std::string> Databases::names() const {
    std::vector<std::string> all;
    for (const auto& [name, store] : stores_) all.push_back(name);
    return all;
}

int Databases::connect(const std::string& store) {
    connections_[++lastConnection_].store = store;
    return lastConnection_;
}

void Databases::closed(int connection) {
    connections_.erase(connection);
}

void Databases::slow(const std::string& store, bool on) {
    stores_.at(store).slow = on;
    replicate();
}

void Databases::leaves(const std::string& store) {
    left_[store] = stores_.at(store);
    stores_.erase(store);
    std::erase_if(connections_, [&](const auto& each) { return each.second.store == store; });
}

void Databases::logPassesTo(const std::string& left, const std::string& store) {
    Store& made = stores_[store];
    made.log = std::move(left_.at(left).log);
    left_.erase(left);
    replicate();
}

void Databases::renamed(const std::string& store, const std::string& to) {
    auto kept = stores_.extract(store);
    kept.key() = to;
    kept.mapped().dark = false;
    kept.mapped().paused = 0;
    stores_.insert(std::move(kept));
    if (lead_ == store) lead_ = to;
    std::erase_if(connections_, [&](const auto& each) { return each.second.store == store; });
    replicate();
}

void Databases::restarted(const std::string& store) {
    stores_.at(store).paused = 0;
    std::erase_if(connections_, [&](const auto& each) { return each.second.store == store; });
    replicate();
}

void Databases::joins(const std::string& store) {
    stores_[store];
    replicate();
}

void Databases::replicate() {
    const std::vector<Entry>& source = stores_.at(lead_).log;
    for (auto& [name, store] : stores_) {
        if (name != lead_ && !store.deaf && !store.dark && !store.paused) store.log = source;
        if (!store.slow) store.applied = store.log.size();
    }
}

bool Databases::promote(const std::string& store) {
    if (store == lead_) return true;
    if (stores_.at(store).dark) return false;
    lead_ = store;
    ++term_;
    for (auto& [name, each] : stores_) each.paused = 0;
    next_ = stores_.at(store).log.empty() ? 1 : stores_.at(store).log.back().at.number + 1;
    replicate();
    return true;
}

std::string Databases::ready(const Connection& c) const {
    const Store& store = stores_.at(c.store);
    const LogPosition mark = store.applied ? store.log[store.applied - 1].at : LogPosition{1, 0};
    return std::string("READY ") + (c.failed ? "E" : c.tx ? "T" : "I") + " " + toString(mark) + "\r\n";
}

std::string Databases::failed(Connection& c, const std::string& error) {
    if (c.tx) c.failed = true;
    return "ERROR " + error + " " + c.store + "\r\n" + ready(c);
}

std::string Databases::stamped(const char* kind, const std::string& id) {
    const std::string stamp = kind + std::to_string(++stamp_);
    stamps_[stamp] = id;
    return "DONE " + stamp + "\r\n";
}

std::string Databases::stampedFor(const std::string& stamp) const {
    const auto found = stamps_.find(stamp);
    return found == stamps_.end() ? "" : found->second;
}

std::optional<std::string> Databases::commit(Connection& c, const std::string& id) {
    Store& store = stores_.at(c.store);
    const bool writes = !c.writes.empty();
    if (writes) {
        store.log.push_back({{term_, next_++}, std::exchange(c.writes, {})});
        replicate();
        int received = 0;
        for (const auto& [name, each] : stores_)
            received += name != c.store && each.log.size() >= store.log.size();
        if (received < sync_) return std::nullopt;  // waits for a replica
    }
    return stamped("stamp", id);
}

std::optional<std::string> Databases::said(int connection, const std::string& line) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return std::nullopt;
    Connection& c = found->second;
    Store& store = stores_.at(c.store);
    if (store.dark) return std::nullopt;
    std::istringstream in(line);
    std::string word, id, text;
    in >> word;
    if (word == "GREET") {
        std::string service, who, expected;
        in >> service >> who >> expected;
        if (service != service_ || (!expected.empty() && expected != c.store))
            return "ERROR MISSENT " + c.store + "\r\n";
        c.greeted = true;
        return ready(c);
    }
    if (word != "QUERY") return std::nullopt;
    in >> id >> word;
    std::optional<LogPosition> after;
    if (word == "AFTER") {
        in >> text >> word;
        after = parseLogPosition(text);
    }
    std::string rest;
    std::getline(in, rest);
    if (!rest.empty()) rest.erase(0, 1);
    const bool leads = c.store == lead_;
    if (c.failed && word != "ABORT" && word != "COMMIT") return failed(c, "MALFORMED");
    if (id != "-") {
        ran_[id].insert(std::to_string(connection));
        const bool executes = word == "EXECUTE";
        const auto shape = c.prepared.find(executes ? rest.substr(0, rest.find(' ')) : "");
        runs_.push_back({connection, c.tx ? c.transaction : 0, id, word + " " + rest,
                         shape == c.prepared.end() ? "" : shape->second, c.values});
    }
    bool lost = false;
    auto done = [&](const std::string& rows = "DONE -\r\n") -> std::optional<std::string> {
        if (lost) return std::nullopt;
        return rows + ready(c);
    };
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        if (word == "PAUSE") {
            const std::uint64_t at = std::stoull(rest);
            if (leads || at <= std::max(term_, store.paused)) return failed(c, "MALFORMED");
            store.paused = at;
        }
        if (word == "RESUME") {
            store.paused = 0;
            replicate();
        }
        const LogPosition received = store.log.empty() ? LogPosition{1, 0} : store.log.back().at;
        return "ROW " + roleOf(c.store) + " " + std::to_string(term_) + " " + toString(received) + " " +
               std::to_string(store.paused) + " 0 0 1\r\nDONE -\r\n" + ready(c);
    }
    if (word == "SET") {
        const auto cut = rest.find(' ');
        c.values[rest.substr(0, cut)] = cut == rest.npos ? "" : rest.substr(cut + 1);
        return done();
    }
    if (word == "RESET") {
        c.values.clear();
        c.prepared.clear();
        return done();
    }
    if (word == "PARSE") {
        const auto cut = rest.find(' ');
        c.prepared[rest.substr(0, cut)] = rest.substr(cut + 1);
        return done();
    }
    if (word == "BEGIN") {
        if (after && (store.applied == 0 ? LogPosition{1, 0} : store.log[store.applied - 1].at) < *after)
            return failed(c, "LAGGING");
        if (rest.empty() && !leads) return failed(c, "READONLY");
        c.tx = true;
        c.plain = rest.empty();
        c.txTerm = term_;
        c.transaction = ++lastTransaction_;
        return done();
    }
    if (const std::string error = std::exchange(store.refuses, {}); !error.empty()) return failed(c, error);
    lost = std::exchange(store.loses, false);
    if (word == "ABORT") {
        c.tx = c.failed = false;
        c.writes.clear();
        return done();
    }
    if (c.tx && c.plain && (!leads || c.txTerm != term_) && !(word == "COMMIT" && c.writes.empty()))
        return failed(c, "READONLY");
    if (word == "COMMIT") {
        if (c.failed) {
            c.tx = c.failed = false;
            c.writes.clear();
            return failed(c, "ABORTED");
        }
        auto answer = commit(c, id);
        c.tx = false;
        if (!answer || lost) return std::nullopt;
        return *answer + ready(c);
    }
    bool writes = word == "WRITE";
    if (word == "EXECUTE") {
        std::istringstream fields(rest);
        std::string name;
        fields >> name;
        const auto shape = c.prepared.find(name);
        if (shape == c.prepared.end()) return failed(c, "UNKNOWN");
        writes = shape->second.starts_with("WRITE");
    } else if (word != "READ" && word != "WRITE") {
        return failed(c, "MALFORMED");
    }
    if (after && (store.applied == 0 ? LogPosition{1, 0} : store.log[store.applied - 1].at) < *after)
        return failed(c, "LAGGING");
    if (writes) {
        if (!leads || (c.tx && !c.plain)) return failed(c, "READONLY");
        c.writes.push_back(id);
        if (!c.tx) {
            auto answer = commit(c, id);
            if (!answer || lost) return std::nullopt;
            return *answer + ready(c);
        }
        return done(stamped("w", id));
    }
    // A read names what it sees: how many writes, and under which values.
    std::string rows = "ROW " + std::to_string(store.applied);
    for (const auto& [name, value] : c.values) rows += " " + name + "=" + value;
    return done(rows + "\r\n" + stamped("r", id));
}

int Databases::effects(const std::string& write) const {
    int found = 0;
    for (const Entry& entry : stores_.at(lead_).log)
        found += static_cast<int>(std::count(entry.writes.begin(), entry.writes.end(), write));
    return found;
}

std::set<std::string> Databases::ranOn(const std::string& id) const {
    const auto found = ran_.find(id);
    return found == ran_.end() ? std::set<std::string>() : found->second;
}

}  // namespace granitereel::standins
