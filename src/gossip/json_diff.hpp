// The difference between two JSON values as a patch (RFC 6902). Elements of arrays that are objects with a
// "label" are known by it, so that one put in, taken out or changed in the middle costs that element and not
// all behind it.
#pragma once

#include <nlohmann/json.hpp>

namespace granitereel::gossip {

using Json = nlohmann::json;

// was.patch(difference(was, now)) == now.
Json difference(const Json& was, const Json& now);

}  // namespace granitereel::gossip
