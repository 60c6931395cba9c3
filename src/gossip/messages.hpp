// What two boards say to each other over a link, as typed messages with one codec. Every message is a JSON
// object whose key "k" names its kind; fromJson throws nlohmann::json::exception where a message is not of
// its form.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gossip/record_table.hpp"

namespace granitereel::gossip {

// A record as it is sent: whole, or as a patch (RFC 6902) of the body at version `from`.
struct RecordUpdate {
    std::string name;
    Version version;
    std::optional<Version> from;  // set: `body` is a patch of that version's body
    Json body;                    // null without `from`: a tombstone
    std::int64_t age_ms = 0;      // of a tombstone, since it was made
    bool unconfirmed = false;     // see lifetimes.hpp: for who has nothing better

    Json toJson() const;
    static RecordUpdate fromJson(const Json& message);
};

// Records that changed just now, or, as an answer, those that the receiver was found to lack. The two are of
// different kinds so that traffic can be counted by its cause.
struct News {
    static constexpr const char* kind = "news";
    static constexpr const char* kindOfAnswer = "records";
    std::vector<RecordUpdate> records;
    bool answer = false;

    Json toJson() const;
    static News fromJson(const Json& message);
};

// The dialler's first message: a hash of names and versions for each bucket of names.
struct Digest {
    static constexpr const char* kind = "digest";
    std::uint64_t exchange = 0;
    std::int64_t contactAge_ms = 0;     // how long ago the sender was last in contact with control
    std::vector<std::uint64_t> hashes;  // one a bucket; their number is a power of two

    Json toJson() const;
    static Digest fromJson(const Json& message);
};

// A name and the version under which the sender holds it; version {0, 0}: not held.
struct HeldVersion {
    std::string name;
    Version version;
};

// All that the sender holds in some buckets, perhaps in several pieces.
struct Inventory {
    static constexpr const char* kind = "inventory";
    std::uint64_t exchange = 0;
    std::int64_t contactAge_ms = 0;
    std::uint64_t bucketCount = 1;
    std::vector<std::uint64_t> buckets;  // those which are listed; the same in each piece
    std::vector<HeldVersion> held;
    bool last = true;

    Json toJson() const;
    static Inventory fromJson(const Json& message);
};

// Asks for records; each with the version that the sender holds, so that a patch may do.
struct Want {
    static constexpr const char* kind = "want";
    std::uint64_t number = 0;
    std::vector<HeldVersion> names;

    Json toJson() const;
    static Want fromJson(const Json& message);
};

// All records that a Want asked for were sent before this.
struct Sent {
    static constexpr const char* kind = "sent";
    std::uint64_t number = 0;

    Json toJson() const;
    static Sent fromJson(const Json& message);
};

// All records that an Inventory of the dialler showed to be missing there were sent before this.
struct Complete {
    static constexpr const char* kind = "complete";
    std::uint64_t exchange = 0;
    std::int64_t contactAge_ms = 0;

    Json toJson() const;
    static Complete fromJson(const Json& message);
};

// Whether a message of this kind belongs to the exchange of boards.
bool isGossip(const std::string& kind);

}  // namespace granitereel::gossip
