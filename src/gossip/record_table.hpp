// What every process of the system knows of the others: records under names, each with a version that only
// grows. Of two bodies of a record the higher version holds, wherever it comes from and in whatever order; so
// a board is brought up to date by whatever it lacks, in any order, and by any of it twice. Free of I/O.
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
    Json body;  // null: a tombstone, the record was taken down
};

class Board {
public:
    // Whether this was news: the record was unknown or of a lower version.
    bool put(const std::string& name, Record record);
    const Record* find(const std::string& name) const;
    // Calls `each(name, record)` for the records whose names begin so, in order of names.
    template <class Each>
    void under(const std::string& prefix, Each each) const {
        for (auto at = records_.lower_bound(prefix); at != records_.end() && at->first.starts_with(prefix);
             ++at)
            each(at->first, at->second);
    }
    const std::map<std::string, Record>& all() const { return records_; }
    // Drops a record altogether; an older body of it would be news again.
    void forget(const std::string& name) { records_.erase(name); }

private:
    std::map<std::string, Record> records_;
};

// The difference between two bodies as a patch (RFC 6902), or null where it is not much shorter than the
// whole.
Json shorter(const Json& was, const Json& now);

}  // namespace granitereel::gossip
