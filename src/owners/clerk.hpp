// Leases among the fronts of a tier: carries the talk of `Owners` as datagrams of the tier, and knows by the
// view who is there.
#pragma once

#include "owners.hpp"
#include "seeker.hpp"
#include "tier/guest.hpp"
#include "warmer.hpp"

namespace granitereel::owners {

class Clerk final : public tier::Guest, private Owners::Outlet {
public:
    Clerk(tier::Members& members, const Electors& electors, const Terms& terms, std::uint64_t floor,
          std::uint64_t seed, Nanoseconds now, std::function<void(const std::string&)> log);
    // With another view than the members' own.
    Clerk(tier::Members& members, const Electors& electors, const Terms& terms, std::uint64_t floor,
          std::uint64_t seed, Nanoseconds now, std::function<void(const std::string&)> log,
          Owners::View view);

    Owners& owners() { return owners_; }
    const Owners& owners() const { return owners_; }
    // Called when a key has come or gone.
    std::function<void(Key, bool held)> onChange;

    int kind() const override;
    void received(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds sent,
                  const std::string& bytes) override;
    void tick(Nanoseconds now) override { owners_.tick(now_ = now); }
    Nanoseconds next() const override { return owners_.next(); }
    void leave(Nanoseconds now) override { owners_.leave(now_ = now); }
    void slept(Nanoseconds now) override { owners_.slept(now_ = now); }

private:
    void send(int member, const Talk& talk) override;
    void log(const std::string& line) override { log_(line); }
    void changed(Key key, bool held) override {
        if (onChange) onChange(key, held);
    }

    tier::Members& members_;
    const std::function<void(const std::string&)> log_;
    Nanoseconds now_;
    Owners owners_;
};

// The seeking of primaries over a tier.
class SeekClerk : public tier::Guest {
public:
    SeekClerk(tier::Members& members, Nanoseconds now, Seeker::Finder& finder);
    Seeker& seeker() { return seeker_; }
    const Seeker& seeker() const { return seeker_; }
    std::optional<int> seekers(Nanoseconds now, int group) { return seeker_.seekers(now_ = now, group); }

    int kind() const override;
    void received(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds sent,
                  const std::string& bytes) override;
    void tick(Nanoseconds now) override { seeker_.tick(now_ = now); }
    Nanoseconds next() const override { return seeker_.next(); }
    void leave(Nanoseconds) override {}
    void slept(Nanoseconds) override {}

private:
    tier::Members& members_;
    Nanoseconds now_;
    Seeker seeker_;
};

// The warm-up of cold stores over a tier. To be made after the clerk whose leases it builds on, so that it
// hears of an end after that.
class WarmClerk : public tier::Guest {
public:
    WarmClerk(tier::Members& members, Clerk& leases, const Warmer::Pace& pace, Nanoseconds now,
              Warmer::Till& till, std::function<void(const std::string&)> log);
    Warmer& warmer() { return warmer_; }
    const Warmer& warmer() const { return warmer_; }

    int kind() const override;
    void received(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds sent,
                  const std::string& bytes) override;
    void tick(Nanoseconds now) override { warmer_.tick(now_ = now); }
    Nanoseconds next() const override { return warmer_.next(); }
    void leave(Nanoseconds now) override { warmer_.leave(now_ = now); }
    void slept(Nanoseconds) override { warmer_.stir(); }

private:
    tier::Members& members_;
    Nanoseconds now_;
    Warmer warmer_;
};

}  // namespace granitereel::owners
