// Control as a process: the office's outputs carried out, and what comes in handed to it.
#pragma once

#include "satchel/satchel.hpp"

namespace granitereel::sorting {

// Serves until SIGTERM. Returns the exit code; throws std::exception where it can't begin.
int serve(const satchel::Satchel& satchel, const std::string& settingsPath);

}  // namespace granitereel::sorting
