#include "gossip/record_replicator.hpp"

#include <xxhash.h>

#include <algorithm>

#include "gossip/digest.hpp"

namespace granitereel::gossip {

namespace {
// An accepted link on which nothing has arrived for this long, though members ask for leases five times a
// second, no longer counts as a way to its peer.
constexpr Nanoseconds linkSilenceTimeout = milliseconds(2'000);
// An exchange without progress for this long is restarted: longer than one message takes on a slow link.
constexpr Nanoseconds exchangeRetryTimeout = milliseconds(3'000);
// How often tombstones and stalled exchanges are checked.
constexpr Nanoseconds sweepInterval = milliseconds(1'000);
// Up to this many records the dialler lists all its names at once, which saves a round trip.
constexpr std::size_t maxRecordsForDirectInventory = 32;
// Names in one message of an inventory or a request, at some 40 bytes each.
constexpr std::size_t namesPerMessage = targetMessageBytes / 40;
constexpr Nanoseconds nanosecondsPerMillisecond = 1'000'000;

std::uint64_t hashOfBody(const Json& body) {
    const std::string text = body.dump();
    return XXH64(text.data(), text.size(), 0);
}
}  // namespace

// ---- time -----------------------------------------------------------------------------------------

void RecordReplicator::advance(Nanoseconds now, bool connected) {
    now_ = now;
    const bool restored = !std::exchange(connected_, connected) && connected;
    if (expiry_.advance(now, connected)) markAllUnconfirmed();
    if (restored && !expiry_.unconfirmed().empty()) contactRestored();
    if (connected && !expiry_.unconfirmed().empty()) confirmOrDropRecords();
    if (now - sweptAt_ < sweepInterval) return;
    sweptAt_ = now;
    if (renewals_.startOwnRenewal(now) && connected) renewOwned();
    for (const std::string& name : expiry_.takeExpired(now)) {
        const Record* record = recordTable_.find(name);
        if (record && record->body.is_null()) recordTable_.erase(name);
    }
    chooseUpdateLinks();
    for (auto& [linkId, link] : links_) {
        if ((!link.awaitingRecords && link.openRequests.empty()) ||
            now - link.lastProgressAt < exchangeRetryTimeout)
            continue;
        link.lastProgressAt = now;
        link.openRequests.clear();
        if (link.side == Side::dialler) startExchange(linkId);
    }
}

void RecordReplicator::markAllUnconfirmed() {
    for (const auto& [name, record] : recordTable_.all())
        if (RecordExpiry::canBeDeleted(name) && !owned_.count(name)) expiry_.markUnconfirmed(name);
    startAllExchanges();
}

// Other processes may have been without contact as long and hold this process's own records as unconfirmed,
// so these are published again. What peers with contact hold is confirmed by new exchanges.
void RecordReplicator::contactRestored() {
    contactRestoredAt_ = exchangesRestartedAt_ = now_;
    renewOwned();
    startAllExchanges();
}

void RecordReplicator::renewOwned() {
    for (const auto& [name, body] : owned_) {
        const std::uint64_t major = recordTable_.find(name)->version.major;
        put(name, {{major + 1, hashOfBody(body)}, body});
    }
}

std::vector<std::string> RecordReplicator::overdueRecords() const {
    std::vector<std::string> names = renewals_.overdue(now_);
    std::erase_if(names,
                  [this](const std::string& name) { return owned_.count(name) || isUnconfirmed(name); });
    return names;
}

void RecordReplicator::startAllExchanges() {
    for (const auto& [linkId, link] : links_)
        if (link.side == Side::dialler) startExchange(linkId);
}

// A peer's records may have been confirmed since the last exchange, so the exchange is repeated a few times,
// and once more after the unconfirmed records were dropped, so that no record is missing that a peer holds.
void RecordReplicator::confirmOrDropRecords() {
    if (now_ - contactRestoredAt_ >= confirmationTimeout) {
        dropUnconfirmed();
        return startAllExchanges();
    }
    if (now_ - exchangesRestartedAt_ < confirmationTimeout / 4) return;
    exchangesRestartedAt_ = now_;
    startAllExchanges();
}

void RecordReplicator::dropUnconfirmed() {
    const std::set<std::string> dropped = expiry_.unconfirmed();
    for (const std::string& name : dropped) {
        expiry_.confirm(name);
        expiry_.removeTombstone(name);
        renewals_.erase(name);
        const Record* record = recordTable_.find(name);
        if (!record) continue;
        const Record tombstone{record->version, nullptr};
        recordTable_.erase(name);
        history_.erase(name);
        onUpdate_(name, tombstone);
    }
}

std::int64_t RecordReplicator::connectivityAge_ms() const {
    return expiry_.connectivityAge(now_) / nanosecondsPerMillisecond;
}

// ---- a new link -----------------------------------------------------------------------------------

void RecordReplicator::addLink(int linkId, Side side, const std::string& peer) {
    Link& link = links_[linkId];
    link = {};
    link.side = side;
    link.peer = peer;
    link.lastProgressAt = link.lastReceivedAt = now_;
    chooseUpdateLinks();
    if (side == Side::dialler) startExchange(linkId);
}

void RecordReplicator::removeLink(int linkId) {
    links_.erase(linkId);
    chooseUpdateLinks();
}

void RecordReplicator::noteActivity(int linkId) {
    const auto it = links_.find(linkId);
    if (it != links_.end()) it->second.lastReceivedAt = now_;
}

bool RecordReplicator::hasLiveAcceptedLink(const std::string& peer) const {
    if (peer.empty()) return false;
    return std::any_of(links_.begin(), links_.end(), [&](const auto& each) {
        const Link& link = each.second;
        return link.side == Side::acceptor && link.peer == peer &&
               now_ - link.lastReceivedAt < linkSilenceTimeout;
    });
}

// A dialled link that starts to carry changes may have missed some, so its exchange is restarted.
void RecordReplicator::chooseUpdateLinks() {
    for (auto& [linkId, link] : links_) {
        if (link.side != Side::dialler) continue;
        const bool carriedBefore = std::exchange(link.carriesUpdates, !hasLiveAcceptedLink(link.peer));
        if (link.carriesUpdates && !carriedBefore) startExchange(linkId);
    }
}

void RecordReplicator::startExchange(int linkId) {
    Link& link = links_.at(linkId);
    link.awaitingRecords = true;
    link.lastProgressAt = now_;
    link.exchange = ++lastExchange_;
    link.peerVersions.clear();
    sendUnconfirmed(linkId);
    if (recordTable_.all().size() <= maxRecordsForDirectInventory)
        return sendInventory(linkId, link.exchange, 1, {0});
    Digest digest;
    digest.exchange = link.exchange;
    digest.connectivityAge_ms = connectivityAge_ms();
    digest.hashes =
        bucketHashes(recordTable_, bucketCountFor(recordTable_.all().size()), expiry_.unconfirmed());
    send_(linkId, digest.toJson());
}

void RecordReplicator::restartExchange(int linkId) {
    const auto it = links_.find(linkId);
    if (it != links_.end() && it->second.side == Side::dialler) startExchange(linkId);
}

Nanoseconds RecordReplicator::exchangeStalledFor(int linkId) const {
    const auto it = links_.find(linkId);
    return it == links_.end() || isComplete(linkId) ? 0 : now_ - it->second.lastProgressAt;
}

bool RecordReplicator::isComplete(int linkId) const {
    const auto it = links_.find(linkId);
    return it != links_.end() && !it->second.awaitingRecords && it->second.openRequests.empty();
}

void RecordReplicator::sendInventory(int linkId, std::uint64_t exchange, std::uint64_t bucketCount,
                                     const std::vector<std::uint64_t>& buckets) {
    const std::set<std::uint64_t> listedBuckets(buckets.begin(), buckets.end());
    Inventory part;
    part.exchange = exchange;
    part.connectivityAge_ms = connectivityAge_ms();
    part.bucketCount = bucketCount;
    part.buckets = buckets;
    part.last = false;
    for (const auto& [name, record] : recordTable_.all()) {
        if (expiry_.unconfirmed().count(name) || !listedBuckets.count(bucketOf(name, bucketCount))) continue;
        part.held.push_back({name, record.version});
        if (part.held.size() < namesPerMessage) continue;
        send_(linkId, part.toJson());
        part.held.clear();
    }
    part.last = true;
    send_(linkId, part.toJson());
}

void RecordReplicator::handle(int linkId, const Digest& digest) {
    Link& link = links_.at(linkId);
    expiry_.peerConnectivity(now_, digest.connectivityAge_ms * nanosecondsPerMillisecond);
    const std::uint64_t count = digest.hashes.size();
    if (count == 0 || (count & (count - 1)) != 0) return;
    const auto own = bucketHashes(recordTable_, count, expiry_.unconfirmed());
    std::vector<std::uint64_t> differing;
    for (std::uint64_t bucket = 0; bucket < count; ++bucket)
        if (own[bucket] != digest.hashes[bucket]) differing.push_back(bucket);
    link.awaitingRecords = !differing.empty();
    sendUnconfirmed(linkId);
    sendInventory(linkId, digest.exchange, count, differing);
}

void RecordReplicator::handle(int linkId, const Inventory& part) {
    Link& link = links_.at(linkId);
    // A reply to an earlier exchange that was restarted since then no longer counts.
    if (link.side == Side::dialler && part.exchange != link.exchange) return;
    if (link.side == Side::acceptor && part.exchange != link.exchange) {
        link.exchange = part.exchange;
        link.peerVersions.clear();
    }
    expiry_.peerConnectivity(now_, part.connectivityAge_ms * nanosecondsPerMillisecond);
    for (const HeldVersion& each : part.held) link.peerVersions[each.name] = each.version;
    if (part.last) replyToInventory(linkId, part);
}

// The peer's inventory of some buckets is known in full: sends it the records that it lacks there, and
// requests those that this table lacks.
void RecordReplicator::replyToInventory(int linkId, const Inventory& last) {
    Link& link = links_.at(linkId);
    const std::map<std::string, Version> peerVersions = std::exchange(link.peerVersions, {});
    const std::set<std::uint64_t> buckets(last.buckets.begin(), last.buckets.end());
    std::vector<HeldVersion> missingAtPeer, missingHere;
    for (const auto& [name, record] : recordTable_.all()) {
        if (!buckets.count(bucketOf(name, last.bucketCount))) continue;
        const auto it = peerVersions.find(name);
        const Version held = it == peerVersions.end() ? Version() : it->second;
        if (held == record.version) expiry_.confirm(name);
        if (held < record.version && !expiry_.unconfirmed().count(name))
            missingAtPeer.push_back({name, held});
    }
    for (const auto& [name, version] : peerVersions) {
        const Version own = confirmedVersion(name);
        if (own < version) missingHere.push_back({name, own});
    }
    // A peer that holds a link of its own to this process gets what it lacks over that one.
    if (link.carriesUpdates) sendRecords(linkId, missingAtPeer);
    link.awaitingRecords = false;
    if (link.side == Side::dialler) {
        // Also sent where nothing is missing: it tells the peer that all records it lacked were sent.
        if (!last.buckets.empty()) requestRecords(linkId, std::move(missingHere));
        return;
    }
    sendUnconfirmed(linkId);
    send_(linkId, ExchangeComplete{last.exchange, connectivityAge_ms()}.toJson());
    if (!missingHere.empty()) requestRecords(linkId, std::move(missingHere));
}

void RecordReplicator::requestRecords(int linkId, std::vector<HeldVersion> names) {
    Link& link = links_.at(linkId);
    if (link.openRequests.empty() && !link.awaitingRecords) link.lastProgressAt = now_;
    RecordRequest message;
    for (std::size_t offset = 0; offset == 0 || offset < names.size(); offset += namesPerMessage) {
        const auto first = names.begin() + static_cast<std::ptrdiff_t>(offset);
        const auto end =
            names.begin() + static_cast<std::ptrdiff_t>(std::min(offset + namesPerMessage, names.size()));
        message.number = ++lastRequest_;
        message.names.assign(first, end);
        if (!message.names.empty()) {
            std::set<std::string>& open = link.openRequests[message.number];
            for (const HeldVersion& each : message.names) open.insert(each.name);
        }
        send_(linkId, message.toJson());
    }
}

bool RecordReplicator::isRequested(const Link& link, const std::string& name) const {
    return std::any_of(link.openRequests.begin(), link.openRequests.end(),
                       [&](const auto& each) { return each.second.count(name) > 0; });
}

void RecordReplicator::handle(int linkId, const RecordRequest& request) {
    Link& link = links_.at(linkId);
    if (link.side == Side::acceptor) link.awaitingRecords = false;
    if (request.names.empty()) return;
    sendRecords(linkId, request.names);
    send_(linkId, RecordsSent{request.number}.toJson());
}

// ---- records --------------------------------------------------------------------------------------

// The version that is compared with a peer's; that of an unconfirmed record does not count.
Version RecordReplicator::confirmedVersion(const std::string& name) const {
    const Record* record = recordTable_.find(name);
    return record && !expiry_.unconfirmed().count(name) ? record->version : Version();
}

RecordUpdate RecordReplicator::fullUpdate(const std::string& name, const Record& record) const {
    RecordUpdate update;
    update.name = name;
    update.version = record.version;
    update.body = record.body;
    update.age_ms = record.body.is_null() ? expiry_.tombstoneAge(name, now_) / nanosecondsPerMillisecond : 0;
    update.unconfirmed = expiry_.unconfirmed().count(name) > 0;
    return update;
}

RecordUpdate RecordReplicator::updateFrom(const std::string& name, const Record& record,
                                          const Version& held) const {
    RecordUpdate update = fullUpdate(name, record);
    const auto patch = history_.patchSince(name, held);
    if (!patch || patch->dump().size() >= record.body.dump().size()) return update;
    update.baseVersion = held;
    update.body = *patch;
    return update;
}

void RecordReplicator::sendRecords(int linkId, const std::vector<HeldVersion>& lacking) {
    UpdateBatch batch;
    batch.isReply = true;
    std::size_t bytes = 0;
    auto flush = [&] {
        if (!batch.records.empty()) send_(linkId, batch.toJson());
        batch.records.clear();
        bytes = 0;
    };
    for (const HeldVersion& each : lacking) {
        const Record* record = recordTable_.find(each.name);
        if (!record || record->version <= each.version) continue;
        RecordUpdate update = updateFrom(each.name, *record, each.version);
        const std::size_t size = update.toJson().dump().size();
        if (bytes + size > targetMessageBytes) flush();
        bytes += size;
        batch.records.push_back(std::move(update));
    }
    flush();
}

// A peer that holds nothing better may serve from these until it has contact.
void RecordReplicator::sendUnconfirmed(int linkId) {
    std::vector<HeldVersion> names;
    for (const std::string& name : expiry_.unconfirmed()) names.push_back({name, {}});
    sendRecords(linkId, names);
}

bool RecordReplicator::put(const std::string& name, Record record, int from) {
    return apply(name, std::move(record), nullptr, 0, from);
}

bool RecordReplicator::apply(const std::string& name, Record record, const Json* patch, Nanoseconds age,
                             int from) {
    const Record* known = recordTable_.find(name);
    const Record before = known ? *known : Record();
    if (known && record.version == known->version) expiry_.confirm(name);
    // An unconfirmed version gives way to any confirmed one, also to a lower one.
    if (expiry_.unconfirmed().count(name)) recordTable_.erase(name);
    if (!recordTable_.put(name, std::move(record))) return false;
    expiry_.confirm(name);
    const Record& current = *recordTable_.find(name);
    if (current.body.is_null()) {
        expiry_.addTombstone(name, now_, age);
        renewals_.erase(name);
    } else {
        expiry_.removeTombstone(name);
        renewals_.received(name, now_);
    }
    const Json change = patch ? *patch : links_.empty() ? Json() : patchIfSmaller(before.body, current.body);
    history_.add(name, before.version, current.version, change);
    onUpdate_(name, current);
    RecordUpdate update = fullUpdate(name, current);
    if (!change.is_null()) {
        update.baseVersion = before.version;
        update.body = change;
    }
    forward(update, from);
    const auto own = owned_.find(name);
    if (from != 0 && own != owned_.end() && own->second != recordTable_.find(name)->body)
        publish(name, own->second);
    return true;
}

void RecordReplicator::forward(const RecordUpdate& update, int from) {
    UpdateBatch batch;
    batch.records.push_back(update);
    const Json message = batch.toJson();
    const auto origin = links_.find(from);
    const std::string sender = origin == links_.end() ? std::string() : origin->second.peer;
    for (const auto& [linkId, link] : links_) {
        const bool returnsToSender = linkId == from || (!sender.empty() && link.peer == sender);
        if (link.carriesUpdates && !returnsToSender) send_(linkId, message);
    }
}

void RecordReplicator::publish(const std::string& name, const Json& body) {
    owned_[name] = body;
    const Record* current = recordTable_.find(name);
    if (current && current->body == body) return;
    put(name, {{current ? current->version.major + 1 : 1, hashOfBody(body)}, body});
}

void RecordReplicator::receive(int linkId, const Json& message) {
    const auto it = links_.find(linkId);
    const std::string kind = message.at("k");
    if (it != links_.end()) {
        it->second.lastReceivedAt = now_;
        // Forwarded changes keep arriving whether or not the exchange makes progress.
        if (kind != UpdateBatch::kind) it->second.lastProgressAt = now_;
    }
    if (kind == UpdateBatch::kind || kind == UpdateBatch::replyKind)
        return handle(linkId, UpdateBatch::fromJson(message));
    if (it == links_.end()) return;
    if (kind == Digest::kind) return handle(linkId, Digest::fromJson(message));
    if (kind == Inventory::kind) return handle(linkId, Inventory::fromJson(message));
    if (kind == RecordRequest::kind) return handle(linkId, RecordRequest::fromJson(message));
    if (kind == RecordsSent::kind) {
        it->second.openRequests.erase(RecordsSent::fromJson(message).number);
        return;
    }
    if (kind != ExchangeComplete::kind) return;
    const ExchangeComplete done = ExchangeComplete::fromJson(message);
    expiry_.peerConnectivity(now_, done.connectivityAge_ms * nanosecondsPerMillisecond);
    if (done.exchange == it->second.exchange) it->second.awaitingRecords = false;
}

void RecordReplicator::handle(int linkId, const UpdateBatch& batch) {
    for (const RecordUpdate& each : batch.records) handleUpdate(linkId, each);
}

void RecordReplicator::handleUpdate(int linkId, const RecordUpdate& update) {
    const Record* known = recordTable_.find(update.name);
    const Nanoseconds age = update.age_ms * nanosecondsPerMillisecond;
    if (update.unconfirmed) {
        if (connected_ || known || owned_.count(update.name)) return;
        expiry_.markUnconfirmed(update.name);
        recordTable_.put(update.name, {update.version, update.body});
        onUpdate_(update.name, *recordTable_.find(update.name));
        return;
    }
    if (!update.baseVersion) {
        if (update.body.is_null() && age >= tombstoneLifetime) return;
        apply(update.name, {update.version, update.body}, nullptr, age, linkId);
        return;
    }
    if (known && known->version == update.version) expiry_.confirm(update.name);
    const Version held = confirmedVersion(update.name);
    if (held >= update.version) return;
    if (known && held == *update.baseVersion) {
        apply(update.name, {update.version, known->body.patch(update.body)}, &update.body, 0, linkId);
        return;
    }
    // A record that the exchange or an open request will bring need not be requested.
    const auto it = links_.find(linkId);
    if (it == links_.end() || it->second.awaitingRecords || isRequested(it->second, update.name)) return;
    requestRecords(linkId, {{update.name, held}});
}

}  // namespace granitereel::gossip
