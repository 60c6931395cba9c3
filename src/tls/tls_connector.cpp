#include "tls_connector.hpp"

#include <openssl/err.h>
#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "wire/postgres.hpp"

namespace granitereel::tls {

namespace {

constexpr auto asTupleAwaitable = asio::as_tuple(asio::use_awaitable);

// Refusals are logged at this interval per store: attempts may meet hundreds of them in between.
constexpr Nanoseconds refusalLogInterval = milliseconds(10'000);
// Certificates about to expire are logged at the start, after a change of files, and at this interval.
constexpr Nanoseconds expiryWarningInterval = milliseconds(24ll * 3600 * 1000);

}  // namespace

TlsConnector::TlsConnector(asio::any_io_executor executor, const Clock& clock, const AddressBook& addresses,
                           const fittings::TlsToStores& settings, double cores, std::size_t memory,
                           Nanoseconds coldStartTime)
    : executor_(executor),
      clock_(clock),
      addresses_(addresses),
      settings_(settings),
      cores_(cores),
      coldStartTime_(coldStartTime),
      trustStore_(std::make_shared<TrustStore>(settings, std::time(nullptr))),
      // A sixty-fourth of the memory: half a megabyte of 32, which is some 250 sessions of 2 KiB.
      sessions_(settings.tickets_per_store(), memory / 64),
      limiter_(handshakeLimits(), clock.now()),
      renewal_(milliseconds(1000) * settings.pace().renew_within_seconds()),
      retryTimer_(executor) {
    warnOfExpiry();
}

HandshakeLimiter::Limits TlsConnector::handshakeLimits() const {
    const fittings::Pace& pace = settings_.pace();
    return {static_cast<int>(pace.at_once()), static_cast<int>(pace.at_once_per_store()),
            double(pace.share_percent()) / 100 * cores_, coldStartTime_};
}

void TlsConnector::warnOfExpiry() {
    expiryWarnedAt_ = clock_.now();
    const std::time_t expiryLimit =
        std::time(nullptr) + std::time_t(settings_.warn_hours_before_expiry()) * 3600;
    for (const std::string& entry : trustStore_->expiringBefore(expiryLimit))
        spdlog::warn("TLS: runs out within {} hours: {}", settings_.warn_hours_before_expiry(), entry);
}

void TlsConnector::update(const fittings::TlsToStores& settings) {
    auto trustStore =
        std::make_shared<TrustStore>(settings, std::time(nullptr));  // throws before any state has changed
    const bool sameSettings = settings.SerializeAsString() == settings_.SerializeAsString();
    const bool unchanged = sameSettings && trustStore->digest() == trustStore_->digest();
    settings_ = settings;
    limiter_.setLimits(handshakeLimits());
    renewal_.setPeriod(milliseconds(1000) * settings.pace().renew_within_seconds());
    if (unchanged) {
        spdlog::info("TLS: nothing new in certificates and terms");
        return;
    }
    trustStore_ = std::move(trustStore);
    ++trustEpoch_;
    sessions_.clear();
    renewal_.start(clock_.now());
    spdlog::info("TLS: new certificates and terms hold, connections made before are renewed");
    warnOfExpiry();
    startEligibleHandshakes();
}

// Expands the placeholders in one pass, because a value from discovery may itself look like a placeholder.
// Returns an empty name, which matches no certificate, where discovery lacks a value: the rest alone, such as
// '.halls', would match the certificate of every store in that domain, and one store could pose as another.
std::string TlsConnector::expectedName(const std::string& store) const {
    const auto found = addresses_.find(store);
    if (found == addresses_.end()) return {};
    const Where& where = found->second;
    const std::map<std::string_view, std::string> placeholders = {
        {"{store}", store},
        {"{group}", std::to_string(where.group)},
        {"{listed}", where.listed},
        {"{address}", where.at.address().to_string()}};
    std::string name;
    for (std::string_view rest = settings_.expected_name(); !rest.empty();) {
        const std::size_t close = rest[0] == '{' ? rest.find('}') : std::string_view::npos;
        const auto placeholder = close == std::string_view::npos
                                     ? placeholders.end()
                                     : placeholders.find(rest.substr(0, close + 1));
        if (placeholder != placeholders.end() && placeholder->second.empty()) return {};
        name += placeholder == placeholders.end() ? std::string(1, rest[0]) : placeholder->second;
        rest.remove_prefix(placeholder == placeholders.end() ? 1 : placeholder->first.size());
    }
    // X509_check_host takes a name with a leading dot for all names of that domain.
    return name.starts_with('.') ? std::string() : name;
}

void TlsConnector::logRefusal(const std::string& store, const std::string& why,
                              const std::string& certificate) {
    auto& [last, suppressed] = refusalLogs_[store];
    const Nanoseconds now = clock_.now();
    if (last > 0 && now - last < refusalLogInterval) {
        ++suppressed;
        return;
    }
    spdlog::warn("TLS: store {} refused: {}; {}{}", store, why, certificate,
                 suppressed > 0 ? fmt::format("; {} more since the last line", suppressed) : std::string());
    last = now;
    suppressed = 0;
    if (refusalLogs_.size() > 1000)
        std::erase_if(refusalLogs_,
                      [&](const auto& entry) { return now - entry.second.first > refusalLogInterval; });
}

// Wakes the waiters that may start now, and sets the timer for the next ones.
void TlsConnector::startEligibleHandshakes() {
    while (const auto requestId = limiter_.startNext(clock_.now())) {
        const auto found = waiters_.find(*requestId);
        found->second.granted = true;
        found->second.timer->cancel();
    }
    if (const auto startAt = limiter_.nextStartAt()) {
        retryTimer_.expires_at(clock_.at(*startAt));
        retryTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) startEligibleHandshakes();
        });
    }
}

