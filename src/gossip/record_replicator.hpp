// Keeps a record table equal to those of the peers on its links. A change is forwarded to all links but the
// one that it arrived on. On a new link the two sides exchange what differs (anti-entropy): the dialler sends
// a digest (or, of a small table, all names and versions), the acceptor replies with the names and versions
// of the buckets that differ, and each side then sends the records that the other lacks or holds in an older
// version. Links deliver in the order of sending. Free of I/O, clocks and randomness.
//
// The guarantee that leases rely on: where `isComplete(link)` holds on the dialler's side, its table has all
// records that the acceptor held when it sent whatever arrives next on this link. Without it, a lease could
// make a process trust a record of a primary that its grantor already knew to be replaced.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "gossip/messages.hpp"
#include "gossip/patch_history.hpp"
#include "gossip/record_expiry.hpp"
#include "gossip/record_renewals.hpp"
#include "gossip/record_table.hpp"
#include "nanoseconds.hpp"

namespace granitereel::gossip {

// Which end of a link this process is. The dialler starts the exchange.
enum class Side { dialler, acceptor };

// Records are sent in messages of about this size; a larger record is sent alone.
constexpr std::size_t targetMessageBytes = 64 * 1024;

class RecordReplicator {
public:
    using Send = std::function<void(int link, Json message)>;
    // Called for each record that changed in the table, wherever the change came from.
    using OnUpdate = std::function<void(const std::string& name, const Record& record)>;
    RecordReplicator(Send send, OnUpdate onUpdate) : send_(std::move(send)), onUpdate_(std::move(onUpdate)) {}

    const RecordTable& recordTable() const { return recordTable_; }
    // Advances the clock; to be called before anything that happens at `now` is handled, and periodically.
    // `connected`: this process holds a lease of control. Expires tombstones and restarts exchanges that made
    // no progress.
    void advance(Nanoseconds now, bool connected);
    // `peer`: the process at the other end, where each of the two may hold a link to the other; else empty.
    // Changes go to such a peer over the link accepted from it, on which it asks for leases; over the dialled
    // link only while there is no other; and never back to the peer that sent them.
    void addLink(int link, Side side, const std::string& peer = {});
    void removeLink(int link);
    // A message of another kind arrived on the link: the peer is alive.
    void noteActivity(int link);
    // Whether this table has all records that the peer of this link held when it sent what arrives next.
    // Leases count only under this condition (see the head of this file).
    bool isComplete(int link) const;
    // For how long an open exchange or record request has made no progress; 0: none is open.
    Nanoseconds exchangeStalledFor(int link) const;
    // Starts the exchange over, as the caller found that this table lacks some of the peer's records.
    void restartExchange(int link);
    // Whether this process was isolated for so long that the record may have been deleted elsewhere in the
    // meantime (record_expiry.hpp). An owner with a current value publishes it again.
    bool isUnconfirmed(const std::string& name) const { return expiry_.unconfirmed().count(name) > 0; }
    // Records of other owners that were not renewed in time: any process with a lease may delete them.
    std::vector<std::string> overdueRecords() const;
    // Puts a record of this process, or one that arrived on link `from`. Returns whether the table changed.
    bool put(const std::string& name, Record record, int from = 0);
    // Handles a message of messages.hpp; others are ignored. Throws nlohmann::json::exception where it is
    // malformed.
    void receive(int link, const Json& message);
    // Publishes a record that only this process writes: above the present version where the body differs, and
    // again whenever another body arrives. The minor part of the version is a hash of the body, so that two
    // incarnations of the owner never give one version to two bodies; otherwise peers could hold different
    // bodies for good, as versions alone are compared.
    void publish(const std::string& name, const Json& body);

private:
    struct Link {
        Side side = Side::dialler;
        std::string peer;
        bool carriesUpdates = true;
        // Whether records that the peer held at the start of the exchange are still to come.
        bool awaitingRecords = true;
        std::uint64_t exchange = 0;
        std::map<std::string, Version> peerVersions;  // from the parts of an inventory so far
        std::map<std::uint64_t, std::set<std::string>> openRequests;
        Nanoseconds lastProgressAt = 0;  // of the exchange: its start, or any message but a forwarded change
        Nanoseconds lastReceivedAt = 0;  // any message
    };

    void startExchange(int link);
    void chooseUpdateLinks();
    bool hasLiveAcceptedLink(const std::string& peer) const;
    void handle(int link, const UpdateBatch& batch);
    void handle(int link, const Digest& digest);
    void handle(int link, const Inventory& part);
    void handle(int link, const RecordRequest& request);
    void handleUpdate(int link, const RecordUpdate& update);
    void replyToInventory(int link, const Inventory& last);
    bool apply(const std::string& name, Record record, const Json* patch, Nanoseconds age, int from);
    void forward(const RecordUpdate& update, int from);
    void sendInventory(int link, std::uint64_t exchange, std::uint64_t bucketCount,
                       const std::vector<std::uint64_t>& buckets);
    // Sends the records of these names; as patches where the peer holds a version that a patch is known for.
    void sendRecords(int link, const std::vector<HeldVersion>& lacking);
    void sendUnconfirmed(int link);
    void requestRecords(int link, std::vector<HeldVersion> names);
    bool isRequested(const Link& link, const std::string& name) const;
    Version confirmedVersion(const std::string& name) const;
    RecordUpdate fullUpdate(const std::string& name, const Record& record) const;
    RecordUpdate updateFrom(const std::string& name, const Record& record, const Version& held) const;
    void markAllUnconfirmed();
    void contactRestored();
    void renewOwned();
    void confirmOrDropRecords();
    void startAllExchanges();
    void dropUnconfirmed();
    std::int64_t connectivityAge_ms() const;

    Send send_;
    OnUpdate onUpdate_;
    RecordTable recordTable_;
    PatchHistory history_;
    RecordExpiry expiry_;
    RecordRenewals renewals_;
    std::map<int, Link> links_;
    std::map<std::string, Json> owned_;
    std::uint64_t lastExchange_ = 0, lastRequest_ = 0;
    Nanoseconds now_ = 0, sweptAt_ = 0, contactRestoredAt_ = 0, exchangesRestartedAt_ = 0;
    bool connected_ = false;
};

}  // namespace granitereel::gossip
