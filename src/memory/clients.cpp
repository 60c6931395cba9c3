#include "clients.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace granitereel {

Client::~Client() {
    leaveTable();
}

void Client::leaveTable() {
    if (!kept) return;
    kept->places_.removeClient(seat);
    kept->bySeat_.erase(seat);
    std::exchange(kept, nullptr)->all_.erase(place);
}

bool Client::unread() {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Client::asksNoMore() {
    if (!waiting.empty() || !socket.is_open()) return false;
    // Half a message of one that is known to ask well is waited for.
    if (proven && !inbox.unread().empty()) return false;
    return !unread();
}

void Client::holdBack(bool on) {
    const int value = on;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_CORK, &value, sizeof value);
}

void Client::prove() {
    proven = true;
    if (kept) kept->places_.requestReceived(seat, kept->clock_.now());
    if (inbox.unread().empty()) sayBy = never;
}

void Client::close() {
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
    bell.cancel();
}

void ClientTable::add(Client& client) {
    client.kept = this;
    client.seat = places_.addClient(clock_.now());
    client.place = all_.insert(all_.end(), &client);
    bySeat_[client.seat] = &client;
}

void ClientTable::touch(Client& client) {
    client.heard = std::chrono::steady_clock::now();
    if (!client.kept) return;
    const bool atRest = !client.busy && client.waiting.empty() && client.inbox.unread().empty();
    if (atRest)
        places_.becameIdle(client.seat, clock_.now());
    else
        places_.partialRequestReceived(client.seat, clock_.now());
}

bool ClientTable::makeWay(Choice choice) {
    // Of those that are named and stir after all there may be several; each is named once.
    while (const auto seat = (places_.*choice)(clock_.now())) {
        Client& client = *bySeat_.at(*seat);
        if (!client.quiet()) {
            places_.partialRequestReceived(*seat, clock_.now());
            continue;
        }
        client.close();
        client.leaveTable();
        return true;
    }
    return false;
}

bool ClientTable::hasPlace() {
    return !places_.isFull() || makeWay(&DescriptorBudget::clientToMakeRoom);
}

bool ClientTable::admits() {
    return places_.mayAdmitRequest() || makeWay(&DescriptorBudget::clientToYieldRequest);
}

void ClientTable::relieve() {
    while (makeWay(&DescriptorBudget::clientToRelievePressure)) {
    }
}

void ClientTable::closeQuiet(std::chrono::milliseconds span) {
    for (Client* client : all_)
        if (client->quietFor(span)) client->close();
}

void ClientTable::closeOverdue() {
    const auto now = Client::Steady::now();
    for (Client* client : all_) {
        // What is in hand is answered first; the rest of a message may just have come.
        const bool waits = client->busy || !client->waiting.empty() || (client->proven && client->unread());
        if (now >= client->takeBy || (now >= client->sayBy && !waits)) client->close();
    }
}

}  // namespace granitereel
