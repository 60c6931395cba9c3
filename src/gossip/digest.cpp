#include "gossip/digest.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace granitereel::gossip {

namespace {
// 16 bytes of digest for this many records: a table of a thousand records costs half a kilobyte where nothing
// differs, and each difference costs a list of this many names.
constexpr std::uint64_t recordsPerBucket = 32;
constexpr std::uint64_t maxBuckets = 4096;

std::uint64_t hashOf(const std::string& name, const Version& version) {
    const std::uint64_t majorHash = XXH64(&version.major, sizeof version.major, 0);
    const std::uint64_t versionHash = XXH64(&version.minor, sizeof version.minor, majorHash);
    return XXH64(name.data(), name.size(), versionHash);
}
}  // namespace

std::uint64_t bucketCountFor(std::size_t records) {
    return std::clamp<std::uint64_t>(std::bit_ceil(records / recordsPerBucket), 1, maxBuckets);
}

std::uint64_t bucketOf(const std::string& name, std::uint64_t count) {
    return XXH64(name.data(), name.size(), 0) & (count - 1);
}

std::vector<std::uint64_t> bucketHashes(const RecordTable& recordTable, std::uint64_t count,
                                        const std::set<std::string>& excluded) {
    std::vector<std::uint64_t> hashes(count, 0);
    for (const auto& [name, record] : recordTable.all())
        if (!excluded.count(name)) hashes[bucketOf(name, count)] ^= hashOf(name, record.version);
    return hashes;
}

}  // namespace granitereel::gossip
