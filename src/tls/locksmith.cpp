#include "locksmith.hpp"

#include <openssl/err.h>
#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "wire/postgres.hpp"

namespace granitereel::tls {

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

// A store's failures are told of once in ten seconds: launches may meet it hundreds of times in between.
constexpr Nanoseconds complainEvery = milliseconds(10'000);
// What runs out soon is told of at the start, with new files, and once a day.
constexpr Nanoseconds warnEvery = milliseconds(24ll * 3600 * 1000);

}  // namespace

Locksmith::Locksmith(asio::any_io_executor on, const Clock& clock, const AddressBook& book,
                     const fittings::TlsToStores& terms, double cores, std::size_t memory,
                     Nanoseconds coldTime)
    : on_(on),
      clock_(clock),
      book_(book),
      terms_(terms),
      cores_(cores),
      coldTime_(coldTime),
      trust_(std::make_shared<Trust>(terms, std::time(nullptr))),
      // A sixty-fourth of the memory: half a megabyte of 32, some 250 sessions of 2 KiB.
      tickets_(terms.tickets_per_store(), memory / 64),
      pace_(pacing(), clock.now()),
      renewal_(milliseconds(1000) * terms.pace().renew_within_seconds()),
      alarm_(on) {
    warn();
}

Pace::Terms Locksmith::pacing() const {
    const fittings::Pace& pace = terms_.pace();
    return {static_cast<int>(pace.at_once()), static_cast<int>(pace.at_once_per_store()),
            double(pace.share_percent()) / 100 * cores_, coldTime_};
}

void Locksmith::warn() {
    warnedAt_ = clock_.now();
    const std::time_t then = std::time(nullptr) + std::time_t(terms_.warn_hours_before_expiry()) * 3600;
    for (const std::string& each : trust_->runOutBefore(then))
        spdlog::warn("TLS: runs out within {} hours: {}", terms_.warn_hours_before_expiry(), each);
}

void Locksmith::take(const fittings::TlsToStores& terms) {
    auto trust = std::make_shared<Trust>(terms, std::time(nullptr));  // throws before anything has changed
    const bool sameTerms = terms.SerializeAsString() == terms_.SerializeAsString();
    const bool same = sameTerms && trust->digest() == trust_->digest();
    terms_ = terms;
    pace_.change(pacing());
    renewal_.change(milliseconds(1000) * terms.pace().renew_within_seconds());
    if (same) {
        spdlog::info("TLS: nothing new in certificates and terms");
        return;
    }
    trust_ = std::move(trust);
    ++epoch_;
    tickets_.dropAll();
    renewal_.begins(clock_.now());
    spdlog::info("TLS: new certificates and terms hold, connections made before are renewed");
    warn();
    pump();
}

// Put together in one pass, as what the list says may itself look like a placeholder. Empty, which no
// certificate bears, where the list lacks a part: the rest alone, such as '.halls', would be borne by every
// store there.
std::string Locksmith::nameOf(const std::string& store) const {
    const auto found = book_.find(store);
    if (found == book_.end()) return {};
    const Where& where = found->second;
    const std::map<std::string_view, std::string> parts = {{"{store}", store},
                                                           {"{group}", std::to_string(where.group)},
                                                           {"{listed}", where.listed},
                                                           {"{address}", where.at.address().to_string()}};
    std::string name;
    for (std::string_view rest = terms_.expected_name(); !rest.empty();) {
        const std::size_t close = rest[0] == '{' ? rest.find('}') : std::string_view::npos;
        const auto part =
            close == std::string_view::npos ? parts.end() : parts.find(rest.substr(0, close + 1));
        if (part != parts.end() && part->second.empty()) return {};
        name += part == parts.end() ? std::string(1, rest[0]) : part->second;
        rest.remove_prefix(part == parts.end() ? 1 : part->first.size());
    }
    // A name that begins with a dot stands for all below it (X509_check_host).
    return name.starts_with('.') ? std::string() : name;
}

void Locksmith::complain(const std::string& store, const std::string& why, const std::string& certificate) {
    auto& [last, since] = complained_[store];
    const Nanoseconds now = clock_.now();
    if (last > 0 && now - last < complainEvery) {
        ++since;
        return;
    }
    spdlog::warn("TLS: store {} refused: {}; {}{}", store, why, certificate,
                 since > 0 ? fmt::format("; {} more since the last line", since) : std::string());
    last = now;
    since = 0;
    if (complained_.size() > 1000)
        std::erase_if(complained_, [&](const auto& each) { return now - each.second.first > complainEvery; });
}

// Lets those begin that may.
void Locksmith::pump() {
    while (const auto turn = pace_.next(clock_.now())) {
        const auto found = waiters_.find(*turn);
        found->second.granted = true;
        found->second.bell->cancel();
    }
    if (const auto at = pace_.lookAt()) {
        alarm_.expires_at(clock_.at(*at));
        alarm_.async_wait([this](boost::system::error_code fault) {
            if (!fault) pump();
        });
    }
}

asio::awaitable<Locksmith::Turned> Locksmith::turn(std::shared_ptr<Line> line, For what) {
    const Nanoseconds now = clock_.now();
    if (pace_.spares(line->store, now)) co_return Turned::spared;
    const auto found = book_.find(line->store);
    line->turn = pace_.asks(line->store, what, found == book_.end() ? 0 : found->second.started, now);
    asio::steady_timer bell(on_, asio::steady_timer::time_point::max());
    const auto waiter = waiters_.emplace(line->turn, Waiter{&bell}).first;
    line->wakes = [&bell] { bell.cancel(); };
    pump();
    if (!waiter->second.granted && !line->ended()) co_await bell.async_wait(quietly);
    line->wakes = nullptr;
    const bool granted = waiter->second.granted && !line->ended();
    waiters_.erase(waiter);
    if (granted) co_return Turned::mayBegin;
    ++counts_.deferred;
    passes(*line);
    co_return Turned::deferred;
}

void Locksmith::passes(Line& line) {
    pace_.leaves(std::exchange(line.turn, 0));
    pump();
}

// SSLRequest: the store says in one byte whether it does. What it says besides in plain text may be
// anybody's.
asio::awaitable<bool> Locksmith::askInPlain(std::shared_ptr<Line> line, Sealed::Shaken& told) {
    const std::string request = postgres::sslRequestMessage();
    const auto [unwritten, n] = co_await asio::async_write(line->socket, asio::buffer(request), quietly);
    char said = 0;
    const auto [fault, got] = co_await asio::async_read(line->socket, asio::buffer(&said, 1), quietly);
    told.certificate = "no certificate";
    // A connection that ended is the network's matter; a store that won't is one that can't be trusted.
    told.untrusted = !unwritten && !fault;
    boost::system::error_code ignored;
    if (unwritten || fault)
        told.fault = "no answer to the request for TLS";
    else if (said != 'S')
        told.fault = said == 'N' ? "does not do TLS" : "neither S nor N to the request for TLS";
    else if (line->socket.available(ignored) > 0)
        told.fault = "plain text behind its consent to TLS";
    else
        co_return true;
    co_return false;
}

asio::awaitable<Nanoseconds> Locksmith::seal(std::shared_ptr<Line> line) {
    const unsigned epoch = epoch_;
    const std::string store = line->store, name = nameOf(store);
    Sealed::Shaken shaken;
    bool asked = true;
    if (!terms_.direct()) asked = co_await askInPlain(line, shaken);
    if (asked && line->ended()) {
        shaken.fault = "no end in time";
    } else if (asked) {
        shaken = {};
        const Nanoseconds now = clock_.now();
        const auto session = tickets_.take(store, name, epoch, now);
        const auto keeps = [this, store, name, epoch](SSL_SESSION* offered) {
            Tickets::Handle handle(offered,
                                   [](void* held) { SSL_SESSION_free(static_cast<SSL_SESSION*>(held)); });
            if (epoch != epoch_) return;
            // Its length as written out: what the library keeps is that and its certificates, about as much
            // again.
            const auto bytes = static_cast<std::size_t>(std::max(0, i2d_SSL_SESSION(offered, nullptr))) * 2;
            const Nanoseconds life =
                milliseconds(1000) * static_cast<Nanoseconds>(SSL_SESSION_get_timeout(offered));
            tickets_.keep(store, name, epoch, std::move(handle), bytes, clock_.now() + life);
        };
        try {
            line->seal = std::make_unique<Sealed>(trust_, line->socket, name, terms_.direct(),
                                                  static_cast<SSL_SESSION*>(session.get()), keeps);
            shaken = co_await line->seal->shake();
        } catch (const Untrusted& fault) {
            shaken.fault = fault.what();
            shaken.untrusted = true;
        }
    }
    const Nanoseconds cost = line->seal ? line->seal->cost() : 0;
    const bool sound = shaken.fault.empty() && !line->ended();
    pace_.ended(std::exchange(line->turn, 0),
                sound              ? (shaken.resumed ? Pace::End::resumed : Pace::End::full)
                : shaken.untrusted ? Pace::End::untrusted
                                   : Pace::End::broken,
                cost, clock_.now());
    pump();
    if (!sound) {
        ++counts_.failed;
        // Called back, or the network's doing: the decisions' own lines tell of those.
        if (shaken.untrusted) complain(store, shaken.fault, shaken.certificate);
        line->seal.reset();
        co_return cost;
    }
    ++(shaken.resumed ? counts_.resumed : counts_.full);
    line->epoch = epoch;
    co_return cost;
}

std::vector<std::string> Locksmith::renewals(LinePool& pool) {
    const Nanoseconds now = clock_.now();
    if (now - warnedAt_ > warnEvery) warn();
    std::vector<std::string> due;
    if (!renewal_.on()) return due;
    const auto isOld = [this](const Line& line) { return line.epoch != epoch_; };
    if (renewal_.overdue(now)) pool.closeAll(isOld);
    std::size_t count = 0;
    const std::map<std::string, Nanoseconds> old = pool.lastUsed(isOld, count);
    while (const auto store = renewal_.next(old, count, now)) {
        // The new one takes the place of an old one, so that no more are open than before.
        pool.closeOne(*store, isOld);
        due.push_back(*store);
    }
    if (!renewal_.on()) spdlog::info("TLS: all connections are renewed");
    return due;
}

}  // namespace granitereel::tls
