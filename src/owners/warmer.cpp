#include "warmer.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::owners {

namespace {

// Cold stores are looked at so often: one is cold for many seconds.
constexpr Nanoseconds between = milliseconds(200);
// What was lent is used by the work that it was asked for, or by the next that comes within this time: with
// what the owner saves, what can come at once stays below what a fall is reckoned over.
constexpr Nanoseconds lentFor = milliseconds(1000);
// A slice that would end sooner is not worth sending.
constexpr Nanoseconds leastLent = milliseconds(50);
// The owner saves up no more than this time's worth: a fall is reckoned over about three times as long.
constexpr Nanoseconds saved = milliseconds(500);
// Asked again after so long without an answer, and after three in vain for another owner. What is not asked
// for again by then has been sent elsewhere, or been refused.
constexpr Nanoseconds askAgain = milliseconds(250), waitsFor = milliseconds(300);
constexpr int mostVain = 3;
// A front where work waited within this time needs its part itself.
constexpr Nanoseconds needsItself = milliseconds(1000);
// The owner calls on so many fronts first, then on twice as many each time that work still waits after this:
// an answer takes two ways of the network.
constexpr int firstCalls = 8;
constexpr Nanoseconds betweenCalls = milliseconds(60);
// The time of sending of what was heard is known but for the shortest delay on its way: less than this
// between fronts of a tier.
constexpr Nanoseconds shortestDelay = milliseconds(100);
// Called at once: so many datagrams fill no buffer.
constexpr int mostCalls = 64;
constexpr double millionth = 1e-6;

// Lists tell a store's start in milliseconds, perhaps with parts of them; whole ones travel.
bool sameStart(Nanoseconds a, Nanoseconds b) {
    return a / milliseconds(1) == b / milliseconds(1);
}

}  // namespace

Warmer::Warmer(int me, Nanoseconds now, Owners& owners, View view, const Pace& pace, Till& till,
               std::function<void(int, const Warm&)> send, std::function<void(const std::string&)> log)
    : me_(me),
      owners_(owners),
      view_(std::move(view)),
      pace_(pace),
      till_(till),
      send_(std::move(send)),
      log_(std::move(log)),
      born_(now),
      now_(now) {}

std::string Warmer::storeOf(Key key) const {
    const auto found = mine_.find(key);
    return found == mine_.end() ? "" : found->second.store;
}

// What is owned here, by the lease as it stands now; null else.
Warmer::Pot* Warmer::owned(Key key) {
    const auto found = pots_.find(key);
    if (found == pots_.end() || found->second.term == 0) return nullptr;
    const auto hold = owners_.holds(now_, key);
    return hold && hold->term == found->second.term ? &found->second : nullptr;
}

void Warmer::look() {
    nextLook_ = now_ + between;
    std::map<Key, Cold> cold;
    for (Cold& each : till_.cold()) {
        const Key key = keyOf("warm/" + each.store);
        cold[key] = std::move(each);
    }
    std::vector<Key> over;
    for (const auto& [key, mine] : mine_) {
        const auto found = cold.find(key);
        if (found == cold.end() || found->second.started != mine.started) over.push_back(key);
    }
    for (const Key key : over) {
        Mine& mine = mine_.at(key);
        owners_.needless(now_, key);  // first, as it asks for how long what was lent may still be used
        if (const auto pot = pots_.find(key); pot != pots_.end()) {
            if (pot->second.term > 0) end(key, mine, pot->second, "the store is warm, gone or started again");
            pots_.erase(pot);
        }
        if (mine.cededTo >= 0) takeBack(mine);
        mine_.erase(key);
    }
    for (auto& [key, each] : cold) {
        const auto [at, fresh] = mine_.emplace(key, Mine{});
        Mine& mine = at->second;
        mine.part = each.part;
        if (!fresh) continue;
        mine.store = std::move(each.store);
        mine.started = each.started;
        owners_.need(key, "warm/" + mine.store);
        // An earlier process of this name may have ceded as much, and died: what it promised is kept.
        if (now_ < born_ + pace_.ceded && mine.started < born_) {
            mine.cededTo = me_;
            mine.cededUntil = born_ + pace_.ceded;
            till_.cede(mine.store, mine.part * pace_.share);
        } else {
            cede(key, mine, owners_.duty(key));
        }
    }
    for (auto& [key, mine] : mine_) settle(key, mine);
}

