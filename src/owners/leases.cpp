#include "leases.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace granitereel::owners {

namespace {

// Keys of one question: a datagram's worth of answers, at some 25 bytes each.
constexpr std::size_t keysEach = 6;
// As many keys as an elector keeps.
constexpr std::size_t mostSeen = 4096;

// The time until which at least a majority of these grants last; 0 where there is none.
Nanoseconds majorityUntil(const std::vector<int>& electors, const std::map<int, Nanoseconds>& until) {
    std::vector<Nanoseconds> times;
    for (const int elector : electors) {
        const auto found = until.find(elector);
        times.push_back(found == until.end() ? 0 : found->second);
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times.empty() ? 0 : times[times.size() / 2];
}

}  // namespace

std::uint32_t Electors::digest() const {
    std::vector<std::uint32_t> words;
    for (const int each : now) words.push_back(static_cast<std::uint32_t>(each));
    words.push_back(UINT32_MAX);
    for (const int each : before) words.push_back(static_cast<std::uint32_t>(each));
    return XXH32(words.data(), words.size() * sizeof words[0], 0);
}

Electors Electors::first(int fronts) {
    Electors electors;
    const int many = fronts >= 5 ? 5 : fronts >= 3 ? 3 : fronts;
    for (int i = 0; i < many; ++i) electors.now.push_back(i);
    return electors;
}

Leases::Leases(int me, Electors electors, const Terms& terms, std::uint64_t floor, std::uint64_t seed,
               Nanoseconds now, Outlet& outlet)
    : out_(outlet),
      me_(me),
      electors_(std::move(electors)),
      terms_(terms),
      chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483647)),
      highest_(floor),
      now_(now) {
    chance_.discard(2);
    lastQuestion_ = 1 + chance_() % 4096;  // above 1: see Owners::askForTerms
}

const std::string& Leases::nameOf(Key key) const {
    static const std::string unnamed;
    const auto found = keys_.find(key);
    return found == keys_.end() ? unnamed : found->second.name;
}

void Leases::everyElector(const std::function<void(int)>& what) const {
    for (const int each : electors_.now) what(each);
    for (const int each : electors_.before)
        if (std::find(electors_.now.begin(), electors_.now.end(), each) == electors_.now.end()) what(each);
}

void Leases::want(Key key, const std::string& name) {
    Wanted& wanted = keys_[key];
    wanted.name = name;
}

// The owner counts from the sending, and less by what clocks may drift and by the margin; electors count from
// the arrival, and more by the drift: so they go on holding it for the owner after it has stopped.
Nanoseconds Leases::grantedUntil(Nanoseconds sent) const {
    return sent + terms_.lease - 2 * terms_.lease / driftPart - terms_.margin;
}

Nanoseconds Leases::endOf(const Wanted& wanted) const {
    const Nanoseconds now = majorityUntil(electors_.now, wanted.until);
    return electors_.before.empty() ? now : std::min(now, majorityUntil(electors_.before, wanted.until));
}

std::optional<Hold> Leases::holds(Nanoseconds now, Key key) const {
    const auto found = keys_.find(key);
    if (found == keys_.end() || !found->second.held || now >= found->second.end) return {};
    return Hold{found->second.term, found->second.end};
}

std::vector<Key> Leases::held(Nanoseconds now) const {
    std::vector<Key> keys;
    for (const auto& [key, wanted] : keys_)
        if (wanted.held && now < wanted.end) keys.push_back(key);
    return keys;
}

void Leases::judge(Nanoseconds now, Key key, Wanted& wanted, const char* why) {
    wanted.end = endOf(wanted);
    const bool holds = wanted.end > now;
    if (holds == wanted.held) return;
    wanted.held = holds;
    out_.log((holds ? "owns " : "no longer owns ") + wanted.name + ", term " + std::to_string(wanted.term) +
             ": " + why);
    if (holds) {
        wanted.lost = 0;
    } else {
        // A later hold is a new one, and needs a term of its own.
        wanted.until.clear();
        wanted.term = 0;
        wanted.nextAsk = now;
    }
    out_.changed(key, holds);
}

void Leases::ask(Nanoseconds now, int elector, std::vector<Ask> asks) {
    for (std::size_t from = 0; from < asks.size(); from += keysEach) {
        Talk talk;
        talk.number = ++lastQuestion_;
        talk.electors = electors_.digest();
        talk.highest = highest_;
        talk.lease = terms_.lease;
        talk.asks.assign(asks.begin() + static_cast<std::ptrdiff_t>(from),
                         asks.begin() + static_cast<std::ptrdiff_t>(std::min(asks.size(), from + keysEach)));
        questions_[talk.number] = {elector, now, talk.asks, false};
        out_.send(elector, talk);
    }
}

