#include "stores.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>

#include "postgres.hpp"

namespace granitereel {

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

template <class Number>
std::optional<Number> numberIn(std::string_view text) {
    Number value{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size()) return {};
    return value;
}

// A position tells what is applied: nothing before 1970, and nothing that lies ahead by more than rounding
// and a report's way may explain.
std::optional<Nanoseconds> believable(double nanos, Nanoseconds now) {
    if (!std::isfinite(nanos) || nanos < 0 || nanos > double(now) + 1e9) return {};
    return static_cast<Nanoseconds>(nanos);
}

}  // namespace

// One figure that can't be read spoils the rest.
StoreReport readReport(std::string_view text, Nanoseconds now) {
    StoreReport report;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const std::string_view entry = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
        const std::size_t equals = entry.find('=');
        if (equals == std::string_view::npos) return {};
        const auto value = numberIn<double>(entry.substr(equals + 1));
        if (!value || !std::isfinite(*value)) return {};
        if (entry.substr(0, equals) == "x0") {
            report.position = believable(std::floor(*value * 1e9), now);
            if (!report.position) return {};
        }
        if (entry.substr(0, equals) == "x1") report.primary = *value >= 0.5;
    }
    return report;
}

// What has been heard on a connection since its statement was written, or since it was opened. An answer has
// one form: a row's description, the row, the command's end, and the store's settings somewhere among them;
// or an error in place of what is left. Nothing of it counts before it is whole and the store is ready.
struct Stores::Heard {
    Heard() = default;
    explicit Heard(bool isAnswer) : asked(isAnswer) {}
    bool asked = false;  // it is a statement's answer, not a welcome
    bool described = false, row = false, whole = false, ready = false, spoilt = false;
    bool over = false;      // it has come to its end
    bool deferred = false;  // no turn for a handshake in time: that says nothing of the store
    std::string answer, value, code;
    Role role = Role::unknown;
    std::optional<Nanoseconds> position;
    std::optional<StoreReport> report;

    // Takes in one message; throws Garbled where it has no place.
    void take(std::string_view message, Nanoseconds now) {
        using namespace postgres;
        std::string_view body = bodyOf(message);
        const auto expect = [](bool so) {
            if (!so) throw Garbled("not what belongs here");
        };
        switch (message[0]) {
            case 'T':
                expect(asked && !described && code.empty() && describesOne(body));
                described = true;
                answer += message;
                break;
            case 'D':
                expect(described && !row && code.empty() && onlyColumn(body));
                row = true;
                value = onlyColumn(body)->substr(0, 1024);
                answer += message;
                break;
            case 'C':
                takeText(body);
                expect(row && !whole && code.empty() && body.empty());
                whole = true;
                answer += message;
                break;
            case 'E':
                expect(!whole && code.empty() && errorField(body, 'C').size() == 5);
                code = errorField(body, 'C');
                // The store ends the connection after these, and says no more.
                over = errorField(body, 'S') == "FATAL" || errorField(body, 'S') == "PANIC";
                break;
            case 'S': {
                const std::string_view name = takeText(body), setting = takeText(body);
                expect(body.empty());
                if (name == "role")
                    role = setting == "primary"   ? Role::primary
                           : setting == "replica" ? Role::replica
                                                  : Role::unknown;
                if (name == "applied_ms")
                    if (const auto ms = numberIn<double>(setting)) position = believable(*ms * 1e6, now);
                if (name == "load") report = readReport(setting, now);
                break;
            }
            case 'R':
                expect(!asked && body.size() == 4 && number(body) == 0);
                break;
            case 'Z':
                expect(body.size() == 1 && (whole || !asked || !code.empty()));
                over = ready = true;
                break;
            default:  // a notice, or the key that would cancel
                break;
        }
    }
};

