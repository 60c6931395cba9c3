// Talk of leases as bytes, and back.
#pragma once

#include <optional>
#include <string>

#include "seeker.hpp"
#include "talk.hpp"
#include "warmer.hpp"

namespace granitereel::owners {

constexpr int furtherKind = 1, seekKind = 2, warmKind = 3;

// At most six asks or replies fit a datagram between fronts.
std::string write(const Talk& talk);
// None where it is no talk, or says what can't be.
std::optional<Talk> read(const std::string& bytes);

std::string write(const Seek& seek);
std::optional<Seek> readSeek(const std::string& bytes);

// At most three of any of its parts together fit a datagram.
std::string write(const Warm& warm);
std::optional<Warm> readWarm(const std::string& bytes);

}  // namespace granitereel::owners
