// Speaks to stores: launches and probes, each on a connection of its own while it lasts.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "facade/async_router.hpp"
#include "memory/stores.hpp"
#include "tls/tls_connector.hpp"

namespace granitereel {

// A statement as it goes out: the client's own text, with another `d`.
struct Outgoing {
    std::string_view before, after;  // of the digits of `d`
};

class Stores {
public:
    Stores(asio::any_io_executor on, const Clock& clock, AsyncRouter& desk, const AddressBook& book,
           LinePool& pool, Budget& budget, Nanoseconds connectWithin, bool reports,
           tls::TlsConnector* tlsConnector)
        : on_(on),
          clock_(clock),
          desk_(desk),
          book_(book),
          pool_(pool),
          budget_(budget),
          connectWithin_(connectWithin),
          reports_(reports),
          tlsConnector_(tlsConnector) {}

    // Launches, waits for the ending and reports it. The answer, where delivered, is written to `answer` as
    // the store sent it.
    asio::awaitable<void> startAttempt(std::string store, Nanoseconds until, Outgoing statement,
                                       std::shared_ptr<TransactionHandle> ticket, std::string& answer);
    asio::awaitable<void> probe(std::string store);
    // Opens a connection that is at rest from then on, in place of one made under trust that holds no more.
    asio::awaitable<void> renew(std::string store);
    // Lets an idle connection go where a client needs its place; false where none is idle.
    bool spareLine() { return pool_.makeWay(); }

private:
    struct Heard;
    asio::awaitable<bool> connect(std::shared_ptr<Line> line, Nanoseconds until, tls::HandshakePurpose what,
                                  Heard& heard);
    asio::awaitable<std::shared_ptr<Line>> reach(std::string store, Nanoseconds until,
                                                 TransactionHandle* ticket, Heard& heard);
    asio::awaitable<void> hear(std::shared_ptr<Line> line, Nanoseconds until, Heard& heard);
    void keep(std::shared_ptr<Line> line, const Heard& heard);

    asio::any_io_executor on_;
    const Clock& clock_;
    AsyncRouter& desk_;
    const AddressBook& book_;
    LinePool& pool_;
    Budget& budget_;
    Nanoseconds connectWithin_;
    bool reports_;
    tls::TlsConnector* tlsConnector_;  // null where TLS is off
};

// What a report says, told as 'name=value,...'; nothing where any of it can't be.
StoreReport readReport(std::string_view text, Nanoseconds now);

}  // namespace granitereel
