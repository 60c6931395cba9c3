// Parses a store's response to one query line by line and checks its form: any number of ROW lines, then
// DONE or ERROR, then READY. The protocol gives responses no number, so a response of another form means
// that the responses on this connection can no longer be matched to their queries. Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "log_position.hpp"
#include "proxy/wire.hpp"

namespace granitereel::proxy {

struct StoreResponse {
    std::string rows;  // as received, each with its CR LF
    std::string done;  // "DONE stamp\r\n"; empty where there is an error
    std::optional<Error> error;
    std::string errorText;
    char state = 'I';  // transaction state: I (none), T (open) or E (failed)
    std::optional<LogPosition> position;
};

class StoreResponseReader {
public:
    enum class Progress { partial, complete, malformed };
    // Takes a line without its CR LF. After `complete`, the response must be fetched by
    // takeResponse(). After `malformed`, nothing more that arrives on the connection may be used.
    Progress addLine(std::string_view line);
    // Returns the complete response and resets the reader for the next one.
    StoreResponse takeResponse();

private:
    bool hasOutcome() const { return !response_.done.empty() || response_.error.has_value(); }
    StoreResponse response_;
};

// Parses the state and log position of a READY line, `rest` being what follows the word. Returns false if
// it is malformed.
bool parseReady(std::string_view rest, StoreResponse& response);

}  // namespace granitereel::proxy