// Sees to one store: whether this front owns it, for how long it has ceded its part, and what was ceded to
// it.
void Warmer::settle(Key key, Mine& mine) {
    if (mine.cededTo >= 0 && now_ >= mine.cededUntil) takeBack(mine);
    const auto hold = leaving_ ? std::optional<Hold>() : owners_.holds(now_, key);
    auto found = pots_.find(key);
    if (found != pots_.end() && found->second.term > 0 && (!hold || hold->term != found->second.term))
        end(key, mine, found->second, "its lease is over");
    if (hold && (found == pots_.end() || found->second.term == 0)) begin(key, mine, pots_[key], *hold);
}

void Warmer::begin(Key key, Mine& mine, Pot& pot, const Hold& hold) {
    pot.term = hold.term;
    pot.at = now_;
    pot.amount = 0;
    owners_.fence().note(key, hold.term, me_, hold.end);
    mine.term = hold.term;
    mine.owner = me_;
    log_("lends for store " + mine.store + ", term " + std::to_string(hold.term));
}

void Warmer::end(Key key, Mine& mine, Pot& pot, const char* why) {
    log_("lends no more for store " + mine.store + ", term " + std::to_string(pot.term) + ": " + why);
    if (mine.term == pot.term) mine.term = 0, mine.owner = -1;
    pot.term = 0;
    pot.amount = 0;
    pot.queue.clear();
    giveBack(key, pot);
}

// Who ceded to this front may have it back: none of it is lent from now on. A store that is warm needs no
// credit.
void Warmer::giveBack(Key key, Pot& pot) {
    const auto mine = mine_.find(key);
    for (auto& [front, lender] : pot.lenders) {
        if (lender.until <= now_) continue;
        lender.until = now_;
        Warm warm;
        warm.returns = {{key, lender.number}};
        if (front != me_)
            send_(front, warm);
        else if (mine != mine_.end() && mine->second.cededTo == me_)
            takeBack(mine->second);
    }
}

// While work waits for more than is at hand: calls on fronts that were not called lately, from a place in
// their row that differs from store to store, itself among them.
void Warmer::call(Key key, Pot& pot) {
    if (pot.queue.empty() || now_ < pot.nextCall) return;
    const auto hold = owners_.holds(now_, key);
    if (!hold || hold->term != pot.term) return;
    std::erase_if(pot.called, [this](const auto& each) { return each.second <= now_; });
    Warm warm;
    warm.opens = {{key, pot.term, hold->end - now_, true}};
    const std::vector<int> here = view_.here();
    pot.calls = std::clamp(2 * pot.calls, firstCalls, mostCalls);
    int left = pot.calls;
    for (std::size_t i = 0; i < here.size() && left > 0; ++i) {
        const int each = here[(i + key % here.size()) % here.size()];
        const bool waits = std::any_of(pot.queue.begin(), pot.queue.end(),
                                       [each](const Waiting& waiting) { return waiting.front == each; });
        if (waits || pot.called.count(each)) continue;
        pot.called[each] = now_ + pace_.ceded;
        --left;
        if (each == me_)
            cede(key, mine_.at(key), me_);
        else
            send_(each, warm);
    }
    pot.nextCall = now_ + betweenCalls;
}

void Warmer::cede(Key key, Mine& mine, int to) {
    const auto part = static_cast<std::uint32_t>(mine.part * pace_.share / millionth);
    if (part == 0 || to < 0 || mine.cededTo >= 0 || leaving_ || !view_.most() ||
        now_ - mine.lacked < needsItself)
        return;
    // First it earns less here, then the other may lend it.
    till_.cede(mine.store, part * millionth);
    mine.cededTo = to;
    mine.cededUntil = now_ + pace_.ceded;
    ++mine.number;
    ++told_.ceded;
    if (to == me_) {
        Pot& own = pots_[key];
        gather(own);
        own.lenders[me_] = {part * millionth, mine.cededUntil, 0, mine.number};
        return;
    }
    Warm warm;
    warm.cessions = {{key, mine.number, mine.started, part, pace_.ceded}};
    send_(to, warm);
}

void Warmer::takeBack(Mine& mine) {
    mine.cededTo = -1;
    till_.cede(mine.store, 0);
}

void Warmer::gather(Pot& pot) {
    double rate = 0;
    for (const auto& [front, lender] : pot.lenders) {
        if (pot.term == 0 || lender.until <= pot.at) continue;
        rate += lender.part;
        pot.amount += lender.part * double(std::max<Nanoseconds>(0, std::min(now_, lender.until) - pot.at));
    }
    const double wanted = pot.queue.empty() ? 0 : double(pot.queue.front().work);
    pot.amount = std::min(pot.amount, std::max(rate * double(saved), wanted));
    pot.at = now_;
}

