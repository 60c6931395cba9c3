#include "agent/parent_search.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace granitereel::agent {

namespace {
constexpr Nanoseconds shortestBackoff = milliseconds(2'000), longestBackoff = milliseconds(16'000);
// Connections that may be on their way at once: a machine without power says nothing for a second, and others
// are tried beside it.
constexpr int dialsMost = 3;
constexpr Nanoseconds dialEvery = milliseconds(100);
// Once all have been tried in vain, a further round is slower: thousands of agents may be searching while no
// member has a lease.
constexpr Nanoseconds dialAgainEvery = milliseconds(1'000);
// A new link is given so long before a better one is sought, which is then looked for as often.
constexpr Nanoseconds betterEvery = milliseconds(500);
// All must have been tried within this, and so much more for each address.
constexpr Nanoseconds triedWithin = milliseconds(1'000), triedWithinEach = milliseconds(650);
// A longer time between two ticks was no search: the process stood still.
constexpr Nanoseconds tickMost = milliseconds(300);
}  // namespace

void ParentSearch::linked(const std::string& parent, Nanoseconds now) {
    // A parent that was found to give no lease has been tried in this search, from when it was linked.
    if (withoutLease(now)) triedAt_[parent_] = linkedAt_;
    if (parent.empty()) nextDialAt_ = std::min(nextDialAt_, now + dialEvery);
    parent_ = parent;
    linkedAt_ = grantedAt_ = now;
    if (!parent.empty()) triedAt_[parent] = now;
}

void ParentSearch::granted(Nanoseconds now) {
    // Where all failed, it was this process that was cut off: that tells nothing of the others.
    const bool searched = searchedFor_ > 0 && !searched_.empty();
    if (searched && std::all_of(searched_.begin(), searched_.end(), [&](const auto& each) {
            return each == parent_ || backoffs_.count(each) > 0;
        }))
        backoffs_.clear();
    grantedAt_ = now;
    searchedFor_ = 0;
    nextDialAt_ = std::min(nextDialAt_, now + dialEvery);
    triedAt_.clear();
    backoffs_.erase(parent_);
}

void ParentSearch::failed(const std::string& address, Nanoseconds now) {
    Backoff& backoff = backoffs_[address];
    backoff.length = std::clamp(2 * backoff.length, shortestBackoff, longestBackoff);
    backoff.until = now + backoff.length;
}

bool ParentSearch::backedOff(const std::string& address, Nanoseconds now) const {
    const auto at = backoffs_.find(address);
    return at != backoffs_.end() && now < at->second.until;
}

ParentSearch::Addresses ParentSearch::ranked(const Addresses& preferred, Nanoseconds now) const {
    Addresses all = preferred;
    std::stable_partition(all.begin(), all.end(), [&](const auto& each) { return !backedOff(each, now); });
    return all;
}

// Whether the address comes before the parent; an unknown parent comes last.
bool ParentSearch::better(const std::string& address, const Addresses& preferred) const {
    const auto parent = std::find(preferred.begin(), preferred.end(), parent_);
    return std::find(preferred.begin(), parent, address) != parent;
}

bool ParentSearch::improves(const std::string& address, const Addresses& preferred, Nanoseconds now) const {
    return searching(now) || better(address, preferred);
}

std::optional<std::string> ParentSearch::wanted(const Addresses& preferred, Nanoseconds now) const {
    if (!searching(now)) {
        const auto at = std::find_if(preferred.begin(), preferred.end(),
                                     [&](const auto& each) { return !backedOff(each, now); });
        if (at == preferred.end() || !better(*at, preferred)) return std::nullopt;
        return *at;
    }
    // The one whose last try is longest ago; of those not tried yet, one without a back-off.
    const auto rank = [&](const std::string& address) {
        const auto tried = triedAt_.find(address);
        return std::tuple(tried == triedAt_.end() ? Nanoseconds(0) : tried->second, backedOff(address, now));
    };
    std::optional<std::string> first;
    for (const std::string& each : preferred)
        if (each != parent_ && (!first || rank(each) < rank(*first))) first = each;
    return first;
}

bool ParentSearch::mayDial(Nanoseconds now) const {
    if (searching(now)) return now >= nextDialAt_ && dialsUnderWay_ < dialsMost;
    return now >= nextBetterAt_ && dialsUnderWay_ == 0 && now - linkedAt_ > betterEvery;
}

std::optional<std::string> ParentSearch::dial(const Addresses& preferred, Nanoseconds now) {
    if (!mayDial(now)) return std::nullopt;
    nextBetterAt_ = now + betterEvery;
    std::optional<std::string> address = wanted(preferred, now);
    if (!address) return std::nullopt;
    const bool again = !parent_.empty() && triedAt_.count(*address);
    nextDialAt_ = now + (again ? dialAgainEvery : dialEvery);
    triedAt_[*address] = now;
    ++dialsUnderWay_;
    return address;
}

std::size_t ParentSearch::untried(const Addresses& preferred) const {
    return static_cast<std::size_t>(std::count_if(preferred.begin(), preferred.end(), [&](const auto& each) {
        return each != parent_ && !triedAt_.count(each);
    }));
}

std::optional<std::string> ParentSearch::tick(const Addresses& preferred, Nanoseconds now) {
    const Nanoseconds passed = std::min(now - std::exchange(tickedAt_, now), tickMost);
    if (preferred != searched_) {
        searched_ = preferred;
        searchedFor_ = 0;
    }
    searchedFor_ += passed;
    const Nanoseconds bound = triedWithin + static_cast<Nanoseconds>(preferred.size()) * triedWithinEach;
    const std::size_t left = searchedFor_ <= bound ? 0 : untried(preferred);
    return allTried_.check(left == 0, std::to_string(left) + " of " + std::to_string(preferred.size()) +
                                          " not tried in " + std::to_string(searchedFor_ / milliseconds(1)) +
                                          " ms");
}

}  // namespace granitereel::agent
