#include "clients.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace granitereel {

Client::~Client() {
    leaveTable();
}

void Client::leaveTable() {
    if (!kept) return;
    kept->proven_ -= proven;
    std::exchange(kept, nullptr)->all_.erase(place);
}

bool Client::unread() {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Client::quietFor(std::chrono::milliseconds span) {
    if (busy || !waiting.empty() || !socket.is_open()) return false;
    // Half a message of one that is known to ask well is waited for.
    if (proven && !inbox.unread().empty()) return false;
    return heard <= Steady::now() - span && !unread();
}

void Client::prove() {
    if (kept && !proven) ++kept->proven_;
    proven = true;
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
    client.place = all_.insert(all_.end(), &client);
}

void ClientTable::touch(Client& client) {
    client.heard = std::chrono::steady_clock::now();
    if (client.kept) all_.splice(all_.end(), all_, client.place);
}

bool ClientTable::evict(bool proven) {
    // A client asks at once after its welcome, or keeps the connection for later: a quarter of a second is
    // well over the way here and back, and half of that enough for one that has yet to ask for anything. It
    // guards against crowds that say nothing, and should catch any that connect faster than they ask.
    const std::chrono::milliseconds span(proven ? 250 : 125);
    for (Client* client : all_) {
        if (client->proven != proven || !client->quietFor(span)) continue;
        client->close();
        client->leaveTable();
        return true;
    }
    return false;
}

bool ClientTable::admits() {
    while (proven_ >= most_)
        if (!evict(true)) return false;
    return true;
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
