// The program from start to exit. It owns the parts, and passes through named phases.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "station.hpp"
#include "tier/post.hpp"
#include "wire/clients.hpp"
#include "wire/discovery.hpp"

namespace granitereel {

// How long a client may wait at most: the longest cut-off of any lane.
Nanoseconds longestCutOff(const RoutingConfig& charter);

class Program {
public:
    // Throws tls::Untrusted where certificates can't be used, std::runtime_error where the tier's address
    // can't be had.
    Program(const Station& station, const Told& told, const fittings::Fittings& fittings);
    ~Program();
    // Serves until it is told to end. Throws boost::system::system_error where the address can't be had.
    void run();

private:
    // starting: the list as last held is read. serving. leaving: told to end, but clients may not know yet.
    // finishing: no new connections; what is in hand is brought to its end. over: nothing is left.
    enum class Phase { starting, serving, leaving, finishing, over };
    void enter(Phase phase);
    asio::awaitable<void> errands();
    asio::awaitable<void> upkeep();
    asio::awaitable<void> reloads();
    asio::awaitable<void> shows();
    asio::awaitable<void> untilOver();
    void refit();

    // What still waits in it when the program ends uses the parts: it goes before them.
    struct Loop : asio::io_context {
        using asio::io_context::io_context;
        void letGo() { shutdown(); }
    };

    const Station& station_;
    const Told& told_;
    Loop io_{1};
    Clock clock_;
    Budget budget_;
    AddressBook book_;
    DescriptorBudget places_;
    LinePool pool_;
    AsyncRouter desk_;
    std::unique_ptr<tls::TlsConnector> tlsConnector_;  // null where TLS is off
    std::unique_ptr<tier::Post> post_;                 // null where the fronts don't know each other
    Stores stores_;
    Discovery discovery_;
    Clients clients_;
    tcp::acceptor acceptor_;
    asio::signal_set endings_, hangUps_, lookers_;
    Phase phase_ = Phase::starting;
};

}  // namespace granitereel
