#include "gossip/invariant.hpp"

#include <bit>

namespace granitereel::gossip {

std::optional<std::string> Invariant::check(bool holds, const std::string& detail) {
    if (holds || !std::has_single_bit(++violations_)) return std::nullopt;
    return "invariant broken (" + statement_ + "), " + std::to_string(violations_) + " times: " + detail;
}

}  // namespace granitereel::gossip
