#include "duties.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace granitereel::owners {

Key keyOf(std::string_view name) {
    return XXH3_64bits(name.data(), name.size());
}

int dutyOf(Key key, const std::vector<int>& here) {
    int chosen = -1;
    std::uint64_t most = 0;
    for (const int member : here) {
        const std::uint64_t words[] = {key, static_cast<std::uint64_t>(member)};
        const std::uint64_t weight = XXH3_64bits(words, sizeof words);
        if (chosen < 0 || weight > most) {
            chosen = member;
            most = weight;
        }
    }
    return chosen;
}

}  // namespace granitereel::owners
