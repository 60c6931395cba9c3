#include "gossip/json_diff.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace granitereel::gossip {

namespace {
using Pointer = Json::json_pointer;

// The alignment takes as many steps as the product of both lengths; arrays above this are replaced as a
// whole.
constexpr std::size_t maxAlignmentSteps = 4'000'000;

void diffValues(const Json& before, const Json& after, const Pointer& path, Json& patch);

std::string identityOf(const Json& element) {
    const bool labelled = element.is_object() && element.contains("label") && element.at("label").is_string();
    return labelled ? element.at("label").get<std::string>() : element.dump();
}

// The longest common subsequence of the identities of two arrays, by dynamic programming: its length for each
// pair of prefixes.
class Alignment {
public:
    Alignment(const Json& before, const Json& after) : columns_(after.size() + 1) {
        const std::vector<std::uint32_t> left = identityNumbers(before), right = identityNumbers(after);
        lengths_.resize((left.size() + 1) * columns_);
        for (std::size_t i = 1; i <= left.size(); ++i)
            for (std::size_t j = 1; j <= right.size(); ++j)
                cell(i, j) = left[i - 1] == right[j - 1] ? cell(i - 1, j - 1) + 1
                                                         : std::max(cell(i - 1, j), cell(i, j - 1));
        left_ = left;
        right_ = right;
    }
    bool matches(std::size_t i, std::size_t j) const { return left_[i - 1] == right_[j - 1]; }
    // Whether the last of the first j elements of `after` matches none of the first i elements of `before`.
    bool isInsertion(std::size_t i, std::size_t j) const {
        return i == 0 || length(i, j - 1) >= length(i - 1, j);
    }

private:
    std::vector<std::uint32_t> identityNumbers(const Json& array) {
        std::vector<std::uint32_t> numbers;
        for (const Json& element : array)
            numbers.push_back(
                numbers_.try_emplace(identityOf(element), static_cast<std::uint32_t>(numbers_.size()))
                    .first->second);
        return numbers;
    }
    std::uint32_t& cell(std::size_t i, std::size_t j) { return lengths_[i * columns_ + j]; }
    std::uint32_t length(std::size_t i, std::size_t j) const { return lengths_[i * columns_ + j]; }

    std::size_t columns_;
    std::map<std::string, std::uint32_t> numbers_;
    std::vector<std::uint32_t> lengths_, left_, right_;
};

void replace(const Json& after, const Pointer& path, Json& patch) {
    patch.push_back({{"op", "replace"}, {"path", path.to_string()}, {"value", after}});
}

// From the last element to the first, so that an insertion or removal shifts no element that is still to be
// compared.
void diffArrays(const Json& before, const Json& after, const Pointer& path, Json& patch) {
    if ((before.size() + 1) * (after.size() + 1) > maxAlignmentSteps) return replace(after, path, patch);
    const Alignment alignment(before, after);
    std::size_t i = before.size(), j = after.size();
    while (i > 0 || j > 0) {
        if (i > 0 && j > 0 && alignment.matches(i, j)) {
            --i, --j;
            diffValues(before[i], after[j], path / i, patch);
        } else if (j > 0 && alignment.isInsertion(i, j)) {
            --j;
            patch.push_back({{"op", "add"}, {"path", (path / i).to_string()}, {"value", after[j]}});
        } else {
            --i;
            patch.push_back({{"op", "remove"}, {"path", (path / i).to_string()}});
        }
    }
}

void diffObjects(const Json& before, const Json& after, const Pointer& path, Json& patch) {
    for (const auto& [key, value] : before.items()) {
        if (after.contains(key))
            diffValues(value, after.at(key), path / key, patch);
        else
            patch.push_back({{"op", "remove"}, {"path", (path / key).to_string()}});
    }
    for (const auto& [key, value] : after.items())
        if (!before.contains(key))
            patch.push_back({{"op", "add"}, {"path", (path / key).to_string()}, {"value", value}});
}

void diffValues(const Json& before, const Json& after, const Pointer& path, Json& patch) {
    if (before == after && before.type() == after.type()) return;
    if (before.is_array() && after.is_array()) return diffArrays(before, after, path, patch);
    if (before.is_object() && after.is_object()) return diffObjects(before, after, path, patch);
    replace(after, path, patch);
}
}  // namespace

Json jsonDiff(const Json& before, const Json& after) {
    Json patch = Json::array();
    diffValues(before, after, Pointer(), patch);
    return patch;
}

}  // namespace granitereel::gossip
