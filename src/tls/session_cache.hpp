// Sessions that stores have offered to take up again. Each is used once; none outlives the trust under which
// it was made, nor goes to another store or name. Knows nothing of TLS: what it holds are handles.
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
    // At most so many for a store, and so many bytes in all; the oldest go first.
    SessionCache(std::size_t maxPerStore, std::size_t maxBytes)
        : maxPerStore_(maxPerStore), maxBytes_(maxBytes) {}

    // `epoch`: of the trust that the session was made under.
    void insert(const std::string& store, const std::string& name, unsigned epoch, Handle handle,
                std::size_t bytes, Nanoseconds expiresAt);
    // The newest that is still good; null if there is none.
    Handle popNewest(const std::string& store, const std::string& name, unsigned epoch, Nanoseconds now);
    // New trust or a new identity: nothing made under the old is used any more.
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
    SessionList oldestFirst_;  // the oldest first
    std::map<std::string, std::deque<SessionList::iterator>> byStore_;
};

}  // namespace granitereel::tls
