#include "proxy/pooler.hpp"

#include <algorithm>
#include <utility>

#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
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
                letGo(*line);
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

bool Pooler::ready() const {
    return configured_ && !stores_.empty() && !leaving_;
}

void Pooler::leave(Nanos now) {
    begin(now);
    if (!leaving_) leftAt_ = now;
    leaving_ = true;
}

void Pooler::tick(Nanos now) {
    begin(now);
    if (agent_ && now - askedAt_ >= leaseAskEvery) {
        askedAt_ = now;
        outputs_.push_back(ToAgent{{{"k", "lease?"}, {"t", leaseQuestions_.ask(now)}}});
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
        if (!line->open && now - line->askedAt > openingMost) {
            outputs_.push_back(CloseLine{line->no});
            ended(*line, false);
            continue;
        }
        if (line->abandonedAt && now - line->abandonedAt > abandonedMost) {
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
            timeOver(*s, *line);
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
