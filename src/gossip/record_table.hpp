// The state that all processes of the system share: a table of named records, each with a version that only
// grows. Of two bodies of a record the one with the higher version wins, whichever process it comes from. An
// update is therefore idempotent, and updates may be applied in any order. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace granitereel::gossip {

using Json = nlohmann::json;

// Compared first by `major`, then by `minor`.
struct Version {
    std::uint64_t major = 0, minor = 0;
    auto operator<=>(const Version&) const = default;
};

struct Record {
    Version version;
    Json body;  // null: a tombstone, the record was deleted
};

class RecordTable {
public:
    // Returns whether the table changed: the record was unknown or had a lower version. Never replaces a
    // record by an equal or lower version, so that a delayed or repeated message can't undo a later change.
    bool put(const std::string& name, Record record);
    // nullptr: not in the table.
    const Record* find(const std::string& name) const;
    // Calls `visit(name, record)` for the records whose names start with `prefix`, ordered by name.
    template <class Visit>
    void forEachWithPrefix(const std::string& prefix, Visit visit) const {
        for (auto it = records_.lower_bound(prefix); it != records_.end() && it->first.starts_with(prefix);
             ++it)
            visit(it->first, it->second);
    }
    const std::map<std::string, Record>& all() const { return records_; }
    // Removes a record together with its version: any version of it would be accepted again afterwards.
    void erase(const std::string& name) { records_.erase(name); }

private:
    std::map<std::string, Record> records_;
};

// The difference between two bodies as a patch (RFC 6902); null where the patch would not be much shorter
// than the body itself.
Json patchIfSmaller(const Json& before, const Json& after);

}  // namespace granitereel::gossip
