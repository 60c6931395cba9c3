#include "proxy/pooler.hpp"

#include <algorithm>
#include <utility>

#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
RoutingConfig charterOf(const settings::Settings& settings, int zone) {
    RoutingConfig charter;
    // Pools are dealt rotated by a number of the front's own.
    charter.proxyIndex = static_cast<int>(std::hash<std::string>()(settings.station) % 1024);
    charter.zone = zone;
    charter.maxAttempts = launchLimit;
    charter.probesAllowed = charter.cancelAllowed = charter.clientsHonorRetryAfter = true;
    charter.maxRetryAfter = milliseconds(10 * comeBack_ms);
    charter.tick = milliseconds(1);
    charter.crossZoneCost = 0.01;
    charter.preferZoneOverTier = true;
    charter.maxQueueShare = 0.45;  // the way to the client counts, too
    return charter;
}
}  // namespace

Pooler::Pooler(const settings::Settings& settings, std::uint64_t seed, Nanoseconds now)
    : settings_(settings),
      now_(now),
      startedAt_(now),
      gossip_([this](int, Json message) { outputs_.push_back(ToAgent{std::move(message)}); },
              [this](const std::string& name, const gossip::Record& record) { news(name, record); }),
      front_(charterOf(settings, 0), seed, now, *this) {
    districts_[settings.district] = 0;
}

Pooler::~Pooler() = default;

void Pooler::begin(Nanoseconds now) {
    now_ = now;
    front_.setTime(now);
}

