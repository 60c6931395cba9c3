#include "parts.hpp"

#include <algorithm>

namespace granitereel::tier {

namespace {
// A larger part is taken by a tenth at a time: what was learnt of stores with the smaller one holds for about
// as long as health is remembered, five seconds.
constexpr Nanoseconds between = milliseconds(5'000);
constexpr int tenth = 10;
}  // namespace

void Parts::listed(Nanoseconds now, const Members& members, int count) {
    for (int i = count; i < members.count(); ++i) {
        // Only its own word ends a front's part. One that is gone may be cut off, and go on.
        if (members.member(i).state != State::leaving) unproven_ = true;
        freeFrom_ = std::max(freeFrom_, std::max(now, members.member(i).since) + longestEnd_);
    }
    counted_ = std::max(counted_, count);
}

bool Parts::mayTake(Nanoseconds now, const Members& members) const {
    if (unproven_ || now < freeFrom_ || members.sight(now) != Sight::whole) return false;
    for (int i = 0; i < members.count(); ++i)
        if (i != members.me() && members.member(i).members != members.count()) return false;
    return true;
}

int Parts::count(Nanoseconds now, const Members& members) {
    counted_ = std::max(counted_, members.count());
    if (counted_ > members.count() && now >= nextStep_ && mayTake(now, members)) {
        counted_ = std::max(members.count(), counted_ - std::max(1, counted_ / tenth));
        nextStep_ = now + between;
    }
    return counted_;
}

std::string Parts::waitsFor(Nanoseconds now, const Members& members) const {
    if (counted_ <= members.count()) return "";
    if (unproven_) return "a front that was taken off the list never said that it leaves";
    if (now < freeFrom_) return "a front that leaves may still work";
    if (members.sight(now) != Sight::whole) return "the tier is not seen whole";
    if (!mayTake(now, members)) return "others hold another list";
    return "the next step";
}

}  // namespace granitereel::tier
