#include "agent/parent_search.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace granitereel::agent {

namespace {
constexpr Nanoseconds minBackoff = milliseconds(2'000), maxBackoff = milliseconds(16'000);
// Connections that may be under way at once: a machine without power does not answer for a second, and others
// are tried meanwhile.
constexpr int maxOpenDials = 3;
constexpr Nanoseconds dialInterval = milliseconds(100);
// The interval once all addresses have been tried in vain: thousands of agents may be searching while no
// member has a lease.
constexpr Nanoseconds repeatedDialInterval = milliseconds(1'000);
// For how long a new parent is kept before a better one is looked for, and how often that is done afterwards.
constexpr Nanoseconds betterParentInterval = milliseconds(500);
// All addresses must have been tried within this, and this much more for each address.
constexpr Nanoseconds maxSearchTime = milliseconds(1'000), maxSearchTimePerAddress = milliseconds(650);
// The most that counts between two ticks: in a longer gap the process was stopped and did not search.
constexpr Nanoseconds maxTickGap = milliseconds(300);
}  // namespace

void ParentSearch::setParent(const std::string& parent, Nanoseconds now) {
    // A former parent that granted no lease has been tried in this search, when it became the parent.
    if (leaseMissing(now)) triedAt_[parent_] = parentSetAt_;
    if (parent.empty()) nextDialAt_ = std::min(nextDialAt_, now + dialInterval);
    parent_ = parent;
    parentSetAt_ = leaseGrantedAt_ = now;
    if (!parent.empty()) triedAt_[parent] = now;
}

void ParentSearch::leaseGranted(Nanoseconds now) {
    // Where all addresses failed, this process itself was cut off, which says nothing about the others.
    const bool searched = searchedFor_ > 0 && !searched_.empty();
    if (searched && std::all_of(searched_.begin(), searched_.end(), [&](const auto& each) {
            return each == parent_ || backoffs_.count(each) > 0;
        }))
        backoffs_.clear();
    leaseGrantedAt_ = now;
    searchedFor_ = 0;
    nextDialAt_ = std::min(nextDialAt_, now + dialInterval);
    triedAt_.clear();
    backoffs_.erase(parent_);
}

void ParentSearch::failed(const std::string& address, Nanoseconds now) {
    Backoff& backoff = backoffs_[address];
    backoff.length = std::clamp(2 * backoff.length, minBackoff, maxBackoff);
    backoff.until = now + backoff.length;
}

bool ParentSearch::isBackedOff(const std::string& address, Nanoseconds now) const {
    const auto it = backoffs_.find(address);
    return it != backoffs_.end() && now < it->second.until;
}

ParentSearch::Addresses ParentSearch::ranked(const Addresses& preferred, Nanoseconds now) const {
    Addresses all = preferred;
    std::stable_partition(all.begin(), all.end(), [&](const auto& each) { return !isBackedOff(each, now); });
    return all;
}

// Whether the address ranks before the parent; an unknown parent ranks last.
bool ParentSearch::isPreferred(const std::string& address, const Addresses& preferred) const {
    const auto parent = std::find(preferred.begin(), preferred.end(), parent_);
    return std::find(preferred.begin(), parent, address) != parent;
}

bool ParentSearch::improves(const std::string& address, const Addresses& preferred, Nanoseconds now) const {
    return isSearching(now) || isPreferred(address, preferred);
}

std::optional<std::string> ParentSearch::nextCandidate(const Addresses& preferred, Nanoseconds now) const {
    if (!isSearching(now)) {
        const auto it = std::find_if(preferred.begin(), preferred.end(),
                                     [&](const auto& each) { return !isBackedOff(each, now); });
        if (it == preferred.end() || !isPreferred(*it, preferred)) return std::nullopt;
        return *it;
    }
    // The one that was tried longest ago; among those not tried yet, one without a back-off.
    const auto rank = [&](const std::string& address) {
        const auto tried = triedAt_.find(address);
        return std::tuple(tried == triedAt_.end() ? Nanoseconds(0) : tried->second,
                          isBackedOff(address, now));
    };
    std::optional<std::string> first;
    for (const std::string& each : preferred)
        if (each != parent_ && (!first || rank(each) < rank(*first))) first = each;
    return first;
}

bool ParentSearch::canDial(Nanoseconds now) const {
    if (isSearching(now)) return now >= nextDialAt_ && openDials_ < maxOpenDials;
    return now >= nextBetterAt_ && openDials_ == 0 && now - parentSetAt_ > betterParentInterval;
}

std::optional<std::string> ParentSearch::startDial(const Addresses& preferred, Nanoseconds now) {
    if (!canDial(now)) return std::nullopt;
    nextBetterAt_ = now + betterParentInterval;
    std::optional<std::string> address = nextCandidate(preferred, now);
    if (!address) return std::nullopt;
    const bool repeated = !parent_.empty() && triedAt_.count(*address);
    nextDialAt_ = now + (repeated ? repeatedDialInterval : dialInterval);
    triedAt_[*address] = now;
    ++openDials_;
    return address;
}

std::size_t ParentSearch::untriedCount(const Addresses& preferred) const {
    return static_cast<std::size_t>(std::count_if(preferred.begin(), preferred.end(), [&](const auto& each) {
        return each != parent_ && !triedAt_.count(each);
    }));
}

std::optional<std::string> ParentSearch::tick(const Addresses& preferred, Nanoseconds now) {
    const Nanoseconds elapsed = std::min(now - std::exchange(tickedAt_, now), maxTickGap);
    if (preferred != searched_) {
        searched_ = preferred;
        searchedFor_ = 0;
    }
    searchedFor_ += elapsed;
    const Nanoseconds limit =
        maxSearchTime + static_cast<Nanoseconds>(preferred.size()) * maxSearchTimePerAddress;
    const std::size_t untried = searchedFor_ <= limit ? 0 : untriedCount(preferred);
    return allTried_.check(untried == 0, std::to_string(untried) + " of " + std::to_string(preferred.size()) +
                                             " not tried in " +
                                             std::to_string(searchedFor_ / milliseconds(1)) + " ms");
}

}  // namespace granitereel::agent
