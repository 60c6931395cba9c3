// Control as a process: the control's outputs carried out, and what comes in handed to it.
#pragma once

#include "settings/settings.hpp"

namespace granitereel::control {

// Serves until SIGTERM. Returns the exit code; throws std::exception where it can't begin.
int serve(const settings::Settings& settings, const std::string& settingsPath);

}  // namespace granitereel::control
