#include "session_cache.hpp"

#include <algorithm>

namespace granitereel::tls {

void SessionCache::erase(const std::string& store, SessionList::iterator session) {
    const auto entry = byStore_.find(store);
    std::erase(entry->second, session);
    if (entry->second.empty()) byStore_.erase(entry);
    bytes_ -= session->bytes;
    oldestFirst_.erase(session);
}

void SessionCache::insert(const std::string& store, const std::string& name, unsigned epoch, Handle handle,
                          std::size_t bytes, Nanoseconds expiresAt) {
    // Overhead counts as well: the nodes of two containers and the strings.
    bytes += 256 + store.size() + name.size();
    if (maxPerStore_ == 0 || bytes > maxBytes_) return;
    // A store may issue hundreds of sessions: they evict its own oldest, never those of another store.
    while (byStore_.count(store) && byStore_.at(store).size() >= maxPerStore_)
        erase(store, byStore_.at(store).front());
    while (bytes_ + bytes > maxBytes_) {
        const std::string owningStore = oldestFirst_.front().store;  // a copy, because the session is erased
        erase(owningStore, oldestFirst_.begin());
    }
    oldestFirst_.push_back({store, name, epoch, std::move(handle), bytes, expiresAt});
    byStore_[store].push_back(std::prev(oldestFirst_.end()));
    bytes_ += bytes;
}

SessionCache::Handle SessionCache::popNewest(const std::string& store, const std::string& name,
                                             unsigned epoch, Nanoseconds now) {
    for (auto entry = byStore_.find(store); entry != byStore_.end(); entry = byStore_.find(store)) {
        const auto newest = entry->second.back();
        const bool usable = newest->name == name && newest->epoch == epoch && now < newest->expiresAt;
        Handle handle = usable ? std::move(newest->handle) : nullptr;
        erase(store, newest);
        if (usable) return handle;
    }
    return nullptr;
}

void SessionCache::clear() {
    byStore_.clear();
    oldestFirst_.clear();
    bytes_ = 0;
}

}  // namespace granitereel::tls
