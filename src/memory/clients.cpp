#include "clients.hpp"

#include <vector>

namespace granitereel {

Client::~Client() {
    if (kept) kept->erase(place);
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

bool ClientTable::evict() {
    for (Client* client : all_)
        if (client->quiet() && client->socket.is_open()) {
            client->close();
            return true;
        }
    return false;
}

void ClientTable::closeQuiet() {
    for (Client* client : all_)
        if (client->quiet()) client->close();
}

}  // namespace granitereel
