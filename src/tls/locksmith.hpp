// Seals connections to stores: waits for a turn, asks for TLS, shakes hands, keeps tickets; takes new trust
// while traffic flows. What it may begin, and what comes first, is Pace's and Renewal's to say.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

#include "memory/clock.hpp"
#include "memory/stores.hpp"
#include "tls/pace.hpp"
#include "tls/sealed.hpp"
#include "tls/tickets.hpp"

namespace granitereel::tls {

class Locksmith {
public:
    // `cores`: of the processor that the front may use; `memory`: bytes of it in all. Throws Untrusted.
    Locksmith(asio::any_io_executor on, const Clock& clock, const AddressBook& book,
              const fittings::TlsToStores& terms, double cores, std::size_t memory, Nanoseconds coldTime);

    // Waits until a handshake with the line's store may begin. None: it may not before the line is closed.
    // Spared: the store could not be trusted lately.
    enum class Turned { mayBegin, deferred, spared };
    asio::awaitable<Turned> turn(std::shared_ptr<Line> line, For what);
    // On a line that is connected and has its turn. Where that fails, it is not sealed and the log says why.
    // Returns what the handshake took of the processor.
    asio::awaitable<Nanoseconds> seal(std::shared_ptr<Line> line);
    // The turn is over without a handshake.
    void passes(Line& line);

    // New trust and terms, taken whole or not at all. Throws Untrusted.
    void take(const fittings::TlsToStores& terms);
    // Whether a line was made under the trust that holds.
    bool current(const Line& line) const { return line.epoch == epoch_; }
    // Whether it may go on being used: one made before is renewed first, but not after the rest have been.
    bool mayRest(const Line& line) const { return current(line) || renewal_.on(); }
    // Once in a while: the stores to which an idle line of the old kind is to be renewed now, out of `pool`.
    std::vector<std::string> renewals(LinePool& pool);
    void renewed(const std::string& store, Nanoseconds took) { renewal_.ended(store, took); }

    struct Counts {
        std::uint64_t full = 0, resumed = 0, failed = 0, deferred = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    Pace::Terms pacing() const;
    void pump();
    void warn();
    void complain(const std::string& store, const std::string& why, const std::string& certificate);
    std::string nameOf(const std::string& store) const;
    asio::awaitable<bool> askInPlain(std::shared_ptr<Line> line, Sealed::Shaken& told);

    asio::any_io_executor on_;
    const Clock& clock_;
    const AddressBook& book_;
    fittings::TlsToStores terms_;
    double cores_;
    Nanoseconds coldTime_;
    std::shared_ptr<const Trust> trust_;
    unsigned epoch_ = 1;
    Tickets tickets_;
    Pace pace_;
    Renewal renewal_;
    struct Waiter {
        asio::steady_timer* bell;
        bool granted = false;
    };
    std::map<Pace::Turn, Waiter> waiters_;
    asio::steady_timer alarm_;
    Counts counts_;
    std::map<std::string, std::pair<Nanoseconds, std::uint64_t>>
        complained_;  // by store: when last, how many since
    Nanoseconds warnedAt_ = 0;
};

}  // namespace granitereel::tls
