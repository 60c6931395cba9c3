// When records end. A tombstone is kept for `tombstoneLife` after it was made, wherever it has come since. A
// process that was without contact with control for longer than `isolationLimit` may hold records whose
// tombstones have ended elsewhere: these are unconfirmed, are told to nobody as certain, and are dropped
// a while after it is in contact again, unless a peer was found to hold them or their owner said them anew.
// Free of I/O and clocks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gossip/record_table.hpp"
#include "nanos.hpp"

namespace granitereel::gossip {

constexpr Nanos tombstoneLife = millis(600'000);
// A record may pass through several processes without contact, each of which counts from its own last
// contact: so a part of the life, by which three such steps are borne.
constexpr Nanos isolationLimit = tombstoneLife / 4;
// How long after contact came back unconfirmed records wait to be confirmed: several heartbeats of stores.
constexpr Nanos confirmedWithin = millis(10'000);

class Lifetimes {
public:
    // Whether records of this name are ever taken down. Values of registers are not.
    static bool mayEnd(const std::string& name);

    // A tombstone of so much age came or was made at `now`.
    void buried(const std::string& name, Nanos now, Nanos age);
    void unburied(const std::string& name) { buriedAt_.erase(name); }
    Nanos age(const std::string& name, Nanos now) const;
    // Takes out the names of tombstones that have ended.
    std::vector<std::string> takeEnded(Nanos now);

    // Time passes; `inContact`: this process holds a lease. Returns whether the process has just been without
    // contact for longer than the limit.
    bool passed(Nanos now, bool inContact);
    // A peer said how long ago it was in contact: what comes from there is no younger.
    void peerContact(Nanos now, Nanos age);
    Nanos contactAge(Nanos now) const;

    void doubt(const std::string& name) { unconfirmed_.insert(name); }
    void confirm(const std::string& name) { unconfirmed_.erase(name); }
    const std::set<std::string>& unconfirmed() const { return unconfirmed_; }

private:
    std::map<std::string, Nanos> buriedAt_;
    std::set<std::string> unconfirmed_;
    std::optional<Nanos> contactAt_;  // none: nothing was heard from anyone yet
    bool isolated_ = false, inContact_ = false;
};

}  // namespace granitereel::gossip