// Reads until the store is ready for the next statement, or the connection ends. What has begun is of no use
// if nothing of the rest comes for as long as a whole connecting may take, and the store then counts as one
// that has said all that it will.
asio::awaitable<void> Stores::hear(std::shared_ptr<Line> line, Nanoseconds until, Heard& heard) {
    using namespace postgres;
    std::size_t total = 0;
    for (;;) {
        std::size_t wanted = 0;
        try {
            for (;;) {
                const std::string_view unread = line->inbox.unread();
                if (!mayBecomeAnswer(unread)) throw Garbled("no answer begins like this");
                wanted = messageLength(unread);
                if (wanted == 0 || unread.size() < wanted) break;
                heard.take(unread.substr(0, wanted), clock_.now());
                line->inbox.use(wanted);
                if (heard.over) co_return;
            }
            if (total > 2 * longestMessage) throw Garbled("an answer without an end");
        } catch (const Garbled&) {
            heard.spoilt = true;
            co_return;
        }
        const auto room = line->inbox.room(wanted);
        if (room.empty()) co_return;  // no memory for it: as if the connection had broken
        if (total > 0) line->closeAt(clock_.at(std::min(until, clock_.now() + connectWithin_)));
        const auto [fault, got] = co_await line->read(room);
        if (fault) {
            heard.spoilt = line->overdue && clock_.now() < until;
            co_return;
        }
        line->inbox.filled(got);
        total += got;
    }
}

asio::awaitable<bool> Stores::connect(std::shared_ptr<Line> line, Nanoseconds until,
                                      tls::HandshakePurpose what, Heard& heard) {
    if (tlsConnector_) {
        // Waited for as long as connecting may take, which begins only then.
        line->closeAt(clock_.at(std::min(until, clock_.now() + connectWithin_)));
        const auto turned = co_await tlsConnector_->admit(line, what);
        heard.deferred = turned == tls::TlsConnector::Admission::deferred;
        if (turned != tls::TlsConnector::Admission::granted) co_return false;
    }
    const auto address = book_.find(line->store);
    until = std::min(until, clock_.now() + connectWithin_);
    line->closeAt(clock_.at(until));
    bool up = address != book_.end();
    if (up) {
        const tcp::endpoint to = address->second.at;
        const auto [fault] = co_await line->socket.async_connect(to, quietly);
        up = !fault;
    }
    boost::system::error_code ignored;
    if (up) line->socket.set_option(tcp::no_delay(true), ignored);
    if (tlsConnector_) {
        const Nanoseconds work = up ? co_await tlsConnector_->handshake(line) : 0;
        if (!up) tlsConnector_->cancelHandshake(*line);
        if (work > 0) desk_.handshakeDone(line->store, work);
        up = up && line->seal;
    }
    if (!up) co_return false;
    const std::string hello = postgres::startupMessage();
    const std::array<asio::const_buffer, 1> pieces = {asio::buffer(hello)};
    const auto unwritten = co_await line->write(pieces);
    if (unwritten) co_return false;
    co_await hear(line, until, heard);
    co_return heard.ready&& heard.code.empty() && !line->overdue;
}

// A connection that is ready for a statement; null if there is none in time.
asio::awaitable<std::shared_ptr<Line>> Stores::reach(std::string store, Nanoseconds until,
                                                     TransactionHandle* ticket, Heard& heard) {
    std::shared_ptr<Line> line = pool_.take(store, clock_.now());
    const bool fresh = !line;
    if (fresh) line = pool_.make(store, budget_);
    if (!line) co_return nullptr;
    line->calledBack = line->overdue = false;
    if (ticket)
        ticket->onCancel([at = std::weak_ptr<Line>(line)] {
            if (auto held = at.lock()) held->abandon();
        });
    if (fresh && !line->calledBack) {
        const bool up = co_await connect(
            line, until, ticket ? tls::HandshakePurpose::statement : tls::HandshakePurpose::probe, heard);
        line->release();
        if (!up && !line->calledBack) co_return nullptr;
    }
    co_return line;
}

void Stores::keep(std::shared_ptr<Line> line, const Heard& heard) {
    line->release();
    if (!heard.ready || line->ended() || !line->inbox.unread().empty()) return;
    if (tlsConnector_ && !tlsConnector_->mayKeepIdle(*line)) return;
    pool_.put(std::move(line), clock_.now());
}