// What the module asked for while it was told something is done behind it.
void Pooler::settle() {
    for (;;) {
        if (!cancels_.empty()) {
            const auto [key, launchNo] = std::move(cancels_.front());
            cancels_.pop_front();
            cancelLaunch(key, launchNo);
        } else if (!launches_.empty()) {
            const auto [key, store] = std::move(launches_.front());
            launches_.pop_front();
            placeLaunch(key, store);
        } else if (!probes_.empty()) {
            const std::string id = std::move(probes_.front());
            probes_.pop_front();
            probeStore(id);
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

void Pooler::cancelLaunch(const std::string& key, int launchNo) {
    const auto at = byKey_.find(key);
    if (at == byKey_.end()) return;
    Session& s = *at->second;
    if (!s.op || s.op->launches - 1 != launchNo || !s.op->store) return;
    Store& store = *s.op->store;
    if (s.op->line)
        letGo(*s.op->line);
    else
        unwait(s);
    s.op->line = nullptr;
    s.op->store = nullptr;
    s.op->sent = s.op->preluding = false;
    report(launchedOf(*s.op), store, AttemptOutcome::cancelled, {}, false);
}

void Pooler::placeLaunch(const std::string& key, const std::string& store) {
    const auto at = byKey_.find(key);
    if (at != byKey_.end()) place(*at->second, store);
}

// Where Front would ask how fresh a replica is: the next read finds out, as it goes behind a position that
// the store itself checks. Only one that may be away is tried, by a connection.
void Pooler::probeStore(const std::string& id) {
    const auto at = stores_.find(id);
    if (at == stores_.end()) return front_.probeEnded(id, AttemptOutcome::unreachable);
    Store& store = *at->second;
    const bool open = std::any_of(lines_.begin(), lines_.end(), [&](auto& each) {
        return each.second->store == &store && each.second->open && !each.second->dead;
    });
    if (open && now_ - store.suspectedAt > milliseconds(1000)) {
        if (const auto newest = store.service->horizon.newest()) front_.storeReported(id, *newest, {});
        front_.probeEnded(id, AttemptOutcome::succeeded);
    } else if (!store.probing) {
        store.probing = true;
        openLine(store, true);
    }
}

// The first lease comes soon after the configuration where control is there; until then no success of a write
// could be told. It is not waited for for long: reads are served without it.
bool Pooler::ready() const {
    const bool settled = std::all_of(services_.begin(), services_.end(), [](const auto& each) {
        return each.second->evidence.settledUntil() > 0;
    });
    const bool waitsNoMore = settled || now_ - configuredAt_ >= firstLeaseWithin;
    return configured_ && !stores_.empty() && waitsNoMore && !leaving_;
}

void Pooler::leave(Nanoseconds now) {
    begin(now);
    if (!leaving_) leftAt_ = now;
    leaving_ = true;
}

void Pooler::tick(Nanoseconds now) {
    begin(now);
    gossip_.advance(now, lease_.valid(now));
    if (auto line = contact_.update(lease_.until(), now)) log(*line);
    askForLease();
    if (now >= wakeAt_) front_.timerFired(0);
    settle();
    if (now - sweptAt_ < sweepEvery) return;
    sweptAt_ = now;
    std::vector<Line*> all;
    for (auto& [no, line] : lines_)
        if (!line->dead) all.push_back(line.get());
    for (Line* line : all)
        if (!line->dead) sweepLine(*line);
    refuseLate();
    judgeUnproven();
    askReplicas();
    for (auto& [name, of] : services_) {
        const auto lead = of->stores.find(of->lead);
        if (lead != of->stores.end() && lead->second->windingSince) standing(*lead->second);
    }
    if (leaving_ && now - leftAt_ > leftAfter) endLeaving();
    settle();
}

void Pooler::askForLease() {
    if (!agent_ || now_ - askedAt_ < leaseAskEvery) return;
    askedAt_ = now_;
    outputs_.push_back(ToAgent{gossip::LeaseRequest{leaseQuestions_.start(now_)}.toJson()});
}

void Pooler::sweepLine(Line& line) {
    if (!line.expects.empty() && now_ - std::max(line.askedAt, line.store->heard) > silent)
        suspect(*line.store, "silent");
    if (!line.open && now_ - line.askedAt > openingMost) {
        outputs_.push_back(CloseLine{line.no});
        return ended(line, false);
    }
    if (line.abandonedAt && now_ - line.abandonedAt > abandonedMost) return drop(line);
    if (!line.user && line.expects.empty() && line.open && now_ - line.usedAt > idleLine) drop(line);
    Session* s = line.user;
    if (!s) return;
    if (!s->op)
        endRest(*s, line);
    else if (s->op->line == &line && now_ >= s->op->deadline)
        timeOver(*s, line);
}

// Rolls back a transaction that rests for too long, or past the first half of the time to end.
void Pooler::endRest(Session& s, Line& line) {
    if (!s.tx || !s.tx->begun) return;
    const bool rests = configuration_.transactionIdleTimeout_ms > 0 &&
                       now_ - s.restsSince > milliseconds(configuration_.transactionIdleTimeout_ms);
    const bool ends = leaving_ && now_ - leftAt_ > milliseconds(settings_.shutdownGrace_ms / 2);
    if (!rests && !ends) return;
    release(line, "-");
    s.line = nullptr;
    s.tx->begun = false;
    s.state = 'E';
}

// What waits for a connection past its time is told so.
void Pooler::refuseLate() {
    std::vector<Session*> late;
    for (auto& [key, s] : byKey_)
        if (s->op && s->op->store && !s->op->line && now_ >= s->op->deadline) late.push_back(s);
    for (Session* s : late) {
        const Launched launched = launchedOf(*s->op);
        Store& store = *s->op->store;
        s->op->lastError = Error::busy;
        s->op->lastText = "no connection; come back in " + std::to_string(comeBack_ms) + " ms";
        answerLast(*s);
        report(launched, store, AttemptOutcome::notSent, {}, true);
    }
}

// Ends sessions at rest, and all of them shortly before the time to end is over.
void Pooler::endLeaving() {
    const bool all = now_ - leftAt_ > milliseconds(settings_.shutdownGrace_ms - 500);
    std::vector<int> rest;
    for (auto& [client, s] : sessions_) {
        const bool atRest = !s->op && ((s->state == 'I' && s->queue.empty()) || s->state == 'E');
        if (atRest || all) rest.push_back(client);
    }
    for (const int client : rest) {
        outputs_.push_back(EndClient{client});
        remove(client);
    }
}

}  // namespace granitereel::proxy
