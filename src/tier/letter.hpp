// Datagrams between fronts, as bytes. The frame, all numbers with the lower byte first:
//   0  length of the whole, 2 bytes      2  version, 1      3  oldest version whose readers can read it, 1
//   4  XXH32 of everything but these four bytes, 4          8  a tier.proto Letter
// The checksum's seed is made of the tier's name, the sender's number and the receiver's, so that what was meant
// for another tier or another front fails it, too.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "members.hpp"

namespace granitereel::tier {

constexpr std::size_t longestLetter = 256;
constexpr std::uint8_t letterVersion = 1, oldestReader = 1;

// Why a datagram is not believed. `form`: the frame holds, and what it frames is no Letter or says what can't be.
enum class Flaw { none, tooShort, checksum, version, form };

struct Letter {
    Flaw flaw = Flaw::none;
    Said said;  // of a flawed one nothing
};

// A body framed as above. Throws std::length_error where the whole would take more than longestLetter bytes.
std::string frame(std::string_view body, std::string_view tier, int from, int to,
                  std::uint8_t version = letterVersion, std::uint8_t oldest = oldestReader);
// Throws std::length_error where it would take more than longestLetter bytes.
std::string write(const Said& said, std::string_view tier, int from, int to);
// Reads any bytes whatever.
Letter read(std::string_view bytes, std::string_view tier, int from, int to);

}  // namespace granitereel::tier
