#include "descriptor_budget.hpp"

#include <algorithm>

namespace granitereel {

namespace {

// For the process itself: its files and timers, the listener, two calls to discovery.
constexpr std::size_t processReserve = 24;

// A client idle this long has nothing under way to the proxy: it sends a request right after the greeting or
// a response, or keeps the connection for later. A quarter of a second is well over a round trip, half of it
// enough for one without a request so far.
constexpr Nanoseconds minIdleTime = milliseconds(250), minSilentTime = milliseconds(125);

// The idle time allowed under pressure: two seconds at first, a fifth of a second at full pressure, and
// beyond that as little as a twentieth: no less than a slow round trip.
constexpr Nanoseconds maxIdleTime = milliseconds(2000), minIdleTimeUnderPressure = milliseconds(50);

}  // namespace

DescriptorBudget::DescriptorBudget(std::size_t descriptors) {
    const std::size_t withoutReserve = descriptors - processReserve - refusalReserve;
    // An attempt needs one of each, and clients hold idle ones, too: three fifths for these.
    storeShare_ = withoutReserve * 2 / 5;
    clientShare_ = withoutReserve - storeShare_;
    sharedTotal_ = withoutReserve + refusalReserve;
    // A platform may keep clients from holding more than a third of the descriptors, and then rejects
    // connections although the table is not full. So pressure begins at a quarter, and is full at three
    // tenths: the rest up to the third absorbs a burst until idle clients are closed.
    pressureStart_ = descriptors / 4;
    fullPressure_ = descriptors * 3 / 10;
}

void DescriptorBudget::enqueue(ClientId clientId, Client& client, IdleQueue& queue, Nanoseconds queueKey) {
    dequeue(clientId, client);
    client.queue = &queue;
    queue.emplace(client.queueKey = queueKey, clientId);
}

void DescriptorBudget::dequeue(ClientId clientId, Client& client) {
    if (client.queue) std::exchange(client.queue, nullptr)->erase({client.queueKey, clientId});
}

DescriptorBudget::ClientId DescriptorBudget::addClient(Nanoseconds now) {
    const ClientId clientId = nextId_++;
    enqueue(clientId, clients_[clientId], noRequestYet_, now);
    return clientId;
}

void DescriptorBudget::partialRequestReceived(ClientId clientId, Nanoseconds now) {
    Client& client = clients_.at(clientId);
    if (client.hasRequested)
        dequeue(clientId, client);
    else
        enqueue(clientId, client, noRequestYet_, now);
}

void DescriptorBudget::requestReceived(ClientId clientId, Nanoseconds now) {
    Client& client = clients_.at(clientId);
    dequeue(clientId, client);
    if (!std::exchange(client.hasRequested, true)) {
        ++activeClients_;
        return;
    }
    // Weighs the newest by a quarter: a habit shows after a few, and one long pause does not hide it. A
    // request sent before the last response counts as no idle time.
    const Nanoseconds idleTime = client.idleSince ? std::max<Nanoseconds>(now - client.idleSince, 1) : 1;
    client.usualIdleTime =
        client.usualIdleTime == 0 ? idleTime : client.usualIdleTime + (idleTime - client.usualIdleTime) / 4;
    client.idleSince = 0;
}

void DescriptorBudget::becameIdle(ClientId clientId, Nanoseconds now) {
    Client& client = clients_.at(clientId);
    if (!client.hasRequested) return enqueue(clientId, client, noRequestYet_, now);
    client.idleSince = now;
    // After twice its usual idle time it is more likely gone for good than late.
    enqueue(clientId, client, client.usualIdleTime == 0 ? idleAfterFirst_ : idleAfterSeveral_,
            now + 2 * client.usualIdleTime);
}

void DescriptorBudget::removeClient(ClientId clientId) {
    const auto found = clients_.find(clientId);
    dequeue(clientId, found->second);
    activeClients_ -= found->second.hasRequested;
    clients_.erase(found);
}

// 0 up to pressureStart_, 1 at fullPressure_; it goes on rising beyond.
double DescriptorBudget::pressure() const {
    return activeClients_ <= pressureStart_
               ? 0
               : double(activeClients_ - pressureStart_) / double(fullPressure_ - pressureStart_);
}

std::optional<DescriptorBudget::ClientId> DescriptorBudget::longestIdle(const IdleQueue& from,
                                                                        Nanoseconds now,
                                                                        Nanoseconds idleTime) const {
    if (from.empty()) return {};
    const auto [queueKey, clientId] = *from.begin();
    const Client& client = clients_.at(clientId);
    const Nanoseconds idleSince = client.hasRequested ? client.idleSince : queueKey;
    if (now - idleSince < idleTime) return {};
    return clientId;
}

// Clients idle after one request go first. Others go once they are overdue, and beyond full pressure before
// that, as clients waiting to connect have a request now. It guards against crowds that send one request and
// keep their connection. It may hurt clients whose first pause is long: they reconnect for each request until
// there is room.
std::optional<DescriptorBudget::ClientId> DescriptorBudget::clientToRelievePressure(Nanoseconds now) {
    const double pressureLevel = pressure();
    if (pressureLevel <= 0) return {};
    // By its square: little under light pressure, which usual clients alone may cause.
    const Nanoseconds idleTime =
        std::max(minIdleTimeUnderPressure,
                 static_cast<Nanoseconds>(double(maxIdleTime) / (1 + 9 * pressureLevel * pressureLevel)));
    if (const auto clientId = longestIdle(idleAfterFirst_, now, idleTime)) return clientId;
    // A sixteenth of pressureStart_ at once, and a quarter of it in each tenth of a second: slow enough that
    // usual clients, all idle, do not come back all together. Closing those idle after one request at this
    // rate, too, left 120 of them in 128 descriptors while 290 clients a second came.
    const auto clientId = now < nextCloseAt_ ? std::nullopt : longestIdle(idleAfterSeveral_, now, idleTime);
    if (!clientId) return {};
    // Overdue at twice its usual idle time; beyond full pressure sooner, at half as much again any.
    const Client& client = clients_.at(*clientId);
    const double share = std::clamp(6 - 4 * pressureLevel, 0.0, 2.0);
    if (double(now - client.idleSince) < share * double(client.usualIdleTime)) return {};
    const Nanoseconds interval =
        milliseconds(100) / static_cast<Nanoseconds>(std::max<std::size_t>(1, pressureStart_ / 4));
    nextCloseAt_ = std::max(nextCloseAt_, now - milliseconds(25)) + interval;
    return clientId;
}

std::optional<DescriptorBudget::ClientId> DescriptorBudget::clientToMakeRoom(Nanoseconds now) {
    if (const auto clientId = longestIdle(noRequestYet_, now, minSilentTime)) return clientId;
    return clientToYieldRequest(now);
}

std::optional<DescriptorBudget::ClientId> DescriptorBudget::clientToYieldRequest(Nanoseconds now) {
    if (const auto clientId = longestIdle(idleAfterFirst_, now, minIdleTime)) return clientId;
    return longestIdle(idleAfterSeveral_, now, minIdleTime);
}

// Stores have two fifths at any time. Beyond that they may use what clients leave, except an eighth, so that
// the next client finds a descriptor without one being closed first.
bool DescriptorBudget::mayOpenStoreConnection(std::size_t open) const {
    return open < storeShare_ ||
           open + std::max(clientCount(), pressureStart_) + sharedTotal_ / 8 < sharedTotal_;
}

bool DescriptorBudget::mustCloseStoreConnection(std::size_t open) const {
    return open > storeShare_ && open + clientCount() >= sharedTotal_;
}

}  // namespace granitereel
