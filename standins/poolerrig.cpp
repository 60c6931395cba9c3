#include "poolerrig.hpp"

namespace granitereel::standins {

using nlohmann::json;
using proxy::CloseClient;
using proxy::CloseStoreConnection;
using proxy::OpenStoreConnection;
using proxy::SendToAgent;
using proxy::SendToClient;
using proxy::SendToStore;

namespace {
settings::Settings settings() {
    settings::Settings s;
    s.station = "proxy-1";
    s.district = "here";
    s.drain_ms = 7000;
    s.shutdownGrace_ms = 6000;
    return s;
}
}  // namespace

PoolerRig::PoolerRig(int stores, int sync, bool leased) : databases("svc", stores, sync), leases(leased) {
    pooler = std::make_unique<proxy::Pooler>(settings(), 7, now);
    pooler->onAgentConnected(now);
    config(1);
    for (const std::string& store : databases.names()) standing(store, "accepting");
    lead(databases.lead());
    carry();
    pass(milliseconds(1));
}

void PoolerRig::config(std::uint64_t edition, bool bounded) {
    json routes = json::array();
    auto route = [&](const char* name, const char* mode, int staleness) {
        routes.push_back({{"label", name},
                          {"hostname", name},
                          {"path_prefix", "/"},
                          {"mode", mode},
                          {"depot", "svc"},
                          {"deadline_ms", 1000},
                          {"target_ms", 200},
                          {"precedence", 1},
                          {"tries", 2},
                          {"staleness_ms", staleness}});
    };
    route("primary", "head_office", 0);
    if (bounded) route("bounded", "age_bounded", 1500);
    route("mine", "own", 2500);
    pooler->onAgentMessage({{"k", "news"},
                            {"r",
                             {{{"n", "config"},
                               {"v", {edition, 0}},
                               {"b",
                                {{"edition", edition},
                                 {"itineraries", routes},
                                 {"depots", {{{"label", "svc"}, {"berth_cap", 40}, {"sync_replicas", 1}}}},
                                 {"limits", {{"tx_idle_ms", 3000}}}}}}}}},
                           now);
    carry();
}

void PoolerRig::standing(const std::string& store, const std::string& standing, const std::string& role,
                         const std::string& address) {
    json body{{"service", "svc"},
              {"address", address.empty() ? store : address},
              {"district", "here"},
              {"standing", standing},
              {"role", role.empty() ? databases.roleOf(store) : role}};
    if (standing.empty()) body = nullptr;
    pooler->onAgentMessage(
        {{"k", "news"}, {"r", {{{"n", "store/" + store}, {"v", {++version_, 0}}, {"b", body}}}}}, now);
    carry();
}

void PoolerRig::lead(const std::string& store, bool steady, const std::string& retained) {
    ++seq_;
    json body{{"store", store}, {"term", databases.term()}, {"seq", seq_}, {"steady", steady}};
    if (!retained.empty()) body["retained"] = retained;
    if (replicasOnRecord) {
        std::set<std::string> replicas;
        for (const std::string& name : databases.names())
            if (name != store) replicas.insert(name);
        body["replicas"] = replicas;
    }
    pooler->onAgentMessage({{"k", "news"}, {"r", {{{"n", "lead/svc"}, {"v", {seq_, 0}}, {"b", body}}}}}, now);
    carry();
}

int PoolerRig::client(const std::string& database) {
    const int no = ++lastClient_;
    pooler->onClientConnected(no, now);
    say(no, "GREET " + database + " u");
    return no;
}

void PoolerRig::say(int client, const std::string& line) {
    pooler->onClientLine(client, line, now);
    carry();
}

void PoolerRig::leave(int client) {
    pooler->onClientDisconnected(client, now);
    carry();
}

std::vector<std::string> PoolerRig::told(int client) {
    std::vector<std::string> lines;
    std::string all = std::exchange(said_[client], {});
    for (std::size_t cut; (cut = all.find("\r\n")) != all.npos; all.erase(0, cut + 2))
        lines.push_back(all.substr(0, cut));
    return lines;
}

void PoolerRig::carry() {
    for (auto outputs = pooler->takeOutputs(); !outputs.empty(); outputs = pooler->takeOutputs())
        for (auto& output : outputs) {
            if (auto* out = std::get_if<SendToClient>(&output)) said_[out->client] += out->bytes;
            if (auto* out = std::get_if<CloseClient>(&output)) ended_.insert(out->client);
            if (auto* out = std::get_if<OpenStoreConnection>(&output)) {
                lines_[out->connection] = {out->address, 0, {}};
                opening_.push_back(out->connection);
            }
            if (auto* out = std::get_if<SendToStore>(&output)) {
                const auto at = lines_.find(out->connection);
                if (at != lines_.end())
                    at->second.requests.push_back(out->bytes.substr(0, out->bytes.size() - 2));
            }
            if (auto* out = std::get_if<CloseStoreConnection>(&output)) {
                const auto at = lines_.find(out->connection);
                if (at == lines_.end()) continue;
                // What was on its way still arrives; its answer reaches nobody.
                for (const std::string& request : at->second.requests)
                    if (at->second.connection) databases.said(at->second.connection, request);
                if (at->second.connection) databases.closed(at->second.connection);
                lines_.erase(at);
            }
            if (auto* out = std::get_if<SendToAgent>(&output)) {
                toCourier.push_back(out->message);
                // This agent holds nothing but what the rig tells.
                if (exchanges && out->message.value("k", "") == gossip::Inventory::kind)
                    pooler->onAgentMessage(gossip::ExchangeComplete{out->message.at("exchange"), 0}.toJson(),
                                           now);
                if (leases && out->message.value("k", "") == "lease?")
                    pooler->onAgentMessage(
                        {{"k", "lease"}, {"t", out->message["t"]}, {"left", 700'000}, {"c", json::object()}},
                        now);
            }
        }
}

bool PoolerRig::step() {
    if (!opening_.empty()) {
        const int no = opening_.front();
        opening_.pop_front();
        if (!lines_.count(no)) return true;
        lines_[no].connection = databases.connect(lines_[no].store);
        pooler->onStoreConnected(no, now);
        carry();
        return true;
    }
    for (auto& [no, line] : lines_) {
        if (line.requests.empty()) continue;
        const std::string request = line.requests.front();
        line.requests.pop_front();
        const Fault how = fault ? fault(line.store, request) : Fault();
        std::optional<std::string> answer;
        if (!how.refusal.empty()) {
            answer = databases.refusal(line.connection, how.refusal);
        } else if (how.arrives) {
            requests.push_back(request);
            answer = databases.said(line.connection, request);
        }
        if (how.answer) answer = how.answer;
        const int from = no;  // the line may be gone after the answer
        if (answer) {
            const std::string through = answer->substr(0, how.bytes);
            if (holdsAnswers)
                heldAnswers_.emplace_back(from, through);
            else
                storeSays(from, through);
        }
        if (how.cut) cut(from);
        carry();
        return true;
    }
    return false;
}

void PoolerRig::run(Nanoseconds time) {
    for (const Nanoseconds until = now + time;;) {
        while (step()) {
        }
        if (now >= until) return;
        now += milliseconds(5);
        pooler->tick(now);
        carry();
    }
}

std::vector<std::string> PoolerRig::ask(int client, const std::string& line) {
    say(client, line);
    std::vector<std::string> all = told(client);
    for (int i = 0; i < 800 && (all.empty() || !all.back().starts_with("READY")); ++i) {
        run(milliseconds(5));
        for (std::string& each : told(client)) all.push_back(std::move(each));
    }
    return all;
}

void PoolerRig::pass(Nanoseconds time) {
    for (const Nanoseconds until = now + time; now < until;) {
        now = std::min(now + milliseconds(20), until);
        pooler->tick(now);
        carry();
    }
}

void PoolerRig::storeSays(int line, std::string bytes) {
    for (std::size_t end; (end = bytes.find("\r\n")) != bytes.npos; bytes.erase(0, end + 2))
        pooler->onStoreLine(line, bytes.substr(0, end), now);
    carry();
}

void PoolerRig::deliver() {
    for (const auto& [line, bytes] : std::exchange(heldAnswers_, {})) storeSays(line, bytes);
}

std::vector<int> PoolerRig::linesTo(const std::string& store) const {
    std::vector<int> found;
    for (const auto& [no, line] : lines_)
        if (line.store == store) found.push_back(no);
    return found;
}

void PoolerRig::cutAll(const std::string& store) {
    for (const int no : linesTo(store)) cut(no);
}

void PoolerRig::cut(int no) {
    const auto at = lines_.find(no);
    if (at == lines_.end()) return;
    if (at->second.connection) databases.closed(at->second.connection);
    lines_.erase(at);
    pooler->onStoreDisconnected(no, false, now);
    carry();
}

}  // namespace granitereel::standins
