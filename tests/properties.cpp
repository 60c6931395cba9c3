// What holds for any sequence of events: of places, of turns for handshakes, of tickets. RapidCheck draws the
// sequences and shortens those that fail; the seed is fixed, so that each run draws the same.
#include <rapidcheck.h>

#undef NDEBUG
#include <cassert>
#include <cstdlib>

#include "descriptors/descriptor_budget.hpp"
#include "tls/handshake_limiter.hpp"
#include "tls/session_cache.hpp"

using namespace granitereel;

namespace {

int below(int n) {
    return *rc::gen::inRange(0, n);
}

// Clients come, ask, rest, stir and leave; whoever is named is at rest and here, counts agree with a plain
// count, and no more are admitted than there are places.
void places() {
    const int descriptors = *rc::gen::element(64, 100, 256, 384, 1024);
    DescriptorBudget places(static_cast<std::size_t>(descriptors));
    struct Guest {
        bool asked = false, rests = true;
        Nanoseconds since = 0;
    };
    std::map<DescriptorBudget::ClientId, Guest> guests;
    Nanoseconds now = milliseconds(1000);
    const auto anyone = [&] { return std::next(guests.begin(), below(static_cast<int>(guests.size()))); };
    for (int steps = 40 * below(20); steps > 0; --steps) {
        now += milliseconds(below(300));
        switch (below(6)) {
            case 0:
            case 1:
                for (int n = below(20); n > 0 && !places.isFull(); --n)
                    guests[places.addClient(now)] = {false, true, now};
                break;
            case 2:
                for (int n = below(20); n > 0 && !guests.empty(); --n) {
                    auto& [seat, guest] = *anyone();
                    if (!guest.asked && !places.mayAdmitRequest()) continue;
                    places.requestReceived(seat, now);
                    guest = {true, false, now};
                }
                break;
            case 3:
                for (auto& [seat, guest] : guests)
                    if (!guest.rests && below(2))
                        places.becameIdle(seat, now), guest.rests = true, guest.since = now;
                break;
            case 4:
                if (!guests.empty()) {
                    const auto one = anyone();
                    if (below(2)) {
                        places.partialRequestReceived(one->first, now);
                        one->second.rests = one->second.rests && !one->second.asked;
                        one->second.since = now;
                    } else {
                        places.removeClient(one->first);
                        guests.erase(one);
                    }
                }
                break;
            default: {
                const int which = below(3);
                const auto seat = which == 0   ? places.clientToRelievePressure(now)
                                  : which == 1 ? places.clientToMakeRoom(now)
                                               : places.clientToYieldRequest(now);
                if (!seat) break;
                const auto found = guests.find(*seat);
                RC_ASSERT(found != guests.end());
                RC_ASSERT(found->second.rests);
                RC_ASSERT(now - found->second.since >= milliseconds(50));
                RC_ASSERT(found->second.asked || which == 1);
                if (which == 0) RC_ASSERT(places.activeClientCount() > std::size_t(descriptors / 4));
                places.removeClient(*seat);
                guests.erase(found);
            }
        }
        std::size_t askers = 0;
        for (const auto& [seat, guest] : guests) askers += guest.asked;
        RC_ASSERT(places.clientCount() == guests.size() && places.activeClientCount() == askers);
        RC_ASSERT(places.clientCount() <= std::size_t(descriptors - 24));
    }
}

// Turns are asked for, given up and ended in any order: never more under way than may be, nor to one store;
// the processor's time that begun ones take keeps to its share, but for one handshake and the purse.
void turns() {
    const int atOnce = 1 + below(20), perStore = 1 + below(atOnce);
    const double share = 0.01 * (1 + below(90));
    Nanoseconds now = milliseconds(1000);
    tls::HandshakeLimiter pace({atOnce, perStore, share, 0}, now);
    const Nanoseconds begun = now;
    std::map<tls::HandshakeLimiter::RequestId, std::string> waiting, underWay;
    const auto anyOf = [](auto& of) { return std::next(of.begin(), below(static_cast<int>(of.size()))); };
    double spent = 0, dearest = 1e6;
    for (int steps = 10 * below(30); steps > 0; --steps) {
        now += milliseconds(below(40));
        switch (below(5)) {
            case 0:
            case 1: {
                const std::string store = "s" + std::to_string(below(4));
                waiting[pace.enqueue(store, static_cast<tls::HandshakePurpose>(below(3)), 0, now)] = store;
                break;
            }
            case 2:
                if (!waiting.empty()) {
                    const auto one = anyOf(waiting);
                    pace.release(one->first);
                    waiting.erase(one);
                }
                break;
            case 3:
                if (!underWay.empty()) {
                    const auto one = anyOf(underWay);
                    const Nanoseconds cost = milliseconds(below(5));
                    pace.finish(one->first, static_cast<tls::HandshakeLimiter::Outcome>(below(4)), cost, now);
                    spent += double(cost);
                    dearest = std::max(dearest, double(cost));
                    underWay.erase(one);
                }
                break;
            default:
                while (const auto turn = pace.startNext(now)) {
                    RC_ASSERT(waiting.count(*turn) == 1);
                    underWay.insert(waiting.extract(*turn));
                }
                RC_ASSERT(!pace.nextStartAt() || *pace.nextStartAt() > now);
                // Nobody waits for nothing: what could begin has begun, or there is a time to look again.
                RC_ASSERT(waiting.empty() || !underWay.empty() || pace.nextStartAt());
        }
        std::map<std::string, int> each;
        for (const auto& [turn, store] : underWay) RC_ASSERT(++each[store] <= perStore);
        RC_ASSERT(pace.inFlightCount() == static_cast<int>(underWay.size()) &&
                  pace.inFlightCount() <= atOnce);
        RC_ASSERT(pace.waitingCount() == waiting.size());
        RC_ASSERT(spent <= share * double(now - begun + milliseconds(100)) + (atOnce + 1) * dearest);
    }
}

// Tickets: none is given out twice, none to another store, name or trust, none too old; bytes are bounded.
void tickets() {
    const int perStore = below(5);
    const std::size_t most = 1000 * static_cast<std::size_t>(1 + below(20));
    tls::SessionCache tickets(static_cast<std::size_t>(perStore), most);
    struct Ticket {
        std::string store, name;
        unsigned epoch;
        Nanoseconds goodUntil;
        bool used = false;
    };
    unsigned epoch = 1;
    Nanoseconds now = 0;
    for (int steps = 10 * below(30); steps > 0; --steps) {
        now += milliseconds(below(100));
        const std::string store = "s" + std::to_string(below(3)), name = "n" + std::to_string(below(2));
        if (below(10) == 0) {
            tickets.clear();
            ++epoch;
        } else if (below(2)) {
            const Nanoseconds until = now + milliseconds(below(500));
            tickets.insert(store, name, epoch, std::make_shared<Ticket>(Ticket{store, name, epoch, until}),
                           static_cast<std::size_t>(below(3000)), until);
        } else if (const auto handle = tickets.popNewest(store, name, epoch, now)) {
            auto& ticket = *static_cast<Ticket*>(handle.get());
            RC_ASSERT(!ticket.used && ticket.store == store && ticket.name == name);
            RC_ASSERT(ticket.epoch == epoch && now < ticket.goodUntil);
            ticket.used = true;
        }
        RC_ASSERT(tickets.bytes() <= most && tickets.count() <= 3u * static_cast<unsigned>(perStore));
    }
}

}  // namespace

int main() {
    ::setenv("RC_PARAMS", "seed=20261201 max_success=300", 0);
    bool held = rc::check("places", places);
    held = rc::check("turns for handshakes", turns) && held;
    held = rc::check("tickets", tickets) && held;
    return held ? 0 : 1;
}
