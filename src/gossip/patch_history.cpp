#include "gossip/patch_history.hpp"

#include <algorithm>

namespace granitereel::gossip {

namespace {
// Patches kept for one record, in bytes as JSON: about the size of a configuration of some hundred routes,
// above which sending the whole record is shorter.
constexpr std::size_t maxBytesPerRecord = 32 * 1024;
}  // namespace

void PatchHistory::add(const std::string& name, const Version& from, const Version& to, const Json& patch) {
    if (patch.is_null()) return erase(name);
    Changes& changes = changesByName_[name];
    if (!changes.all.empty() && changes.all.back().to != from) changes = {};
    const std::size_t bytes = patch.dump().size();
    changes.all.push_back({from, to, patch, bytes});
    changes.bytes += bytes;
    while (changes.bytes > maxBytesPerRecord) {
        changes.bytes -= changes.all.front().bytes;
        changes.all.pop_front();
    }
}

std::optional<Json> PatchHistory::patchSince(const std::string& name, const Version& from) const {
    const auto found = changesByName_.find(name);
    if (found == changesByName_.end()) return std::nullopt;
    const std::deque<Change>& all = found->second.all;
    auto change = std::find_if(all.begin(), all.end(), [&](const Change& each) { return each.from == from; });
    if (change == all.end()) return std::nullopt;
    Json patch = Json::array();
    for (; change != all.end(); ++change)
        patch.insert(patch.end(), change->patch.begin(), change->patch.end());
    return patch;
}

}  // namespace granitereel::gossip
