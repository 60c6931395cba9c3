#include "control/edition_log.hpp"

#include <xxhash.h>

#include <cstdio>

namespace granitereel::control {

std::string digestOf(const Json& body) {
    const std::string canonical = body.dump();
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx",
                  static_cast<unsigned long long>(XXH64(canonical.data(), canonical.size(), 0)));
    return digits;
}

EditionLog EditionLog::fromJson(const Json& value) {
    EditionLog log;
    if (value.is_null()) return log;
    log.edition_ = value.at("edition");
    if (!value.contains("digests")) {
        // Written before digests were kept: the configuration alone.
        log.configuration_ = value;
        log.digests_[log.edition_] = digestOf(value);
        return log;
    }
    log.configuration_ = value.at("configuration");
    for (const auto& [edition, digest] : value.at("digests").items())
        log.digests_[std::stoull(edition)] = digest.get<std::string>();
    return log;
}

Json EditionLog::toJson() const {
    if (empty()) return nullptr;
    // By edition, not in a row: a patch then says what came and what went.
    Json digests = Json::object();
    for (const auto& [edition, digest] : digests_) digests[std::to_string(edition)] = digest;
    return {{"edition", edition_}, {"configuration", configuration_}, {"digests", std::move(digests)}};
}

OrderVerdict EditionLog::offer(const Json& sent) {
    const std::uint64_t edition = sent.at("edition");
    const std::string digest = digestOf(sent);
    if (empty() || edition > edition_) {
        edition_ = edition;
        configuration_ = sent;
        digests_[edition] = digest;
        if (digests_.size() > kept) digests_.erase(digests_.begin());
        return OrderVerdict::taken;
    }
    const auto known = digests_.find(edition);
    if (known != digests_.end())
        return known->second == digest ? OrderVerdict::repeated : OrderVerdict::conflict;
    // Acknowledged as it stands, so it too has one body from now on, as long as there is room above the
    // oldest.
    if (digests_.size() < kept || edition > digests_.begin()->first) {
        digests_[edition] = digest;
        if (digests_.size() > kept) digests_.erase(digests_.begin());
    }
    return OrderVerdict::older;
}

}  // namespace granitereel::control
