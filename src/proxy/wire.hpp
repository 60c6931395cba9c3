// The line protocol that clients and stores share: a word, then fields separated by single blanks; the
// last field runs to the end of the line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace granitereel::proxy {

constexpr std::size_t maxMessageBytes = 1024 * 1024;

// The errors of the protocol, towards clients and from stores. The list is closed; wire.cpp has the
// properties of each.
enum class Error {
    busy,
    aborted,
    lagging,
    readonly,
    missent,
    full,     // up to here: nothing of this attempt is kept
    unknown,  // not run: no such prepared name
    failed,
    expired,  // the statement ran
    indoubt,  // the outcome is not known
    malformed,
    nosuchdb,
    other,
};
struct ErrorProperties {
    Error error;
    const char* word;
    bool notRun;          // a store that returns it has not run the statement
    bool retryElsewhere;  // another store may run the statement
};
const ErrorProperties& propertiesOf(Error error);
Error parseError(std::string_view word);
// "ERROR WORD text\r\n"
std::string formatError(Error error, std::string_view text);

// Removes the next field from `rest` and returns it; empty at the end.
std::string_view nextField(std::string_view& rest);

struct Statement {
    enum class Kind { begin, beginRead, commit, abort, read, write, set, parse, execute, close, malformed };
    Kind kind = Kind::malformed;
    std::string id, text;  // as received
    // SET name value; PARSE name value (the statement's text); EXECUTE name argument; WRITE argument ...
    std::string name, value, argument;
    bool writes = false;  // PARSE: whether the prepared statement writes
};
// Parses the text of a QUERY.
Statement parseStatement(std::string_view id, std::string_view text);

}  // namespace granitereel::proxy