asio::awaitable<TlsConnector::Admission> TlsConnector::admit(std::shared_ptr<Line> line,
                                                             HandshakePurpose purpose) {
    const Nanoseconds now = clock_.now();
    if (limiter_.isBackedOff(line->store, now)) co_return Admission::backedOff;
    const auto found = addresses_.find(line->store);
    line->turn =
        limiter_.enqueue(line->store, purpose, found == addresses_.end() ? 0 : found->second.started, now);
    asio::steady_timer timer(executor_, asio::steady_timer::time_point::max());
    const auto waiter = waiters_.emplace(line->turn, Waiter{&timer}).first;
    line->wakes = [&timer] { timer.cancel(); };
    startEligibleHandshakes();
    if (!waiter->second.granted && !line->ended()) co_await timer.async_wait(asTupleAwaitable);
    line->wakes = nullptr;
    const bool granted = waiter->second.granted && !line->ended();
    waiters_.erase(waiter);
    if (granted) co_return Admission::granted;
    ++counts_.deferred;
    cancelHandshake(*line);
    co_return Admission::deferred;
}

void TlsConnector::cancelHandshake(Line& line) {
    limiter_.release(std::exchange(line.turn, 0));
    startEligibleHandshakes();
}

// Sends SSLRequest, which the store answers with one byte. Any further plain text could have been injected by
// an attacker before the handshake, so the connection is refused then.
asio::awaitable<bool> TlsConnector::requestTls(std::shared_ptr<Line> line,
                                               TlsStream::HandshakeResult& result) {
    const std::string request = postgres::sslRequestMessage();
    const auto [writeError, n] =
        co_await asio::async_write(line->socket, asio::buffer(request), asTupleAwaitable);
    char reply = 0;
    const auto [error, bytesRead] =
        co_await asio::async_read(line->socket, asio::buffer(&reply, 1), asTupleAwaitable);
    result.certificate = "no certificate";
    // A connection that ended is a network failure; a store that declines TLS is untrusted.
    result.untrusted = !writeError && !error;
    boost::system::error_code ignored;
    if (writeError || error)
        result.error = "no answer to the request for TLS";
    else if (reply != 'S')
        result.error = reply == 'N' ? "does not do TLS" : "neither S nor N to the request for TLS";
    else if (line->socket.available(ignored) > 0)
        result.error = "plain text behind its consent to TLS";
    else
        co_return true;
    co_return false;
}

