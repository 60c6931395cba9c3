// A client's statement with the comment that names its transaction, read in place.
#pragma once

#include <optional>
#include <string_view>
#include <utility>

namespace granitereel {

namespace detail {
inline std::string_view trim(std::string_view text) {
    const std::size_t from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos) return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}
}  // namespace detail

// Calls `mark` with the name and value of each entry of the leading comment, both lying in `statement`, and
// returns what follows the comment. False in `whole` where there is no comment of that form.
template <class Mark>
std::string_view readMarks(std::string_view statement, Mark mark, bool& whole) {
    whole = false;
    const std::size_t begin = statement.find_first_not_of(" \t\r\n");
    if (begin == std::string_view::npos || statement.substr(begin, 2) != "/*") return {};
    const std::size_t end = statement.find("*/", begin + 2);
    if (end == std::string_view::npos) return {};
    std::string_view marks = statement.substr(begin + 2, end - begin - 2);
    while (!marks.empty()) {
        const std::size_t comma = marks.find(',');
        const std::string_view entry = detail::trim(marks.substr(0, comma));
        marks = comma == std::string_view::npos ? std::string_view() : marks.substr(comma + 1);
        const std::size_t equals = entry.find('=');
        if (equals == std::string_view::npos || equals == 0) return {};
        mark(entry.substr(0, equals), entry.substr(equals + 1));
    }
    whole = true;
    return statement.substr(end + 2);
}

// The quoted key of a statement; it names the session where there are sessions. None unless the text is, to
// the letter, one of the two that stores take: a read, or a write of at most 64 KiB.
inline std::optional<std::string_view> keyOf(std::string_view sql, bool write) {
    constexpr std::size_t longestKey = 1024, longestValue = 64 * 1024;
    const auto take = [&](std::string_view words) {
        const bool there = sql.starts_with(words);
        if (there) sql.remove_prefix(words.size());
        return there;
    };
    sql = detail::trim(sql);
    if (!take(write ? "INSERT INTO state (uid, val) VALUES ('" : "SELECT val FROM state WHERE uid = '"))
        return {};
    const std::string_view key = sql.substr(0, sql.find('\''));
    sql.remove_prefix(key.size());
    if (key.empty() || key.size() > longestKey) return {};
    if (write) {
        if (!take("', '\\x")) return {};
        const std::string_view digits = sql.substr(0, sql.find('\''));
        sql.remove_prefix(digits.size());
        if (digits.size() % 2 > 0 || digits.size() > 2 * longestValue ||
            digits.find_first_not_of("0123456789abcdefABCDEF") != digits.npos || !take("') RETURNING val"))
            return {};
    } else if (!take("'")) {
        return {};
    }
    take(";");
    if (!sql.empty()) return {};
    return key;
}

}  // namespace granitereel
