// The proxy's file descriptors as one budget: for clients with and without a request, for connections to
// stores, and for refusals. It decides who may hold a descriptor and whose connection is closed for whom; the
// caller closes it. No sockets and no clocks: times are passed in and never go backwards.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "nanoseconds.hpp"

namespace granitereel {

class DescriptorBudget {
public:
    using ClientId = std::uint64_t;  // one client connection, numbered in the order of arrival

    // All that the process may hold open; 64 or more.
    explicit DescriptorBudget(std::size_t descriptors);

    // A client is added, sends requests and is idle by turns, and is removed.
    ClientId addClient(Nanoseconds now);
    // Data has come that is no whole request yet.
    void partialRequestReceived(ClientId clientId, Nanoseconds now);
    // A request that can be served has come.
    void requestReceived(ClientId clientId, Nanoseconds now);
    // All of its requests are answered, and no part of another has come.
    void becameIdle(ClientId clientId, Nanoseconds now);
    void removeClient(ClientId clientId);

    std::size_t clientCount() const { return clients_.size(); }
    std::size_t activeClientCount() const {
        return activeClients_;
    }  // clients that have sent a request at least once
    // Whether there are as many clients as there may be, those that are only refused included.
    bool isFull() const { return clientCount() >= clientShare_ + refusalReserve; }
    bool overAdmissionLimit() const { return clientCount() > clientShare_; }
    // Whether one more client may send its first request.
    bool mayAdmitRequest() const { return activeClients_ < clientShare_; }

    // The client to close next to relieve pressure, to accept a new connection, or to admit a first request;
    // none if no client should be closed. The caller closes it and calls removeClient or, if data has come
    // from it after all, partialRequestReceived.
    std::optional<ClientId> clientToRelievePressure(Nanoseconds now);
    std::optional<ClientId> clientToMakeRoom(Nanoseconds now);
    std::optional<ClientId> clientToYieldRequest(Nanoseconds now);

    // Connections to stores: whether one more may be opened beside `open` others; whether an idle one is to
    // be closed for a client that waits to be accepted.
    bool mayOpenStoreConnection(std::size_t open) const;
    bool mustCloseStoreConnection(std::size_t open) const;

private:
    using IdleQueue = std::set<std::pair<Nanoseconds, ClientId>>;  // the first is closed first
    struct Client {
        IdleQueue* queue = nullptr;
        Nanoseconds queueKey = 0, idleSince = 0;
        Nanoseconds usualIdleTime = 0;  // before its next request; 0: not known
        bool hasRequested = false;
    };
    void enqueue(ClientId clientId, Client& client, IdleQueue& queue, Nanoseconds queueKey);
    void dequeue(ClientId clientId, Client& client);
    double pressure() const;
    std::optional<ClientId> longestIdle(const IdleQueue& from, Nanoseconds now, Nanoseconds idleTime) const;

    // For clients that are only told that there is no room.
    static constexpr std::size_t refusalReserve = 24;
    std::size_t pressureStart_, fullPressure_, storeShare_, clientShare_, sharedTotal_;
    std::unordered_map<ClientId, Client> clients_;
    std::size_t activeClients_ = 0;
    ClientId nextId_ = 0;
    IdleQueue noRequestYet_, idleAfterFirst_,
        idleAfterSeveral_;         // by the number of requests: none, one, more
    Nanoseconds nextCloseAt_ = 0;  // closings under pressure are paced: the next is due at this time
};

}  // namespace granitereel