void Leases::giveBack(Nanoseconds now, Key key, const Wanted& wanted, Nanoseconds hold) {
    now_ = now;
    everyElector([&](int elector) {
        const auto found = wanted.until.find(elector);
        if (found == wanted.until.end()) return;
        Talk talk;
        talk.number = ++lastQuestion_;
        talk.electors = electors_.digest();
        talk.highest = highest_;
        talk.releases = {{key, wanted.term, hold}};
        out_.send(elector, talk);
    });
}

void Leases::drop(Nanoseconds now, Key key, Nanoseconds hold) {
    const auto found = keys_.find(key);
    if (found == keys_.end()) return;
    Wanted wanted = std::move(found->second);
    keys_.erase(found);
    for (auto& [number, question] : questions_)
        std::erase_if(question.asks, [key](const Ask& ask) { return ask.key == key; });
    if (wanted.until.empty()) return;
    giveBack(now, key, wanted, hold);
    if (!wanted.held) return;
    out_.log("gives back " + wanted.name + ", term " + std::to_string(wanted.term));
    out_.changed(key, false);
}

void Leases::heard(Nanoseconds now, int from, const Talk& talk) {
    now_ = now;
    highest_ = std::max(highest_, talk.highest);
    const auto found = questions_.find(talk.answers);
    if (found == questions_.end() || found->second.elector != from) return;
    const Question question = std::move(found->second);
    questions_.erase(found);
    if (talk.otherList) {
        if (!std::exchange(otherListTold_, true))
            out_.log("front " + std::to_string(from) +
                     " goes by another list of electors, and grants nothing");
        return;
    }
    if (talk.silent > 0) {
        // It will be askable then; not all shall come at the same moment.
        for (const Ask& each : question.asks) {
            const auto at = keys_.find(each.key);
            if (at == keys_.end() || at->second.held) continue;
            const Nanoseconds then =
                now + talk.silent + static_cast<Nanoseconds>(chance_() % 1000) * terms_.lease / 8000;
            at->second.nextAsk = std::min(at->second.nextAsk, then);
        }
        return;
    }
    // An answer to what was asked before the clock stood still, or too long ago, is of no use.
    const Nanoseconds until = grantedUntil(question.sent);
    if (question.renews) {
        std::vector<Ask> again;
        for (const Ask& each : question.asks) {
            const auto at = keys_.find(each.key);
            if (at == keys_.end() || at->second.term != each.term) continue;
            if (talk.same) {
                Nanoseconds& known = at->second.until[from];
                known = std::max(known, until);
                judge(now, each.key, at->second, "renewed");
            } else {
                again.push_back(each);
            }
        }
        // It has started anew, or lost what was asked: it is asked for each key again, with its term.
        if (!again.empty()) ask(now, from, std::move(again));
        return;
    }
    for (const Reply& reply : talk.replies) {
        highest_ = std::max(highest_, reply.term);
        const auto asked = std::find_if(question.asks.begin(), question.asks.end(),
                                        [&](const Ask& each) { return each.key == reply.key; });
        const auto at = keys_.find(reply.key);
        if (asked == question.asks.end() || at == keys_.end() || at->second.term != asked->term) continue;
        Wanted& wanted = at->second;
        if (reply.granted) {
            wanted.until[from] = std::max(wanted.until[from], until);
            judge(now, reply.key, wanted, "granted by most electors");
        } else if (!wanted.held) {
            // Another holds it, or a term that was too low: again when there is a chance.
            // Who holds it may have as little as this front, and give it back soon: a quarter of a lease at
            // most.
            const Nanoseconds pause = std::clamp<Nanoseconds>(reply.busy, 0, terms_.lease / 4);
            if (pause > 0)
                wanted.nextAsk = std::max(wanted.nextAsk, now + pause);
            else if (reply.term >= wanted.term)
                wanted.nextAsk = now;
        }
    }
}

