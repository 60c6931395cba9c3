// The lines of the wire that clients and stores share: a word, then fields between blanks; the last runs to
// the end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace granitereel::proxy {

constexpr std::size_t maxMessageBytes = 1024 * 1024;

// How a statement ended other than by success, as both clients and stores are told. One closed list;
// errors.cpp has what follows from each.
enum class Error {
    busy,
    aborted,
    lagging,
    readonly,
    missent,
    full,     // promises: nothing of this try is kept
    unknown,  // not run: no such prepared name
    failed,
    expired,  // run
    indoubt,  // nothing is known
    malformed,
    nosuchdb,
    other,
};
struct ErrorProperties {
    Error error;
    const char* word;
    bool notRun;          // a store that says so has not run the statement
    bool retryElsewhere;  // another store may do better
};
const ErrorProperties& propertiesOf(Error error);
Error parseError(std::string_view word);
// "ERROR WORD text\r\n"
std::string formatError(Error error, std::string_view text);

// The next field, taken off `rest`; empty at the end.
std::string_view nextField(std::string_view& rest);

// A client's statement.
struct Statement {
    enum class Kind { begin, beginRead, commit, abort, read, write, set, parse, execute, close, malformed };
    Kind kind = Kind::malformed;
    std::string id, text;  // as they came
    std::string name, value,
        argument;         // SET name value; PARSE name shape(value); EXECUTE name, and what follows (thing)
    bool writes = false;  // PARSE: what the shape does
};
// The text of a QUERY.
Statement parseStatement(std::string_view id, std::string_view text);

}  // namespace granitereel::proxy
