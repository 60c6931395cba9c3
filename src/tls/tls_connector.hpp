// Establishes TLS on connections to stores: waits for admission, requests TLS, does the handshake and caches
// sessions for resumption. Certificates and settings can be replaced while traffic flows. HandshakeLimiter
// and ConnectionRenewal decide which handshakes may start, and in which order.
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
    // `cores`: CPU cores that the proxy may use; `memory`: bytes that it may use. Throws CertificateError.
    TlsConnector(asio::any_io_executor executor, const Clock& clock, const AddressBook& addresses,
                 const fittings::TlsToStores& settings, double cores, std::size_t memory,
                 Nanoseconds coldStartTime);

    // Waits until a handshake on the store connection may start. deferred: the connection was closed before.
    // backedOff: the store has recently failed verification.
    enum class Admission { granted, deferred, backedOff };
    asio::awaitable<Admission> admit(std::shared_ptr<Line> line, HandshakePurpose purpose);
    // Establishes TLS on an open connection that has been admitted. After a failure `line->seal` is null; a
    // refused or refusing store is logged. Returns the CPU time of the handshake.
    asio::awaitable<Nanoseconds> handshake(std::shared_ptr<Line> line);
    // Gives up the admission, queued or granted, of a connection that does no handshake.
    void cancelHandshake(Line& line);

    // Replaces certificates and settings as a whole, or changes nothing and throws CertificateError.
    void update(const fittings::TlsToStores& settings);
    // Whether the connection was made with the certificates and settings in force.
    bool isCurrent(const Line& line) const { return line.epoch == trustEpoch_; }
    // Whether the connection may return to the pool. An old one may while renewals are in progress, but not
    // after they have completed.
    bool mayKeepIdle(const Line& line) const { return isCurrent(line) || renewal_.isActive(); }
    // To be called periodically. Closes old idle connections in `pool` that are due and returns the stores to
    // which a replacement is to be opened; report each with `finishRenewal`.
    std::vector<std::string> startDueRenewals(LinePool& pool);
    void finishRenewal(const std::string& store, Nanoseconds duration) { renewal_.finish(store, duration); }

    // Handshakes by result; `deferred`: connections closed before their handshake could start.
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
    // A coroutine in `admit`; cancelling its timer wakes it.
    struct Waiter {
        asio::steady_timer* timer;
        bool granted = false;
    };
    std::map<HandshakeLimiter::RequestId, Waiter> waiters_;
    asio::steady_timer retryTimer_;
    Counts counts_;
    // By store: the time of the last log line and the number of refusals not logged since.
    std::map<std::string, std::pair<Nanoseconds, std::uint64_t>> refusalLogs_;
    Nanoseconds expiryWarnedAt_ = 0;
};

}  // namespace granitereel::tls
