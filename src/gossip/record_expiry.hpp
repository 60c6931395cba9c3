// When records expire. A tombstone is kept for `tombstoneLifetime` after the deletion, whichever processes it
// has passed through since. A process that was without contact with control for longer than `maxIsolation`
// may hold records whose tombstones have expired elsewhere. Such records are unconfirmed: they are passed on
// to nobody as certain, and are dropped some time after contact is back, unless a peer turns out to hold them
// or their owner publishes them again. Otherwise a deleted record would come back once its tombstone has
// expired. Free of I/O and clocks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gossip/record_table.hpp"
#include "nanoseconds.hpp"

namespace granitereel::gossip {

constexpr Nanoseconds tombstoneLifetime = milliseconds(600'000);
// A record may pass through several processes without contact, each of which counts from its own last
// contact: a quarter of the lifetime allows for three such hops.
constexpr Nanoseconds maxIsolation = tombstoneLifetime / 4;
// For how long after contact is back unconfirmed records wait to be confirmed: several heartbeats of stores.
constexpr Nanoseconds confirmationTimeout = milliseconds(10'000);

class RecordExpiry {
public:
    // Whether records of this name are ever deleted. Those that hold the values of registers are not.
    static bool canBeDeleted(const std::string& name);

    // A tombstone of this age was received or created at `now`.
    void addTombstone(const std::string& name, Nanoseconds now, Nanoseconds age);
    void removeTombstone(const std::string& name) { deletedAt_.erase(name); }
    Nanoseconds tombstoneAge(const std::string& name, Nanoseconds now) const;
    // Removes the tombstones that have expired and returns their names.
    std::vector<std::string> takeExpired(Nanoseconds now);

    // Advances the clock. `connected`: this process holds a lease of control. Returns true once when the
    // process has been without contact for longer than maxIsolation.
    bool advance(Nanoseconds now, bool connected);
    // A peer reported how long ago it had contact: what it sends may be as old.
    void peerConnectivity(Nanoseconds now, Nanoseconds age);
    // For how long this process, or a peer that it took records from, has been without contact.
    Nanoseconds connectivityAge(Nanoseconds now) const;

    void markUnconfirmed(const std::string& name) { unconfirmed_.insert(name); }
    void confirm(const std::string& name) { unconfirmed_.erase(name); }
    const std::set<std::string>& unconfirmed() const { return unconfirmed_; }

private:
    std::map<std::string, Nanoseconds> deletedAt_;
    std::set<std::string> unconfirmed_;
    std::optional<Nanoseconds> connectedAt_;  // the last contact; none: nothing was received from anyone yet
    bool isolated_ = false, connected_ = false;
};

}  // namespace granitereel::gossip
