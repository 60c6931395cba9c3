// Reads a store's answer to one question line by line and checks its form: any number of ROW, then DONE or
// ERROR, then READY. The wire gives answers no number, so one in another form means that this connection's
// answers can no longer be matched to its questions. Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "log_position.hpp"
#include "proxy/wire.hpp"

namespace granitereel::proxy {

struct Answer {
    std::string rows;  // as they came, each with its CR LF
    std::string done;  // "DONE stamp\r\n"; empty where there is an error
    std::optional<Error> error;
    std::string errorText;
    char state = 'I';  // I, T or E
    std::optional<LogPosition> mark;
};

class AnswerReader {
public:
    enum class Progress { partial, whole, malformed };
    // A line without its CR LF. After `whole` the answer is to be taken; after `malformed` nothing more of
    // the connection is to be believed.
    Progress take(std::string_view line);
    // The whole answer; the reader begins anew.
    Answer finish();

private:
    bool ended() const { return !answer_.done.empty() || answer_.error.has_value(); }
    Answer answer_;
};

// The state and position of a READY line, `rest` being what follows the word; false: not of that form.
bool readReady(std::string_view rest, Answer& into);

}  // namespace granitereel::proxy
