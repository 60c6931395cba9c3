// The proxy as a process.
#pragma once

#include "satchel/satchel.hpp"

namespace granitereel::counter {

// Serves until SIGTERM. Returns the exit code; throws std::exception where it can't begin.
int serve(const satchel::Satchel& satchel, const std::string& settingsPath);

}  // namespace granitereel::counter