asio::awaitable<Nanoseconds> TlsConnector::handshake(std::shared_ptr<Line> line) {
    const unsigned epoch = trustEpoch_;
    const std::string store = line->store, name = expectedName(store);
    TlsStream::HandshakeResult result;
    bool tlsAccepted = true;
    if (!settings_.direct()) tlsAccepted = co_await requestTls(line, result);
    if (tlsAccepted && line->ended()) {
        result.error = "handshake timed out";
    } else if (tlsAccepted) {
        result = {};
        const Nanoseconds now = clock_.now();
        const auto session = sessions_.popNewest(store, name, epoch, now);
        const auto onSession = [this, store, name, epoch](SSL_SESSION* offered) {
            SessionCache::Handle handle(
                offered, [](void* pointer) { SSL_SESSION_free(static_cast<SSL_SESSION*>(pointer)); });
            if (epoch != trustEpoch_) return;
            // Twice the serialized length: OpenSSL also keeps the certificates, which take about as much
            // again.
            const auto bytes = static_cast<std::size_t>(std::max(0, i2d_SSL_SESSION(offered, nullptr))) * 2;
            const Nanoseconds lifetime =
                milliseconds(1000) * static_cast<Nanoseconds>(SSL_SESSION_get_timeout(offered));
            sessions_.insert(store, name, epoch, std::move(handle), bytes, clock_.now() + lifetime);
        };
        try {
            line->seal = std::make_unique<TlsStream>(trustStore_, line->socket, name, settings_.direct(),
                                                     static_cast<SSL_SESSION*>(session.get()), onSession);
            result = co_await line->seal->handshake();
        } catch (const CertificateError& error) {
            result.error = error.what();
            result.untrusted = true;
        }
    }
    const Nanoseconds cpuTime = line->seal ? line->seal->handshakeCpuTime() : 0;
    const bool succeeded = result.error.empty() && !line->ended();
    limiter_.finish(
        std::exchange(line->turn, 0),
        succeeded ? (result.resumed ? HandshakeLimiter::Outcome::resumed : HandshakeLimiter::Outcome::full)
        : result.untrusted ? HandshakeLimiter::Outcome::untrusted
                           : HandshakeLimiter::Outcome::connectionFailed,
        cpuTime, clock_.now());
    startEligibleHandshakes();
    if (!succeeded) {
        ++counts_.failed;
        // Cancelled attempts and network failures are logged by the router.
        if (result.untrusted) logRefusal(store, result.error, result.certificate);
        line->seal.reset();
        co_return cpuTime;
    }
    ++(result.resumed ? counts_.resumed : counts_.full);
    line->epoch = epoch;
    co_return cpuTime;
}

std::vector<std::string> TlsConnector::startDueRenewals(LinePool& pool) {
    const Nanoseconds now = clock_.now();
    if (now - expiryWarnedAt_ > expiryWarningInterval) warnOfExpiry();
    std::vector<std::string> due;
    if (!renewal_.isActive()) return due;
    const auto isOld = [this](const Line& line) { return line.epoch != trustEpoch_; };
    if (renewal_.isOverdue(now)) pool.closeAll(isOld);
    std::size_t count = 0;
    const std::map<std::string, Nanoseconds> old = pool.lastUsed(isOld, count);
    while (const auto store = renewal_.startNext(old, count, now)) {
        // The new connection replaces an old one, so that no more are open than before.
        pool.closeOne(*store, isOld);
        due.push_back(*store);
    }
    if (!renewal_.isActive()) spdlog::info("TLS: all connections are renewed");
    return due;
}

}  // namespace granitereel::tls
