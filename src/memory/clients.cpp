#include "clients.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace granitereel {

Client::~Client() {
    leaveTable();
}

void Client::leaveTable() {
    if (kept) std::exchange(kept, nullptr)->erase(place);
}

bool Client::quietFor(std::chrono::milliseconds span) {
    if (busy || !waiting.empty() || !socket.is_open()) return false;
    // Half a message is waited for longer: ten seconds are several times what a slow link needs.
    if (!inbox.unread().empty()) span = std::max(span, std::chrono::milliseconds(10'000));
    if (heard > std::chrono::steady_clock::now() - span) return false;
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void Client::closeAt(asio::steady_timer::time_point when) {
    limit.expires_at(when);
    limit.async_wait([at = weak_from_this(), mine = ++turn](boost::system::error_code fault) {
        const auto client = at.lock();
        if (!fault && client && client->turn == mine) client->close();
    });
}

void Client::release() {
    ++turn;
    limit.cancel();
}

void Client::close() {
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
}

void ClientTable::add(Client& client) {
    client.kept = &all_;
    client.place = all_.insert(all_.end(), &client);
}

void ClientTable::touch(Client& client) {
    client.heard = std::chrono::steady_clock::now();
    if (client.kept) all_.splice(all_.end(), all_, client.place);
}

void ClientTable::evict() {
    // A client asks at once after its welcome, or keeps the connection for later: a quarter of a second is
    // well over the way here and back.
    for (Client* client : all_) {
        if (!client->quietFor(std::chrono::milliseconds(250))) continue;
        client->close();
        client->leaveTable();
        return;
    }
}

void ClientTable::closeQuiet(std::chrono::milliseconds span) {
    for (Client* client : all_)
        if (client->quietFor(span)) client->close();
}

}  // namespace granitereel
