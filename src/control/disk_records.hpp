// Names of the records on a member's disk that say whose state it is.
#pragma once

#include <string_view>

namespace granitereel::control {

// Drawn anew with each empty disk.
inline constexpr std::string_view incarnationRecord = "incarnation";
// Present where the state was made after another one had been lost: its member founds no core, whatever the
// settings say of the first boot.
inline constexpr std::string_view afterLossRecord = "after_loss";

}  // namespace granitereel::control