void Leases::tick(Nanoseconds now) {
    now_ = now;
    std::erase_if(questions_, [&](const auto& each) { return now - each.second.sent > terms_.lease; });
    for (auto& [key, wanted] : keys_)
        if (wanted.held && now >= wanted.end) judge(now, key, wanted, "its time was over, and not renewed");
    std::vector<Ask> asks;
    for (auto& [key, wanted] : keys_) {
        if (wanted.held) continue;
        // Grants that came to less than a majority are given back, so that two who race don't block each
        // other.
        if (!wanted.until.empty() && (now >= wanted.giveUpAt || now >= wanted.nextAsk)) {
            giveBack(now, key, wanted, 0);
            wanted.until.clear();
            wanted.term = 0;
        }
        if (now < wanted.nextAsk) continue;
        wanted.giveUpAt = now + terms_.lease / 8;
        wanted.term = highest_ + 1;
        // After each try that came to nothing a longer pause by chance, a lease at most.
        const Nanoseconds most = std::min(terms_.lease, (terms_.lease / 8) << std::min(wanted.lost, 3));
        wanted.nextAsk = now + terms_.lease / 8 + static_cast<Nanoseconds>(chance_() % 1000) * most / 1000;
        ++wanted.lost;
        asks.push_back({key, wanted.term});
    }
    if (!asks.empty()) {
        highest_ = std::max(highest_, asks.back().term);
        everyElector([&](int elector) { ask(now, elector, asks); });
    }
    if (now < nextRenewal_) return;
    // Three renewals in a lease: two may be lost.
    nextRenewal_ = now + terms_.lease / 3;
    everyElector([&](int elector) {
        Question question{elector, now, {}, true};
        Talk talk;
        std::vector<Ask> missing;
        for (const auto& [key, wanted] : keys_) {
            if (!wanted.held) continue;
            const auto granted = wanted.until.find(elector);
            // What it has not granted yet, or let lapse by its own clock for all that is known, is asked for.
            if (granted == wanted.until.end() || granted->second <= now) {
                missing.push_back({key, wanted.term});
            } else {
                question.asks.push_back({key, wanted.term});
                talk.held ^= digestOf(question.asks.back());
            }
        }
        if (!missing.empty()) ask(now, elector, std::move(missing));
        if (question.asks.empty()) return;
        talk.number = ++lastQuestion_;
        talk.electors = electors_.digest();
        talk.highest = highest_;
        talk.lease = terms_.lease;
        talk.renews = true;
        questions_[talk.number] = std::move(question);
        out_.send(elector, talk);
    });
}

Nanoseconds Leases::next() const {
    bool any = false;
    Nanoseconds when = now_ + terms_.lease;
    for (const auto& [key, wanted] : keys_) {
        any |= wanted.held;
        when = std::min(when, wanted.held ? wanted.end : wanted.nextAsk);
        if (!wanted.held && !wanted.until.empty()) when = std::min(when, wanted.giveUpAt);
    }
    if (any) when = std::min(when, nextRenewal_);
    return std::max(when, now_ + milliseconds(1));
}

void Leases::leave(Nanoseconds now, const std::function<int(Key)>& heir,
                   const std::function<Nanoseconds(Key)>& hold) {
    std::map<int, std::vector<Key>> heirs;
    for (const Key key : held(now)) {
        const int next = heir(key);
        if (next >= 0 && next != me_) heirs[next].push_back(key);
    }
    const std::map<Key, Wanted> all = keys_;
    for (const auto& [key, wanted] : all) drop(now, key, hold(key));
    for (auto& [next, keys] : heirs)
        for (std::size_t from = 0; from < keys.size(); from += 2 * keysEach) {
            Talk talk;
            talk.electors = electors_.digest();
            talk.highest = highest_;
            talk.handed.assign(
                keys.begin() + static_cast<std::ptrdiff_t>(from),
                keys.begin() + static_cast<std::ptrdiff_t>(std::min(keys.size(), from + 2 * keysEach)));
            out_.send(next, talk);
        }
}

void Leases::spread(Nanoseconds now, const std::function<int(Key)>& duty,
                    const std::function<Nanoseconds(Key)>& hold) {
    if (now < nextSpread_) return;
    nextSpread_ = now + terms_.lease / 3;
    for (auto& [key, wanted] : keys_) {
        if (!wanted.held) continue;
        const int named = duty(key);
        if (named == me_ || named < 0) {
            wanted.othersSince = 0;
        } else if (wanted.othersSince == 0) {
            wanted.othersSince = now;
        } else if (now - wanted.othersSince >= terms_.spread) {
            out_.log("hands " + wanted.name + " to front " + std::to_string(named) + ", whose duty it is");
            Talk talk;
            talk.electors = electors_.digest();
            talk.highest = highest_;
            talk.handed = {key};
            drop(now, key, hold(key));
            out_.send(named, talk);
            return;  // one at a time
        }
    }
}

void Leases::slept(Nanoseconds now) {
    questions_.clear();
    for (auto& [key, wanted] : keys_) {
        wanted.until.clear();
        judge(now, key, wanted, "the clock stood still");
    }
}

bool Fence::admits(Nanoseconds now, Key key, std::uint64_t term, Nanoseconds end) {
    return now < end && term >= seen(key);
}

std::uint64_t Fence::seen(Key key) const {
    const auto found = seen_.find(key);
    return found == seen_.end() ? floor_ : found->second.term;
}

void Fence::note(Key key, std::uint64_t term, int owner, Nanoseconds end) {
    if (term < seen(key)) return;
    seen_[key] = {term, owner, end};
    while (seen_.size() > mostSeen) {
        const auto oldest = std::min_element(seen_.begin(), seen_.end(), [](const auto& a, const auto& b) {
            return a.second.end < b.second.end;
        });
        floor_ = std::max(floor_, oldest->second.term);
        seen_.erase(oldest);
    }
}

}  // namespace granitereel::owners
