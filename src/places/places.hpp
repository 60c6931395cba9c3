// The front's descriptors as one budget of places: for clients that ask, for those that rest, for connections
// to stores, and for answers of refusal. It decides who may have a place and who makes way for whom; closing
// is the caller's. No sockets, no clocks: times are handed in, and never run backwards.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "nanos.hpp"

namespace granitereel {

class Places {
public:
    using Seat = std::uint64_t;  // one client's connection, numbered as they come

    // All that the process may hold open; 64 or more.
    explicit Places(std::size_t descriptors);

    // Clients. Each comes, asks and rests by turns, and leaves.
    Seat comes(Nanos now);
    // Something came from it that is no whole request yet.
    void stirs(Seat seat, Nanos now);
    // A request of its that can be served is in hand.
    void asks(Seat seat, Nanos now);
    // All of its requests are answered, and no part of another is there.
    void rests(Seat seat, Nanos now);
    void leaves(Seat seat);

    std::size_t clients() const { return sitters_.size(); }
    std::size_t askers() const { return askers_; }  // of the clients, those that have asked at least once
    // Whether as many clients are here as may be, those that only get told so included.
    bool full() const { return clients() >= forAskers_ + spare; }
    bool crowded() const { return clients() > forAskers_; }
    // Whether one more may ask for the first time.
    bool admits() const { return askers_ < forAskers_; }

    // The client that is to be closed next to relieve pressure, to let a newcomer in, or to let one ask; none
    // where nobody is. The caller closes it and says that it leaves or, where something is on its way from it
    // after all, that it stirs.
    std::optional<Seat> relieves(Nanos now);
    std::optional<Seat> givesPlace(Nanos now);
    std::optional<Seat> givesTurn(Nanos now);

    // Connections to stores: whether one more may be opened beside `open` ones; whether an idle one is to be
    // closed for a client that waits to come in.
    bool mayOpenLine(std::size_t open) const;
    bool lineMakesWay(std::size_t open) const;

private:
    using Queue = std::set<std::pair<Nanos, Seat>>;  // the first makes way first
    struct Sitter {
        Queue* in = nullptr;
        Nanos key = 0, since = 0;  // since: when it came to rest
        Nanos gap = 0;             // its usual rest before it asks again; 0: not known
        bool asked = false;
    };
    void queue(Seat seat, Sitter& sitter, Queue& in, Nanos key);
    void unqueue(Seat seat, Sitter& sitter);
    double pressure() const;
    std::optional<Seat> longest(const Queue& of, Nanos now, Nanos rest) const;

    // For clients that are only told that there is no room.
    static constexpr std::size_t spare = 24;
    std::size_t knee_, high_, forLines_, forAskers_, both_;
    std::unordered_map<Seat, Sitter> sitters_;
    std::size_t askers_ = 0;
    Seat next_ = 0;
    Queue silent_, once_, again_;  // yet to ask, asked once and rest, asked more often and rest
    Nanos paidUntil_ = 0;          // closings under pressure are paid for up to this time
};

}  // namespace granitereel
