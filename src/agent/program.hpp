// The agent as a process.
#pragma once

#include "satchel/satchel.hpp"

namespace granitereel::courier {

// Serves until SIGTERM. `hollow`: without a proxy beside it, for runs of many on one machine. Returns the exit code; throws std::exception where it can't begin.
int serve(const satchel::Satchel& satchel, const std::string& settingsPath, bool hollow = false);

}  // namespace granitereel::courier
