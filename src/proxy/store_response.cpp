#include "proxy/store_response.hpp"

#include <utility>

namespace granitereel::proxy {

bool parseReady(std::string_view rest, StoreResponse& response) {
    const std::string_view state = nextField(rest);
    if (state != "I" && state != "T" && state != "E") return false;
    response.state = state[0];
    response.position = parseLogPosition(rest);
    return true;
}

StoreResponseReader::Progress StoreResponseReader::addLine(std::string_view line) {
    std::string_view rest = line;
    const std::string_view word = nextField(rest);
    if (word == "READY")
        return hasOutcome() && parseReady(rest, response_) ? Progress::complete : Progress::malformed;
    if (hasOutcome()) return Progress::malformed;
    if (word == "ROW") {
        response_.rows.append(line).append("\r\n");
    } else if (word == "DONE" && !rest.empty()) {
        response_.done.assign(line).append("\r\n");
    } else if (word == "ERROR") {
        response_.error = parseError(nextField(rest));
        response_.errorText = rest;
    } else {
        return Progress::malformed;
    }
    return Progress::partial;
}

StoreResponse StoreResponseReader::takeResponse() {
    return std::exchange(response_, {});
}

}  // namespace granitereel::proxy
