// Hashes of record names and versions, one for each bucket of names, by which two processes find out where
// their record tables differ (anti-entropy). Bodies are not hashed: two bodies of one name never have the
// same version.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "gossip/record_table.hpp"

namespace granitereel::gossip {

// The number of buckets for a table of this many records; a power of two.
std::uint64_t bucketCountFor(std::size_t records);

// `count`: a power of two.
std::uint64_t bucketOf(const std::string& name, std::uint64_t count);

// One hash for each bucket; the records named in `excluded` are left out.
std::vector<std::uint64_t> bucketHashes(const RecordTable& recordTable, std::uint64_t count,
                                        const std::set<std::string>& excluded);

}  // namespace granitereel::gossip
