// Seals connections to stores: waits for a turn, asks for TLS, shakes hands, keeps tickets; takes new trust
// while traffic flows. What it may begin, and what comes first, is Pace's and Renewal's to say.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

#include "memory/clock.hpp"
#include "memory/stores.hpp"
#include "tls/handshake_limiter.hpp"
#include "tls/session_cache.hpp"
#include "tls/tls_stream.hpp"

namespace granitereel::tls {

class TlsConnector {
public:
    // `cores`: of the processor that the front may use; `memory`: bytes of it in all. Throws Untrusted.
    TlsConnector(asio::any_io_executor executor, const Clock& clock, const AddressBook& addresses,
                 const fittings::TlsToStores& settings, double cores, std::size_t memory,
                 Nanoseconds coldStartTime);

    // Waits until a handshake with the line's store may begin. None: it may not before the line is closed.
    // Spared: the store could not be trusted lately.
    enum class Admission { granted, deferred, backedOff };
    asio::awaitable<Admission> admit(std::shared_ptr<Line> line, HandshakePurpose purpose);
    // On a line that is connected and has its turn. Where that fails, it is not sealed and the log says why.
    // Returns what the handshake took of the processor.
    asio::awaitable<Nanoseconds> handshake(std::shared_ptr<Line> line);
    // The turn is over without a handshake.
    void cancelHandshake(Line& line);

    // New trust and terms, taken whole or not at all. Throws Untrusted.
    void update(const fittings::TlsToStores& settings);
    // Whether a line was made under the trust that holds.
    bool isCurrent(const Line& line) const { return line.epoch == trustEpoch_; }
    // Whether it may go on being used: one made before is renewed first, but not after the rest have been.
    bool mayKeepIdle(const Line& line) const { return isCurrent(line) || renewal_.isActive(); }
    // Once in a while: the stores to which an idle line of the old kind is to be renewed now, out of `pool`.
    std::vector<std::string> startDueRenewals(LinePool& pool);
    void finishRenewal(const std::string& store, Nanoseconds duration) { renewal_.finish(store, duration); }

    struct Counts {
        std::uint64_t full = 0, resumed = 0, failed = 0, deferred = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    HandshakeLimiter::Limits handshakeLimits() const;
    void startEligibleHandshakes();
    void warnOfExpiry();
    void logRefusal(const std::string& store, const std::string& why, const std::string& certificate);
    std::string expectedName(const std::string& store) const;
    asio::awaitable<bool> requestTls(std::shared_ptr<Line> line, TlsStream::HandshakeResult& result);

    asio::any_io_executor executor_;
    const Clock& clock_;
    const AddressBook& addresses_;
    fittings::TlsToStores settings_;
    double cores_;
    Nanoseconds coldStartTime_;
    std::shared_ptr<const TrustStore> trustStore_;
    unsigned trustEpoch_ = 1;
    SessionCache sessions_;
    HandshakeLimiter limiter_;
    ConnectionRenewal renewal_;
    struct Waiter {
        asio::steady_timer* timer;
        bool granted = false;
    };
    std::map<HandshakeLimiter::RequestId, Waiter> waiters_;
    asio::steady_timer retryTimer_;
    Counts counts_;
    std::map<std::string, std::pair<Nanoseconds, std::uint64_t>>
        refusalLogs_;  // by store: when last, how many since
    Nanoseconds expiryWarnedAt_ = 0;
};

}  // namespace granitereel::tls
