// Reads a store's answer to one question line by line and checks its form: any number of ROW, then DONE or
// ERROR, then READY. The wire gives answers no number, so one in another form means that this connection's
// answers can no longer be matched to its questions. Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "mark.hpp"
#include "proxy/wire.hpp"

namespace granitereel::proxy {

struct StoreResponse {
    std::string rows;  // as they came, each with its CR LF
    std::string done;  // "DONE stamp\r\n"; empty where there is an error
    std::optional<Error> error;
    std::string errorText;
    char state = 'I';  // I, T or E
    std::optional<Mark> position;
};

class StoreResponseReader {
public:
    enum class Progress { partial, complete, malformed };
    // A line without its CR LF. After `whole` the answer is to be taken; after `malformed` nothing more of
    // the connection is to be believed.
    Progress addLine(std::string_view line);
    // The whole answer; the reader begins anew.
    StoreResponse takeResponse();

private:
    bool hasOutcome() const { return !response_.done.empty() || response_.error.has_value(); }
    StoreResponse response_;
};

// The state and position of a READY line, `rest` being what follows the word; false: not of that form.
bool parseReady(std::string_view rest, StoreResponse& response);

}  // namespace granitereel::proxy
