#include "gossip/record_table.hpp"

#include "gossip/json_diff.hpp"

namespace granitereel::gossip {

bool RecordTable::put(const std::string& name, Record record) {
    auto [it, inserted] = records_.try_emplace(name);
    if (!inserted && record.version <= it->second.version) return false;
    it->second = std::move(record);
    return true;
}

const Record* RecordTable::find(const std::string& name) const {
    const auto it = records_.find(name);
    return it == records_.end() ? nullptr : &it->second;
}

Json patchIfSmaller(const Json& before, const Json& after) {
    if (!before.is_object() || !after.is_object()) return nullptr;
    const std::size_t fullSize = after.dump().size();
    if (fullSize < 1024) return nullptr;
    Json patch = jsonDiff(before, after);
    return patch.dump().size() < fullSize / 2 ? patch : Json();
}

}  // namespace granitereel::gossip
