#include "places.hpp"

#include <algorithm>

namespace granitereel {

namespace {

// The program's own files and timers, the listener, two calls to discovery.
constexpr std::size_t own = 24;

// Who has rested this long has nothing on its way to the front: a client asks at once after its welcome or an
// answer, or keeps the connection for later. A quarter of a second is well over the way here and back, half
// of it enough for one that has yet to ask for anything.
constexpr Nanos atRest = millis(250), atRestUnasked = millis(125);

// Under pressure a rest of two seconds is too long at first, a fifth of a second at full pressure, and beyond
// that as little as a twentieth: no less than the way here and back of a slow one.
constexpr Nanos longRest = millis(2000), shortestRest = millis(50);

}  // namespace

Places::Places(std::size_t descriptors) {
    const std::size_t shared = descriptors - own - spare;
    // A launch needs one of each, and clients hold idle ones, too: three fifths for these.
    forLines_ = shared * 2 / 5;
    forAskers_ = shared - forLines_;
    both_ = shared + spare;
    // A platform may keep clients from holding more than a third of the descriptors, and then turns away
    // those that come in spite of a table that is not full. So pressure begins at a quarter, and is full at
    // three tenths: what is left up to the third takes in a burst until those that rest have gone.
    knee_ = descriptors / 4;
    high_ = descriptors * 3 / 10;
}

void Places::queue(Seat seat, Sitter& sitter, Queue& in, Nanos key) {
    unqueue(seat, sitter);
    sitter.in = &in;
    in.emplace(sitter.key = key, seat);
}

void Places::unqueue(Seat seat, Sitter& sitter) {
    if (sitter.in) std::exchange(sitter.in, nullptr)->erase({sitter.key, seat});
}

Places::Seat Places::comes(Nanos now) {
    const Seat seat = next_++;
    queue(seat, sitters_[seat], silent_, now);
    return seat;
}

void Places::stirs(Seat seat, Nanos now) {
    Sitter& sitter = sitters_.at(seat);
    if (sitter.asked)
        unqueue(seat, sitter);
    else
        queue(seat, sitter, silent_, now);
}

void Places::asks(Seat seat, Nanos now) {
    Sitter& sitter = sitters_.at(seat);
    unqueue(seat, sitter);
    if (!std::exchange(sitter.asked, true)) {
        ++askers_;
        return;
    }
    // A quarter of the newest: a habit shows after a few, and one long rest does not hide it. What was asked
    // before the last answer counts as no rest at all.
    const Nanos rest = sitter.since ? std::max<Nanos>(now - sitter.since, 1) : 1;
    sitter.gap = sitter.gap == 0 ? rest : sitter.gap + (rest - sitter.gap) / 4;
    sitter.since = 0;
}

void Places::rests(Seat seat, Nanos now) {
    Sitter& sitter = sitters_.at(seat);
    if (!sitter.asked) return queue(seat, sitter, silent_, now);
    sitter.since = now;
    // Twice its usual rest: then it is likelier gone for good than late.
    queue(seat, sitter, sitter.gap == 0 ? once_ : again_, now + 2 * sitter.gap);
}

void Places::leaves(Seat seat) {
    const auto found = sitters_.find(seat);
    unqueue(seat, found->second);
    askers_ -= found->second.asked;
    sitters_.erase(found);
}

// 0 up to the knee, 1 where it is full; it goes on rising beyond.
double Places::pressure() const {
    return askers_ <= knee_ ? 0 : double(askers_ - knee_) / double(high_ - knee_);
}

std::optional<Places::Seat> Places::longest(const Queue& of, Nanos now, Nanos rest) const {
    if (of.empty()) return {};
    const auto [key, seat] = *of.begin();
    const Sitter& sitter = sitters_.at(seat);
    const Nanos since = sitter.asked ? sitter.since : key;
    if (now - since < rest) return {};
    return seat;
}

// Those that asked once and rest go first. Others go once they are overdue, and beyond full pressure before
// that, as who waits outside asks now. It guards against crowds that ask once and keep their
// connection. It may hurt clients whose first rest is long: they connect again for each request until there
// is room.
std::optional<Places::Seat> Places::relieves(Nanos now) {
    const double high = pressure();
    if (high <= 0) return {};
    // By its square: little under light pressure, which usual clients alone may cause.
    const Nanos rest = std::max(shortestRest, static_cast<Nanos>(double(longRest) / (1 + 9 * high * high)));
    if (const auto seat = longest(once_, now, rest)) return seat;
    // A sixteenth of the knee's places at once, and a quarter of them in each tenth of a second: slow enough
    // that usual clients, all at rest, do not come back all together. Closing those that asked once at this
    // pace, too, left 120 of them in 128 places while 290 clients a second came.
    const auto seat = now < paidUntil_ ? std::nullopt : longest(again_, now, rest);
    if (!seat) return {};
    // Overdue at twice its usual rest; beyond full pressure sooner, at half as much again any.
    const Sitter& sitter = sitters_.at(*seat);
    const double share = std::clamp(6 - 4 * high, 0.0, 2.0);
    if (double(now - sitter.since) < share * double(sitter.gap)) return {};
    const Nanos price = millis(100) / static_cast<Nanos>(std::max<std::size_t>(1, knee_ / 4));
    paidUntil_ = std::max(paidUntil_, now - millis(25)) + price;
    return seat;
}

std::optional<Places::Seat> Places::givesPlace(Nanos now) {
    if (const auto seat = longest(silent_, now, atRestUnasked)) return seat;
    return givesTurn(now);
}

std::optional<Places::Seat> Places::givesTurn(Nanos now) {
    if (const auto seat = longest(once_, now, atRest)) return seat;
    return longest(again_, now, atRest);
}

// Two fifths are the stores' at any time. Beyond that they may have what clients leave, but for an eighth,
// so that who comes next finds a place without one being closed first.
bool Places::mayOpenLine(std::size_t open) const {
    return open < forLines_ || open + std::max(clients(), knee_) + both_ / 8 < both_;
}

bool Places::lineMakesWay(std::size_t open) const {
    return open > forLines_ && open + clients() >= both_;
}

}  // namespace granitereel
