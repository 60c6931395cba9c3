#include "clients.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "postgres.hpp"
#include "statement.hpp"

namespace granitereel {

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

// A client that does not take its answer is waited for this long: several times what a slow link needs for a
// whole value.
constexpr auto patience = std::chrono::seconds(10);
// What makes no sense is owed an error or a close within 3 s. So long a new client may take until it has
// asked for something that can be taken in hand, and any client for the rest of a message that it has begun.
constexpr auto mostSilence = std::chrono::milliseconds(2500);
// So much is read after a last answer, so that closing does not reset it away. Who says more does not listen.
constexpr std::size_t mostPassedOver = 64 * 1024;
// What may wait on one connection for its turn: two statements of the largest size, or many small ones.
constexpr std::size_t mostWaitingBytes = 2 * postgres::longestMessage, mostWaiting = 128;

std::optional<std::int64_t> wholeNumber(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size()) return {};
    return value;
}

std::string errorAnswer(std::string_view code, std::string_view words, std::string_view detail = {}) {
    std::string answer;
    postgres::putError(answer, "ERROR", code, words, detail);
    postgres::putReady(answer);
    return answer;
}

std::string nackAnswer(std::string_view words, Nanoseconds comeBackAfter = 0) {
    return errorAnswer("53300", words,
                       comeBackAfter > 0 ? std::to_string(comeBackAfter / milliseconds(1)) : "");
}

}  // namespace

Clients::Clients(asio::any_io_executor on, const Clock& clock, AsyncRouter& desk, Stores& stores,
                 Budget& budget, const std::vector<TransactionClass>& classes, DescriptorBudget& places)
    : on_(on),
      clock_(clock),
      desk_(desk),
      stores_(stores),
      budget_(budget),
      places_(places),
      table_(places, clock) {
    for (std::size_t i = 0; i < classes.size(); ++i) {
        classes_[classes[i].name] = static_cast<int>(i);
        sessions_.push_back(classes[i].consistency == Consistency::session ||
                            classes[i].consistency == Consistency::write);
        writes_.push_back(classes[i].consistency == Consistency::write);
    }
}

