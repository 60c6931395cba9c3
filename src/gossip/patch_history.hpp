// The last changes of large records as patches, so that who holds a version of a while ago is sent what
// changed since and not the whole. Bounded in bytes for each record; free of I/O.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "gossip/record_table.hpp"

namespace granitereel::gossip {

class History {
public:
    // A record went from one version to the next by `patch` (RFC 6902); null: it was replaced as a whole.
    void changed(const std::string& name, const Version& from, const Version& to, const Json& patch);
    // One patch from `from` to the present version; none where the steps from there aren't held.
    std::optional<Json> since(const std::string& name, const Version& from) const;
    void forget(const std::string& name) { steps_.erase(name); }

private:
    struct Step {
        Version from, to;
        Json patch;
        std::size_t bytes = 0;
    };
    struct Steps {
        std::deque<Step> all;
        std::size_t bytes = 0;
    };
    std::map<std::string, Steps> steps_;
};

}  // namespace granitereel::gossip
