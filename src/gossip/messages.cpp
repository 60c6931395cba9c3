#include "gossip/messages.hpp"

#include <charconv>

namespace granitereel::gossip {

namespace {
constexpr std::size_t hexDigits = 16;

Json versionToJson(const Version& version) {
    return {version.major, version.minor};
}

Version versionFromJson(const Json& message) {
    return {message.at(0).get<std::uint64_t>(), message.at(1).get<std::uint64_t>()};
}

Json heldToJson(const std::vector<HeldVersion>& all) {
    Json list = Json::array();
    for (const HeldVersion& each : all) list.push_back({each.name, each.version.major, each.version.minor});
    return list;
}

std::vector<HeldVersion> heldFromJson(const Json& list) {
    std::vector<HeldVersion> all;
    for (const Json& each : list)
        all.push_back({each.at(0).get<std::string>(),
                       {each.at(1).get<std::uint64_t>(), each.at(2).get<std::uint64_t>()}});
    return all;
}

// Hashes as one string of hexadecimal digits, sixteen each: shorter than a list of numbers.
std::string hashesToText(const std::vector<std::uint64_t>& hashes) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(hashes.size() * hexDigits);
    for (const std::uint64_t hash : hashes)
        for (int shift = 60; shift >= 0; shift -= 4) text += digits[(hash >> shift) & 15];
    return text;
}

// A digit that is none reads as zero: the bucket then differs and is listed, which is safe.
std::vector<std::uint64_t> hashesFromText(const std::string& text) {
    std::vector<std::uint64_t> hashes;
    for (std::size_t at = 0; at + hexDigits <= text.size(); at += hexDigits) {
        std::uint64_t hash = 0;
        std::from_chars(text.data() + at, text.data() + at + hexDigits, hash, 16);
        hashes.push_back(hash);
    }
    return hashes;
}
}  // namespace

Json RecordUpdate::toJson() const {
    Json message{{"n", name}, {"v", versionToJson(version)}};
    if (from) {
        message["f"] = versionToJson(*from);
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
        update.from = versionFromJson(message.at("f"));
        update.body = message["p"];
        return update;
    }
    update.body = message.at("b");
    update.age_ms = message.value("age_ms", std::int64_t(0));
    update.unconfirmed = message.value("unconfirmed", false);
    return update;
}

Json News::toJson() const {
    Json list = Json::array();
    for (const RecordUpdate& each : records) list.push_back(each.toJson());
    return {{"k", answer ? kindOfAnswer : kind}, {"r", std::move(list)}};
}

News News::fromJson(const Json& message) {
    News news;
    news.answer = message.at("k") == kindOfAnswer;
    for (const Json& each : message.at("r")) news.records.push_back(RecordUpdate::fromJson(each));
    return news;
}

Json Digest::toJson() const {
    return {{"k", kind},
            {"exchange", exchange},
            {"contact_age_ms", contactAge_ms},
            {"hashes", hashesToText(hashes)}};
}

Digest Digest::fromJson(const Json& message) {
    return {message.at("exchange").get<std::uint64_t>(), message.at("contact_age_ms").get<std::int64_t>(),
            hashesFromText(message.at("hashes").get<std::string>())};
}

Json Inventory::toJson() const {
    return {{"k", kind},
            {"exchange", exchange},
            {"contact_age_ms", contactAge_ms},
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

Json Want::toJson() const {
    return {{"k", kind}, {"number", number}, {"names", heldToJson(names)}};
}

Want Want::fromJson(const Json& message) {
    return {message.at("number").get<std::uint64_t>(), heldFromJson(message.at("names"))};
}

Json Sent::toJson() const {
    return {{"k", kind}, {"number", number}};
}

Sent Sent::fromJson(const Json& message) {
    return {message.at("number").get<std::uint64_t>()};
}

Json Complete::toJson() const {
    return {{"k", kind}, {"exchange", exchange}, {"contact_age_ms", contactAge_ms}};
}

Complete Complete::fromJson(const Json& message) {
    return {message.at("exchange").get<std::uint64_t>(), message.at("contact_age_ms").get<std::int64_t>()};
}

bool isGossip(const std::string& kind) {
    return kind == News::kind || kind == News::kindOfAnswer || kind == Digest::kind ||
           kind == Inventory::kind || kind == Want::kind || kind == Sent::kind || kind == Complete::kind;
}

}  // namespace granitereel::gossip
