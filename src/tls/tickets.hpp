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

class Tickets {
public:
    using Handle = std::shared_ptr<void>;
    // At most so many for a store, and so many bytes in all; the oldest go first.
    Tickets(std::size_t perStore, std::size_t bytes) : perStore_(perStore), most_(bytes) {}

    // `epoch`: of the trust that the session was made under.
    void keep(const std::string& store, const std::string& name, unsigned epoch, Handle handle,
              std::size_t bytes, Nanoseconds goodUntil);
    // The newest that is still good; null if there is none.
    Handle take(const std::string& store, const std::string& name, unsigned epoch, Nanoseconds now);
    // New trust or a new identity: nothing made under the old is used any more.
    void dropAll();
    std::size_t bytes() const { return bytes_; }
    std::size_t count() const { return byAge_.size(); }

private:
    struct Ticket {
        std::string store, name;
        unsigned epoch = 0;
        Handle handle;
        std::size_t bytes = 0;
        Nanoseconds goodUntil = 0;
    };
    using Age = std::list<Ticket>;
    void drop(const std::string& store, Age::iterator which);

    std::size_t perStore_, most_, bytes_ = 0;
    Age byAge_;  // the oldest first
    std::map<std::string, std::deque<Age::iterator>> byStore_;
};

}  // namespace granitereel::tls
