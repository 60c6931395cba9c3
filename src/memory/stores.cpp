#include "stores.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace granitereel {

void Line::closeAt(asio::steady_timer::time_point when) {
    limit.expires_at(when);
    limit.async_wait([at = weak_from_this(), mine = ++turn](boost::system::error_code fault) {
        const auto line = at.lock();
        if (fault || !line || line->turn != mine) return;
        line->overdue = true;
        boost::system::error_code ignored;
        line->socket.close(ignored);
    });
}

void Line::release() {
    ++turn;
    limit.cancel();
}

void Line::abandon() {
    calledBack = true;
    boost::system::error_code ignored;
    socket.close(ignored);
}

bool LinePool::usable(Line& line, std::int64_t now) const {
    // A store closes at the latest after its idle limit, and a statement that crosses the closing may have
    // run: three quarters of the limit leave room for its clock and the way.
    if (idleLimit_ > 0 && now - line.idleSince > idleLimit_ / 4 * 3) return false;
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
    if (!places_.mayOpenLine(open_) && !dropOldest()) return nullptr;
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
