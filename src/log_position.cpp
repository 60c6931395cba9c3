#include "log_position.hpp"

namespace granitereel {

std::optional<LogPosition> parseLogPosition(std::string_view text) {
    LogPosition position;
    std::uint64_t* field = &position.term;
    bool hasDigits = false, hasDot = false;
    for (const char character : text) {
        if (character == '.' && hasDigits && !hasDot) {
            hasDot = true;
            hasDigits = false;
            field = &position.number;
        } else if (character >= '0' && character <= '9') {
            *field = *field * 10 + static_cast<std::uint64_t>(character - '0');
            hasDigits = true;
        } else {
            return {};
        }
    }
    if (!hasDigits || !hasDot) return {};
    return position;
}

std::string toString(const LogPosition& position) {
    return std::to_string(position.term) + "." + std::to_string(position.number);
}

}  // namespace granitereel
