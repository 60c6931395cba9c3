#include "http.hpp"

#include <algorithm>
#include <charconv>

namespace granitereel::http {

namespace {

char small(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool alike(std::string_view a, std::string_view smallLetters) {
    return std::equal(a.begin(), a.end(), smallLetters.begin(), smallLetters.end(),
                      [](char x, char y) { return small(x) == y; });
}

std::uint64_t numeral(std::string_view text, int base) {
    std::uint64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (fault != std::errc() || end == text.data()) throw Garbled("not a length");
    const std::string_view rest(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (!rest.empty() && rest[0] != ';' && rest[0] != ' ') throw Garbled("not a length");
    return value;
}

}  // namespace

std::size_t headLength(std::string_view bytes) {
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end != std::string_view::npos && end + 4 <= longestHead) return end + 4;
    if (bytes.size() >= longestHead) throw Garbled("a head without an end");
    return 0;
}

int statusOf(std::string_view head) {
    if (!head.starts_with("HTTP/1.") || head.size() < 12 || head[8] != ' ') throw Garbled("not HTTP/1.x");
    return static_cast<int>(numeral(head.substr(9, 3), 10));
}

std::string_view headerOf(std::string_view head, std::string_view name) {
    std::size_t at = head.find("\r\n");
    while (at != std::string_view::npos && at + 2 < head.size()) {
        head.remove_prefix(at + 2);
        at = head.find("\r\n");
        const std::string_view line = head.substr(0, at);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !alike(line.substr(0, colon), name)) continue;
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
        while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
        return value;
    }
    return {};
}

Body::Body(std::string_view head) {
    if (alike(headerOf(head, "transfer-encoding"), "chunked")) {
        chunked_ = true;
        stage_ = Stage::size;
    } else if (const std::string_view length = headerOf(head, "content-length"); !length.empty()) {
        left_ = numeral(length, 10);
        stage_ = left_ > 0 ? Stage::content : Stage::ended;
    } else {
        stage_ = Stage::untilClosed;
    }
}

void Body::feed(std::string_view bytes, std::string& to) {
    while (!bytes.empty() && stage_ != Stage::ended) {
        if (stage_ == Stage::untilClosed) {
            to += bytes;
            return;
        }
        if (stage_ == Stage::content) {
            const std::size_t n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
            to += bytes.substr(0, n);
            bytes.remove_prefix(n);
            left_ -= n;
            if (left_ == 0) stage_ = chunked_ ? Stage::contentEnd : Stage::ended;
            continue;
        }
        // The rest are lines.
        const char c = bytes[0];
        bytes.remove_prefix(1);
        if (c != '\n') {
            line_ += c;
            if (line_.size() > 1024) throw Garbled("a line without an end");
            continue;
        }
        if (!line_.empty() && line_.back() == '\r') line_.pop_back();
        if (stage_ == Stage::size) {
            left_ = numeral(line_, 16);
            stage_ = left_ > 0 ? Stage::content : Stage::trailer;
        } else if (stage_ == Stage::contentEnd) {
            if (!line_.empty()) throw Garbled("a chunk longer than it says");
            stage_ = Stage::size;
        } else if (line_.empty()) {
            stage_ = Stage::ended;
        }
        line_.clear();
    }
}

}  // namespace granitereel::http
