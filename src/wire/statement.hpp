// A client's statement with the comment that names its transaction, read in place.
#pragma once

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

// The first quoted text of a statement; it names the session where there are sessions. Sets `single` to
// whether the text is one statement of the two kinds that stores take, with all its quotes closed.
inline std::string_view quotedKey(std::string_view sql, bool& single) {
    sql = detail::trim(sql);
    single = sql.starts_with("SELECT ") || sql.starts_with("INSERT ");
    std::string_view key;
    bool found = false;
    for (std::size_t at = 0; at < sql.size(); ++at) {
        if (sql[at] == ';' && detail::trim(sql.substr(at + 1)).size() > 0) single = false;
        if (sql[at] != '\'') continue;
        const std::size_t close = sql.find('\'', at + 1);
        if (close == std::string_view::npos) {
            single = false;
            break;
        }
        if (!std::exchange(found, true)) key = sql.substr(at + 1, close - at - 1);
        at = close;
    }
    single = single && found;
    return key;
}

}  // namespace granitereel
