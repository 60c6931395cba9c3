// Names of the disk records that identify the state.
#pragma once

#include <string_view>

namespace granitereel::control {

// Drawn anew for each empty disk.
inline constexpr std::string_view incarnationRecord = "incarnation";
// Present if the state was created after an earlier one was lost. Such a member never founds a voter set,
// even if the settings say first boot: it could found a second one beside the existing one.
inline constexpr std::string_view afterLossRecord = "after_loss";

}  // namespace granitereel::control
