// The proxy as a process.
#pragma once

#include "settings/settings.hpp"

namespace granitereel::proxy {

// Serves until SIGTERM. Returns the exit code; throws std::exception where it can't begin.
int serve(const settings::Settings& settings, const std::string& settingsPath);

}  // namespace granitereel::proxy
