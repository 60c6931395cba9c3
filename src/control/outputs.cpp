#include "control/outputs.hpp"

namespace granitereel::control {

HttpReply httpReplyFor(CallOutcome outcome) {
    switch (outcome) {
        case CallOutcome::accepted:
            return {200, "taken"};
        case CallOutcome::invalid:
            return {400, "not sound"};
        case CallOutcome::notFound:
            return {404, "no such place"};
        case CallOutcome::methodNotAllowed:
            return {405, "no such method here"};
        case CallOutcome::conflict:
            return {409, "conflicts with what was taken"};
        case CallOutcome::tooLarge:
            return {413, "too large"};
        case CallOutcome::redirected:
            return {307, "another member is in contact with a majority"};
        case CallOutcome::noMajority:
            return {503, "no majority of the core answered in time"};
        case CallOutcome::notReady:
            return {503, "not ready yet"};
        case CallOutcome::shuttingDown:
            return {503, "this member ends: another takes calls"};
    }
    return {500, "unknown"};
}

}  // namespace granitereel::control
