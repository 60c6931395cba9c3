// Who has a place at the front, and who makes way for whom.
#include "bench.hpp"
#include "descriptors/descriptor_budget.hpp"

using namespace granitereel;

// A hall with usual clients, who ask, rest for a while and ask again, and a crowd that comes, asks once and
// keeps its connection. An answer takes 20 ms.
struct Hall {
    DescriptorBudget places;
    Nanoseconds now = milliseconds(1'000'000);
    struct Guest {
        Nanoseconds rest = -1, next = 0;  // rest: until it asks again; -1: it never does
        bool inHand = false;
    };
    std::map<DescriptorBudget::ClientId, Guest> guests;
    std::set<DescriptorBudget::ClientId> drivenOut;
    std::size_t most = 0, connections = 0;

    explicit Hall(std::size_t descriptors) : places(descriptors) {}

    DescriptorBudget::ClientId comes(Nanoseconds rest) {
        makeWay(&DescriptorBudget::clientToRelievePressure, 1000);
        const DescriptorBudget::ClientId seat = places.addClient(now);
        ++connections;
        places.requestReceived(seat, now);
        guests[seat] = {rest, now + milliseconds(20), true};
        most = std::max(most, places.activeClientCount());
        return seat;
    }
    int makeWay(std::optional<DescriptorBudget::ClientId> (DescriptorBudget::*choice)(Nanoseconds),
                int limit) {
        int made = 0;
        for (; made < limit; ++made) {
            const auto seat = (places.*choice)(now);
            if (!seat) break;
            assert(!guests.at(*seat).inHand);  // never one that waits for its answer
            if (guests.at(*seat).rest >= 0) drivenOut.insert(*seat);
            guests.erase(*seat);
            places.removeClient(*seat);
        }
        return made;
    }
    void pass(int ms) {
        for (int i = 0; i < ms; ++i) {
            now += milliseconds(1);
            for (auto& [seat, guest] : guests) {
                if (guest.next == 0 || guest.next > now) continue;
                if (guest.inHand) {
                    places.becameIdle(seat, now);
                    guest.next = guest.rest < 0 ? 0 : now + guest.rest;
                } else {
                    places.requestReceived(seat, now);
                    guest.next = now + milliseconds(20);
                }
                guest.inHand = !guest.inHand;
            }
            if (now / milliseconds(1) % 100 == 0) makeWay(&DescriptorBudget::clientToRelievePressure, 1000);
        }
    }
};

constexpr std::size_t machines[] = {256, 384, 1024};

// Three hundred newcomers a second for 7 s that stay: fewer than a third of the descriptors at any time, and
// no usual client goes for them once its habit is known.
void crowdsThatAskOnceMakeWay() {
    for (const std::size_t descriptors : machines) {
        Hall hall(descriptors);
        for (std::size_t i = 0; i < descriptors / 8; ++i) hall.comes(milliseconds(100 + 5 * i % 100));
        hall.pass(1000);
        for (int i = 0; i < 2000; ++i) {
            hall.comes(-1);
            hall.pass(i % 3 ? 3 : 4);
        }
        assert(hall.most < descriptors / 3 && hall.drivenOut.empty());
        assert(hall.places.clientCount() > descriptors / 4);  // what there is room for is kept
    }
}

// The other front restarts: its clients come within half a second, on top of the crowd and of those here.
// Those whose habit is known keep their places; a newcomer's first rest may be taken for the crowd's.
void crowdsThroughARestart() {
    for (const std::size_t descriptors : machines) {
        Hall hall(descriptors);
        for (std::size_t i = 0; i < descriptors / 12; ++i) hall.comes(milliseconds(150));
        for (int i = 0; i < 500; ++i) hall.comes(-1), hall.pass(10);
        std::set<DescriptorBudget::ClientId> known;
        for (const auto& [seat, guest] : hall.guests)
            if (guest.rest >= 0) known.insert(seat);
        for (std::size_t i = 0; i < descriptors / 12; ++i)
            hall.comes(milliseconds(150)), hall.pass(4000 / static_cast<int>(descriptors));
        for (int i = 0; i < 1000; ++i) hall.comes(-1), hall.pass(5);  // two fronts' crowds
        assert(hall.most <= descriptors / 3);
        for (const auto seat : hall.drivenOut) assert(!known.count(seat));
    }
}

