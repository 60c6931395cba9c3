#include "proxy/wire.hpp"

#include <array>

namespace granitereel::proxy {

namespace {
constexpr std::array<ErrorEntry, 13> table{{
    {Error::busy, "BUSY", true, true},
    {Error::aborted, "ABORTED", false, false},
    {Error::lagging, "LAGGING", true, true},
    {Error::readonly, "READONLY", true, true},
    {Error::missent, "MISSENT", true, true},
    {Error::full, "FULL", true, true},
    {Error::unknown, "UNKNOWN", true, true},
    {Error::failed, "FAILED", false, false},
    {Error::expired, "EXPIRED", false, false},
    {Error::indoubt, "INDOUBT", false, false},
    {Error::malformed, "MALFORMED", true, false},
    {Error::nosuchdb, "NOSUCHDB", true, false},
    {Error::other, "FAILED", false, false},
}};
}  // namespace

const ErrorEntry& entryOf(Error error) {
    return table[static_cast<std::size_t>(error)];
}

Error errorOf(std::string_view word) {
    for (const ErrorEntry& entry : table)
        if (word == entry.word) return entry.error;
    return Error::other;
}

std::string errorLine(Error error, std::string_view text) {
    std::string line = "ERROR ";
    line.append(entryOf(error).word).append(" ").append(text).append("\r\n");
    return line;
}

std::string_view takeField(std::string_view& rest) {
    const std::size_t cut = rest.find(' ');
    const std::string_view field = rest.substr(0, cut);
    rest = cut == rest.npos ? std::string_view() : rest.substr(cut + 1);
    return field;
}

Statement readStatement(std::string_view id, std::string_view text) {
    using Kind = Statement::Kind;
    Statement s;
    s.id = id;
    s.text = text;
    std::string_view rest = text;
    const std::string_view word = takeField(rest);
    if (id.empty() || id == "-") return s;
    if (word == "BEGIN") {
        if (rest.empty()) s.kind = Kind::begin;
        if (rest == "READ") s.kind = Kind::beginRead;
    } else if (word == "COMMIT" || word == "ABORT") {
        if (rest.empty()) s.kind = word == "COMMIT" ? Kind::commit : Kind::abort;
    } else if (word == "READ") {
        if (!rest.empty()) s.kind = Kind::read;
    } else if (word == "WRITE") {
        s.thing = takeField(rest);
        if (!s.thing.empty()) s.kind = Kind::write;
    } else if (word == "SET") {
        s.name = takeField(rest);
        s.value = rest;
        if (!s.name.empty()) s.kind = Kind::set;
    } else if (word == "PARSE") {
        s.name = takeField(rest);
        const std::string_view does = takeField(rest);
        s.writes = does == "WRITE";
        s.value = rest;
        if (!s.name.empty() && (s.writes || does == "READ") && !rest.empty()) s.kind = Kind::parse;
    } else if (word == "EXECUTE") {
        s.name = takeField(rest);
        s.thing = rest;
        if (!s.name.empty() && !rest.empty()) s.kind = Kind::execute;
    } else if (word == "CLOSE") {
        s.name = takeField(rest);
        if (!s.name.empty() && rest.empty()) s.kind = Kind::close;
    }
    return s;
}

}  // namespace granitereel::proxy
