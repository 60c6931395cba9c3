// Cache of TLS sessions (tickets) that stores have issued for resumption. Each session is used once, and only
// for the store, the expected name and the trust epoch it was made with. The cache is independent of TLS: it
// holds opaque handles.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "nanoseconds.hpp"

namespace granitereel::tls {

class SessionCache {
public:
    using Handle = std::shared_ptr<void>;
    // Holds at most `maxPerStore` sessions for a store and `maxBytes` in all; evicts the oldest first.
    SessionCache(std::size_t maxPerStore, std::size_t maxBytes)
        : maxPerStore_(maxPerStore), maxBytes_(maxBytes) {}

    // `epoch`: the trust epoch in which the session was made.
    void insert(const std::string& store, const std::string& name, unsigned epoch, Handle handle,
                std::size_t bytes, Nanoseconds expiresAt);
    // Removes and returns the newest session that is still valid; null if there is none. Drops the newer ones
    // that don't match or have expired.
    Handle popNewest(const std::string& store, const std::string& name, unsigned epoch, Nanoseconds now);
    // For new trusted certificates or a new client certificate: sessions made before must not be resumed.
    void clear();
    std::size_t bytes() const { return bytes_; }
    std::size_t count() const { return oldestFirst_.size(); }

private:
    struct Session {
        std::string store, name;
        unsigned epoch = 0;
        Handle handle;
        std::size_t bytes = 0;
        Nanoseconds expiresAt = 0;
    };
    using SessionList = std::list<Session>;
    void erase(const std::string& store, SessionList::iterator session);

    std::size_t maxPerStore_, maxBytes_, bytes_ = 0;
    SessionList oldestFirst_;
    std::map<std::string, std::deque<SessionList::iterator>> byStore_;
};

}  // namespace granitereel::tls
