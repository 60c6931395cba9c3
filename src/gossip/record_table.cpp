#include "gossip/record_table.hpp"

#include "gossip/json_diff.hpp"

namespace granitereel::gossip {

bool Board::put(const std::string& name, Record record) {
    auto [at, fresh] = records_.try_emplace(name);
    if (!fresh && record.version <= at->second.version) return false;
    at->second = std::move(record);
    return true;
}

const Record* Board::find(const std::string& name) const {
    const auto at = records_.find(name);
    return at == records_.end() ? nullptr : &at->second;
}

Json shorter(const Json& was, const Json& now) {
    if (!was.is_object() || !now.is_object()) return nullptr;
    const std::size_t whole = now.dump().size();
    if (whole < 1024) return nullptr;
    Json patch = difference(was, now);
    return patch.dump().size() < whole / 2 ? patch : Json();
}

}  // namespace granitereel::gossip
