// The value of the register `config`: the configuration in force and the digests of the last editions that
// were acknowledged, so that one number stands for one body. Free of I/O, clocks and chance.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace granitereel::control {

using Json = nlohmann::json;

// What became of a configuration that was sent.
enum class RevisionOutcome {
    applied,    // it is in force now
    duplicate,  // the same body was taken under this number before
    stale,      // below the one in force, under a number that is not known: nothing changes
    conflict,   // another body was taken under this number
};

class ConfigurationRevisions {
public:
    // So many acknowledged editions stay recognisable.
    static constexpr std::size_t maxRetained = 64;

    // The register's value; null is an empty log. Throws nlohmann::json::exception where it is not of this
    // form.
    static ConfigurationRevisions fromJson(const Json& value);
    Json toJson() const;

    // Whether any configuration is in force.
    bool empty() const { return configuration_.is_null(); }
    std::uint64_t revision() const { return revision_; }
    const Json& configuration() const { return configuration_; }
    // Takes a valid configuration, or tells why it changes nothing.
    RevisionOutcome apply(const Json& proposed);

private:
    std::uint64_t revision_ = 0;
    Json configuration_;
    std::map<std::uint64_t, std::string> digests_;  // by edition
};

// xxHash 64 of the body with its keys sorted, in hexadecimal digits: two texts of one JSON value are one
// body.
std::string configurationDigest(const Json& body);

}  // namespace granitereel::control
