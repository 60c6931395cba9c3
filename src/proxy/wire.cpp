#include "proxy/wire.hpp"

#include <array>

namespace granitereel::proxy {

namespace {
constexpr std::array<ErrorProperties, 13> errorTable{{
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

const ErrorProperties& propertiesOf(Error error) {
    return errorTable[static_cast<std::size_t>(error)];
}

Error parseError(std::string_view word) {
    for (const ErrorProperties& properties : errorTable)
        if (word == properties.word) return properties.error;
    return Error::other;
}

std::string formatError(Error error, std::string_view text) {
    std::string message = "ERROR ";
    message.append(propertiesOf(error).word).append(" ").append(text).append("\r\n");
    return message;
}

std::string_view nextField(std::string_view& rest) {
    const std::size_t end = rest.find(' ');
    const std::string_view field = rest.substr(0, end);
    rest = end == rest.npos ? std::string_view() : rest.substr(end + 1);
    return field;
}

Statement parseStatement(std::string_view id, std::string_view text) {
    using Kind = Statement::Kind;
    Statement statement;
    statement.id = id;
    statement.text = text;
    std::string_view rest = text;
    const std::string_view word = nextField(rest);
    if (id.empty() || id == "-") return statement;
    if (word == "BEGIN") {
        if (rest.empty()) statement.kind = Kind::begin;
        if (rest == "READ") statement.kind = Kind::beginRead;
    } else if (word == "COMMIT" || word == "ABORT") {
        if (rest.empty()) statement.kind = word == "COMMIT" ? Kind::commit : Kind::abort;
    } else if (word == "READ") {
        if (!rest.empty()) statement.kind = Kind::read;
    } else if (word == "WRITE") {
        statement.argument = nextField(rest);
        if (!statement.argument.empty()) statement.kind = Kind::write;
    } else if (word == "SET") {
        statement.name = nextField(rest);
        statement.value = rest;
        if (!statement.name.empty()) statement.kind = Kind::set;
    } else if (word == "PARSE") {
        statement.name = nextField(rest);
        const std::string_view effect = nextField(rest);
        statement.writes = effect == "WRITE";
        statement.value = rest;
        if (!statement.name.empty() && (statement.writes || effect == "READ") && !rest.empty())
            statement.kind = Kind::parse;
    } else if (word == "EXECUTE") {
        statement.name = nextField(rest);
        statement.argument = rest;
        if (!statement.name.empty() && !rest.empty()) statement.kind = Kind::execute;
    } else if (word == "CLOSE") {
        statement.name = nextField(rest);
        if (!statement.name.empty() && rest.empty()) statement.kind = Kind::close;
    }
    return statement;
}

}  // namespace granitereel::proxy
