// The messages by which two processes keep their record tables equal, as types with one codec. Each message
// is a JSON object whose key "k" names its kind. fromJson throws nlohmann::json::exception where a message is
// malformed.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gossip/record_table.hpp"

namespace granitereel::gossip {

// A record as it is sent: whole, or as a patch (RFC 6902) of its body at `baseVersion`.
struct RecordUpdate {
    std::string name;
    Version version;
    std::optional<Version> baseVersion;  // set: `body` is a patch of the body at that version
    Json body;                           // null without `baseVersion`: a tombstone
    std::int64_t age_ms = 0;             // of a tombstone, since the deletion
    bool unconfirmed = false;            // see record_expiry.hpp: for a receiver that holds nothing better

    Json toJson() const;
    static RecordUpdate fromJson(const Json& message);
};

// Records that have just changed, or, as a reply, records that the receiver was found to lack. The two have
// kinds of their own so that traffic can be counted by its cause.
struct UpdateBatch {
    static constexpr const char* kind = "news";
    static constexpr const char* replyKind = "records";
    std::vector<RecordUpdate> records;
    bool isReply = false;

    Json toJson() const;
    static UpdateBatch fromJson(const Json& message);
};

// The dialler's first message: a hash of names and versions for each bucket of names.
struct Digest {
    static constexpr const char* kind = "digest";
    std::uint64_t exchange = 0;
    std::int64_t connectivityAge_ms = 0;  // how long ago the sender was last in contact with control
    std::vector<std::uint64_t> hashes;    // one for each bucket; their number is a power of two

    Json toJson() const;
    static Digest fromJson(const Json& message);
};

// A name and the version that the sender holds; version {0, 0}: it holds none.
struct HeldVersion {
    std::string name;
    Version version;
};

// The names and versions of all records that the sender holds in some buckets, in one or more messages.
struct Inventory {
    static constexpr const char* kind = "inventory";
    std::uint64_t exchange = 0;
    std::int64_t connectivityAge_ms = 0;
    std::uint64_t bucketCount = 1;
    std::vector<std::uint64_t> buckets;  // the buckets that are listed; the same in each message
    std::vector<HeldVersion> held;
    bool last = true;

    Json toJson() const;
    static Inventory fromJson(const Json& message);
};

// Asks for records, each with the version that the sender holds, so that a patch may be enough.
struct RecordRequest {
    static constexpr const char* kind = "want";
    std::uint64_t number = 0;
    std::vector<HeldVersion> names;

    Json toJson() const;
    static RecordRequest fromJson(const Json& message);
};

// Ends the reply to a RecordRequest: all records that it asked for were sent before this message.
struct RecordsSent {
    static constexpr const char* kind = "sent";
    std::uint64_t number = 0;

    Json toJson() const;
    static RecordsSent fromJson(const Json& message);
};

// Ends the acceptor's part of an exchange: all records that the dialler's Inventory showed to be missing
// there were sent before this message.
struct ExchangeComplete {
    static constexpr const char* kind = "complete";
    std::uint64_t exchange = 0;
    std::int64_t connectivityAge_ms = 0;

    Json toJson() const;
    static ExchangeComplete fromJson(const Json& message);
};

// Whether messages of this kind belong to the replication of records.
bool isGossipMessage(const std::string& kind);

}  // namespace granitereel::gossip
