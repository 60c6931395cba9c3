// Reads the settings of an instance.
#pragma once

#include <simdjson.h>

#include <stdexcept>

#include "front.hpp"

namespace granitereel::adapter {

// The wire says something it may not: the adapter ends.
struct WireFault : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Nanos nanosOf(double milliseconds);
std::optional<simdjson::dom::element> present(const simdjson::dom::object& in, std::string_view name);

// What stands in the settings, in the module's words, with the two figures that only decoding needs.
struct Opening {
    Charter charter;
    Nanos origin = 0;
    bool stamps = false;
};
Opening readSettings(const simdjson::dom::object& settings);

}  // namespace granitereel::adapter