// While there is room nobody goes, however long they rest.
void restIsKeptWhereThereIsRoom() {
    for (const std::size_t descriptors : machines) {
        Hall hall(descriptors);
        for (std::size_t i = 0; i < descriptors / 4; ++i) hall.comes(i % 2 ? -1 : milliseconds(5000));
        hall.pass(60'000);
        assert(hall.places.clientCount() == descriptors / 4);
    }
}

// The one that asked once goes before one that has come again and is not overdue, though that rests longer;
// one that is overdue by its habit goes as well; one in hand never does.
void whoGoesFirst() {
    Hall hall(256);
    const auto often = hall.comes(milliseconds(3000));
    hall.pass(7000);  // it has come again twice
    const auto busy = hall.places.addClient(hall.now);
    hall.places.requestReceived(busy, hall.now);
    for (int i = 0; i < 70; ++i) hall.comes(-1);
    hall.pass(2500);
    assert(hall.places.clientCount() == 64);
    assert(hall.guests.count(often) && hall.drivenOut.empty());
    // Six more that come again by the second, then stay away: overdue after twice their rest.
    for (int i = 0; i < 6; ++i) hall.comes(milliseconds(500));
    hall.pass(10'000);
    assert(hall.places.clientCount() == 64 && hall.guests.count(often));
}

// A client that stirs after all is passed over.
void whoStirsStays() {
    DescriptorBudget places(256);
    Nanoseconds now = milliseconds(1000);
    for (int i = 0; i < 66; ++i) {
        const auto seat = places.addClient(now);
        places.requestReceived(seat, now);
        places.becameIdle(seat, now + i);
    }
    now += milliseconds(3000);
    assert(places.clientToRelievePressure(now) == DescriptorBudget::ClientId(0));
    places.partialRequestReceived(0, now);
    assert(places.clientToRelievePressure(now + milliseconds(10)) == DescriptorBudget::ClientId(1));
    places.removeClient(1);
    places.removeClient(0);
    now += milliseconds(100);
    assert(!places.clientToRelievePressure(now));  // at the knee
}

// Usual clients, all at rest for long, go a few at a time: they would come back all together.
void notAllAtOnce() {
    Hall hall(384);
    for (int i = 0; i < 128; ++i) {
        const auto seat = hall.places.addClient(hall.now);
        for (int n = 0; n < 3; ++n) {
            hall.places.requestReceived(seat, hall.now + milliseconds(100 * n));
            hall.places.becameIdle(seat, hall.now + milliseconds(100 * n + 20));
        }
        hall.guests[seat] = {};
    }
    hall.now += milliseconds(20'000);
    assert(hall.makeWay(&DescriptorBudget::clientToRelievePressure, 1000) <= 8);
    for (int i = 0; i < 10; ++i)
        hall.now += milliseconds(100), hall.makeWay(&DescriptorBudget::clientToRelievePressure, 1000);
    assert(hall.places.clientCount() == 96);  // the knee, within a second
}

// The hard limits: full tables let newcomers in for the silent, then for those at rest, never for who asks.
void fullTables() {
    DescriptorBudget places(256);
    Nanoseconds now = milliseconds(1000);
    std::vector<DescriptorBudget::ClientId> seats;
    while (!places.isFull()) seats.push_back(places.addClient(now));
    assert(seats.size() == 149 && !places.clientToMakeRoom(now + milliseconds(100)));
    assert(places.clientToMakeRoom(now + milliseconds(130)) == seats[0]);
    for (std::size_t i = 0; places.mayAdmitRequest(); ++i) places.requestReceived(seats[i], now);
    assert(places.activeClientCount() == 125 && places.overAdmissionLimit());
    now += milliseconds(1000);
    assert(!places.clientToYieldRequest(now) && places.clientToMakeRoom(now) == seats[125]);
    places.becameIdle(seats[7], now);
    assert(!places.clientToYieldRequest(now + milliseconds(200)) &&
           places.clientToYieldRequest(now + milliseconds(260)) == seats[7]);
}

// Connections to stores may have what clients leave, and give it back.
void linesBorrowPlaces() {
    DescriptorBudget places(256);
    std::size_t open = 0;
    while (places.mayOpenStoreConnection(open)) ++open;
    assert(open > 83 && open < 148);  // 83 are two fifths
    Nanoseconds now = 0;
    while (!places.mustCloseStoreConnection(open)) places.addClient(now);
    assert(places.clientCount() + open == 232);
    while (places.mustCloseStoreConnection(open)) --open;
    assert(places.clientCount() + open == 231);
    while (!places.isFull()) places.addClient(now);
    assert(places.mayOpenStoreConnection(82) && !places.mayOpenStoreConnection(83) &&
           !places.mustCloseStoreConnection(83));
}

int main() {
    crowdsThatAskOnceMakeWay();
    crowdsThroughARestart();
    restIsKeptWhereThereIsRoom();
    whoGoesFirst();
    whoStirsStays();
    notAllAtOnce();
    fullTables();
    linesBorrowPlaces();
}
