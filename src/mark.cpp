#include "mark.hpp"

namespace granitereel {

std::optional<Mark> readMark(std::string_view text) {
    Mark mark;
    std::uint64_t* part = &mark.term;
    bool digits = false, dotted = false;
    for (const char c : text) {
        if (c == '.' && digits && !dotted) {
            dotted = true;
            digits = false;
            part = &mark.number;
        } else if (c >= '0' && c <= '9') {
            *part = *part * 10 + static_cast<std::uint64_t>(c - '0');
            digits = true;
        } else {
            return {};
        }
    }
    if (!digits || !dotted) return {};
    return mark;
}

std::string written(const Mark& mark) {
    return std::to_string(mark.term) + "." + std::to_string(mark.number);
}

}  // namespace granitereel
