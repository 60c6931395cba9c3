// The order in which an agent prefers its parents: the members of control and the agents that it may hang on,
// by what the board says of them. All agents of a district agree on the tree that follows. Free of I/O.
#pragma once

#include <string>
#include <vector>

#include "gossip/record_table.hpp"
#include "settings/settings.hpp"

namespace granitereel::agent {

// Addresses, best first. An agent that hangs on others has those, nearest first, before the members of its
// district, those elsewhere and the seeds.
std::vector<std::string> parentsInOrder(const gossip::Board& board, const settings::Settings& settings);

}  // namespace granitereel::agent
