#include "proxy/pooler.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::proxy {

namespace {
using Kind = Statement::Kind;
// Among tries that nothing ran of: enough to pass a store that lags, one that has lost the lead and one that
// is full.
constexpr int launchLimit = 8;
// A client that must come back is told to do so after this.
constexpr int comeBack_ms = 100;
constexpr Nanos leaseAskEvery = millis(200);
constexpr Nanos sweepEvery = millis(50);
// A lead that is asked and says nothing for so long is told to control, again after as long.
constexpr Nanos silent = millis(250);
// Until the platform has stopped sending new connections: two ready probes a second apart, and some.
constexpr Nanos leftAfter = millis(2200);
constexpr Nanos idleLine = millis(25'000);
constexpr std::size_t queuedMost = 1 << 20;

Charter charterOf(const settings::Settings& settings, int zone) {
    Charter charter;
    // Pools are dealt rotated by a number of the front's own.
    charter.front = static_cast<int>(std::hash<std::string>()(settings.station) % 1024);
    charter.zone = zone;
    charter.launchLimit = launchLimit;
    charter.mayProbe = charter.mayCancel = charter.adviceHeard = true;
    charter.longestAdvice = millis(10 * comeBack_ms);
    charter.tick = millis(1);
    charter.crossingCost = 0.01;
    charter.nearAnyTier = true;
    charter.holdShare = 0.45;  // the way to the client counts, too
    return charter;
}
}  // namespace

Pooler::Pooler(const settings::Settings& settings, std::uint64_t seed, Nanos now)
    : settings_(settings),
      now_(now),
      gossip_([this](int, Json message) { outputs_.push_back(ToAgent{std::move(message)}); },
              [this](const std::string& name, const board::Record& record) { news(name, record); }),
      front_(charterOf(settings, 0), seed, now, *this) {
    districts_[settings.district] = 0;
}

Pooler::~Pooler() = default;

void Pooler::begin(Nanos now) {
    now_ = now;
    front_.clock(now);
}

// What the module asked for while it was told something is done behind it.
void Pooler::settle() {
    for (;;) {
        if (!cancels_.empty()) {
            auto [key, no] = std::move(cancels_.front());
            cancels_.pop_front();
            const auto at = byKey_.find(key);
            if (at == byKey_.end()) continue;
            Session& s = *at->second;
            if (!s.op || s.op->launches - 1 != no || !s.op->store) continue;
            Store& store = *s.op->store;
            if (Line* line = s.op->line) {
                line->user = nullptr;
                line->abandonedAt = now_;
                if (s.line == line) s.line = nullptr;
            } else {
                unwait(s);
            }
            s.op->line = nullptr;
            s.op->store = nullptr;
            s.op->sent = s.op->preluding = false;
            report(key, no, store, Ending::cancelled, s.op->launchedAt, {}, false);
        } else if (!launches_.empty()) {
            auto [key, store] = std::move(launches_.front());
            launches_.pop_front();
            const auto at = byKey_.find(key);
            if (at != byKey_.end()) place(*at->second, store);
        } else if (!probes_.empty()) {
            const std::string id = std::move(probes_.front());
            probes_.pop_front();
            const auto at = stores_.find(id);
            if (at == stores_.end()) {
                front_.probed(id, Ending::unreachable);
                continue;
            }
            Store& store = *at->second;
            // Where the module would ask how fresh a replica is: the next read finds out, as it goes behind a
            // position that the store itself checks. Only one that may be away is tried, by a connection.
            const bool open = std::any_of(lines_.begin(), lines_.end(), [&](auto& each) {
                return each.second->store == &store && each.second->open && !each.second->dead;
            });
            if (open && now_ - store.suspectedAt > millis(1000)) {
                if (const auto newest = store.service->horizon.newest()) front_.reported(id, *newest, {});
                front_.probed(id, Ending::delivered);
            } else if (!store.probing) {
                store.probing = true;
                openLine(store, true);
            }
        } else if (!woken_.empty()) {
            const int client = woken_.front();
            woken_.pop_front();
            const auto at = sessions_.find(client);
            if (at != sessions_.end()) proceed(*at->second);
        } else {
            break;
        }
    }
    for (const int no : buried_) lines_.erase(no);
    buried_.clear();
}

// ---- what is known --------------------------------------------------------------------------------

Pooler::Service& Pooler::service(const std::string& name) {
    auto& slot = services_[name];
    if (!slot) {
        slot = std::make_unique<Service>();
        slot->name = name;
        slot->group = static_cast<int>(services_.size());
        byGroup_[slot->group] = slot.get();
    }
    return *slot;
}

void Pooler::news(const std::string& name, const board::Record& record) {
    if (name == "config") {
        configNews(record.body);
    } else if (name.starts_with("store/")) {
        storeNews(name.substr(6), record.body);
    } else if (name.starts_with("lead/")) {
        leadNews(name.substr(5), record.body);
    } else if (name.starts_with("front/")) {
        int fronts = 0;
        gossip_.board().under("front/", [&](auto&, const board::Record& r) { fronts += r.body.is_object(); });
        fronts_ = std::max(1, fronts);
        front_.present(fronts_);
    }
}

void Pooler::configNews(const Json& body) {
    // Of what stands on the board only higher versions come here; what was once in force is never gone back
    // from.
    configuration_ = configuration::read(body);
    configured_ = true;
    for (const configuration::Service& each : configuration_.services)
        service(each.name).berthCap = each.berthCap;
    outputs_.push_back(ToLog{"configuration " + std::to_string(configuration_.edition) + " in force"});
}

void Pooler::storeNews(const std::string& id, const Json& body) {
    auto at = stores_.find(id);
    if (body.is_null()) {
        if (at == stores_.end()) return;
        at->second->gone = true;
        standing(*at->second);
        for (const int no : std::set<int>(at->second->idle)) drop(*lines_.at(no));
        return;
    }
    if (at == stores_.end()) {
        at = stores_.emplace(id, std::make_unique<Store>()).first;
        at->second->id = id;
    }
    Store& store = *at->second;
    Service& of = service(body.at("service"));
    const std::string address = body.at("address");
    if (store.address != address)
        for (const int no : std::set<int>(store.idle)) drop(*lines_.at(no));
    store.address = address;
    store.district = body.value("district", "");
    store.role = body.value("role", "");
    store.standing = body.value("standing", "");
    store.gone = false;
    store.service = &of;
    of.stores[id] = &store;
    if (store.standing == "accepting")
        store.windingSince = 0;
    else if (!store.windingSince)
        store.windingSince = now_;
    standing(store);
}

// A primary that winds down leads until its successor does, for as long as it may be used at all.
void Pooler::standing(Store& store) {
    Service& of = *store.service;
    Standing to = store.gone ? Standing::removed : store.windingSince ? Standing::draining : Standing::up;
    if (to == Standing::draining && of.lead == store.id &&
        now_ - store.windingSince < millis(settings_.drain_ms - 1500))
        to = Standing::up;
    const int zone =
        districts_.try_emplace(store.district, static_cast<int>(districts_.size())).first->second;
    front_.listBegins(false);
    front_.listEntry(store.id, of.group, zone, to, 0, false);
    front_.listEnds();
    front_.leads(of.group, of.lead);
}

void Pooler::leadNews(const std::string& name, const Json& body) {
    if (!body.is_object()) return;
    Service& of = service(name);
    const std::string before = std::exchange(of.lead, body.at("store").get<std::string>());
    of.term = body.at("term");
    of.seq = body.at("seq");
    of.steady = body.at("steady");
    if (before == of.lead) return;
    front_.leads(of.group, of.lead);
    for (auto& [id, store] : of.stores)
        if (store->windingSince) standing(*store);
    outputs_.push_back(ToLog{name + " is led by " + of.lead + " in term " + std::to_string(of.term)});
    // Whatever of ours is open at the old lead ends there: its plain transactions can't go on, and what it
    // was asked to commit it will not answer for.
    std::vector<Line*> old;
    for (auto& [no, line] : lines_)
        if (line->store->id == before && !before.empty() && line->user && !line->dead) {
            const Session& s = *line->user;
            const bool plain = s.tx ? !s.tx->readOnly : s.op && s.op->writes;
            if (plain) old.push_back(line.get());
        }
    for (Line* line : old) {
        Session* s = line->user;
        drop(*line);
        if (s) lost(*s, *line);
    }
    // What only waited for a connection there goes to the next lead at once.
    const auto at = of.stores.find(before);
    if (at == of.stores.end()) return;
    for (const int client : std::exchange(at->second->waiting, {})) {
        const auto who = sessions_.find(client);
        if (who == sessions_.end() || !who->second->op || who->second->op->store != at->second) continue;
        Op& op = *who->second->op;
        report(op.key, op.launches - 1, *at->second, Ending::unsent, op.launchedAt, {}, false);
    }
}

bool Pooler::provable(const Service& of) const {
    const auto markUnsettled = unsettledLeads_.find(of.name);
    return of.steady && now_ < leaseUntil_ &&
           (markUnsettled == unsettledLeads_.end() || markUnsettled->second <= of.seq);
}

int Pooler::share(const Service& of) const {
    // Some are left to control, which asks stores how they are.
    return of.berthCap == 0 ? 64 : std::max(1, (of.berthCap - 2) / fronts_);
}

void Pooler::agentUp(Nanos now) {
    begin(now);
    agent_ = true;
    askedAt_ = 0;
    gossip_.advance(now, now < leaseUntil_);
    gossip_.join(1, board::Side::dialler);
    settle();
}

void Pooler::agentDown() {
    agent_ = false;
    gossip_.leave(1);
    leaseAsks_.clear();
}

void Pooler::agentSaid(const Json& message, Nanos now) {
    begin(now);
    const std::string kind = message.at("k");
    gossip_.advance(now, now < leaseUntil_);
    if (board::isGossip(kind)) {
        gossip_.heard(1, message);
    } else if (kind == "lease") {
        const auto asked = leaseAsks_.find(message.at("t").get<std::uint64_t>());
        if (asked != leaseAsks_.end()) {
            const Nanos left = message.at("left").get<std::int64_t>() * 1000;
            // A lease counts only once all is here that the agent held when it gave it. The longer lease's
            // word holds on which leads may change; what a shorter one, or none, says of that is added.
            const bool longer = gossip_.complete(1) && left > 0 && asked->second + left >= leaseUntil_;
            if (longer) {
                leaseUntil_ = asked->second + left;
                unsettledLeads_.clear();
            }
            leaseAsks_.erase(leaseAsks_.begin(), std::next(asked));
            for (const auto& [name, seq] : message.at("c").items()) {
                std::uint64_t& known = unsettledLeads_[name];
                known = std::max(known, seq.get<std::uint64_t>());
            }
        }
    }
    settle();
}

bool Pooler::ready() const {
    return configured_ && !stores_.empty() && !leaving_;
}

void Pooler::leave(Nanos now) {
    begin(now);
    if (!leaving_) leftAt_ = now;
    leaving_ = true;
}

void Pooler::suspect(Store& store, const char* why) {
    if (!store.service || store.service->lead != store.id || now_ - store.suspectedAt < silent) return;
    store.suspectedAt = now_;
    if (agent_)
        outputs_.push_back(
            ToAgent{{{"k", "suspect"}, {"service", store.service->name}, {"store", store.id}, {"why", why}}});
}

// ---- clients --------------------------------------------------------------------------------------

void Pooler::clientCame(int client, Nanos now) {
    begin(now);
    auto& slot = sessions_[client];
    slot = std::make_unique<Session>();
    slot->client = client;
    slot->restsSince = now;
    ++counts_.sessions;
}

void Pooler::clientSaid(int client, std::string_view line, Nanos now) {
    const auto at = sessions_.find(client);
    if (at == sessions_.end()) return;
    begin(now);
    Session& s = *at->second;
    s.queue.emplace_back(line);
    s.queued += line.size() + 64;
    if (s.queued > queuedMost && !s.held) {
        s.held = true;
        outputs_.push_back(HoldClient{client, true});
    }
    proceed(s);
    settle();
}

void Pooler::clientLeft(int client, Nanos now) {
    if (!sessions_.count(client)) return;
    begin(now);
    remove(client);
    settle();
}

// The session is over, whatever it had open.
void Pooler::remove(int client) {
    const auto at = sessions_.find(client);
    if (at == sessions_.end()) return;
    Session& s = *at->second;
    s.gone = true;
    if (s.op) {
        if (!s.op->key.empty()) {
            Store* store = s.op->store;
            const std::string key = s.op->key;
            byKey_.erase(key);
            if (store)
                report(key, s.op->launches - 1, *store, Ending::cancelled, s.op->launchedAt, {}, true);
            else
                front_.lapsed(key);
        }
        unwait(s);
        if (Line* line = s.op->line) {
            line->user = nullptr;
            line->abandonedAt = now_;
        }
    }
    if (s.line) {
        Line& line = *s.line;
        line.user = nullptr;
        if (line.expects.empty())
            release(line, "-");
        else
            line.abandonedAt = now_;
    }
    sessions_.erase(at);
}

void Pooler::proceed(Session& s) {
    while (!s.op && !s.gone && !s.queue.empty()) {
        const std::string line = std::move(s.queue.front());
        s.queue.pop_front();
        s.queued -= line.size() + 64;
        if (s.held && s.queued < queuedMost / 2) {
            s.held = false;
            outputs_.push_back(HoldClient{s.client, false});
        }
        std::string_view rest = line;
        const std::string_view word = takeField(rest);
        const int client = s.client;
        if (!s.greeted) {
            if (word == "GREET") {
                greet(s, rest);
                if (!sessions_.count(client)) return;
                continue;
            }
        } else if (word == "QUERY") {
            const std::string_view id = takeField(rest);
            query(s, readStatement(id, rest));
            continue;
        }
        if (word != "BYE")
            outputs_.push_back(ToClient{client, errorLine(Error::malformed, "no such message")});
        outputs_.push_back(EndClient{client});
        return remove(client);
    }
}

void Pooler::greet(Session& s, std::string_view rest) {
    const std::string_view database = takeField(rest);
    if (configured_ && configuration_.route(std::string(database))) {
        s.database = database;
        s.greeted = true;
        outputs_.push_back(ToClient{s.client, "READY I -\r\n"});
        return;
    }
    outputs_.push_back(ToClient{s.client, configured_ ? errorLine(Error::nosuchdb, "no such database")
                                                      : errorLine(Error::busy, "not ready yet")});
    outputs_.push_back(EndClient{s.client});
    remove(s.client);
}

void Pooler::local(Session& s, const std::string& line, char state) {
    s.state = state;
    s.restsSince = now_;
    std::string bytes = line;
    bytes.append("READY ").append(1, state).append(" -\r\n");
    outputs_.push_back(ToClient{s.client, std::move(bytes)});
}

void Pooler::refuse(Session& s, Error error, std::string_view text, char state) {
    local(s, errorLine(error, text), state);
}

// The session's transaction is over: rolled back at the store, or never begun there.
void Pooler::endTx(Session& s) {
    s.tx.reset();
    s.line = nullptr;
    s.state = 'I';
}

void Pooler::query(Session& s, Statement statement) {
    static const std::string done = "DONE -\r\n";
    ++counts_.statements;
    if (statement.kind == Kind::malformed) return refuse(s, Error::malformed, "not a statement", s.state);
    if (s.state == 'E') {
        if (statement.kind != Kind::abort && statement.kind != Kind::commit)
            return refuse(s, Error::malformed, "the transaction has failed", 'E');
        if (s.line) release(*s.line, statement.kind == Kind::abort ? statement.id : "-");
        endTx(s);
        if (statement.kind == Kind::abort) return local(s, done, 'I');
        return refuse(s, Error::aborted, "the transaction had failed and is rolled back", 'I');
    }
    switch (statement.kind) {
        case Kind::set:
            s.values[statement.name] = statement.value;
            return local(s, done, s.state);
        case Kind::parse:
            s.prepared[statement.name] = {statement.writes, statement.value};
            return local(s, done, s.state);
        case Kind::close:
            if (!s.prepared.erase(statement.name)) return refuse(s, Error::unknown, "no such name", s.state);
            return local(s, done, s.state);
        case Kind::begin:
        case Kind::beginRead: {
            if (s.state != 'I') return refuse(s, Error::malformed, "in a transaction already", s.state);
            const configuration::Route* route = configuration_.route(s.database);
            if (!route) return refuse(s, Error::nosuchdb, "no such database any more", 'I');
            ++counts_.transactions;
            s.tx.emplace();
            s.tx->readOnly = statement.kind == Kind::beginRead;
            s.tx->beginId = statement.id;
            s.tx->came = now_;
            s.tx->route = *route;
            // It begins at a store with its first statement: until then it holds no connection.
            return local(s, done, 'T');
        }
        case Kind::abort:
            if (s.state != 'T') return refuse(s, Error::malformed, "not in a transaction", s.state);
            if (s.line) release(*s.line, statement.id);
            endTx(s);
            return local(s, done, 'I');
        case Kind::commit:
            if (s.state != 'T') return refuse(s, Error::malformed, "not in a transaction", s.state);
            return run(s, std::move(statement));
        default:
            return run(s, std::move(statement));
    }
}

int Pooler::laneOf(const configuration::Route& route, bool writes, bool transaction) {
    Lane lane;
    const bool plain = writes;
    lane.need = plain                                           ? Need::write
                : route.mode == configuration::Mode::headOffice ? Need::fresh
                : route.mode == configuration::Mode::ageBounded ? Need::bounded
                                                                : Need::session;
    lane.effect = plain || transaction ? Effect::oneShot : Effect::harmless;
    lane.goalTime = millis(route.target_ms);
    lane.cutOff = millis(route.deadline_ms);
    lane.bound = millis(route.staleness_ms);
    // Only order and ratio count: each step of precedence halves what is earned.
    lane.gain = 4.0 / double(1 << std::min(route.precedence, 8));
    lane.lateShare = 0.3;
    lane.name = std::to_string(static_cast<int>(lane.need)) + "/" +
                std::to_string(static_cast<int>(lane.effect)) + "/" + std::to_string(route.target_ms) + "/" +
                std::to_string(route.deadline_ms) + "/" + std::to_string(route.staleness_ms) + "/" +
                std::to_string(route.precedence);
    return front_.lane(lane);
}

void Pooler::run(Session& s, Statement statement) {
    const configuration::Route* route = s.tx ? &s.tx->route : configuration_.route(s.database);
    if (!route) return refuse(s, Error::nosuchdb, "no such database any more", s.state);
    Op op;
    op.commit = statement.kind == Kind::commit;
    op.writes = statement.kind == Kind::write;
    if (statement.kind == Kind::execute) {
        const auto prepared = s.prepared.find(statement.name);
        if (prepared == s.prepared.end()) return refuse(s, Error::unknown, "no such name", s.state);
        op.writes = prepared->second.writes;
        auto& name = shapeNames_[(op.writes ? "W" : "R") + prepared->second.shape];
        if (name.empty()) name = "g" + std::to_string(shapeNames_.size());
        op.prepared = name;
        op.text = "EXECUTE " + name + " " + statement.thing;
    } else {
        op.text = statement.text;
    }
    op.came = now_;
    op.deadline = now_ + millis(route->deadline_ms);
    op.statement = std::move(statement);
    s.op = std::move(op);
    if (s.tx && s.tx->begun) {
        s.op->line = s.line;
        s.op->store = s.line->store;
        return prelude(s, *s.line);
    }
    const bool plainTx = s.tx && !s.tx->readOnly;
    s.op->lane = laneOf(*route, plainTx || s.op->writes, s.tx.has_value());
    s.op->key = std::to_string(++keyNo_);
    byKey_[s.op->key] = &s;
    const Nanos seen = std::max(s.ownAt, now_ - millis(route->staleness_ms));
    front_.take(s.op->key, s.op->lane, "", millis(route->deadline_ms), service(route->service).group,
                route->mode == configuration::Mode::own ? std::optional<Nanos>(now_ - seen) : std::nullopt);
}

// ---- what the module decides ----------------------------------------------------------------------

void Pooler::launch(const std::string& key, const std::string& store, Nanos) {
    launches_.emplace_back(key, store);
}

void Pooler::cancel(const std::string& key, int launchNo) {
    cancels_.emplace_back(key, launchNo);
}

void Pooler::probe(const std::string& store) {
    probes_.push_back(store);
}

void Pooler::hangUp(const std::string& id) {
    const auto at = stores_.find(id);
    if (at != stores_.end() && !at->second->idle.empty()) drop(*lines_.at(*at->second->idle.begin()));
}

void Pooler::nack(const std::string& key, Nanos) {
    const auto at = byKey_.find(key);
    if (at == byKey_.end()) return;
    Session& s = *at->second;
    if (!s.op->lastError || entryOf(*s.op->lastError).elsewhere) {
        s.op->lastError = Error::busy;
        s.op->lastText = "nothing ran; come back in " + std::to_string(comeBack_ms) + " ms";
    }
    answerLast(s);
}

void Pooler::writeOff(const std::string& key) {
    const auto at = byKey_.find(key);
    if (at == byKey_.end()) return;
    Session& s = *at->second;
    if (!s.op->lastError) {
        // A transaction that was not asked to commit is rolled back with its connection.
        s.op->lastError = s.tx ? Error::aborted : s.op->writes ? Error::indoubt : Error::busy;
        s.op->lastText = s.tx ? "rolled back" : s.op->writes ? "the outcome is not known" : "no answer";
    }
    answerLast(s);
}

// The statement's final answer is its last error.
void Pooler::answerLast(Session& s) {
    const Error error = *s.op->lastError;
    const std::string text = s.op->lastText;
    ++(error == Error::indoubt ? counts_.indoubt : counts_.promised);
    if (!s.op->key.empty()) byKey_.erase(s.op->key);
    unwait(s);
    s.op.reset();
    if (s.tx && s.line) {
        // The store still holds it.
        Line& line = *s.line;
        line.user = nullptr;
        s.line = nullptr;
        if (line.expects.empty())
            release(line, "-");
        else
            line.abandonedAt = now_;
    }
    if (s.tx) s.tx->begun = false;
    refuse(s, error, text, s.tx ? 'E' : 'I');
    woken_.push_back(s.client);
}

void Pooler::unwait(Session& s) {
    if (s.op && s.op->store && !s.op->line) std::erase(s.op->store->waiting, s.client);
}

void Pooler::report(const std::string& key, int launchNo, Store& store, Ending how, Nanos launchedAt,
                    std::optional<Nanos> position, bool over) {
    front_.ended(key, launchNo, store.id, how, now_ - launchedAt, Role::unknown, position, over);
}

void Pooler::place(Session& s, const std::string& storeId) {
    Op& op = *s.op;
    Store& store = *stores_.at(storeId);
    op.store = &store;
    op.line = nullptr;
    op.sent = op.preluding = op.guarded = false;
    op.lastError.reset();
    ++op.launches;
    op.launchedAt = now_;
    if (Line* line = lineFor(s, store))
        prelude(s, *line);
    else
        store.waiting.push_back(s.client);
}

// The idle connection that needs least to be made right; where all need much, and there may be more, a new
// one.
Pooler::Line* Pooler::lineFor(Session& s, Store& store) {
    Line* best = nullptr;
    int least = 0;
    for (const int no : store.idle) {
        Line& line = *lines_.at(no);
        int cost = 0;
        bool reset = false;
        for (const auto& [name, value] : line.values) reset |= !s.values.count(name);
        for (const auto& [name, value] : s.values) {
            const auto at = line.values.find(name);
            cost += reset || at == line.values.end() || at->second != value;
        }
        cost += reset;
        if (!s.op->prepared.empty() && (reset || !line.prepared.count(s.op->prepared))) ++cost;
        if (!best || cost < least) best = &line, least = cost;
        if (least == 0) break;
    }
    const int opening = static_cast<int>(store.waiting.size());
    if (!best && store.lines < share(*store.service)) {
        int coming = 0;
        for (auto& [no, line] : lines_) coming += line->store == &store && !line->open && !line->dead;
        if (coming <= opening) openLine(store, false);
    }
    return best;
}

void Pooler::openLine(Store& store, bool probe) {
    const int no = ++lastLine_;
    auto line = std::make_unique<Line>();
    line->no = no;
    line->store = &store;
    line->probe = probe;
    line->askedAt = now_;
    ++store.lines;
    ++counts_.opened;
    lines_[no] = std::move(line);
    outputs_.push_back(OpenLine{no, store.address});
}

// Whether the statement may run there, behind which position, and whether only with proof of the lead at
// hand.
bool Pooler::safe(Session& s, Store& store, std::string& after, bool& guarded) {
    const Op& op = *s.op;
    guarded = false;
    after.clear();
    if (op.writes || op.commit || (s.tx && !s.tx->readOnly))
        return true;  // the store itself refuses without the lead
    const configuration::Route* route = s.tx ? &s.tx->route : configuration_.route(s.database);
    if (!route) return false;
    const Service& of = *store.service;
    const bool leads = of.lead == store.id;
    if (leads && provable(of)) return true;
    if (route->mode == configuration::Mode::headOffice) {
        guarded = true;
        return leads;
    }
    const Nanos came = s.tx ? s.tx->came : op.came;
    const Nanos since = came - millis(route->staleness_ms);
    std::optional<Mark> need = of.horizon.covering(since);
    if (route->mode == configuration::Mode::own && s.own) {
        // A position of an earlier term may have been cut back with others' commits; this term's own cover
        // it.
        if (s.own->term < of.term)
            need = of.horizon.covering(since, of.term);
        else if (need)
            need = std::max(*need, *s.own);
    }
    if (need) {
        after = "AFTER " + written(*need) + " ";
        return true;
    }
    guarded = true;
    return leads;
}

void Pooler::ask(Line& line, std::string_view id, std::string_view text, Part part) {
    std::string bytes = "QUERY ";
    bytes.append(id).append(" ").append(text).append("\r\n");
    if (id == "-") ++counts_.own;
    if (line.expects.empty()) line.askedAt = now_;
    line.expects.push_back(part);
    outputs_.push_back(ToLine{line.no, std::move(bytes)});
}

// Makes the connection right for the session, begins its transaction there if need be, then sends the
// statement.
void Pooler::prelude(Session& s, Line& line) {
    Op& op = *s.op;
    line.store->idle.erase(line.no);
    line.user = &s;
    line.usedAt = now_;
    op.line = &line;
    op.store = line.store;
    std::string after;
    const bool pinned = s.tx && s.tx->begun;
    if (!pinned && !safe(s, *line.store, after, op.guarded)) {
        op.line = nullptr;
        idle(line);
        return report(op.key, op.launches - 1, *line.store, Ending::missed, op.launchedAt, {}, false);
    }
    op.preluding = true;
    op.after.clear();
    if (line.values != s.values) {
        bool reset = false;
        for (const auto& [name, value] : line.values) reset |= !s.values.count(name);
        if (reset) {
            ask(line, "-", "RESET", Part::prelude);
            line.values.clear();
            line.prepared.clear();
        }
        for (const auto& [name, value] : s.values) {
            auto& there = line.values[name];
            if (there == value && !there.empty()) continue;
            there = value;
            ask(line, "-", "SET " + name + " " + value, Part::prelude);
        }
    }
    if (!op.prepared.empty() && line.prepared.insert(op.prepared).second) {
        const Prepared& shape = s.prepared.at(op.statement.name);
        ask(line, "-", "PARSE " + op.prepared + (shape.writes ? " WRITE " : " READ ") + shape.shape,
            Part::prelude);
    }
    if (s.tx && !pinned) {
        line.proven = line.store->id == line.store->service->lead && provable(*line.store->service);
        if (op.guarded) {
            ++counts_.guarded;
            ask(line, "-", "BEGIN", Part::begin);
        } else {
            ask(line, s.tx->beginId, after + (s.tx->readOnly ? "BEGIN READ" : "BEGIN"), Part::begin);
        }
    } else if (op.guarded) {
        ++counts_.guarded;
        ask(line, "-", "BEGIN", Part::begin);
    } else {
        op.after = after;
    }
    if (line.expects.empty()) sendMain(s, line);
}

void Pooler::sendMain(Session& s, Line& line) {
    Op& op = *s.op;
    op.preluding = false;
    op.sent = true;
    if (s.tx && op.writes) s.tx->wrote = true;
    const Service& of = *line.store->service;
    const bool near = line.store->district == settings_.district;
    ++(of.lead == line.store->id ? near ? counts_.leadNear : counts_.leadFar
       : near                    ? counts_.replicaNear
                                 : counts_.replicaFar);
    line.proven = of.lead == line.store->id && (provable(of) || op.guarded || (s.tx && !s.tx->readOnly));
    line.askedAt = now_;
    ask(line, op.statement.id, op.after + op.text, Part::main);
}

// ---- stores ---------------------------------------------------------------------------------------

void Pooler::lineOpened(int no, Nanos now) {
    const auto at = lines_.find(no);
    if (at == lines_.end()) return;
    begin(now);
    Line& line = *at->second;
    line.askedAt = now;
    outputs_.push_back(ToLine{
        no, "GREET " + line.store->service->name + " " + settings_.station + " " + line.store->id + "\r\n"});
}

void Pooler::lineSaid(int no, std::string_view text, Nanos now) {
    const auto at = lines_.find(no);
    if (at == lines_.end() || at->second->dead) return;
    begin(now);
    Line& line = *at->second;
    Store& store = *line.store;
    store.heard = line.heardAt = now;
    std::string_view rest = text;
    const std::string_view word = takeField(rest);
    if (word == "ROW") {
        line.rows.append(text).append("\r\n");
    } else if (word == "DONE") {
        line.done.assign(text).append("\r\n");
    } else if (word == "ERROR") {
        line.error = errorOf(takeField(rest));
        line.errorText = rest;
        if (!line.open) {
            const bool full = line.error == Error::full;
            const bool probing = line.probe;
            drop(line);
            if (probing) {
                store.probing = false;
                front_.probed(store.id, full ? Ending::full : Ending::unreachable);
            }
            const std::deque<int> waiting = std::exchange(store.waiting, {});
            for (const int client : waiting) {
                const auto who = sessions_.find(client);
                if (who == sessions_.end() || !who->second->op || who->second->op->store != &store) continue;
                Op& op = *who->second->op;
                report(op.key, op.launches - 1, store, full ? Ending::full : Ending::unreachable,
                       op.launchedAt, {}, false);
            }
        }
    } else if (word == "READY") {
        const std::string_view state = takeField(rest);
        const auto mark = readMark(rest);
        if (!line.open) {
            line.open = true;
            line.usedAt = now;
            if (mark && store.id == store.service->lead && provable(*store.service))
                store.service->horizon.saw(*mark, line.askedAt);
            if (std::exchange(line.probe, false)) {
                store.probing = false;
                front_.probed(store.id, Ending::delivered);
            }
            idle(line);
        } else if (!line.expects.empty()) {
            const Part part = line.expects.front();
            line.expects.pop_front();
            answered(line, part, state.empty() ? 'I' : state[0], mark);
        }
    }
    settle();
}

void Pooler::answered(Line& line, Part part, char state, std::optional<Mark> mark) {
    Session* s = line.user;
    Store& store = *line.store;
    line.inTx = state != 'I';
    auto clear = [&] {
        line.rows.clear();
        line.done.clear();
        line.error.reset();
    };
    if (!s) {  // nobody waits for it any more
        clear();
        if (!line.expects.empty()) return;
        line.abandonedAt = 0;
        if (line.inTx) return release(line, "-");
        return idle(line);
    }
    Op& op = *s->op;
    if (part == Part::main) return mainAnswered(*s, line, state, mark);
    if (line.error && part == Part::prelude) {
        // Its values are not as they ought to be: it serves nobody any more.
        drop(line);
        return lost(*s, line);
    }
    if (part == Part::begin) {
        if (line.error) {
            const Error error = *line.error;
            if (error == Error::lagging) lags(store, mark);
            op.lastError = error;
            op.lastText = line.errorText;
            clear();
            op.line = nullptr;
            op.preluding = false;
            const std::optional<Nanos> position = mark ? store.service->horizon.holds(*mark) : std::nullopt;
            if (line.inTx)
                release(line, "-");
            else
                idle(line);
            return report(op.key, op.launches - 1, store,
                          error == Error::busy || error == Error::full ? Ending::full : Ending::missed,
                          op.launchedAt, position, false);
        }
        if (s->tx) {
            s->tx->begun = true;
            s->line = &line;
        }
    }
    clear();
    if (line.expects.empty()) sendMain(*s, line);
}

void Pooler::mainAnswered(Session& s, Line& line, char state, std::optional<Mark> mark) {
    Op& op = *s.op;
    Store& store = *line.store;
    Service& of = *store.service;
    const bool first = !op.key.empty();
    const bool done = !line.error;
    if (done && mark && (line.proven || op.writes)) of.horizon.saw(*mark, line.askedAt);
    const std::optional<Nanos> position = !mark ? std::nullopt : of.horizon.holds(*mark);
    const Error error = line.error.value_or(Error::other);
    const std::string text = line.errorText;
    const std::string bytes = done ? line.rows + line.done : errorLine(error, text);
    line.rows.clear();
    line.done.clear();
    line.error.reset();
    const ErrorEntry& entry = entryOf(error);
    const std::string key = op.key;
    const int launchNo = op.launches - 1;
    const Nanos launchedAt = op.launchedAt;
    auto reply = [&](char shown) {
        s.state = shown;
        s.restsSince = now_;
        std::string all = bytes;
        all.append("READY ").append(1, shown).append(" ").append(mark ? written(*mark) : "-").append("\r\n");
        outputs_.push_back(ToClient{s.client, std::move(all)});
        ++(done ? counts_.answered : counts_.promised);
        if (!key.empty()) byKey_.erase(key);
        s.op.reset();
        woken_.push_back(s.client);
    };
    if (op.commit) {
        if (done && s.tx->wrote && mark) {
            s.own = *mark;
            s.ownAt = line.askedAt;
            of.horizon.saw(*mark, line.askedAt);
        }
        endTx(s);
        line.user = nullptr;
        reply('I');
        if (first)
            report(key, launchNo, store, done ? Ending::delivered : Ending::error, launchedAt, position,
                   true);
        return line.inTx ? release(line, "-") : idle(line);
    }
    if (!done && first && entry.elsewhere) {
        // Nothing ran: another store may do better, or this one later.
        if (error == Error::lagging) lags(store, mark);
        if (error == Error::unknown) line.prepared.clear();
        op.lastError = error;
        op.lastText = text;
        op.line = nullptr;
        op.sent = false;
        if (s.tx) {
            s.tx->begun = false;
            s.line = nullptr;
        }
        line.user = nullptr;
        if (line.inTx)
            release(line, "-");
        else
            idle(line);
        return report(key, launchNo, store,
                      error == Error::busy || error == Error::full ? Ending::full : Ending::missed,
                      launchedAt, position, false);
    }
    if (s.tx) {
        if (state == 'I') {  // the store has ended it
            endTx(s);
            line.user = nullptr;
        }
        const bool ended = state == 'I';
        reply(state);
        if (first)
            report(key, launchNo, store, done ? Ending::delivered : Ending::error, launchedAt, position,
                   true);
        if (ended) idle(line);
        return;
    }
    line.user = nullptr;
    auto free = [&] {
        if (line.inTx)
            release(line, "-");
        else
            idle(line);
    };
    if (done) {
        if (op.writes && mark) {
            s.own = *mark;
            s.ownAt = line.askedAt;
        }
        reply('I');
        report(key, launchNo, store, Ending::delivered, launchedAt, position, true);
        return free();
    }
    op.lastError = error;
    op.lastText = text;
    op.line = nullptr;
    op.sent = false;
    free();
    // Of a read the module may try again; of a write this is the answer.
    report(key, launchNo, store, Ending::error, launchedAt, position, false);
}

// A replica that was tried on trust and lacks what was needed: the module asks again when it may have caught
// up.
void Pooler::lags(Store& store, std::optional<Mark> mark) {
    ++counts_.lagging;
    const std::optional<Nanos> position = mark ? store.service->horizon.holds(*mark) : std::nullopt;
    front_.lags(store.id, position.value_or(1));
}

// Rolls back what the store holds for nobody any more; the line serves others once that is done.
void Pooler::release(Line& line, const std::string& abortId) {
    line.user = nullptr;
    ask(line, abortId, "ABORT", Part::cleanup);
}

void Pooler::idle(Line& line) {
    line.user = nullptr;
    if (line.dead) return;
    Store& store = *line.store;
    if (store.gone || (store.windingSince && store.service->lead != store.id)) return drop(line);
    store.idle.insert(line.no);
    serveWaiting(store);
}

void Pooler::drop(Line& line) {
    if (std::exchange(line.dead, true)) return;
    line.store->idle.erase(line.no);
    --line.store->lines;
    outputs_.push_back(CloseLine{line.no});
    buried_.push_back(line.no);
}

void Pooler::serveWaiting(Store& store) {
    while (!store.waiting.empty() && !store.idle.empty()) {
        const int client = store.waiting.front();
        store.waiting.pop_front();
        const auto at = sessions_.find(client);
        if (at == sessions_.end() || !at->second->op || at->second->op->store != &store ||
            at->second->op->line)
            continue;
        // Not from here: an answer may be in the middle of being taken apart.
        Line* line = lineFor(*at->second, store);
        prelude(*at->second, *line);
    }
}

void Pooler::lineEnded(int no, bool refused, Nanos now) {
    const auto at = lines_.find(no);
    if (at == lines_.end() || at->second->dead) return;
    begin(now);
    ended(*at->second, refused);
    settle();
}

void Pooler::ended(Line& line, bool refused) {
    Store& store = *line.store;
    const int no = line.no;
    const bool wasOpen = line.open;
    Session* s = line.user;
    const bool atRest = wasOpen && !s && line.expects.empty();
    if (std::exchange(line.dead, true)) return;
    store.idle.erase(no);
    --store.lines;
    buried_.push_back(no);
    if (!atRest || refused) suspect(store, refused ? "refused" : "broken");
    if (std::exchange(line.probe, false)) {
        store.probing = false;
        front_.probed(store.id, refused ? Ending::unreachable : Ending::timedOut);
    }
    if (!wasOpen) {
        const std::deque<int> waiting = std::exchange(store.waiting, {});
        for (const int client : waiting) {
            const auto who = sessions_.find(client);
            if (who == sessions_.end() || !who->second->op || who->second->op->store != &store) continue;
            Op& op = *who->second->op;
            report(op.key, op.launches - 1, store, Ending::unreachable, op.launchedAt, {}, false);
        }
    }
    if (s) lost(*s, line);
}

// The connection under a session is gone, and with it whatever the store held for it that was not committed.
void Pooler::lost(Session& s, Line& line, Ending how) {
    line.user = nullptr;
    Store& store = *line.store;
    if (s.line == &line) s.line = nullptr;
    if (!s.op || s.op->line != &line) {
        if (s.tx && s.tx->begun) {
            s.tx->begun = false;
            s.state = 'E';
        }
        return;
    }
    Op& op = *s.op;
    op.line = nullptr;
    const std::string key = op.key;
    const int launchNo = op.launches - 1;
    if (op.commit && op.sent) {
        const bool wrote = s.tx->wrote;
        endTx(s);
        const Nanos launchedAt = op.launchedAt;
        byKey_.erase(key);
        s.op.reset();
        if (wrote)
            ++counts_.indoubt, refuse(s, Error::indoubt, "the outcome of the commit is not known", 'I');
        else
            ++counts_.promised, refuse(s, Error::aborted, "the connection to the store is gone", 'I');
        woken_.push_back(s.client);
        if (!key.empty()) report(key, launchNo, store, how, launchedAt, {}, true);
        return;
    }
    if (s.tx && s.tx->begun) {
        op.lastError = Error::aborted;
        op.lastText = "the connection to the store is gone, the transaction is rolled back";
        const Nanos launchedAt = op.launchedAt;
        answerLast(s);
        if (!key.empty()) report(key, launchNo, store, how, launchedAt, {}, true);
        return;
    }
    const bool sent = std::exchange(op.sent, false);
    report(key, launchNo, store, sent ? how : Ending::unreachable, op.launchedAt, {}, false);
}

// ---- time -----------------------------------------------------------------------------------------

void Pooler::tick(Nanos now) {
    begin(now);
    gossip_.advance(now, now < leaseUntil_);
    if (agent_ && now - askedAt_ >= leaseAskEvery) {
        askedAt_ = now;
        leaseAsks_[++askNo_] = now;
        if (leaseAsks_.size() > 8) leaseAsks_.erase(leaseAsks_.begin());
        outputs_.push_back(ToAgent{{{"k", "lease?"}, {"t", askNo_}}});
    }
    if (now >= wakeAt_) front_.woke(0);
    settle();
    if (now - sweptAt_ < sweepEvery) return;
    sweptAt_ = now;
    std::vector<Line*> all;
    for (auto& [no, line] : lines_)
        if (!line->dead) all.push_back(line.get());
    for (Line* line : all) {
        if (line->dead) continue;
        Store& store = *line->store;
        if (!line->expects.empty() && now - std::max(line->askedAt, store.heard) > silent)
            suspect(store, "silent");
        if (!line->open && now - line->askedAt > millis(1500)) {
            outputs_.push_back(CloseLine{line->no});
            ended(*line, false);
            continue;
        }
        if (line->abandonedAt && now - line->abandonedAt > millis(4000)) {
            drop(*line);
            continue;
        }
        if (!line->user && line->expects.empty() && line->open && now - line->usedAt > idleLine) drop(*line);
        Session* s = line->user;
        if (!s) continue;
        if (!s->op && s->tx && s->tx->begun) {
            const bool rests =
                configuration_.txIdle_ms > 0 && now - s->restsSince > millis(configuration_.txIdle_ms);
            if (rests || (leaving_ && now - leftAt_ > millis(settings_.grace_ms / 2))) {
                release(*line, "-");
                s->line = nullptr;
                s->tx->begun = false;
                s->state = 'E';
            }
        } else if (s->op && s->op->line == line && now >= s->op->deadline) {
            // The time is over. Of a read nothing is kept; of a transaction nothing that was not committed.
            Op& op = *s->op;
            const std::string key = op.key;
            const int launchNo = op.launches - 1;
            const Nanos launchedAt = op.launchedAt;
            Store& at = store;
            if (s->tx || op.writes) {
                drop(*line);
                lost(*s, *line, Ending::timedOut);
            } else {
                line->user = nullptr;
                line->abandonedAt = now;
                op.lastError = Error::busy;
                op.lastText = "no answer in time; come back in " + std::to_string(comeBack_ms) + " ms";
                answerLast(*s);
                report(key, launchNo, at, Ending::timedOut, launchedAt, {}, true);
            }
        }
    }
    // What waits for a connection past its time.
    std::vector<Session*> late;
    for (auto& [key, s] : byKey_)
        if (s->op && s->op->store && !s->op->line && now >= s->op->deadline) late.push_back(s);
    for (Session* s : late) {
        const std::string key = s->op->key;
        const int launchNo = s->op->launches - 1;
        const Nanos launchedAt = s->op->launchedAt;
        Store& store = *s->op->store;
        s->op->lastError = Error::busy;
        s->op->lastText = "no connection; come back in " + std::to_string(comeBack_ms) + " ms";
        answerLast(*s);
        report(key, launchNo, store, Ending::unsent, launchedAt, {}, true);
    }
    for (auto& [name, of] : services_) {
        const auto lead = of->stores.find(of->lead);
        if (lead != of->stores.end() && lead->second->windingSince) standing(*lead->second);
    }
    if (leaving_ && now - leftAt_ > leftAfter) {
        std::vector<int> rest;
        for (auto& [client, s] : sessions_) {
            const bool old = now - leftAt_ > millis(settings_.grace_ms - 500);
            if ((s->state == 'I' && !s->op && s->queue.empty()) || (s->state == 'E' && !s->op) || old)
                rest.push_back(client);
        }
        for (const int client : rest) {
            outputs_.push_back(EndClient{client});
            remove(client);
        }
    }
    settle();
}

}  // namespace granitereel::proxy
