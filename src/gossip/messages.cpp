#include "gossip/messages.hpp"

#include <charconv>

namespace granitereel::gossip {

namespace {
constexpr std::size_t hexDigitsPerHash = 16;

Json versionToJson(const Version& version) {
    return {version.major, version.minor};
}

Version versionFromJson(const Json& message) {
    return {message.at(0).get<std::uint64_t>(), message.at(1).get<std::uint64_t>()};
}

Json heldToJson(const std::vector<HeldVersion>& held) {
    Json list = Json::array();
    for (const HeldVersion& each : held) list.push_back({each.name, each.version.major, each.version.minor});
    return list;
}

std::vector<HeldVersion> heldFromJson(const Json& list) {
    std::vector<HeldVersion> held;
    for (const Json& each : list)
        held.push_back({each.at(0).get<std::string>(),
                        {each.at(1).get<std::uint64_t>(), each.at(2).get<std::uint64_t>()}});
    return held;
}

// All hashes as one string of hexadecimal digits, sixteen each: shorter than a list of numbers.
std::string hashesToText(const std::vector<std::uint64_t>& hashes) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(hashes.size() * hexDigitsPerHash);
    for (const std::uint64_t hash : hashes)
        for (int shift = 60; shift >= 0; shift -= 4) text += digits[(hash >> shift) & 15];
    return text;
}

// A hash with an invalid digit reads as zero: its bucket then differs and is listed, which is safe.
std::vector<std::uint64_t> hashesFromText(const std::string& text) {
    std::vector<std::uint64_t> hashes;
    for (std::size_t offset = 0; offset + hexDigitsPerHash <= text.size(); offset += hexDigitsPerHash) {
        std::uint64_t hash = 0;
        std::from_chars(text.data() + offset, text.data() + offset + hexDigitsPerHash, hash, 16);
        hashes.push_back(hash);
    }
    return hashes;
}
}  // namespace

Json RecordUpdate::toJson() const {
    Json message{{"n", name}, {"v", versionToJson(version)}};
    if (baseVersion) {
        message["f"] = versionToJson(*baseVersion);
        message["p"] = body;
        return message;
    }
    message["b"] = body;
    if (body.is_null() && age_ms > 0) message["age_ms"] = age_ms;
    if (unconfirmed) message["unconfirmed"] = true;
    return message;
}

RecordUpdate RecordUpdate::fromJson(const Json& message) {
    RecordUpdate update;
    update.name = message.at("n").get<std::string>();
    update.version = versionFromJson(message.at("v"));
    if (message.contains("p")) {
        update.baseVersion = versionFromJson(message.at("f"));
        update.body = message["p"];
        return update;
    }
    update.body = message.at("b");
    update.age_ms = message.value("age_ms", std::int64_t(0));
    update.unconfirmed = message.value("unconfirmed", false);
    return update;
}

Json UpdateBatch::toJson() const {
    Json list = Json::array();
    for (const RecordUpdate& update : records) list.push_back(update.toJson());
    return {{"k", isReply ? replyKind : kind}, {"r", std::move(list)}};
}

UpdateBatch UpdateBatch::fromJson(const Json& message) {
    UpdateBatch batch;
    batch.isReply = message.at("k") == replyKind;
    for (const Json& update : message.at("r")) batch.records.push_back(RecordUpdate::fromJson(update));
    return batch;
}

Json Digest::toJson() const {
    return {{"k", kind},
            {"exchange", exchange},
            {"contact_age_ms", connectivityAge_ms},
            {"hashes", hashesToText(hashes)}};
}

Digest Digest::fromJson(const Json& message) {
    return {message.at("exchange").get<std::uint64_t>(), message.at("contact_age_ms").get<std::int64_t>(),
            hashesFromText(message.at("hashes").get<std::string>())};
}

Json Inventory::toJson() const {
    return {{"k", kind},
            {"exchange", exchange},
            {"contact_age_ms", connectivityAge_ms},
            {"bucket_count", bucketCount},
            {"buckets", buckets},
            {"held", heldToJson(held)},
            {"last", last}};
}

Inventory Inventory::fromJson(const Json& message) {
    return {message.at("exchange").get<std::uint64_t>(),
            message.at("contact_age_ms").get<std::int64_t>(),
            message.at("bucket_count").get<std::uint64_t>(),
            message.at("buckets").get<std::vector<std::uint64_t>>(),
            heldFromJson(message.at("held")),
            message.at("last").get<bool>()};
}

Json RecordRequest::toJson() const {
    return {{"k", kind}, {"number", number}, {"names", heldToJson(names)}};
}

RecordRequest RecordRequest::fromJson(const Json& message) {
    return {message.at("number").get<std::uint64_t>(), heldFromJson(message.at("names"))};
}

Json RecordsSent::toJson() const {
    return {{"k", kind}, {"number", number}};
}

RecordsSent RecordsSent::fromJson(const Json& message) {
    return {message.at("number").get<std::uint64_t>()};
}

Json ExchangeComplete::toJson() const {
    return {{"k", kind}, {"exchange", exchange}, {"contact_age_ms", connectivityAge_ms}};
}

ExchangeComplete ExchangeComplete::fromJson(const Json& message) {
    return {message.at("exchange").get<std::uint64_t>(), message.at("contact_age_ms").get<std::int64_t>()};
}

bool isGossipMessage(const std::string& kind) {
    return kind == UpdateBatch::kind || kind == UpdateBatch::replyKind || kind == Digest::kind ||
           kind == Inventory::kind || kind == RecordRequest::kind || kind == RecordsSent::kind ||
           kind == ExchangeComplete::kind;
}

}  // namespace granitereel::gossip
