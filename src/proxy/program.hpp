// The proxy process: sockets, timers and signals around the state machine.
#pragma once

#include "settings/settings.hpp"

namespace granitereel::proxy {

// Serves until SIGTERM or SIGINT. Returns the exit code; throws std::exception if it can't start.
int serve(const settings::Settings& settings, const std::string& settingsPath);

}  // namespace granitereel::proxy
