#include "discovery.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "http.hpp"
#include "run/charter.hpp"

namespace granitereel {

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

// Discovery calls that wait in turn end within some seconds; a watch speaks every 2 s, and one line may be a
// second late.
constexpr auto mostSilence = std::chrono::milliseconds(3000);
// Connections are taken by the machine, not in turn: a second is several times a lost packet's delay.
constexpr auto mostConnecting = std::chrono::milliseconds(1000);
// Some thousands of entries; a longer list would not fit the memory of a front.
constexpr std::size_t longestList = 4 << 20;

std::string_view wordIn(const simdjson::dom::object& in, std::string_view name) {
    const auto found = present(in, name);
    return found && found->is_string() ? std::string_view(*found) : std::string_view();
}

}  // namespace

tcp::endpoint endpointOf(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    unsigned port = 0;
    const char* end = text.data() + text.size();
    if (colon == std::string_view::npos || std::from_chars(text.data() + colon + 1, end, port).ptr != end ||
        port == 0 || port > 65535)
        throw std::invalid_argument("not an address: '" + std::string(text) + "'");
    boost::system::error_code fault;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), fault);
    if (fault) throw std::invalid_argument("not an address: '" + std::string(text) + "'");
    return {address, static_cast<unsigned short>(port)};
}

void Discovery::read(const simdjson::dom::object& list) {
    const std::int64_t index(list["index"]);
    const bool whole(list["snapshot"]);
    const simdjson::dom::array entries(list["endpoints"]);
    desk_.listBegins(whole);
    for (const simdjson::dom::element item : entries) {
        if (!item.is_object()) continue;
        const simdjson::dom::object entry(item);
        const std::string name(wordIn(entry, "name"));
        const std::string_view status = wordIn(entry, "status"), zone = wordIn(entry, "zone");
        const auto group = present(entry, "group"), since = present(entry, "since_ms");
        try {
            const std::string_view address = wordIn(entry, "address");
            if (!address.empty()) book_[name].at = endpointOf(address);
            if (name.empty() || !book_.count(name)) throw std::invalid_argument("no name or no address");
            if (!group || !group->is_int64()) throw std::invalid_argument("no group");
            const std::int64_t number(*group);
            if (number < 0 || number > 1'000'000'000) throw std::invalid_argument("a group out of range");
            const StoreState standing = status == "Ready"         ? StoreState::up
                                        : status == "Terminating" ? StoreState::draining
                                        : status == "Gone"        ? StoreState::removed
                                                                  : throw std::invalid_argument("no status");
            const auto place = std::find(zones_.begin(), zones_.end(), zone);
            const double started = since && since->is_number() ? double(*since) : 0;
            if (!(started >= 0 && started < 9e12)) throw std::invalid_argument("a start out of range");
            Where& where = book_[name];
            where.group = static_cast<int>(number);
            where.started = nanosOf(started);
            where.listed = wordIn(entry, "tls_name");
            desk_.listEntry(name, static_cast<int>(number),
                            place == zones_.end() ? -1 : static_cast<int>(place - zones_.begin()), standing,
                            nanosOf(started), wordIn(entry, "role") == "primary");
        } catch (const std::invalid_argument& fault) {
            spdlog::warn("list: entry '{}' passed over: {}", name, fault.what());
        }
    }
    desk_.listEnds();
    index_ = index;
}

// One call while it lasts; its socket is closed when nothing has come for too long.
struct Discovery::Call {
    Call(asio::any_io_executor on) : socket(on), limit(on) {}
    void end() {
        over = true;
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    tcp::socket socket;
    asio::steady_timer limit;
    unsigned turn = 0;
    bool over = false;  // nothing that it says counts any more
};

asio::awaitable<void> Discovery::call(std::shared_ptr<Call> held, std::string target, bool watch) {
    tcp::socket& socket = held->socket;
    auto expect = [&](std::chrono::milliseconds within) {
        held->limit.expires_after(within);
        held->limit.async_wait([at = std::weak_ptr<Call>(held), mine = ++held->turn](auto fault) {
            const auto late = at.lock();
            if (!fault && late && late->turn == mine) late->end();
        });
    };
    const char* why = nullptr;
    const tcp::endpoint to = at_;
    expect(mostConnecting);
    const auto [unreached] = co_await socket.async_connect(to, quietly);
    if (unreached) throw std::runtime_error("no connection");
    expect(mostSilence);
    const std::string asked = "GET " + target + " HTTP/1.1\r\nHost: " + to.address().to_string() + ":" +
                              std::to_string(to.port()) + "\r\nAccept: application/json\r\n\r\n";
    const auto [unwritten, n] = co_await asio::async_write(socket, asio::buffer(asked), quietly);
    if (unwritten) throw std::runtime_error("connection broken");
    std::string text, content;
    std::optional<http::Body> body;
    std::array<char, 16 * 1024> bytes;
    for (;;) {
        const auto [fault, got] = co_await socket.async_read_some(asio::buffer(bytes), quietly);
        if (fault || held->over) {
            why = held->over ? "silent for too long" : "connection ended";
            break;
        }
        expect(mostSilence);
        std::string_view fresh(bytes.data(), got);
        if (!body) {
            text += fresh;
            const std::size_t head = http::headLength(text);
            if (head == 0) continue;
            if (const int status = http::statusOf(text); status != 200)
                throw std::runtime_error("answered " + std::to_string(status));
            body.emplace(std::string_view(text).substr(0, head));
            body->feed(std::string_view(text).substr(head), content);
            text.clear();
        } else {
            body->feed(fresh, content);
        }
        if (content.size() > longestList) throw std::runtime_error("list too long");
        std::size_t from = 0;
        for (std::size_t end; watch && (end = content.find('\n', from)) != std::string::npos;
             from = end + 1) {
            const std::string_view line = std::string_view(content).substr(from, end - from);
            if (line.find_first_not_of(" \r") == std::string_view::npos) continue;
            read(simdjson::dom::object(parser_.parse(line.data(), line.size())));
        }
        content.erase(0, from);
        if (body->ended()) break;
    }
    if (!watch && body && !content.empty())
        read(simdjson::dom::object(parser_.parse(content.data(), content.size())));
    else
        throw std::runtime_error(why ? why : "watch ended");
}

asio::awaitable<void> Discovery::follow() {
    if (watch_) co_return;
    const auto mine = watch_ = std::make_shared<Call>(on_);
    try {
        co_await call(mine, "/v1/servers?stream=1&index=" + std::to_string(index_), true);
    } catch (const std::exception& fault) {
        if (watch_ != mine) co_return;  // discovery has moved, and this call failed for that alone
        spdlog::warn("discovery: {}", fault.what());
        desk_.listFailed();
    }
    watch_ = nullptr;
}

asio::awaitable<void> Discovery::ask() {
    try {
        co_await call(std::make_shared<Call>(on_), "/v1/servers", false);
    } catch (const std::exception& fault) {
        spdlog::warn("discovery: {}", fault.what());
        desk_.listFailed();
    }
}

void Discovery::moveTo(tcp::endpoint at) {
    at_ = at;
    index_ = 0;  // what the old place counted may mean nothing at the new one
    if (const auto old = std::exchange(watch_, nullptr)) old->end();
}

}  // namespace granitereel
