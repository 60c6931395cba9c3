#include "control/configuration_revisions.hpp"

#include <xxhash.h>

#include <cstdio>

namespace granitereel::control {

std::string configurationDigest(const Json& body) {
    const std::string canonical = body.dump();
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx",
                  static_cast<unsigned long long>(XXH64(canonical.data(), canonical.size(), 0)));
    return digits;
}

ConfigurationRevisions ConfigurationRevisions::fromJson(const Json& value) {
    ConfigurationRevisions revisions;
    if (value.is_null()) return revisions;
    revisions.revision_ = value.at("edition");
    if (!value.contains("digests")) {
        // Format of earlier versions: the configuration alone, without digests.
        revisions.configuration_ = value;
        revisions.digests_[revisions.revision_] = configurationDigest(value);
        return revisions;
    }
    revisions.configuration_ = value.at("configuration");
    for (const auto& [revision, digest] : value.at("digests").items())
        revisions.digests_[std::stoull(revision)] = digest.get<std::string>();
    return revisions;
}

Json ConfigurationRevisions::toJson() const {
    if (empty()) return nullptr;
    // An object keyed by revision, not an array, so that a JSON patch contains only added and removed
    // entries.
    Json digests = Json::object();
    for (const auto& [revision, digest] : digests_) digests[std::to_string(revision)] = digest;
    return {{"edition", revision_}, {"configuration", configuration_}, {"digests", std::move(digests)}};
}

RevisionOutcome ConfigurationRevisions::apply(const Json& proposed) {
    const std::uint64_t revision = proposed.at("edition");
    const std::string digest = configurationDigest(proposed);
    if (empty() || revision > revision_) {
        revision_ = revision;
        configuration_ = proposed;
        digests_[revision] = digest;
        if (digests_.size() > maxRetained) digests_.erase(digests_.begin());
        return RevisionOutcome::applied;
    }
    const auto known = digests_.find(revision);
    if (known != digests_.end())
        return known->second == digest ? RevisionOutcome::duplicate : RevisionOutcome::conflict;
    // It is acknowledged as well, so its number must identify this body from now on, as far as there is room
    // above the oldest kept revision.
    if (digests_.size() < maxRetained || revision > digests_.begin()->first) {
        digests_[revision] = digest;
        if (digests_.size() > maxRetained) digests_.erase(digests_.begin());
    }
    return RevisionOutcome::stale;
}

}  // namespace granitereel::control
