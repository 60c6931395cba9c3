#include "seeker.hpp"

namespace granitereel::owners {

namespace {
// An owner answers at once, within two ways of the network: a quarter of a second is several times that.
constexpr Nanoseconds answerWithin = milliseconds(250);
// Who asked is told of what is found within this time; who still misses it asks again.
constexpr Nanoseconds toldWithin = milliseconds(5'000);
// While somebody waits, the owner looks at what it knows so often.
constexpr Nanoseconds between = milliseconds(20);
// Who was told that the owner looks will be told what it finds; who was told where it is may find it moved
// again.
constexpr Nanoseconds restsWhileLooked = milliseconds(1'000), restsWhenFound = milliseconds(400);
}  // namespace

int Seeker::duty(int group) const {
    return dutyOf(keyOf("seek/" + std::to_string(group)), view_.here());
}

std::optional<int> Seeker::seekers(Nanoseconds now, int group) {
    now_ = now;
    if (!view_.most()) return {};
    const int owner = duty(group);
    if (owner == me_) return 1;
    Missed& missed = missed_[group];
    if (missed.owner != owner) missed = {owner, 0, 0, 0};
    // Asked in vain: the owner is gone, cut off or of a version that knows nothing of this.
    const bool vain =
        missed.asked > 0 && missed.answered < missed.asked && now - missed.asked >= answerWithin;
    const bool due = missed.asked == 0 || (missed.answered >= missed.asked && now >= missed.restsUntil);
    if (due || vain) {
        missed.asked = now;
        Seek seek;
        seek.wants = {group};
        send_(owner, seek);
        ++asked_;
    }
    return vain ? std::optional<int>() : 0;
}

bool Seeker::tell(Nanoseconds now, int group) {
    const auto found = sought_.find(group);
    if (found == sought_.end()) return true;
    const std::optional<std::string> primary = finder_.primary(group);
    if (!primary) return false;
    Seek seek;
    seek.found = {{group, *primary}};
    for (const auto& [asker, until] : found->second.askers) {
        if (now > until) continue;
        send_(asker, seek);
        ++told_;
    }
    sought_.erase(found);
    return true;
}

void Seeker::heard(Nanoseconds now, int from, const Seek& seek) {
    now_ = now;
    for (const int group : seek.wants) {
        sought_[group].askers[from] = now + toldWithin;
        if (tell(now, group)) continue;
        finder_.look(group);
        Seek looking;
        looking.looking = {group};
        send_(from, looking);
    }
    const auto answered = [&](int group, Nanoseconds rest) {
        const auto found = missed_.find(group);
        if (found == missed_.end() || found->second.owner != from) return;
        found->second.answered = now;
        found->second.restsUntil = now + rest;
    };
    for (const int group : seek.looking) answered(group, restsWhileLooked);
    for (const Seek::Found& each : seek.found) {
        answered(each.group, restsWhenFound);
        finder_.hint(each.store);
    }
}

void Seeker::tick(Nanoseconds now) {
    now_ = now;
    std::vector<int> groups;
    for (const auto& [group, sought] : sought_) groups.push_back(group);
    for (const int group : groups) {
        std::erase_if(sought_[group].askers, [now](const auto& each) { return each.second < now; });
        if (sought_[group].askers.empty())
            sought_.erase(group);
        else if (!tell(now, group))
            finder_.look(group);
    }
}

Nanoseconds Seeker::next() const {
    return now_ + (sought_.empty() ? milliseconds(3'600'000) : between);
}

}  // namespace granitereel::owners
