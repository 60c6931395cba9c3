#include "control/succession.hpp"

#include <algorithm>

#include "transport/call_status.hpp"

namespace granitereel::control {

namespace {
// A store that is well answers within a few ms; slow ones within a few times a statement's work. It bounds
// how late a statement may arrive, so the order of PAUSE and RESUME of two owners rests on it.
constexpr int statementWithin_ms = 300;
// A lead under suspicion is given less: while the register is written and the lease runs out it is asked
// again, and leads on if it answers.
constexpr int checkWithin_ms = 150;
// A lead that was found well is not looked at again for this long, whoever complains.
constexpr Nanoseconds believed = milliseconds(400);
// Asks that got no answer are made again after this.
constexpr Nanoseconds askAgain = milliseconds(250);
// A call to the platform without an answer is reset after this, so that it arrives by then or never.
constexpr int postWithin_ms = 1200;
// "Some hundred ms" after the platform has taken a promotion the store leads, and says so; at most this.
constexpr Nanoseconds promotedWithin = milliseconds(1000);
// A promotion that has not shown by then is begun anew, under a higher fence.
constexpr Nanoseconds risesWithin = milliseconds(2500);
// A lead that asks for its term, and one under suspicion, are given up after this.
constexpr Nanoseconds asksWithin = milliseconds(2000);
// A change of the register ends sooner, with or without a majority.
constexpr Nanoseconds guardsWithin = milliseconds(3000);
// Replicas that were heard as paused are paused again after this, as one may have been started anew.
constexpr Nanoseconds verifiesWithin = milliseconds(1000);
// A planned target that doesn't get what the others have by then is given up, so that those receive again.
constexpr Nanoseconds catchesUpWithin = milliseconds(3000);
// A replica that doesn't answer its RESUME has most likely crashed, and is asked ever less often.
constexpr Nanoseconds resumeSeldom = milliseconds(4000);
// The platform called the promotion a conflict: the registers and the stores' beats show why by then.
constexpr Nanoseconds quietAfterConflict = milliseconds(300);
constexpr Nanoseconds quietAfterStandDown = milliseconds(1000);
// A promoted store's beat comes at once; its first STATUS waits this much for it.
constexpr Nanoseconds beatShows = milliseconds(50);
}  // namespace

PromotionAnswer promotionAnswerOf(int status) {
    switch (status) {
        case 200:
            return PromotionAnswer::accepted;
        case 409:
            return PromotionAnswer::conflict;
        case transport::noResponse:
            return PromotionAnswer::silent;
        case transport::notSent:
            return PromotionAnswer::notSent;
        default:
            return PromotionAnswer::unavailable;
    }
}

Succession::Succession(std::string self, std::string service, Nanoseconds lease, Means& means,
                       PlatformGuarantees platform)
    : self_(std::move(self)),
      service_(std::move(service)),
      lease_(lease),
      platform_(platform),
      means_(means),
      resumeAfter_(askAgain) {}

const char* Succession::phase() const {
    static const char* const names[] = {"idle",    "founding",  "checking", "guarding",
                                        "pausing", "promoting", "rising",   "settling"};
    return names[static_cast<int>(phase_)];
}

Nanoseconds Succession::confirmedFor() const {
    return std::max<Nanoseconds>(0, lease_ - driftOfClocks - milliseconds(statementWithin_ms));
}

Nanoseconds Succession::waitsBeforePromotion() const {
    Nanoseconds wait = lease_;
    // A promotion that was taken already must show before another store is chosen.
    const Nanoseconds shows = tookOver_ ? promotedWithin : 0;
    wait = std::max(wait, shows + driftOfClocks);
    if (!predecessor_) return wait;
    // What the predecessor called rested on a confirmation begun before this owner's write stood.
    const bool mustHaveArrived = tookOver_ || !platform_.fenceChecked || platform_.lease > 0;
    const Nanoseconds arrived = mustHaveArrived ? milliseconds(postWithin_ms) : 0;
    return std::max(wait, confirmedFor() + arrived + shows + driftOfClocks + platform_.lease);
}

void Succession::log(const std::string& line) {
    means_.outputs().push_back(ToLog{"lead of " + service_ + ": " + line});
}

std::optional<Lead> Succession::known() const {
    const gossip::Record* record = means_.recordTable().find("lead/" + service_);
    return record ? readLead(record->body) : std::nullopt;
}

const Json* Succession::record(const std::string& store) const {
    const gossip::Record* found = means_.recordTable().find("store/" + store);
    return found && found->body.is_object() ? &found->body : nullptr;
}

bool Succession::accepting(const std::string& store) const {
    const Json* body = record(store);
    return body && body->value("standing", "") == "accepting";
}

std::vector<std::string> Succession::listed() const {
    std::vector<std::string> all;
    means_.recordTable().forEachWithPrefix("store/", [&](const std::string& name, const gossip::Record& r) {
        if (r.body.is_object() && r.body.value("service", "") == service_) all.push_back(name.substr(6));
    });
    return all;
}

std::vector<std::string> Succession::others() const {
    std::set<std::string> all = lead_.replicas;
    for (const std::string& store : listed()) all.insert(store);
    all.erase(lead_.store);
    return {all.begin(), all.end()};
}

void Succession::to(Phase phase, Nanoseconds now) {
    phase_ = phase;
    since_ = now;
}

// STATUS changes nothing and may leave whenever; PAUSE and RESUME only while what they rest on is confirmed.
void Succession::ask(const std::string& store, Statement what, const std::string& text, Nanoseconds now) {
    const Json* body = record(store);
    if (!body) return;
    const bool changes = what != Statement::status;
    const std::uint64_t no = means_.nextAsk(*this);
    asks_[no] = Ask{store, what, now};
    const int within_ms = phase_ == Phase::checking ? checkWithin_ms : statementWithin_ms;
    const Nanoseconds notAfter = changes ? confirmedAt_.value_or(0) + confirmedFor() : noDeadline;
    means_.outputs().push_back(
        ToStore{no, store, service_, body->value("address", ""), text, within_ms, notAfter});
}

// What was asked and confirmed before is void from here on.
void Succession::beginAttempt() {
    ++attempt_;
    asks_.clear();
    confirmedAt_.reset();
    confirming_ = false;
}

// Ends whatever is under way and changes nothing outside.
void Succession::abandon(const std::string& why, Nanoseconds now) {
    if (phase_ != Phase::idle) log(why);
    beginAttempt();
    toResume_.clear();
    to(Phase::idle, now);
}

void Succession::confirm(const Lead& lead, Nanoseconds now) {
    if (confirming_) return;
    confirming_ = true;
    const auto ended = [this, begun = now, attempt = attempt_](Confirmation confirmation, Nanoseconds at) {
        if (attempt == attempt_) confirmationEnded(confirmation, begun, at);
    };
    means_.confirm(service_, lead, ended);
}

void Succession::confirmationEnded(Confirmation confirmation, Nanoseconds begun, Nanoseconds now) {
    confirming_ = false;
    if (confirmation == Confirmation::replaced) return abandon("replaced by another owner's change", now);
    if (confirmation == Confirmation::unknown || !mine_) return;  // tick() asks again, where it still owns
    confirmedAt_ = begun;
    if (!confirmed(now)) return;
    if (phase_ == Phase::pausing) pauseReplicas(now);
    if (phase_ == Phase::promoting) post(now);
    if (phase_ == Phase::idle) resume(now);
}

// What another began and did not end is taken over by tick().
void Succession::own(bool mine, Nanoseconds now) {
    if (mine == mine_) return;
    mine_ = mine;
    if (!mine) abandon("left to another member", now);
}

void Succession::suspected(const std::string& store, Nanoseconds now) {
    const auto lead = known();
    if (!mine_ || phase_ != Phase::idle || !lead || lead->store != store || now < quietUntil_) return;
    beginAttempt();
    to(Phase::checking, now);
    ask(store, Statement::status, "STATUS", now);
}

void Succession::tick(Nanoseconds now) {
    noteYoung(now);
    if (!mine_ || changing_) return;
    switch (phase_) {
        case Phase::idle:
            return tickIdle(now);
        case Phase::founding:
        case Phase::checking:
            if (now - since_ > asksWithin) to(Phase::idle, now);
            return;
        case Phase::guarding:
            if (now - since_ > guardsWithin) to(Phase::idle, now);
            return;
        case Phase::pausing:
            return tickPausing(now);
        case Phase::promoting:
            return tickPromoting(now);
        case Phase::rising:
            return tickRising(now);
        case Phase::settling:
            return tickSettling(now);
    }
}

// Idle: from the start or the end of a succession until one is due.
void Succession::tickIdle(Nanoseconds now) {
    const auto lead = known();
    if (!lead) {
        if (now - askedAt_ >= askAgain) found(now);
        return;
    }
    if (!lead->steady) {  // begun by a member that is gone, or by this one in an earlier life or attempt
        log("taking over what " + lead->holder + " began");
        return guard(now, false);
    }
    const Json* body = record(lead->store);
    if (body && body->value("standing", "") == "winding_down" && now >= quietUntil_) return guard(now, true);
    resumeReplicas(*lead, now);
    updateReplicas(*lead, now);
}

// An owner that died behind its last write may have left replicas paused, also some that were not on record
// then. Each is resumed once by each life that owns the lead of a fence.
void Succession::resumeReplicas(const Lead& lead, Nanoseconds now) {
    if (lead.fence == 0) return;  // nobody was ever paused
    if (lead.fence != resumedFence_) resumed_.clear();
    resumedFence_ = lead.fence;
    for (const std::string& store : lead.replicas)
        if (record(store) && !resumed_.count(store)) toResume_.insert(store);
    if (toResume_.empty() || now - resumedAt_ < resumeAfter_) return;
    resumedAt_ = now;
    resumeAfter_ = std::min(2 * resumeAfter_, resumeSeldom);
    confirm(lead, now);
}

// Founding: no lead is on record. From the question to the store that says it leads until its answer.
void Succession::found(Nanoseconds now) {
    for (const std::string& store : listed()) {
        const Json* body = record(store);
        if (body->value("role", "") != "head_office") continue;
        beginAttempt();
        to(Phase::founding, now);
        askedAt_ = now;
        return ask(store, Statement::status, "STATUS", now);
    }
}

void Succession::founded(const Ask& asked, const std::optional<StoreRow>& row, Nanoseconds now) {
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
    lead.addresses = addressesOf(lead.replicas, lead);
    changing_ = true;
    means_.change(service_, 0, lead, [this](std::optional<Lead> stands) {
        changing_ = false;
        if (stands) log("is " + stands->store + " in term " + std::to_string(stands->term));
    });
}

// Checking: from a front's complaint until the lead's answer. Another store may lead by then.
void Succession::checked(const Ask& asked, const std::optional<StoreRow>& row, Nanoseconds now) {
    to(Phase::idle, now);
    const auto lead = known();
    if (!lead || lead->store != asked.store) return;
    if (!row || !row->primary) return guard(now, false);
    quietUntil_ = now + believed;
}

// Guarding: from the beginning of a succession until a majority holds that the lead may change. From a lease
// later on no front reads from the old lead without proof. The fence grows each time, so that what an earlier
// owner, life or attempt still sends is of a lower one.
void Succession::guard(Nanoseconds now, bool planned) {
    const auto lead = known();
    if (!lead) return;
    beginAttempt();
    planned_ = planned && lead->steady;
    predecessor_ = lead->fence > 0 && lead->fence != ownFence_;
    tookOver_ = !lead->steady;
    rows_.clear();
    leadHas_.reset();
    paused_.clear();
    toResume_.clear();
    resumed_.clear();
    target_.clear();
    to(Phase::guarding, now);
    Lead next = *lead;
    next.steady = false;
    next.holder = self_;
    ++next.fence;
    ++next.seq;
    changing_ = true;
    const auto ended = [this, begun = now, attempt = attempt_](std::optional<Lead> stands) {
        changing_ = false;
        if (!stands || attempt != attempt_) return;
        lead_ = *stands;
        ownFence_ = lead_.fence;
        confirmedAt_ = begun;
        log(planned_ ? "to pass on from " + lead_.store + " which winds down"
                     : "lost, was " + lead_.store + "; fence " + std::to_string(lead_.fence));
        guardedAt_ = 0;  // set by the first tick behind
        phase_ = Phase::pausing;
        askedAt_ = 0;
        pauseTerm_ = lead_.term;
        verifyingSince_ = 0;
        posted_ = false;
    };
    means_.change(service_, lead->seq, next, ended);
}

// Pausing: from the register's write until enough replicas were heard to stand still, asked for after the
// wait, or until the old primary turns out to be well, or another to lead already.
void Succession::tickPausing(Nanoseconds now) {
    if (guardedAt_ == 0) guardedAt_ = since_ = now;
    if (planned_ && target_.empty() && !chooseTarget()) return standDown(now);
    if (planned_ && now - guardedAt_ > waitsBeforePromotion() + catchesUpWithin) {
        log("not passed on to " + target_ + ": " + whatIsMissing());
        return standDown(now);
    }
    if (now - askedAt_ >= askAgain) askAll(now);
    weigh(now);
}

// Planned: the first that accepts work. It goes on receiving until the others have nothing that it lacks.
bool Succession::chooseTarget() {
    for (const std::string& store : others())
        if (accepting(store) && (target_.empty() || store < target_)) target_ = store;
    return !target_.empty();
}

void Succession::askAll(Nanoseconds now) {
    askedAt_ = now;
    if (!planned_) ask(lead_.store, Statement::status, "STATUS", now);
    if (verifyingSince_ == 0) {
        // One that was promoted by an owner that did not live to say so ends the wait.
        if (tookOver_)
            for (const std::string& store : others()) ask(store, Statement::status, "STATUS", now);
        return;
    }
    if (confirmed(now)) return pauseReplicas(now);
    confirm(lead_, now);
}

// Each PAUSE has a term of its own, above all before: it is never said twice, and its row shows that the
// replica stands still since.
void Succession::pauseReplicas(Nanoseconds now) {
    askedAt_ = now;
    ++pauseTerm_;
    if (planned_ && !leadHas_) ask(lead_.store, Statement::status, "STATUS", now);
    for (const std::string& store : others()) {
        if (planned_ &&
            store == target_)  // shows its row like STATUS, should an earlier owner have paused it
            ask(store, Statement::resume, "RESUME", now);
        else if (!paused_.count(store))
            pause(store, now);
    }
}

void Succession::pause(const std::string& store, Nanoseconds now) {
    pausesOverAt_ = *confirmedAt_ + confirmedFor() + milliseconds(statementWithin_ms);
    ask(store, Statement::pause, "PAUSE " + std::to_string(pauseTerm_), now);
}

void Succession::rowWhilePausing(const Ask& asked, const std::optional<StoreRow>& row, Nanoseconds now) {
    if (!row) {
        // Perhaps a later term was said to it before, or it leads by now: it is asked for the term it holds.
        if (asked.what == Statement::pause) ask(asked.store, Statement::status, "STATUS", now);
        return;
    }
    if (asked.store == lead_.store) return rowOfOldPrimary(asked, *row, now);
    if (row->primary && row->term > lead_.term)  // promoted by an owner that did not live to say so
        return settle(asked.store, row->term, now);
    if (row->primary && row->term == lead_.term) return leadUnderAnotherName(asked, now);
    const bool target = planned_ && asked.store == target_;
    if (asked.what != Statement::pause && !target) {
        // It still receives, or was paused by another: what it says of its position does not last.
        pauseTerm_ = std::max(pauseTerm_, row->held) + 1;
        if (verifyingSince_ != 0 && confirmed(now) && !paused_.count(asked.store)) pause(asked.store, now);
        return;
    }
    if (!target) paused_.insert(asked.store);
    rows_[asked.store] = *row;
    weigh(now);
}

// It lives and leads on, if no promotion can be under way: one that an earlier owner or attempt asked for has
// shown when the wait is over.
void Succession::rowOfOldPrimary(const Ask& asked, const StoreRow& row, Nanoseconds now) {
    if (!row.primary || row.term != lead_.term) return;
    if (planned_) {
        if (!leadHas_) leadHas_ = row.received;
        return weigh(now);
    }
    if (!leadsOn(asked)) return;
    log(lead_.store + " answers again and leads on");
    standDown(now);
}

// Whether no promotion can have been under way when a store that shows the lead's term was asked.
bool Succession::leadsOn(const Ask& asked) const {
    return !tookOver_ || asked.at >= guardedAt_ + waitsBeforePromotion();
}

// Only one store leads in a term: the lead crashed, nothing was promoted, and it is back with its log.
void Succession::leadUnderAnotherName(const Ask& asked, Nanoseconds now) {
    if (!leadsOn(asked)) return;
    log(lead_.store + " is back as " + asked.store + " and leads on");
    Lead next = lead_;
    next.store = asked.store;
    std::erase_if(next.replicas, [&](const std::string& store) { return isOrWas(store, next); });
    next.addresses = addressesOf(next.replicas, lead_);
    quietUntil_ = now + quietAfterStandDown;
    becomeSteady(std::move(next), now);
}

// Replicas are paused only behind the wait: what an earlier owner said to them is over by now, so only a
// restart can set them going again.
void Succession::verify(Nanoseconds now) {
    verifyingSince_ = now;
    asks_.clear();
    rows_.clear();
    paused_.clear();
    askAll(now);
}

// Whether a replica answered, or the store that its log passed to when it left or crashed: at its address.
bool Succession::heard(const std::string& store) const {
    if (rows_.count(store)) return true;
    const std::string address = addressOf(store, lead_);
    if (address.empty()) return false;
    return std::any_of(rows_.begin(), rows_.end(),
                       [&](const auto& each) { return addressOf(each.first, lead_) == address; });
}

// An acknowledged commit is on as many replicas as are synchronous: of any others one may be missing. Where
// the lead itself said how far it was, all that clients were told of under a lease is at or below that; what
// they were told of since, all replicas have that a proxy knew of.
bool Succession::enoughHeard() const {
    if (leadHas_ && oneLongOnRecordHeard()) return true;
    std::vector<std::string> needed = others();
    std::erase_if(needed, [&](const std::string& store) { return isOrWas(store, lead_); });
    const auto answering = static_cast<std::size_t>(
        std::count_if(needed.begin(), needed.end(), [&](const std::string& store) { return heard(store); }));
    const auto sync = static_cast<std::size_t>(std::max(0, means_.syncReplicas(service_)));
    const std::size_t mayMiss =
        sync == 0 ? needed.size() - std::min<std::size_t>(1, needed.size()) : sync - 1;
    return !rows_.empty() && answering + mayMiss >= needed.size();
}

bool Succession::oneLongOnRecordHeard() const {
    return std::any_of(lead_.replicas.begin(), lead_.replicas.end(),
                       [&](const std::string& store) { return !lead_.young.count(store) && heard(store); });
}

// For the log: who was not heard, and how far the others are.
std::string Succession::whatIsMissing() const {
    std::string all;
    for (const std::string& store : others()) {
        const auto row = rows_.find(store);
        const std::string said = row != rows_.end() ? "is at " + granitereel::written(row->second.received)
                                 : heard(store)     ? "is gone, its log was heard"
                                                    : "was not heard";
        if (!all.empty()) all.append(", ");
        all.append(store).append(" ").append(said);
    }
    return all;
}

std::string Succession::furthest() const {
    std::string best;
    for (const auto& [store, row] : rows_) {
        if (best.empty()) {
            best = store;
            continue;
        }
        const Mark& most = rows_.at(best).received;
        const bool preferred = accepting(store) && !accepting(best);
        if (most < row.received || (most == row.received && preferred)) best = store;
    }
    return best;
}

// Promotes where all that must be heard were heard, no front can still believe in the old lead, and no
// earlier owner's call can still arrive where that matters.
void Succession::weigh(Nanoseconds now) {
    if (guardedAt_ == 0 || now - guardedAt_ < waitsBeforePromotion()) return;
    if (verifyingSince_ == 0 || now - verifyingSince_ > verifiesWithin) return verify(now);
    if (!enoughHeard()) return;
    std::string best = furthest();
    if (planned_) {
        const auto target = rows_.find(target_);
        if (target == rows_.end()) return;
        const Mark most = std::max(leadHas_.value_or(Mark()), rows_.at(best).received);
        if (target->second.received < most) return;  // asked again until it has it all
        best = target_;
    }
    target_ = best;
    to(Phase::promoting, now);
    postedAt_ = 0;
    post(now);
}

// Promoting: from the choice of the target until the platform has taken its promotion. Within an attempt
// only this target is asked for; another one needs a new attempt and so a new fence.
void Succession::tickPromoting(Nanoseconds now) {
    if (posting_ != 0) return;
    if (now - verifyingSince_ <= verifiesWithin) {
        if (now - postedAt_ >= askAgain) post(now);
        return;
    }
    // What was heard has aged: a replica may have been started since.
    if (posted_) return guard(now, planned_);
    to(Phase::pausing, now);
    verify(now);
}

// The call leaves only while the confirmation that it rests on is fresh, and never beside another of ours.
void Succession::post(Nanoseconds now) {
    if (posting_ != 0) return;
    if (now - verifyingSince_ > verifiesWithin) return;
    if (!confirmed(now)) return confirm(lead_, now);
    posted_ = true;
    targetHas_ = rows_.at(target_).received;
    posting_ = means_.nextAsk(*this);
    postAttempt_ = attempt_;
    log("promoting " + target_ + " with fence " + std::to_string(lead_.fence));
    means_.outputs().push_back(ToPlatform{posting_, service_, target_, self_, lead_.fence, postWithin_ms,
                                          *confirmedAt_ + confirmedFor()});
}

void Succession::promoted(std::uint64_t no, PromotionAnswer answer, Nanoseconds now) {
    if (no != posting_) return;
    posting_ = 0;
    postedAt_ = now;
    if (phase_ != Phase::promoting || postAttempt_ != attempt_) return;  // of an earlier attempt
    if (answer == PromotionAnswer::accepted) return to(Phase::rising, now);
    if (answer == PromotionAnswer::notSent) return;
    if (answer == PromotionAnswer::conflict) {  // a newer owner, or it does not run: begin again, above
        quietUntil_ = now + quietAfterConflict;
        return abandon("promotion of " + target_ + " was a conflict", now);
    }
    log("promotion of " + target_ + (answer == PromotionAnswer::silent ? " not answered" : " refused"));
}

// Rising: from the platform's answer until the target's beat says that it leads, or a while has passed.
void Succession::tickRising(Nanoseconds now) {
    const Json* body = record(target_);
    const bool shows = body && body->value("role", "") == "head_office" && now - since_ > beatShows;
    if (!shows && now - since_ <= risesWithin) return;
    to(Phase::settling, now);
    askedAt_ = now;
    ask(target_, Statement::status, "STATUS", now);
}

// Settling: until the target itself answers that it leads, and in which term.
void Succession::tickSettling(Nanoseconds now) {
    if (now - since_ > risesWithin) return guard(now, planned_);
    if (now - askedAt_ < askAgain) return;
    askedAt_ = now;
    ask(target_, Statement::status, "STATUS", now);
}

void Succession::answered(std::uint64_t no, std::optional<StoreRow> row, Nanoseconds now) {
    const auto at = asks_.find(no);
    if (at == asks_.end()) return;  // of an earlier attempt
    const Ask asked = at->second;
    asks_.erase(at);
    switch (phase_) {
        case Phase::idle:
            if (asked.what == Statement::resume && row && asked.at >= resumeUntilAskedFrom_) {
                toResume_.erase(asked.store);
                resumed_.insert(asked.store);
            }
            if (row) rowForRelease(asked, *row, now);
            return;
        case Phase::founding:
            return founded(asked, row, now);
        case Phase::checking:
            return checked(asked, row, now);
        case Phase::pausing:
            return rowWhilePausing(asked, row, now);
        case Phase::settling:
            if (row && row->primary && asked.store == target_) settle(asked.store, row->term, now);
            return;
        case Phase::guarding:
        case Phase::promoting:
        case Phase::rising:
            return;
    }
}

void Succession::settle(const std::string& store, std::uint64_t term, Nanoseconds now) {
    Lead next = lead_;
    next.replicas.insert(lead_.store);
    next.replicas.erase(store);
    next.addresses = addressesOf(next.replicas, lead_);
    // A promotion in between may have cut its log back.
    const bool ours = posted_ && store == target_ && term == lead_.term + 1;
    next.retained = ours ? std::optional(targetHas_) : std::nullopt;
    next.store = store;
    next.term = term;
    quietUntil_ = now + believed;
    becomeSteady(std::move(next), now);
}

// Nothing was promoted: replicas go on, and the lead is as it was.
void Succession::standDown(Nanoseconds now) {
    quietUntil_ = now + quietAfterStandDown;
    becomeSteady(lead_, now);
}

// Replicas are resumed only once it stands that the lead is steady: a later owner may have paused them.
void Succession::becomeSteady(Lead next, Nanoseconds now) {
    beginAttempt();
    next.steady = true;
    ++next.seq;
    to(Phase::idle, now);
    changing_ = true;
    const auto ended = [this, begun = now, attempt = attempt_](std::optional<Lead> stands) {
        changing_ = false;
        if (!stands || attempt != attempt_) return;
        log("is " + stands->store + " in term " + std::to_string(stands->term));
        // All of them: an earlier owner may have been cut off before it had resumed what it paused.
        for (const std::string& store : others()) toResume_.insert(store);
        toResume_.insert(lead_.store);
        std::erase_if(toResume_, [&](const std::string& store) { return isOrWas(store, *stands); });
        resumedFence_ = stands->fence;
        resumed_.clear();
        resumeAfter_ = askAgain;
        // A PAUSE of an earlier owner, or one of ours, may still arrive until then.
        resumeUntilAskedFrom_ = std::max(guardedAt_ + lease_, pausesOverAt_);
        resumedAt_ = begun;
        confirmedAt_ = begun;
        resume(begun);
    };
    means_.change(service_, lead_.seq, next, ended);
}

// RESUME changes nothing where a replica receives, so it is said again until it was answered.
void Succession::resume(Nanoseconds now) {
    std::erase_if(toResume_, [&](const std::string& store) { return !record(store); });
    for (const std::string& store : toResume_) ask(store, Statement::resume, "RESUME", now);
}

}  // namespace granitereel::control
