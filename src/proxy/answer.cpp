#include "proxy/answer.hpp"

#include <utility>

namespace granitereel::proxy {

bool readReady(std::string_view rest, Answer& into) {
    const std::string_view state = takeField(rest);
    if (state != "I" && state != "T" && state != "E") return false;
    into.state = state[0];
    into.mark = parseLogPosition(rest);
    return true;
}

AnswerReader::Progress AnswerReader::take(std::string_view line) {
    std::string_view rest = line;
    const std::string_view word = takeField(rest);
    if (word == "READY") return ended() && readReady(rest, answer_) ? Progress::whole : Progress::malformed;
    if (ended()) return Progress::malformed;
    if (word == "ROW") {
        answer_.rows.append(line).append("\r\n");
    } else if (word == "DONE" && !rest.empty()) {
        answer_.done.assign(line).append("\r\n");
    } else if (word == "ERROR") {
        answer_.error = errorOf(takeField(rest));
        answer_.errorText = rest;
    } else {
        return Progress::malformed;
    }
    return Progress::partial;
}

Answer AnswerReader::finish() {
    return std::exchange(answer_, {});
}

}  // namespace granitereel::proxy
