#include "gossip/json_diff.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace granitereel::gossip {

namespace {
using Pointer = Json::json_pointer;

// Arrays whose lengths have a larger product are replaced as a whole: the alignment takes so many steps.
constexpr std::size_t alignmentMost = 4'000'000;

void between(const Json& was, const Json& now, const Pointer& at, Json& patch);

std::string identityOf(const Json& element) {
    const bool labelled = element.is_object() && element.contains("label") && element.at("label").is_string();
    return labelled ? element.at("label").get<std::string>() : element.dump();
}

// The longest common subsequence of the two arrays' identities: for each pair of lengths of their beginnings.
class Alignment {
public:
    Alignment(const Json& was, const Json& now) : columns_(now.size() + 1) {
        const std::vector<std::uint32_t> left = numbered(was), right = numbered(now);
        lengths_.resize((left.size() + 1) * columns_);
        for (std::size_t i = 1; i <= left.size(); ++i)
            for (std::size_t j = 1; j <= right.size(); ++j)
                at(i, j) =
                    left[i - 1] == right[j - 1] ? at(i - 1, j - 1) + 1 : std::max(at(i - 1, j), at(i, j - 1));
        left_ = left;
        right_ = right;
    }
    bool paired(std::size_t i, std::size_t j) const { return left_[i - 1] == right_[j - 1]; }
    // Whether the last of `now`'s first j has no partner among `was`'s first i.
    bool added(std::size_t i, std::size_t j) const { return i == 0 || length(i, j - 1) >= length(i - 1, j); }

private:
    std::vector<std::uint32_t> numbered(const Json& array) {
        std::vector<std::uint32_t> numbers;
        for (const Json& each : array)
            numbers.push_back(
                numbers_.try_emplace(identityOf(each), static_cast<std::uint32_t>(numbers_.size()))
                    .first->second);
        return numbers;
    }
    std::uint32_t& at(std::size_t i, std::size_t j) { return lengths_[i * columns_ + j]; }
    std::uint32_t length(std::size_t i, std::size_t j) const { return lengths_[i * columns_ + j]; }

    std::size_t columns_;
    std::map<std::string, std::uint32_t> numbers_;
    std::vector<std::uint32_t> lengths_, left_, right_;
};

void replace(const Json& now, const Pointer& at, Json& patch) {
    patch.push_back({{"op", "replace"}, {"path", at.to_string()}, {"value", now}});
}

// From the end to the beginning, so that what is put in or taken out moves nothing that is still to come.
void betweenArrays(const Json& was, const Json& now, const Pointer& at, Json& patch) {
    if ((was.size() + 1) * (now.size() + 1) > alignmentMost) return replace(now, at, patch);
    const Alignment alignment(was, now);
    std::size_t i = was.size(), j = now.size();
    while (i > 0 || j > 0) {
        if (i > 0 && j > 0 && alignment.paired(i, j)) {
            --i, --j;
            between(was[i], now[j], at / i, patch);
        } else if (j > 0 && alignment.added(i, j)) {
            --j;
            patch.push_back({{"op", "add"}, {"path", (at / i).to_string()}, {"value", now[j]}});
        } else {
            --i;
            patch.push_back({{"op", "remove"}, {"path", (at / i).to_string()}});
        }
    }
}

void betweenObjects(const Json& was, const Json& now, const Pointer& at, Json& patch) {
    for (const auto& [key, value] : was.items()) {
        if (now.contains(key))
            between(value, now.at(key), at / key, patch);
        else
            patch.push_back({{"op", "remove"}, {"path", (at / key).to_string()}});
    }
    for (const auto& [key, value] : now.items())
        if (!was.contains(key))
            patch.push_back({{"op", "add"}, {"path", (at / key).to_string()}, {"value", value}});
}

void between(const Json& was, const Json& now, const Pointer& at, Json& patch) {
    if (was == now && was.type() == now.type()) return;
    if (was.is_array() && now.is_array()) return betweenArrays(was, now, at, patch);
    if (was.is_object() && now.is_object()) return betweenObjects(was, now, at, patch);
    replace(now, at, patch);
}
}  // namespace

Json difference(const Json& was, const Json& now) {
    Json patch = Json::array();
    between(was, now, Pointer(), patch);
    return patch;
}

}  // namespace granitereel::gossip
