// Whom every front, from its own view, would name for a piece of work: rendezvous hashing (Thaler, Ravishankar,
// 1998). Views differ for a while, and then two may hold one duty: it is for work that is harmless twice.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace granitereel::owners {

// Work by its name, such as "seek/3" or "warm/s-1".
using Key = std::uint64_t;
Key keyOf(std::string_view name);

// One of `here`; -1 where that is empty. If a member comes or goes, only its own duties change hands.
int dutyOf(Key key, const std::vector<int>& here);

}  // namespace granitereel::owners
