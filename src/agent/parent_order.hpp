// The order in which an agent prefers its possible parents: members of control and other agents, as the
// record table names them. Agents with equal tables agree on the tree of their district. Free of I/O.
#pragma once

#include <string>
#include <vector>

#include "gossip/record_table.hpp"
#include "settings/settings.hpp"

namespace granitereel::agent {

// Addresses, best first. An agent whose place in the tree is below other agents prefers those, nearest first,
// to the members of its district, then those elsewhere, then the seeds.
std::vector<std::string> rankParents(const gossip::RecordTable& recordTable,
                                     const settings::Settings& settings);

}  // namespace granitereel::agent
