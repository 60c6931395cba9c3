#include "tickets.hpp"

#include <algorithm>

namespace granitereel::tls {

void Tickets::drop(const std::string& store, Age::iterator which) {
    const auto found = byStore_.find(store);
    std::erase(found->second, which);
    if (found->second.empty()) byStore_.erase(found);
    bytes_ -= which->bytes;
    byAge_.erase(which);
}

void Tickets::keep(const std::string& store, const std::string& name, unsigned epoch, Handle handle,
                   std::size_t bytes, Nanoseconds goodUntil) {
    // What its keeping takes besides counts as well: two nodes and the texts.
    bytes += 256 + store.size() + name.size();
    if (perStore_ == 0 || bytes > most_) return;
    // A store may offer hundreds: its own oldest make way, never another's.
    while (byStore_.count(store) && byStore_.at(store).size() >= perStore_)
        drop(store, byStore_.at(store).front());
    while (bytes_ + bytes > most_) {
        const std::string whose = byAge_.front().store;  // outlives the ticket
        drop(whose, byAge_.begin());
    }
    byAge_.push_back({store, name, epoch, std::move(handle), bytes, goodUntil});
    byStore_[store].push_back(std::prev(byAge_.end()));
    bytes_ += bytes;
}

Tickets::Handle Tickets::take(const std::string& store, const std::string& name, unsigned epoch,
                              Nanoseconds now) {
    for (auto found = byStore_.find(store); found != byStore_.end(); found = byStore_.find(store)) {
        const auto newest = found->second.back();
        const bool good = newest->name == name && newest->epoch == epoch && now < newest->goodUntil;
        Handle handle = good ? std::move(newest->handle) : nullptr;
        drop(store, newest);
        if (good) return handle;
    }
    return nullptr;
}

void Tickets::dropAll() {
    byStore_.clear();
    byAge_.clear();
    bytes_ = 0;
}

}  // namespace granitereel::tls