asio::awaitable<void> Clients::listen(tcp::acceptor& acceptor) {
    while (acceptor.is_open()) {
        table_.relieve();
        // An idle connection to a store makes way before a client has to wait.
        if (!stores_.spareLine() || !table_.hasPlace()) {
            asio::steady_timer pause(on_, std::chrono::milliseconds(5));
            co_await pause.async_wait(quietly);
            continue;
        }
        auto [fault, socket] = co_await acceptor.async_accept(quietly);
        if (fault == asio::error::operation_aborted) co_return;
        if (fault) {
            // Out of descriptors or of memory: time for something to be closed.
            asio::steady_timer pause(on_, std::chrono::milliseconds(5));
            co_await pause.async_wait(quietly);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto client = std::make_shared<Client>(std::move(socket), budget_);
        client->sayBy = client->heard + mostSilence;
        table_.add(*client);
        asio::co_spawn(on_, read(client), asio::detached);
    }
}

void Clients::closeQuiet() {
    closing_ = true;
    // A client that has just had its answer or its welcome may be asking already; the way here and back is a
    // few milliseconds.
    table_.closeQuiet(std::chrono::milliseconds(50));
}

// Reads at least one byte; false at the end of the connection.
asio::awaitable<bool> Clients::more(std::shared_ptr<Client> client, std::size_t whole) {
    const auto room = client->inbox.room(whole);
    if (room.empty()) {
        ask(*client, {"", "53300", "no memory for a message of this size"});
        co_return false;
    }
    const auto [fault, got] =
        co_await client->socket.async_read_some(asio::buffer(room.data(), room.size()), quietly);
    if (fault) {
        client->gone = true;
        co_return false;
    }
    client->inbox.filled(got);
    table_.touch(*client);
    co_return true;
}

// The startup; false where the connection is to end.
asio::awaitable<bool> Clients::welcome(std::shared_ptr<Client> client) {
    using namespace postgres;
    for (;;) {
        const std::string_view unread = client->inbox.unread();
        const std::size_t length = startupLength(unread);
        if (length == 0 || unread.size() < length) {
            const bool read = co_await more(client, length);
            if (!read) co_return false;
            continue;
        }
        const std::uint32_t kind = number(unread.substr(4));
        client->inbox.use(length);
        if (kind == cancelRequest) co_return false;
        if (kind == sslRequest || kind == gssRequest) {
            const bool written = co_await write(client, "N");
            if (!written) co_return false;
            continue;
        }
        if (kind >> 16 != 3) throw Garbled("unsupported protocol version");
        std::string hello;
        using namespace std::string_view_literals;
        putMessage(hello, 'R', "\0\0\0\0"sv);
        putSetting(hello, "server_version", "15.0");
        putSetting(hello, "server_encoding", "UTF8");
        putSetting(hello, "client_encoding", "UTF8");
        putSetting(hello, "integer_datetimes", "on");
        putSetting(hello, "standard_conforming_strings", "on");
        putMessage(hello, 'K', "\0\0\0\0\0\0\0\0"sv);
        putReady(hello);
        const bool written = co_await write(client, std::move(hello));
        co_return written;
    }
}

void Clients::ask(Client& client, Asked asked) {
    asked.claim = Claim(budget_, asked.statement.size());
    if (!asked.claim) asked = {"", "53300", "no memory for what is asked"};
    if (!asked.faultCode.empty()) client.deaf = true;
    client.waitingBytes += asked.statement.size();
    client.waiting.push_back(std::move(asked));
    client.bell.cancel();
}

// Takes in what has been read; false once the client may say nothing more.
bool Clients::readAll(Client& client, std::size_t& wanted) {
    using namespace postgres;
    while (client.waitingBytes < mostWaitingBytes && client.waiting.size() < mostWaiting) {
        const std::string_view unread = client.inbox.unread();
        wanted = messageLength(unread);
        if (wanted == 0 || unread.size() < wanted) return true;
        std::string_view body = bodyOf(unread.substr(0, wanted));
        const char letter = unread[0];
        if (letter == 'X') return false;
        if (letter != 'Q') {
            ask(client, {"", "0A000", "simple queries only"});
            return true;
        }
        const std::string_view text = takeText(body);
        if (!body.empty()) throw Garbled("a query with something after its end");
        ask(client, {std::string(text), "", ""});
        client.inbox.use(wanted);
        if (client.deaf) return true;
    }
    wanted = 0;
    return true;
}

asio::awaitable<void> Clients::read(std::shared_ptr<Client> client) {
    bool on = true;
    try {
        on = co_await welcome(client);
    } catch (const postgres::Garbled& fault) {
        ask(*client, {"", "08P01", fault.what()});
    }
    asio::co_spawn(on_, answerAll(client), asio::detached);
    while (on && !client->deaf) {
        std::size_t wanted = 0;
        try {
            on = readAll(*client, wanted);
        } catch (const postgres::Garbled& fault) {
            ask(*client, {"", "08P01", fault.what()});
        }
        if (!on || client->deaf) break;
        if (client->waitingBytes >= mostWaitingBytes || client->waiting.size() >= mostWaiting) {
            client->bell.expires_at(asio::steady_timer::time_point::max());
            co_await client->bell.async_wait(quietly);
            if (!client->socket.is_open()) break;
            continue;
        }
        if (client->proven) {
            const bool begun = !client->inbox.unread().empty();
            if (!begun) client->sayBy = Client::never;
            if (begun && client->sayBy == Client::never) client->sayBy = Clock::Steady::now() + mostSilence;
        }
        on = co_await more(client, wanted);
    }
    if (client->deaf) co_await passOver(client);
    // The client is gone, or has said good-bye.
    client->gone = true;
    if (client->inHand) desk_.abandon(*client->inHand);
    client->bell.cancel();
}

// Reads on for a while: a connection that is closed with bytes unread is reset, and the last answer could be
// lost with it.
asio::awaitable<void> Clients::passOver(std::shared_ptr<Client> client) {
    std::array<char, 4096> bytes;
    for (std::size_t passed = 0; passed < mostPassedOver;) {
        const auto [fault, got] = co_await client->socket.async_read_some(asio::buffer(bytes), quietly);
        if (fault) co_return;
        passed += got;
    }
    client->floods = true;
    if (client->told) client->close();
    while (client->socket.is_open()) {  // what it asked for before is still answered
        client->bell.expires_at(asio::steady_timer::time_point::max());
        co_await client->bell.async_wait(quietly);
    }
}

asio::awaitable<bool> Clients::write(std::shared_ptr<Client> client, std::string answer) {
    client->takeBy = Clock::Steady::now() + patience;
    const auto [fault, n] = co_await asio::async_write(client->socket, asio::buffer(answer), quietly);
    client->takeBy = Client::never;
    co_return !fault;
}

// The connection's end goes out with the answer, in one segment: a client that saw the answer alone would ask
// again at once, and so on until the front is gone with one of its statements in hand. True where it has
// asked meanwhile, without having seen the answer: that is still answered.
asio::awaitable<bool> Clients::writeLast(std::shared_ptr<Client> client, std::string answer) {
    client->holdBack(true);
    const bool written = co_await write(client, std::move(answer));
    if (!written) co_return false;
    if (client->asksNoMore()) {
        boost::system::error_code ignored;
        client->socket.shutdown(tcp::socket::shutdown_send, ignored);
        co_return false;
    }
    client->holdBack(false);
    co_return true;
}

asio::awaitable<void> Clients::answerAll(std::shared_ptr<Client> client) {
    for (;;) {
        if (client->gone) break;
        if (client->waiting.empty()) {
            client->bell.expires_at(asio::steady_timer::time_point::max());
            co_await client->bell.async_wait(quietly);
            continue;
        }
        Asked asked = std::move(client->waiting.front());
        client->waiting.pop_front();
        client->waitingBytes -= asked.statement.size();
        client->busy = true;
        client->bell.cancel();  // the reader may have waited for room
        // Past the most that may ask, newcomers are told so. The client must not take a connection that ends
        // for one that it may use again.
        if (!client->proven && !detail::trim(asked.statement).empty() && !table_.admits())
            asked.faultCode = "53300", asked.fault = "too many connections";
        if (!asked.faultCode.empty()) {
            std::string farewell;
            postgres::putError(farewell, "FATAL", asked.faultCode, asked.fault);
            client->deaf = true;
            co_await write(client, std::move(farewell));
            client->told = true;
            // Where others wait for the descriptor, it is not kept for one that may take its time to close.
            if (client->floods || places_.overAdmissionLimit()) break;
            boost::system::error_code ignored;
            client->socket.shutdown(tcp::socket::shutdown_send, ignored);
            // Time for the client to read it and to close.
            client->takeBy = Clock::Steady::now() + std::chrono::seconds(1);
            co_return;
        }
        std::string reply = co_await answer(client, std::move(asked.statement));
        client->inHand = nullptr;
        if (client->gone) break;
        bool goesOn = false;
        if (closing_ && client->asksNoMore())
            goesOn = co_await writeLast(client, std::move(reply));
        else
            goesOn = co_await write(client, std::move(reply));
        client->busy = false;
        table_.touch(*client);
        if (!goesOn) break;
    }
    client->close();
}

// What the comment of a statement says, as far as it is of use here.
struct Clients::Known {
    std::string_view id, transactionClass, patience;
    std::optional<std::int64_t> d, group, after;
};

asio::awaitable<std::string> Clients::answer(std::shared_ptr<Client> client, std::string statement) {
    if (detail::trim(statement).empty()) {
        std::string reply;
        postgres::putMessage(reply, 'I', "");
        postgres::putReady(reply);
        client->prove();
        co_return reply;
    }
    Known known;
    bool whole = false, odd = false;
    const std::string_view sql = readMarks(
        statement,
        [&](std::string_view name, std::string_view value) {
            if (name == "id") known.id = value;
            if (name == "c") known.transactionClass = value;
            if (name == "d") known.patience = value, known.d = wholeNumber(value);
            if (name == "cluster") known.group = wholeNumber(value);
            if (name == "after") known.after = wholeNumber(value), odd = odd || !known.after;
        },
        whole);
    // An hour is more than any client waits; a position fits a time in nanoseconds.
    const bool sound = whole && !odd && !known.transactionClass.empty() && !known.id.empty() &&
                       known.id.size() <= 128 && known.d && *known.d > 0 && *known.d <= 3'600'000 &&
                       known.group && *known.group >= 0 && *known.group <= 1'000'000'000 &&
                       (!known.after || (*known.after >= 0 && *known.after < 9'000'000'000'000));
    if (!sound) co_return errorAnswer("08P01", "not a statement of the form that is served here");
    const auto transactionClass = classes_.find(known.transactionClass);
    if (transactionClass == classes_.end()) co_return errorAnswer("22023", "unknown class");
    const auto key = keyOf(sql, writes_[transactionClass->second]);
    if (!key) co_return errorAnswer("08P01", "not a statement of the form that its class takes");
    std::optional<Nanoseconds> mustSee;
    if (known.after && *known.after > 0) mustSee = milliseconds(*known.after);
    const std::string user = sessions_[transactionClass->second] ? std::string(*key) : std::string();
    auto ticket = desk_.submit(std::string(known.id), transactionClass->second, user, milliseconds(*known.d),
                               static_cast<int>(*known.group), mustSee);
    if (!ticket) co_return errorAnswer("22023", "unknown group, or an id that is in hand");
    client->inHand = ticket;
    client->prove();

    const std::size_t from = static_cast<std::size_t>(known.patience.data() - statement.data());
    const Outgoing outgoing{std::string_view(statement).substr(0, from),
                            std::string_view(statement).substr(from + known.patience.size())};
    std::string reply;
    for (;;) {
        const RoutingStep step = co_await desk_.nextStep(*ticket);
        if (const auto* launched = std::get_if<AttemptStarted>(&step)) {
            co_await stores_.startAttempt(launched->store, launched->until, outgoing, ticket, reply);
        } else if (const auto* nacked = std::get_if<Rejected>(&step)) {
            co_return nackAnswer("come again", nacked->retryAfter);
        } else if (std::holds_alternative<Indeterminate>(step)) {
            co_return errorAnswer("40003", "no answer; it may have run");
        } else {
            postgres::putReady(reply);
            co_return reply;
        }
    }
}

}  // namespace granitereel
