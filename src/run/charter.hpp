// Reads what the operators lay down, in the words of the wire, into the module's words.
#pragma once

#include <simdjson.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "router.hpp"

namespace granitereel {

// Something at the start, or on the simulator's wire, says what it may not.
struct Misread : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Nanoseconds nanosOf(double milliseconds);
std::optional<simdjson::dom::element> present(const simdjson::dom::object& in, std::string_view name);

// The charter, with the figures that only decoding and the network need.
struct Opening {
    RoutingConfig charter;
    Nanoseconds origin = 0;
    bool stamps = false;
    std::vector<std::string> zones;
    Nanoseconds connectWithin = 0, idleLimit = 0;
    bool storesReport = false;
    bool mayTell = false;  // fronts may send each other datagrams
};
Opening readCharter(const simdjson::dom::object& settings);

}  // namespace granitereel