// One of each front. Of equal gains the first come.
void Warmer::queue(Pot& pot, const Waiting& waiting) {
    gather(pot);
    std::erase_if(pot.queue, [&](const Waiting& each) { return each.front == waiting.front; });
    const auto at = std::upper_bound(pot.queue.begin(), pot.queue.end(), waiting,
                                     [](const Waiting& a, const Waiting& b) { return a.gain > b.gain; });
    pot.queue.insert(at, waiting);
}

void Warmer::lend(Key key, Pot& pot) {
    std::erase_if(pot.queue, [this](const Waiting& each) { return each.until <= now_; });
    gather(pot);
    while (!pot.queue.empty()) {
        const Waiting first = pot.queue.front();
        // The lease is looked at before each slice; a slice never outlasts it.
        const auto hold = owners_.holds(now_, key);
        if (!hold || hold->term != pot.term || double(first.work) > pot.amount) return;
        const Nanoseconds left = std::min(lentFor, hold->end - now_);
        if (left < leastLent) return;
        pot.queue.erase(pot.queue.begin());
        pot.amount -= double(first.work);
        pot.lastEnd = std::max(pot.lastEnd, now_ + left);
        ++told_.lent;
        Mine& mine = mine_.at(key);
        if (first.front == me_) {
            ++told_.got;
            mine.askAt = 0;
            till_.lend(mine.store, first.work, now_ + left);
        } else {
            Warm warm;
            warm.slices = {{key, pot.term, mine.started, first.work, left}};
            send_(first.front, warm);
        }
        gather(pot);
    }
}

void Warmer::scarce(Nanoseconds now, const std::string& store, const Wish& wish) {
    now_ = now;
    if (leaving_ || !view_.most()) return;
    const Key key = keyOf("warm/" + store);
    const auto found = mine_.find(key);
    if (found == mine_.end()) return;
    Mine& mine = found->second;
    mine.lacked = now_;
    if (now_ < mine.askAt) return;
    mine.askAt = now_ + askAgain;
    // To itself it lends with the next tick, not while the decisions are at work.
    if (Pot* own = owned(key))
        return queue(*own, {me_, wish.work, wish.gain, std::min(wish.until, now_ + waitsFor)});
    if (++mine.vain > mostVain) {  // its owner is gone, cut off or of a version that knows nothing of this
        mine.vain = 0;
        mine.term = 0;
        mine.owner = -1;
    }
    const int target = mine.term > 0 ? mine.owner : mine.hint >= 0 ? mine.hint : owners_.duty(key);
    mine.hint = -1;
    if (target < 0 || target == me_) return;
    ++told_.wants;
    Warm warm;
    warm.wants = {{key, mine.term, wish.work, static_cast<float>(wish.gain),
                   std::max<Nanoseconds>(0, wish.until - now_)}};
    send_(target, warm);
}

void Warmer::opened(int from, Nanoseconds sent, const Warm::Open& open) {
    const auto found = mine_.find(open.key);
    if (found == mine_.end()) return;
    Mine& mine = found->second;
    const Nanoseconds end = sent + open.left;
    if (!owners_.fence().admits(now_, open.key, open.term, end)) {
        ++told_.refused;
        log_("refuses front " + std::to_string(from) + " as owner of warm/" + mine.store + ", term " +
             std::to_string(open.term) + ": " +
             (now_ >= end ? "its time is over"
                          : "term " + std::to_string(owners_.fence().seen(open.key)) + " was seen"));
        return;
    }
    owners_.fence().note(open.key, open.term, from, end);
    mine.vain = 0;
    mine.term = open.term;
    mine.owner = from;
    if (open.call) cede(open.key, mine, from);
}

void Warmer::ceded(int from, std::uint32_t birth, Nanoseconds sent, const Warm::Cession& cession) {
    const auto found = mine_.find(cession.key);
    // Of a store that is not cold here, or of another life of it: it is not lent, and its front takes it back
    // in time.
    if (found == mine_.end() || !sameStart(found->second.started, cession.start)) return;
    Pot& pot = pots_[cession.key];
    gather(pot);
    Lender& lender = pot.lenders[from];
    // Once more, or an older one, or one that was given back.
    if (lender.birth == birth && cession.number <= lender.number) return;
    const Nanoseconds until = sent + cession.time - 2 * cession.time / driftPart - shortestDelay;
    lender = {cession.part * millionth, until, birth, cession.number};
    if (owned(cession.key)) return lend(cession.key, pot);
    // It is kept for when this front owns the key, if that is to be expected.
    if (owners_.duty(cession.key) == me_ && !leaving_) return;
    lender.until = now_;
    Warm answer;
    answer.returns = {{cession.key, cession.number}};
    if (found->second.owner >= 0 && found->second.owner != me_)
        answer.others = {{cession.key, found->second.owner}};
    send_(from, answer);
}

