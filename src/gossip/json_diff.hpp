// The difference between two JSON values as a patch (RFC 6902). Array elements that are objects with a
// "label" are identified by it, so that inserting, removing or changing one element in the middle costs that
// element and not all elements behind it.
#pragma once

#include <nlohmann/json.hpp>

namespace granitereel::gossip {

using Json = nlohmann::json;

// before.patch(jsonDiff(before, after)) == after.
Json jsonDiff(const Json& before, const Json& after);

}  // namespace granitereel::gossip
