// The front's own settings file, read whole and checked, or refused with its place and reason.
#pragma once

#include <stdexcept>
#include <string>

#include "fittings/fittings.pb.h"

namespace granitereel {

// Throws Misfit, whose text is 'FILE:LINE:COLUMN: reason', all faults of the form found, a line each; both
// counted from 1. Paths in the result are absolute or count from the working folder.
struct Misfit : std::runtime_error {
    using std::runtime_error::runtime_error;
};
fittings::Fittings readFittings(const std::string& file);

}  // namespace granitereel
