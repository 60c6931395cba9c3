// The control process: passes network and disk input to the member and executes the member's outputs.
#pragma once

#include "settings/settings.hpp"

namespace granitereel::control {

// Serves until SIGTERM. Returns the exit code; throws std::exception if it can't start.
int serve(const settings::Settings& settings, const std::string& settingsPath);

}  // namespace granitereel::control
