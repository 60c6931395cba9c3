#include "control/outputs.hpp"

namespace granitereel::control {

Reply replyOf(Kind kind) {
    switch (kind) {
        case Kind::taken:
            return {200, "taken"};
        case Kind::notSound:
            return {400, "not sound"};
        case Kind::notFound:
            return {404, "no such place"};
        case Kind::notAllowed:
            return {405, "no such method here"};
        case Kind::conflict:
            return {409, "conflicts with what was taken"};
        case Kind::tooLarge:
            return {413, "too large"};
        case Kind::elsewhere:
            return {307, "another member is in contact with a majority"};
        case Kind::noMajority:
            return {503, "no majority of the core answered in time"};
        case Kind::unready:
            return {503, "not ready yet"};
        case Kind::leaving:
            return {503, "this member ends: another takes calls"};
    }
    return {500, "unknown"};
}

}  // namespace granitereel::control
