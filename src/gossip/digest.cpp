#include "gossip/digest.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace granitereel::gossip {

namespace {
// 16 bytes of digest for so many records: a board of a thousand costs half a kilobyte where nothing differs,
// and one difference costs a list of so many names.
constexpr std::uint64_t recordsInBucket = 32;
constexpr std::uint64_t bucketsMost = 4096;

std::uint64_t hashOf(const std::string& name, const Version& version) {
    const std::uint64_t ofMajor = XXH64(&version.major, sizeof version.major, 0);
    const std::uint64_t ofVersion = XXH64(&version.minor, sizeof version.minor, ofMajor);
    return XXH64(name.data(), name.size(), ofVersion);
}
}  // namespace

std::uint64_t bucketCountFor(std::size_t records) {
    return std::clamp<std::uint64_t>(std::bit_ceil(records / recordsInBucket), 1, bucketsMost);
}

std::uint64_t bucketOf(const std::string& name, std::uint64_t count) {
    return XXH64(name.data(), name.size(), 0) & (count - 1);
}

std::vector<std::uint64_t> bucketHashes(const Board& board, std::uint64_t count,
                                        const std::set<std::string>& skipped) {
    std::vector<std::uint64_t> hashes(count, 0);
    for (const auto& [name, record] : board.all())
        if (!skipped.count(name)) hashes[bucketOf(name, count)] ^= hashOf(name, record.version);
    return hashes;
}

}  // namespace granitereel::gossip
