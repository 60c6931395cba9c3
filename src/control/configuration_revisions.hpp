// The value of the register `config`: the current configuration and the digests of the last acknowledged
// revisions. Invariant: one revision number identifies one body; otherwise two processes could run different
// configurations under the same number. Deterministic: no I/O, clocks or randomness.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace granitereel::control {

using Json = nlohmann::json;

// Result of proposing a configuration.
enum class RevisionOutcome {
    applied,    // it is the current one now
    duplicate,  // the same body was applied under this number before
    stale,      // below the current one, under an unknown number: nothing changes
    conflict,   // another body was applied under this number
};

class ConfigurationRevisions {
public:
    // Number of acknowledged revisions whose digests are kept.
    static constexpr std::size_t maxRetained = 64;

    // From the register's value; null: no configuration yet. Throws nlohmann::json::exception if it is
    // malformed.
    static ConfigurationRevisions fromJson(const Json& value);
    Json toJson() const;

    // Whether there is no configuration yet.
    bool empty() const { return configuration_.is_null(); }
    std::uint64_t revision() const { return revision_; }
    const Json& configuration() const { return configuration_; }
    // Applies a valid configuration, or returns why nothing changes.
    RevisionOutcome apply(const Json& proposed);

private:
    std::uint64_t revision_ = 0;
    Json configuration_;
    std::map<std::uint64_t, std::string> digests_;  // by revision
};

// xxHash 64 of the body with sorted keys, in hexadecimal: two texts of the same JSON value have the same
// digest.
std::string configurationDigest(const Json& body);

}  // namespace granitereel::control
