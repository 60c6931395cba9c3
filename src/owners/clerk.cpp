#include "clerk.hpp"

#include "letter.hpp"

namespace granitereel::owners {

Clerk::Clerk(tier::Members& members, const Electors& electors, const Terms& terms, std::uint64_t floor,
             std::uint64_t seed, Nanoseconds now, std::function<void(const std::string&)> log)
    : Clerk(members, electors, terms, floor, seed, now, std::move(log),
            {[this] { return members_.in(tier::State::here); },
             [this] { return members_.sight(now_) >= tier::Sight::most; }}) {}

Clerk::Clerk(tier::Members& members, const Electors& electors, const Terms& terms, std::uint64_t floor,
             std::uint64_t seed, Nanoseconds now, std::function<void(const std::string&)> log,
             Owners::View view)
    : members_(members),
      log_(std::move(log)),
      now_(now),
      owners_(members.me(), members.birth(), electors, terms, floor, seed, now, std::move(view), *this) {}

int Clerk::kind() const {
    return furtherKind;
}

void Clerk::send(int member, const Talk& talk) {
    members_.tell(now_, member, {furtherKind, write(talk)});
}

void Clerk::received(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds, const std::string& bytes) {
    now_ = now;
    if (const std::optional<Talk> talk = read(bytes)) owners_.heard(now, from, birth, *talk);
}

SeekClerk::SeekClerk(tier::Members& members, Nanoseconds now, Seeker::Finder& finder)
    : members_(members),
      now_(now),
      seeker_(
          members.me(),
          {[this] { return members_.in(tier::State::here); },
           [this] { return members_.sight(now_) >= tier::Sight::most; }},
          [this](int member, const Seek& seek) {
              members_.tell(now_, member, {seekKind, write(seek)});
          },
          finder) {}

int SeekClerk::kind() const {
    return seekKind;
}

void SeekClerk::received(Nanoseconds now, int from, std::uint32_t, Nanoseconds, const std::string& bytes) {
    now_ = now;
    if (const std::optional<Seek> seek = readSeek(bytes)) seeker_.heard(now, from, *seek);
}

WarmClerk::WarmClerk(tier::Members& members, Clerk& leases, const Warmer::Pace& pace, Nanoseconds now,
                     Warmer::Till& till, std::function<void(const std::string&)> log)
    : members_(members),
      now_(now),
      warmer_(
          members.me(), now, leases.owners(),
          {[this] { return members_.in(tier::State::here); },
           [this] { return members_.sight(now_) >= tier::Sight::most; }},
          pace, till,
          [this](int member, const Warm& warm) {
              members_.tell(now_, member, {warmKind, write(warm)});
          },
          std::move(log)) {
    leases.onChange = [this](Key, bool) { warmer_.stir(); };
    leases.owners().givenOutFor = [this](Key key) { return warmer_.outFor(key); };
}

int WarmClerk::kind() const {
    return warmKind;
}

void WarmClerk::received(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds sent,
                         const std::string& bytes) {
    now_ = now;
    if (const std::optional<Warm> warm = readWarm(bytes)) warmer_.heard(now, from, birth, sent, *warm);
}

}  // namespace granitereel::owners