asio::awaitable<void> Stores::startAttempt(std::string store, Nanoseconds until, Outgoing statement,
                                           std::shared_ptr<TransactionHandle> ticket, std::string& answer) {
    AttemptResult result;
    Heard heard;
    std::shared_ptr<Line> line = co_await reach(store, until, ticket.get(), heard);
    if (!line) {
        // Nothing was written, so it never ran.
        result.outcome = heard.code == "53300"                     ? AttemptOutcome::overloaded
                         : heard.deferred || clock_.now() >= until ? AttemptOutcome::notSent
                                                                   : AttemptOutcome::unreachable;
    } else if (line->calledBack) {
        result.outcome = AttemptOutcome::cancelled;
    } else if (clock_.now() >= until || !desk_.mayStillSend(*ticket)) {
        result.outcome = AttemptOutcome::notSent;
        heard = {};
        heard.ready = true;
        keep(line, heard);
    } else {
        heard = Heard(true);
        // Rounded up, as what is left of a millisecond is still waited for.
        const std::string d = std::to_string((until - clock_.now() + milliseconds(1) - 1) / milliseconds(1));
        const std::size_t length = statement.before.size() + d.size() + statement.after.size() + 1;
        const std::string head = postgres::queryHead(length);
        const std::array<asio::const_buffer, 5> pieces = {asio::buffer(head), asio::buffer(statement.before),
                                                          asio::buffer(d), asio::buffer(statement.after),
                                                          asio::buffer("", 1)};
        line->closeAt(clock_.at(until));
        const auto unwritten = co_await line->write(pieces);
        if (!unwritten) co_await hear(line, until, heard);
        if (heard.spoilt)
            result.outcome = AttemptOutcome::invalidResponse;
        else if (heard.ready && heard.whole)
            result.outcome = AttemptOutcome::succeeded;
        else if (heard.over && heard.code == "53300")
            result.outcome = AttemptOutcome::overloaded;
        else if (heard.over && (heard.code == "25006" || heard.code == "72000"))
            result.outcome = AttemptOutcome::notEligible;
        else if (heard.over)
            result.outcome = AttemptOutcome::error;
        else if (line->calledBack)
            result.outcome = AttemptOutcome::cancelled;
        else if (line->overdue)
            result.outcome = unwritten ? AttemptOutcome::notSent : AttemptOutcome::timedOut;
        else
            result.outcome = unwritten ? AttemptOutcome::unreachable : AttemptOutcome::connectionLost;
        if (!heard.over) heard = Heard();  // what has no end says nothing
        result.role = heard.role;
        result.position = heard.position;
        result.report = heard.report;
        answer = std::move(heard.answer);
        keep(line, heard);
    }
    line.reset();
    ticket->onCancel(nullptr);
    desk_.reportResult(*ticket, result);
}

asio::awaitable<void> Stores::renew(std::string store) {
    const Nanoseconds begun = clock_.now();
    Heard heard;
    if (auto line = pool_.make(store, budget_)) {
        const bool up =
            co_await connect(line, begun + 2 * connectWithin_, tls::HandshakePurpose::renewal, heard);
        if (up) keep(line, heard);
    }
    tlsConnector_->finishRenewal(store, clock_.now() - begun);
}

asio::awaitable<void> Stores::probe(std::string store) {
    const Nanoseconds until = clock_.now() + connectWithin_;
    Heard heard;
    AttemptOutcome how = AttemptOutcome::unreachable;
    std::optional<StoreReport> report;
    std::shared_ptr<Line> line = co_await reach(store, until, nullptr, heard);
    if (!line) {
        // One that had no turn in time says nothing of the store, as one that finds it full.
        if (heard.code == "53300" || heard.deferred) how = AttemptOutcome::overloaded;
    } else {
        heard = Heard(true);
        std::string query;
        using namespace std::string_view_literals;
        postgres::putMessage(query, 'Q', reports_ ? "SHOW load\0"sv : "SELECT 1\0"sv);
        line->closeAt(clock_.at(until));
        const std::array<asio::const_buffer, 1> pieces = {asio::buffer(query)};
        const auto unwritten = co_await line->write(pieces);
        if (!unwritten) co_await hear(line, until, heard);
        if (heard.spoilt) {
            how = AttemptOutcome::invalidResponse;
        } else if (heard.ready && heard.whole) {
            how = AttemptOutcome::succeeded;
            if (reports_) report = readReport(heard.value, clock_.now());
        } else if (heard.over) {
            how = heard.code == "53300" ? AttemptOutcome::overloaded : AttemptOutcome::error;
        } else {
            how = line->overdue ? AttemptOutcome::timedOut : AttemptOutcome::connectionLost;
        }
        keep(line, heard);
    }
    line.reset();
    desk_.probeEnded(store, how, report);
}

}  // namespace granitereel
