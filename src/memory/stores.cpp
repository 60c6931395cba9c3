#include "stores.hpp"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>

#include "tls/tls_stream.hpp"

namespace granitereel {

namespace {
constexpr auto quietly = asio::as_tuple(asio::use_awaitable);
}

Line::Line(asio::any_io_executor on, std::string to, Budget& budget, std::size_t& count)
    : socket(on), limit(on), inbox(budget), store(std::move(to)), open(count) {
    ++open;
}

Line::~Line() {
    --open;
}

asio::awaitable<std::pair<boost::system::error_code, std::size_t>> Line::read(std::span<char> to) {
    if (seal) co_return co_await seal->read(to);
    const auto [fault, got] = co_await socket.async_read_some(asio::buffer(to.data(), to.size()), quietly);
    co_return std::pair(fault, got);
}

asio::awaitable<boost::system::error_code> Line::write(std::span<const asio::const_buffer> pieces) {
    if (seal) {
        // One record for what fits one: each would else be a record and a call of its own.
        std::string bytes;
        for (const auto& piece : pieces) bytes.append(static_cast<const char*>(piece.data()), piece.size());
        co_return co_await seal->write(std::move(bytes));
    }
    const auto [fault, n] = co_await asio::async_write(socket, pieces, quietly);
    co_return fault;
}

void Line::closeAt(asio::steady_timer::time_point when) {
    limit.expires_at(when);
    limit.async_wait([at = weak_from_this(), mine = ++limitNo](boost::system::error_code fault) {
        const auto line = at.lock();
        if (fault || !line || line->limitNo != mine) return;
        line->overdue = true;
        boost::system::error_code ignored;
        line->socket.close(ignored);
        if (line->wakes) line->wakes();
    });
}

void Line::release() {
    ++limitNo;
    limit.cancel();
}

void Line::abandon() {
    calledBack = true;
    boost::system::error_code ignored;
    socket.close(ignored);
    if (wakes) wakes();
}

bool LinePool::usable(Line& line, std::int64_t now) const {
    // A store closes at the latest after its idle limit, and a statement that crosses the closing may have
    // run: three quarters of the limit leave room for its clock and the way.
    if (idleLimit_ > 0 && now - line.idleSince > idleLimit_ / 4 * 3) return false;
    // Sealed, there may be what concerns TLS alone, such as a ticket.
    if (line.seal) return line.seal->isIdle();
    char byte;
    const auto got = ::recv(line.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);  // else ended, or spoke unasked
}

std::shared_ptr<Line> LinePool::take(const std::string& store, std::int64_t now) {
    auto found = idle_.find(store);
    if (found == idle_.end()) return nullptr;
    auto& lines = found->second;
    while (!lines.empty()) {
        std::shared_ptr<Line> line = std::move(lines.back());
        lines.pop_back();
        if (usable(*line, now)) return line;
    }
    return nullptr;
}

std::shared_ptr<Line> LinePool::make(const std::string& store, Budget& budget) {
    if (!places_.mayOpenStoreConnection(open_) && !dropOldest()) return nullptr;
    return std::make_shared<Line>(on_, store, budget, open_);
}

bool LinePool::dropOldest() {
    std::vector<std::shared_ptr<Line>>* oldest = nullptr;
    for (auto& [id, lines] : idle_)
        if (!lines.empty() && (!oldest || lines.front()->idleSince < oldest->front()->idleSince))
            oldest = &lines;
    if (!oldest) return false;
    oldest->erase(oldest->begin());
    return true;
}

std::map<std::string, std::int64_t> LinePool::lastUsed(const Which& which, std::size_t& count) const {
    std::map<std::string, std::int64_t> found;
    for (const auto& [store, lines] : idle_)
        for (const auto& line : lines)
            if (which(*line)) {
                auto& at = found[store];
                at = std::max(at, line->idleSince);
                ++count;
            }
    return found;
}

void LinePool::closeOne(const std::string& store, const Which& which) {
    const auto found = idle_.find(store);
    if (found == idle_.end()) return;
    auto& lines = found->second;
    const auto first =
        std::find_if(lines.begin(), lines.end(), [&](const auto& line) { return which(*line); });
    if (first != lines.end()) lines.erase(first);
}

void LinePool::closeAll(const Which& which) {
    for (auto& [store, lines] : idle_) std::erase_if(lines, [&](const auto& line) { return which(*line); });
}

void LinePool::put(std::shared_ptr<Line> line, std::int64_t now) {
    line->idleSince = now;
    auto& lines = idle_[line->store];
    lines.push_back(std::move(line));
}

void LinePool::sweep(std::int64_t now) {
    for (auto& [store, lines] : idle_)
        std::erase_if(lines, [&](const auto& line) { return !usable(*line, now); });
    std::erase_if(idle_, [](const auto& each) { return each.second.empty(); });
}

}  // namespace granitereel
