#include "gossip/patch_history.hpp"

#include <algorithm>

namespace granitereel::gossip {

namespace {
// Patches kept for one record, in bytes as JSON: about the size of a configuration of some hundred routes,
// above which the whole is shorter.
constexpr std::size_t bytesMost = 32 * 1024;
}  // namespace

void History::changed(const std::string& name, const Version& from, const Version& to, const Json& patch) {
    if (patch.is_null()) return forget(name);
    Steps& steps = steps_[name];
    if (!steps.all.empty() && steps.all.back().to != from) steps = {};
    const std::size_t bytes = patch.dump().size();
    steps.all.push_back({from, to, patch, bytes});
    steps.bytes += bytes;
    while (steps.bytes > bytesMost) {
        steps.bytes -= steps.all.front().bytes;
        steps.all.pop_front();
    }
}

std::optional<Json> History::since(const std::string& name, const Version& from) const {
    const auto found = steps_.find(name);
    if (found == steps_.end()) return std::nullopt;
    const std::deque<Step>& all = found->second.all;
    auto step = std::find_if(all.begin(), all.end(), [&](const Step& each) { return each.from == from; });
    if (step == all.end()) return std::nullopt;
    Json patch = Json::array();
    for (; step != all.end(); ++step) patch.insert(patch.end(), step->patch.begin(), step->patch.end());
    return patch;
}

}  // namespace granitereel::gossip
