#include "elector.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace granitereel::owners {

namespace {
// Keys are some for each store and group: a tier of 300 fronts has hundreds. Past this many the terms of the
// keys that were not asked for longest are kept as one.
constexpr std::size_t mostKeys = 4096;
}  // namespace

std::uint32_t digestOf(const Ask& held) {
    const std::uint64_t words[] = {held.key, held.term};
    return XXH32(words, sizeof words, 0);
}

Elector::Elector(Nanoseconds now, Nanoseconds longestLease, std::uint32_t list)
    : longestLease_(longestLease),
      // Twice the drift: its own clock against the one that counted, and that one against the owner's.
      silentUntil_(now + longestLease + 2 * longestLease / driftPart),
      list_(list) {}

void Elector::learn(Nanoseconds now, std::uint64_t term) {
    highest_ = std::max(highest_, term);
    if (silent(now)) floor_ = highest_;
}

Reply Elector::answer(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds lease, const Ask& ask) {
    const auto found = grants_.find(ask.key);
    Grant grant = found == grants_.end() ? Grant{-1, 0, floor_, 0} : found->second;
    const bool live = grant.until > now, its = grant.owner == from && grant.birth == birth;
    if (live && !its) return {ask.key, false, grant.term, grant.owner, grant.until - now};
    // Its own term once more is no news; else a term has to be higher than any before.
    if (its ? ask.term < grant.term : ask.term <= grant.term) return {ask.key, false, grant.term, -1, 0};
    highest_ = std::max(highest_, ask.term);
    grants_[ask.key] = {from, birth, ask.term, now + lease + lease / driftPart};
    return {ask.key, true, ask.term, -1, 0};
}

Talk Elector::heard(Nanoseconds now, int from, std::uint32_t birth, const Talk& talk) {
    learn(now, talk.highest);
    Talk answer;
    answer.answers = talk.number;
    answer.electors = list_;
    // A term that is only asked for need not have been anyone's; it is learnt when it is granted.
    if (talk.electors != list_) {
        answer.otherList = true;
    } else if (silent(now)) {
        answer.silent = silentUntil_ - now;
    } else {
        const Nanoseconds lease = std::clamp<Nanoseconds>(talk.lease, 0, longestLease_);
        for (const Release& release : talk.releases) {
            const auto found = grants_.find(release.key);
            if (found == grants_.end() || found->second.owner != from || found->second.birth != birth ||
                found->second.term != release.term)
                continue;
            found->second.owner = -1;
            found->second.until = now + std::clamp<Nanoseconds>(release.hold, 0, longestLease_);
        }
        for (const Ask& ask : talk.asks) answer.replies.push_back(this->answer(now, from, birth, lease, ask));
        if (talk.renews) {
            std::uint32_t held = 0;
            std::vector<Grant*> its;
            for (auto& [key, grant] : grants_)
                if (grant.owner == from && grant.birth == birth && grant.until > now) {
                    held ^= digestOf({key, grant.term});
                    its.push_back(&grant);
                }
            answer.same = held == talk.held;
            if (answer.same)
                for (Grant* grant : its)
                    grant->until = std::max(grant->until, now + lease + lease / driftPart);
        }
        forgetSome(now);
    }
    answer.highest = highest_;
    return answer;
}

void Elector::forgetSome(Nanoseconds now) {
    while (grants_.size() > mostKeys) {
        auto oldest = grants_.end();
        for (auto each = grants_.begin(); each != grants_.end(); ++each)
            if (each->second.until <= now &&
                (oldest == grants_.end() || each->second.until < oldest->second.until))
                oldest = each;
        if (oldest == grants_.end()) return;
        floor_ = std::max(floor_, oldest->second.term);
        grants_.erase(oldest);
    }
}

}  // namespace granitereel::owners
