// The agent as a process.
#pragma once

#include "settings/settings.hpp"

namespace granitereel::agent {

// Serves until SIGTERM or SIGINT. `hollow`: without a proxy beside it, for runs of many agents on one
// machine. Returns the exit code; throws std::exception where it can't start.
int serve(const settings::Settings& settings, const std::string& settingsPath, bool hollow = false);

}  // namespace granitereel::agent