void Warmer::returned(int from, const Warm::Return& given) {
    const auto found = mine_.find(given.key);
    if (found == mine_.end() || found->second.cededTo != from || given.number < found->second.number) return;
    takeBack(found->second);
}

void Warmer::wanted(int from, const Warm::Want& want) {
    Warm answer;
    if (Pot* const own = owned(want.key)) {
        if (want.term != own->term) {
            const auto hold = owners_.holds(now_, want.key);
            answer.opens = {{want.key, own->term, hold->end - now_, false}};
            send_(from, answer);
        }
        if (want.work == 0) return;
        queue(*own, {from, want.work, double(want.gain), now_ + std::min(want.wait, waitsFor)});
        lend(want.key, *own);
        return call(want.key, *own);
    }
    const auto found = mine_.find(want.key);
    const int other = found == mine_.end() || found->second.owner == me_ ? -1 : found->second.owner;
    answer.others = {{want.key, other == from ? -1 : other}};
    send_(from, answer);
}

void Warmer::use(int from, Nanoseconds sent, const Warm::Slice& slice) {
    const auto found = mine_.find(slice.key);
    if (found == mine_.end()) return;
    Mine& mine = found->second;
    const Nanoseconds until = sent + slice.left - 2 * slice.left / driftPart;
    // The place of the effect: what comes under an old term, past its end, or for another life of the store,
    // has none.
    const char* const why = !sameStart(slice.start, mine.started) ? "the store has started again"
                            : now_ >= until                       ? "its time is over"
                            : !owners_.fence().admits(now_, slice.key, slice.term, until)
                                ? "a later term was seen"
                                : nullptr;
    if (why) {
        ++told_.refused;
        log_("refuses a slice of warm/" + mine.store + " from front " + std::to_string(from) + ", term " +
             std::to_string(slice.term) + ": " + why);
        return;
    }
    owners_.fence().note(slice.key, slice.term, from, until);
    mine.vain = 0;
    mine.askAt = 0;
    ++told_.got;
    till_.lend(mine.store, slice.work, until);
}

void Warmer::heard(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds sent, const Warm& warm) {
    now_ = now;
    for (const Warm::Open& each : warm.opens) opened(from, sent, each);
    for (const Warm::Cession& each : warm.cessions) ceded(from, birth, sent, each);
    for (const Warm::Return& each : warm.returns) returned(from, each);
    for (const Warm::Want& each : warm.wants) wanted(from, each);
    for (const Warm::Slice& each : warm.slices) use(from, sent, each);
    for (const Warm::Other& each : warm.others) {
        const auto found = mine_.find(each.key);
        if (found == mine_.end()) continue;
        Mine& mine = found->second;
        if (mine.owner == from) mine.term = 0, mine.owner = -1;
        if (mine.term > 0) continue;
        mine.vain = 0;
        mine.hint = each.owner == me_ ? -1 : each.owner;
        if (mine.hint >= 0) mine.askAt = 0;
    }
}

void Warmer::tick(Nanoseconds now) {
    now_ = now;
    if (now_ >= nextLook_) look();
    for (auto& [key, mine] : mine_)
        if (mine.cededTo >= 0 && now_ >= mine.cededUntil) takeBack(mine);
    for (auto& [key, pot] : pots_) {
        lend(key, pot);
        call(key, pot);
    }
}

Nanoseconds Warmer::next() const {
    Nanoseconds when = nextLook_;
    for (const auto& [key, mine] : mine_)
        if (mine.cededTo >= 0) when = std::min(when, mine.cededUntil);
    for (const auto& [key, pot] : pots_) {
        if (pot.queue.empty()) continue;
        when = std::min(when, pot.nextCall);
        double rate = 0;
        for (const auto& [front, lender] : pot.lenders)
            if (lender.until > now_) rate += lender.part;
        const double lacks = double(pot.queue.front().work) - pot.amount;
        when = std::min(when, rate > 0
                                  ? now_ + static_cast<Nanoseconds>(std::min(lacks / rate, double(waitsFor)))
                                  : pot.queue.front().until);
    }
    return std::max(when, now_ + milliseconds(1));
}

void Warmer::leave(Nanoseconds now) {
    now_ = now;
    if (std::exchange(leaving_, true)) return;
    for (auto& [key, pot] : pots_) {
        if (pot.term > 0) end(key, mine_.at(key), pot, "this front leaves");
        giveBack(key, pot);
    }
}

Nanoseconds Warmer::outFor(Key key) const {
    const auto found = pots_.find(key);
    return found == pots_.end() ? 0 : std::max<Nanoseconds>(0, found->second.lastEnd - now_);
}

}  // namespace granitereel::owners
