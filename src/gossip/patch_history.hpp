// The latest changes of large records as patches, so that a peer that holds an earlier version is sent the
// changes since then and not the whole record. Bounded in bytes for each record. Free of I/O.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "gossip/record_table.hpp"

namespace granitereel::gossip {

class PatchHistory {
public:
    // Adds the change of a record from one version to the next. `patch`: RFC 6902; null: the record was
    // replaced as a whole, which ends its history.
    void add(const std::string& name, const Version& from, const Version& to, const Json& patch);
    // One patch from version `from` to the present one; nullopt where not all changes since then are kept.
    std::optional<Json> patchSince(const std::string& name, const Version& from) const;
    void erase(const std::string& name) { changesByName_.erase(name); }

private:
    struct Change {
        Version from, to;
        Json patch;
        std::size_t bytes = 0;
    };
    struct Changes {
        std::deque<Change> all;
        std::size_t bytes = 0;
    };
    std::map<std::string, Changes> changesByName_;
};

}  // namespace granitereel::gossip
