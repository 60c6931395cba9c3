// Hashes of names and versions by buckets, by which two boards find what differs between them. Bodies are not
// hashed: two bodies of one name never carry the same version.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "gossip/record_table.hpp"

namespace granitereel::gossip {

// How many buckets a board of so many records is hashed into; a power of two.
std::uint64_t bucketCountFor(std::size_t records);

// `count`: a power of two.
std::uint64_t bucketOf(const std::string& name, std::uint64_t count);

// One hash a bucket, without the records named in `skipped`.
std::vector<std::uint64_t> bucketHashes(const Board& board, std::uint64_t count,
                                        const std::set<std::string>& skipped);

}  // namespace granitereel::gossip
