#include "control/succession.hpp"

#include <algorithm>
#include <sstream>

namespace granitereel::control {

namespace {
// A store that is well answers STATUS within a few ms; slow ones within a few times a statement's work.
constexpr int statusWithin_ms = 300;
// A lead under suspicion is given less: while the register is written and the lease runs out it is asked
// again, and leads on if it answers.
constexpr int checkWithin_ms = 150;
// A lead that was found well is not looked at again for this long, whoever complains.
constexpr Nanos believed = millis(400);
// Asks that got no answer are made again after this.
constexpr Nanos askAgain = millis(250);
// A promotion that has not shown by then is asked for again.
constexpr Nanos risesWithin = millis(2500);
}  // namespace

std::optional<StoreRow> readRow(const std::string& fields) {
    std::istringstream in(fields);
    std::string role, position;
    StoreRow row;
    if (!(in >> role >> row.term >> position >> row.held)) return {};
    row.primary = role == "head_office";
    if (!row.primary && role != "branch_office") return {};
    if (const auto mark = readMark(position)) row.received = *mark;
    return row;
}

Json written(const Lead& lead) {
    return {{"store", lead.store},      {"term", lead.term},     {"seq", lead.seq},
            {"fence", lead.fence},      {"holder", lead.holder}, {"steady", lead.steady},
            {"replicas", lead.replicas}};
}

std::optional<Lead> readLead(const Json& body) {
    if (!body.is_object()) return {};
    Lead lead;
    lead.store = body.at("store");
    lead.term = body.at("term");
    lead.seq = body.at("seq");
    lead.fence = body.at("fence");
    lead.holder = body.at("holder");
    lead.steady = body.at("steady");
    lead.replicas = body.at("replicas").get<std::set<std::string>>();
    return lead;
}

Succession::Succession(std::string self, std::string service, Nanos lease, Means& means)
    : self_(std::move(self)), service_(std::move(service)), lease_(lease), means_(means) {}

const char* Succession::phase() const {
    static const char* const names[] = {"idle",    "founding",  "checking", "guarding",
                                        "pausing", "promoting", "rising",   "settling"};
    return names[static_cast<int>(phase_)];
}

void Succession::log(const std::string& line) {
    means_.outputs().push_back(ToLog{"lead of " + service_ + ": " + line});
}

std::optional<Lead> Succession::known() const {
    const board::Record* record = means_.board().find("lead/" + service_);
    return record ? readLead(record->body) : std::nullopt;
}

const Json* Succession::record(const std::string& store) const {
    const board::Record* found = means_.board().find("store/" + store);
    return found && found->body.is_object() ? &found->body : nullptr;
}

bool Succession::accepting(const std::string& store) const {
    const Json* body = record(store);
    return body && body->value("standing", "") == "accepting";
}

std::vector<std::string> Succession::listed() const {
    std::vector<std::string> all;
    means_.board().under("store/", [&](const std::string& name, const board::Record& r) {
        if (r.body.is_object() && r.body.value("service", "") == service_) all.push_back(name.substr(6));
    });
    return all;
}

void Succession::to(Phase phase, Nanos now) {
    phase_ = phase;
    since_ = now;
}

void Succession::ask(const std::string& store, int what, const std::string& text, int within_ms, Nanos now) {
    const Json* body = record(store);
    if (!body) return;
    const std::uint64_t no = means_.nextAsk(*this);
    asks_[no] = Ask{store, static_cast<decltype(Ask::what)>(what)};
    askedAt_ = now;
    means_.outputs().push_back(ToStore{no, store, service_, body->value("address", ""), text, within_ms});
}

void Succession::own(bool mine, Nanos now) {
    if (mine == mine_) return;
    mine_ = mine;
    if (!mine && phase_ != Phase::idle) {
        log("left to another member");
        to(Phase::idle, now);
    }
    // What another began and did not end is taken over by tick().
}

void Succession::suspected(const std::string& store, Nanos now) {
    const auto lead = known();
    if (!mine_ || phase_ != Phase::idle || !lead || lead->store != store || now < quietUntil_) return;
    misses_ = 0;
    to(Phase::checking, now);
    ask(store, Ask::status, "STATUS", checkWithin_ms, now);
}

void Succession::tick(Nanos now) {
    if (!mine_ || changing_) return;
    const auto lead = known();
    switch (phase_) {
        case Phase::idle: {
            if (!lead) {
                if (now - askedAt_ >= askAgain) found(now);
                break;
            }
            if (!lead->steady) {  // begun by a member that is gone, or by this one in an earlier life
                log("taking over what " + lead->holder + " began");
                guard(now, false);
                break;
            }
            const Json* body = record(lead->store);
            if (body && body->value("standing", "") == "winding_down" && now >= quietUntil_) {
                guard(now, true);
                break;
            }
            // Who belongs to the service is kept with the lead, as after a loss only that tells who must be
            // heard.
            std::set<std::string> replicas;
            for (const std::string& store : listed())
                if (store != lead->store) replicas.insert(store);
            if (replicas != lead->replicas && now >= quietUntil_) {
                // One that the registry lacks may only not have called yet: it stays until it is known to be
                // gone.
                for (const std::string& store : lead->replicas) {
                    const board::Record* r = means_.board().find("store/" + store);
                    if (!r || !r->body.is_null()) replicas.insert(store);
                }
                if (replicas == lead->replicas) break;
                Lead next = *lead;
                next.replicas = replicas;
                ++next.seq;
                changing_ = true;
                means_.change(service_, lead->seq, next, [this](auto) { changing_ = false; });
            }
            break;
        }
        case Phase::founding:
        case Phase::checking:
            if (now - since_ > millis(2000)) to(Phase::idle, now);
            break;
        case Phase::guarding:
            if (now - since_ > millis(3000)) to(Phase::idle, now);
            break;
        case Phase::pausing:
            if (now - askedAt_ >= askAgain) pauseAll(now);
            weigh(now);
            break;
        case Phase::promoting:
            if (now - since_ > millis(1500)) promote(target_, now);
            break;
        case Phase::rising: {
            const Json* body = record(target_);
            if (body && body->value("role", "") == "head_office" && now - since_ > millis(50))
                ask(target_, Ask::status, "STATUS", statusWithin_ms, now), to(Phase::settling, now);
            else if (now - since_ > risesWithin)
                ask(target_, Ask::status, "STATUS", statusWithin_ms, now), to(Phase::settling, now);
            break;
        }
        case Phase::settling:
            if (now - askedAt_ >= askAgain) ask(target_, Ask::status, "STATUS", statusWithin_ms, now);
            if (now - since_ > risesWithin) pauseAll(now), to(Phase::pausing, now);
            break;
    }
}

// No lead is on record: the store that says it leads is asked for its term.
void Succession::found(Nanos now) {
    for (const std::string& store : listed()) {
        const Json* body = record(store);
        if (body->value("role", "") != "head_office") continue;
        to(Phase::founding, now);
        ask(store, Ask::status, "STATUS", statusWithin_ms, now);
        return;
    }
}

// Has it written to a majority that the lead may change; from a lease later on no front reads from the old
// lead without proof. The fence grows, so that what an earlier owner still sends changes nothing.
void Succession::guard(Nanos now, bool planned) {
    const auto lead = known();
    if (!lead) return;
    planned_ = planned;
    rows_.clear();
    paused_.clear();
    refused_.clear();
    target_.clear();
    deadHeard_ = false;
    to(Phase::guarding, now);
    Lead next = *lead;
    next.steady = false;
    next.holder = self_;
    ++next.fence;
    ++next.seq;
    changing_ = true;
    means_.change(service_, lead->seq, next, [this, planned](std::optional<Lead> stands) {
        changing_ = false;
        if (!stands || phase_ != Phase::guarding) return;
        lead_ = *stands;
        log(planned ? "to pass on from " + lead_.store + " which winds down"
                    : "lost, was " + lead_.store + "; fence " + std::to_string(lead_.fence));
        guardedAt_ = 0;  // set by the first tick behind
        phase_ = Phase::pausing;
        askedAt_ = 0;
        pauseTerm_ = 0;
    });
}

void Succession::pauseAll(Nanos now) {
    if (guardedAt_ == 0) guardedAt_ = since_ = now;
    // All are asked how far they are and which term is newest, then those that must stand still are paused
    // above it.
    std::vector<std::string> others(lead_.replicas.begin(), lead_.replicas.end());
    for (const std::string& store : listed())
        if (store != lead_.store && !lead_.replicas.count(store)) others.push_back(store);
    if (planned_ && target_.empty()) {
        for (const std::string& store : others)
            if (accepting(store) && (target_.empty() || store < target_)) target_ = store;
        if (target_.empty()) return standDown(now);
    }
    pauseTerm_ = std::max(pauseTerm_, lead_.term + 1);
    for (const std::string& store : others) {
        if ((planned_ && store == target_) || refused_.erase(store))
            ask(store, Ask::status, "STATUS", statusWithin_ms, now);
        else if (!paused_.count(store))
            ask(store, Ask::pause, "PAUSE " + std::to_string(pauseTerm_), statusWithin_ms, now);
    }
    if (!planned_) ask(lead_.store, Ask::status, "STATUS", statusWithin_ms, now);
    askedAt_ = now;
}

// Promotes where all that must be heard were heard and no front can still believe in the old lead.
void Succession::weigh(Nanos now) {
    if (guardedAt_ == 0 || now - guardedAt_ < lease_) return;
    std::set<std::string> needed = lead_.replicas;
    for (const std::string& store : listed())
        if (store != lead_.store) needed.insert(store);
    std::size_t heard = 0;
    for (const std::string& store : needed)
        heard += planned_ && store == target_ ? rows_.count(store) : paused_.count(store);
    // An acknowledged commit is on as many replicas as are synchronous: of any others one may be missing.
    const auto sync = static_cast<std::size_t>(std::max(0, means_.syncReplicas(service_)));
    const std::size_t mayMiss =
        sync == 0 ? needed.size() - std::min<std::size_t>(1, needed.size()) : sync - 1;
    if (needed.empty() || heard + mayMiss < needed.size()) return;
    if (planned_) {
        Mark furthest;
        for (const auto& [store, row] : rows_)
            if (store != target_) furthest = std::max(furthest, row.received);
        if (rows_.at(target_).received < furthest) return;  // asked again until it has it all
        return promote(target_, now);
    }
    std::string best;
    for (const auto& [store, row] : rows_) {
        if (store == lead_.store || !paused_.count(store)) continue;
        const bool better = best.empty() || rows_.at(best).received < row.received ||
                            (rows_.at(best).received == row.received && accepting(store) && !accepting(best));
        if (better) best = store;
    }
    if (!best.empty()) promote(best, now);
}

void Succession::promote(const std::string& target, Nanos now) {
    target_ = target;
    to(Phase::promoting, now);
    const std::uint64_t no = means_.nextAsk(*this);
    asks_[no] = Ask{target, Ask::promote};
    log("promoting " + target + " with fence " + std::to_string(lead_.fence));
    means_.outputs().push_back(ToPlatform{no, service_, target, self_, lead_.fence, 1200});
}

void Succession::promoted(std::uint64_t no, int status, Nanos now) {
    const auto at = asks_.find(no);
    if (at == asks_.end()) return;
    const std::string store = at->second.store;
    asks_.erase(at);
    if (phase_ != Phase::promoting || store != target_) return;
    if (status == 200) return to(Phase::rising, now);
    log("promotion of " + target_ + " answered " + std::to_string(status));
    if (status == 409) {  // a newer owner, or it does not run: begin again, above
        to(Phase::idle, now);
        quietUntil_ = now + millis(300);
        return;
    }
    // Slow, down or too many: tick() asks again.
    since_ = now - millis(1200);
}

void Succession::answered(std::uint64_t no, std::optional<StoreRow> row, Nanos now) {
    const auto at = asks_.find(no);
    if (at == asks_.end()) return;
    const Ask asked = at->second;
    asks_.erase(at);
    if (asked.what == Ask::resume) return;
    switch (phase_) {
        case Phase::founding: {
            to(Phase::idle, now);
            if (!row || !row->primary) return;
            Lead lead;
            lead.store = asked.store;
            lead.term = row->term;
            lead.seq = 1;
            lead.holder = self_;
            lead.steady = true;
            for (const std::string& store : listed())
                if (store != asked.store) lead.replicas.insert(store);
            changing_ = true;
            means_.change(service_, 0, lead, [this](std::optional<Lead> stands) {
                changing_ = false;
                if (stands) log("is " + stands->store + " in term " + std::to_string(stands->term));
            });
            return;
        }
        case Phase::checking:
            if (row && row->primary) {
                quietUntil_ = now + believed;
                return to(Phase::idle, now);
            }
            return guard(now, false);
        case Phase::pausing:
            if (!row) {
                // Perhaps it was paused and the answer was lost, as the same term would be refused then; or
                // it leads by now. It is asked how it is, then paused above that.
                if (asked.what == Ask::pause) {
                    ++pauseTerm_;
                    refused_.insert(asked.store);
                }
                return;
            }
            if (asked.store == lead_.store) {
                // It lives: nothing was promoted yet, so it leads on.
                if (!planned_ && row->primary && row->term == lead_.term) {
                    log(lead_.store + " answers again and leads on");
                    return standDown(now);
                }
                return;
            }
            if (row->primary && row->term > lead_.term) {  // promoted by an owner that did not live to say so
                target_ = asked.store;
                return settle(asked.store, row->term, now);
            }
            if (row->held > lead_.term)
                paused_.insert(asked.store);
            else if (!planned_ || asked.store != target_)
                return;  // it still receives: what it says of its position does not last
            rows_[asked.store] = *row;
            return weigh(now);
        case Phase::settling:
            if (row && row->primary && asked.store == target_) settle(asked.store, row->term, now);
            return;
        default:
            return;
    }
}

void Succession::settle(const std::string& store, std::uint64_t term, Nanos now) {
    Lead next = lead_;
    next.replicas.insert(lead_.store);
    next.replicas.erase(store);
    std::erase_if(next.replicas, [&](const std::string& each) {
        const board::Record* r = means_.board().find("store/" + each);
        return r && r->body.is_null();
    });
    next.store = store;
    next.term = term;
    next.steady = true;
    ++next.seq;
    changing_ = true;
    means_.change(service_, lead_.seq, next, [this](std::optional<Lead> stands) {
        changing_ = false;
        if (stands) log("is " + stands->store + " in term " + std::to_string(stands->term));
    });
    quietUntil_ = now + believed;
    to(Phase::idle, now);
    for (const std::string& paused : paused_)
        if (paused != store) ask(paused, Ask::resume, "RESUME", statusWithin_ms, now);
    paused_.clear();
}

// Nothing was promoted: replicas go on, and the lead is as it was.
void Succession::standDown(Nanos now) {
    for (const std::string& store : paused_) ask(store, Ask::resume, "RESUME", statusWithin_ms, now);
    // One whose answer was lost may be paused all the same.
    for (const std::string& store : lead_.replicas)
        if (!paused_.count(store) && !planned_) ask(store, Ask::resume, "RESUME", statusWithin_ms, now);
    paused_.clear();
    Lead next = lead_;
    next.steady = true;
    ++next.seq;
    changing_ = true;
    means_.change(service_, lead_.seq, next, [this](auto) { changing_ = false; });
    quietUntil_ = now + millis(1000);
    to(Phase::idle, now);
}

}  // namespace granitereel::control
