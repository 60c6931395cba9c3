#include "gossip/record_replicator.hpp"

#include <xxhash.h>

#include <algorithm>

#include "gossip/digest.hpp"

namespace granitereel::gossip {

namespace {
// An exchange in which nothing has come for so long is begun again: above the time of a piece on a slow link.
// An accepted link on which nothing has come for so long, though members ask for leases five times a second,
// is no way to its peer any more.
constexpr Nanos silentAfter = millis(2'000);
constexpr Nanos exchangeAgain = millis(3'000);
// How often tombstones are looked through.
constexpr Nanos sweepEvery = millis(1'000);
// Up to so many records the dialler lists its names at once, which saves a turn.
constexpr std::size_t smallBoard = 32;
// Names in one piece of an inventory or a want: some 40 bytes each.
constexpr std::size_t namesInPiece = pieceBytes / 40;
constexpr Nanos nanosInMilli = 1'000'000;

std::uint64_t hashOfBody(const Json& body) {
    const std::string text = body.dump();
    return XXH64(text.data(), text.size(), 0);
}
}  // namespace

// ---- time -----------------------------------------------------------------------------------------

void Gossip::advance(Nanos now, bool inContact) {
    now_ = now;
    const bool regained = !std::exchange(inContact_, inContact) && inContact;
    if (lifetimes_.passed(now, inContact)) doubtAll();
    if (regained && !lifetimes_.unconfirmed().empty()) contactRegained();
    if (inContact && !lifetimes_.unconfirmed().empty()) settleUnconfirmed();
    if (now - sweptAt_ < sweepEvery) return;
    sweptAt_ = now;
    if (renewals_.renewOwn(now) && inContact) renewOwned();
    for (const std::string& name : lifetimes_.takeEnded(now)) {
        const Record* record = board_.find(name);
        if (record && record->body.is_null()) board_.forget(name);
    }
    chooseCarriers();
    for (auto& [number, link] : links_) {
        if ((!link.awaiting && link.wants.empty()) || now - link.answeredAt < exchangeAgain) continue;
        link.answeredAt = now;
        link.wants.clear();
        if (link.side == Side::dialler) beginExchange(number);
    }
}

void Gossip::doubtAll() {
    for (const auto& [name, record] : board_.all())
        if (Lifetimes::mayEnd(name) && !owned_.count(name)) lifetimes_.doubt(name);
    beginExchanges();
}

// Others may have been without contact as long and doubt this process's own records: they are put anew. What
// peers in contact hold is confirmed by new exchanges.
void Gossip::contactRegained() {
    regainedAt_ = askedAgainAt_ = now_;
    renewOwned();
    beginExchanges();
}

void Gossip::renewOwned() {
    for (const auto& [name, body] : owned_) {
        const std::uint64_t major = board_.find(name)->version.major;
        put(name, {{major + 1, hashOfBody(body)}, body});
    }
}

std::vector<std::string> Gossip::overdue() const {
    std::vector<std::string> names = renewals_.overdue(now_);
    std::erase_if(names, [this](const std::string& name) { return owned_.count(name) || unconfirmed(name); });
    return names;
}

void Gossip::beginExchanges() {
    for (const auto& [number, link] : links_)
        if (link.side == Side::dialler) beginExchange(number);
}

// A peer may itself have been confirmed since the last exchange: it is asked again a few times, and once more
// after what was not confirmed is gone, so that nothing is missing that it holds.
void Gossip::settleUnconfirmed() {
    if (now_ - regainedAt_ >= confirmedWithin) {
        dropUnconfirmed();
        return beginExchanges();
    }
    if (now_ - askedAgainAt_ < confirmedWithin / 4) return;
    askedAgainAt_ = now_;
    beginExchanges();
}

void Gossip::dropUnconfirmed() {
    const std::set<std::string> dropped = lifetimes_.unconfirmed();
    for (const std::string& name : dropped) {
        lifetimes_.confirm(name);
        lifetimes_.unburied(name);
        renewals_.gone(name);
        const Record* record = board_.find(name);
        if (!record) continue;
        const Record gone{record->version, nullptr};
        board_.forget(name);
        history_.forget(name);
        onNews_(name, gone);
    }
}

std::int64_t Gossip::contactAge_ms() const {
    return lifetimes_.contactAge(now_) / nanosInMilli;
}

// ---- a new link -----------------------------------------------------------------------------------

void Gossip::join(int number, Side side, const std::string& peer) {
    Link& link = links_[number];
    link = {};
    link.side = side;
    link.peer = peer;
    link.answeredAt = link.aliveAt = now_;
    chooseCarriers();
    if (side == Side::dialler) beginExchange(number);
}

void Gossip::leave(int number) {
    links_.erase(number);
    chooseCarriers();
}

void Gossip::alive(int number) {
    const auto at = links_.find(number);
    if (at != links_.end()) at->second.aliveAt = now_;
}

bool Gossip::acceptedFrom(const std::string& peer) const {
    if (peer.empty()) return false;
    return std::any_of(links_.begin(), links_.end(), [&](const auto& each) {
        const Link& link = each.second;
        return link.side == Side::acceptor && link.peer == peer && now_ - link.aliveAt < silentAfter;
    });
}

// A dialled link that begins to carry changes may have missed some: its exchange is begun again.
void Gossip::chooseCarriers() {
    for (auto& [number, link] : links_) {
        if (link.side != Side::dialler) continue;
        const bool carried = std::exchange(link.carries, !acceptedFrom(link.peer));
        if (link.carries && !carried) beginExchange(number);
    }
}

void Gossip::beginExchange(int number) {
    Link& link = links_.at(number);
    link.awaiting = true;
    link.answeredAt = now_;
    link.exchange = ++lastExchange_;
    link.listed.clear();
    sendUnconfirmed(number);
    if (board_.all().size() <= smallBoard) return sendInventory(number, link.exchange, 1, {0});
    Digest digest;
    digest.exchange = link.exchange;
    digest.contactAge_ms = contactAge_ms();
    digest.hashes = bucketHashes(board_, bucketCountFor(board_.all().size()), lifetimes_.unconfirmed());
    send_(number, digest.toJson());
}

void Gossip::exchangeAnew(int number) {
    const auto at = links_.find(number);
    if (at != links_.end() && at->second.side == Side::dialler) beginExchange(number);
}

Nanos Gossip::unansweredFor(int number) const {
    const auto at = links_.find(number);
    return at == links_.end() || complete(number) ? 0 : now_ - at->second.answeredAt;
}

bool Gossip::complete(int number) const {
    const auto at = links_.find(number);
    return at != links_.end() && !at->second.awaiting && at->second.wants.empty();
}

void Gossip::sendInventory(int number, std::uint64_t exchange, std::uint64_t bucketCount,
                           const std::vector<std::uint64_t>& buckets) {
    const std::set<std::uint64_t> listed(buckets.begin(), buckets.end());
    Inventory piece;
    piece.exchange = exchange;
    piece.contactAge_ms = contactAge_ms();
    piece.bucketCount = bucketCount;
    piece.buckets = buckets;
    piece.last = false;
    for (const auto& [name, record] : board_.all()) {
        if (lifetimes_.unconfirmed().count(name) || !listed.count(bucketOf(name, bucketCount))) continue;
        piece.held.push_back({name, record.version});
        if (piece.held.size() < namesInPiece) continue;
        send_(number, piece.toJson());
        piece.held.clear();
    }
    piece.last = true;
    send_(number, piece.toJson());
}

void Gossip::take(int number, const Digest& digest) {
    Link& link = links_.at(number);
    lifetimes_.peerContact(now_, digest.contactAge_ms * nanosInMilli);
    const std::uint64_t count = digest.hashes.size();
    if (count == 0 || (count & (count - 1)) != 0) return;
    const auto mine = bucketHashes(board_, count, lifetimes_.unconfirmed());
    std::vector<std::uint64_t> differing;
    for (std::uint64_t bucket = 0; bucket < count; ++bucket)
        if (mine[bucket] != digest.hashes[bucket]) differing.push_back(bucket);
    link.awaiting = !differing.empty();
    sendUnconfirmed(number);
    sendInventory(number, digest.exchange, count, differing);
}

void Gossip::take(int number, const Inventory& piece) {
    Link& link = links_.at(number);
    // An answer to an exchange that was begun again since counts no more.
    if (link.side == Side::dialler && piece.exchange != link.exchange) return;
    if (link.side == Side::acceptor && piece.exchange != link.exchange) {
        link.exchange = piece.exchange;
        link.listed.clear();
    }
    lifetimes_.peerContact(now_, piece.contactAge_ms * nanosInMilli);
    for (const HeldVersion& each : piece.held) link.listed[each.name] = each.version;
    if (piece.last) answerInventory(number, piece);
}

// The whole of some buckets of the peer is known: it gets what it lacks there, and is asked for what it has.
void Gossip::answerInventory(int number, const Inventory& last) {
    Link& link = links_.at(number);
    const std::map<std::string, Version> listed = std::exchange(link.listed, {});
    const std::set<std::uint64_t> buckets(last.buckets.begin(), last.buckets.end());
    std::vector<HeldVersion> lacking, wanted;
    for (const auto& [name, record] : board_.all()) {
        if (!buckets.count(bucketOf(name, last.bucketCount))) continue;
        const auto at = listed.find(name);
        const Version held = at == listed.end() ? Version() : at->second;
        if (held == record.version) lifetimes_.confirm(name);
        if (held < record.version && !lifetimes_.unconfirmed().count(name)) lacking.push_back({name, held});
    }
    for (const auto& [name, version] : listed) {
        const Version mine = standing(name);
        if (mine < version) wanted.push_back({name, mine});
    }
    // A peer that asks over a link of its own gets there what it lacks.
    if (link.carries) sendRecords(number, lacking);
    link.awaiting = false;
    if (link.side == Side::dialler) {
        // Also where nothing is wanted: it tells the peer that what it lacked was sent.
        if (!last.buckets.empty()) want(number, std::move(wanted));
        return;
    }
    sendUnconfirmed(number);
    send_(number, Complete{last.exchange, contactAge_ms()}.toJson());
    if (!wanted.empty()) want(number, std::move(wanted));
}

void Gossip::want(int number, std::vector<HeldVersion> names) {
    Link& link = links_.at(number);
    if (link.wants.empty() && !link.awaiting) link.answeredAt = now_;
    Want message;
    for (std::size_t at = 0; at == 0 || at < names.size(); at += namesInPiece) {
        const auto first = names.begin() + static_cast<std::ptrdiff_t>(at);
        const auto end =
            names.begin() + static_cast<std::ptrdiff_t>(std::min(at + namesInPiece, names.size()));
        message.number = ++lastWant_;
        message.names.assign(first, end);
        if (!message.names.empty()) {
            std::set<std::string>& open = link.wants[message.number];
            for (const HeldVersion& each : message.names) open.insert(each.name);
        }
        send_(number, message.toJson());
    }
}

bool Gossip::wanted(const Link& link, const std::string& name) const {
    return std::any_of(link.wants.begin(), link.wants.end(),
                       [&](const auto& each) { return each.second.count(name) > 0; });
}

void Gossip::take(int number, const Want& want) {
    Link& link = links_.at(number);
    if (link.side == Side::acceptor) link.awaiting = false;
    if (want.names.empty()) return;
    sendRecords(number, want.names);
    send_(number, Sent{want.number}.toJson());
}

// ---- records --------------------------------------------------------------------------------------

// The version that counts against a peer's; none of what is unconfirmed.
Version Gossip::standing(const std::string& name) const {
    const Record* record = board_.find(name);
    return record && !lifetimes_.unconfirmed().count(name) ? record->version : Version();
}

RecordUpdate Gossip::whole(const std::string& name, const Record& record) const {
    RecordUpdate update;
    update.name = name;
    update.version = record.version;
    update.body = record.body;
    update.age_ms = record.body.is_null() ? lifetimes_.age(name, now_) / nanosInMilli : 0;
    update.unconfirmed = lifetimes_.unconfirmed().count(name) > 0;
    return update;
}

RecordUpdate Gossip::updateFrom(const std::string& name, const Record& record, const Version& held) const {
    RecordUpdate update = whole(name, record);
    const auto patch = history_.since(name, held);
    if (!patch || patch->dump().size() >= record.body.dump().size()) return update;
    update.from = held;
    update.body = *patch;
    return update;
}

void Gossip::sendRecords(int number, const std::vector<HeldVersion>& lacking) {
    News news;
    news.answer = true;
    std::size_t bytes = 0;
    auto flush = [&] {
        if (!news.records.empty()) send_(number, news.toJson());
        news.records.clear();
        bytes = 0;
    };
    for (const HeldVersion& each : lacking) {
        const Record* record = board_.find(each.name);
        if (!record || record->version <= each.version) continue;
        RecordUpdate update = updateFrom(each.name, *record, each.version);
        const std::size_t size = update.toJson().dump().size();
        if (bytes + size > pieceBytes) flush();
        bytes += size;
        news.records.push_back(std::move(update));
    }
    flush();
}

// A peer that has nothing better may serve from these until it is in contact.
void Gossip::sendUnconfirmed(int number) {
    std::vector<HeldVersion> names;
    for (const std::string& name : lifetimes_.unconfirmed()) names.push_back({name, {}});
    sendRecords(number, names);
}

bool Gossip::put(const std::string& name, Record record, int from) {
    return apply(name, std::move(record), nullptr, 0, from);
}

bool Gossip::apply(const std::string& name, Record record, const Json* patch, Nanos age, int from) {
    const Record* known = board_.find(name);
    const Record before = known ? *known : Record();
    if (known && record.version == known->version) lifetimes_.confirm(name);
    // One that is held and unconfirmed has no standing against one that a peer holds for certain.
    if (lifetimes_.unconfirmed().count(name)) board_.forget(name);
    if (!board_.put(name, std::move(record))) return false;
    lifetimes_.confirm(name);
    const Record& stands = *board_.find(name);
    if (stands.body.is_null()) {
        lifetimes_.buried(name, now_, age);
        renewals_.gone(name);
    } else {
        lifetimes_.unburied(name);
        renewals_.came(name, now_);
    }
    const Json change = patch ? *patch : links_.empty() ? Json() : shorter(before.body, stands.body);
    history_.changed(name, before.version, stands.version, change);
    onNews_(name, stands);
    RecordUpdate update = whole(name, stands);
    if (!change.is_null()) {
        update.from = before.version;
        update.body = change;
    }
    tell(update, from);
    const auto mine = owned_.find(name);
    if (from != 0 && mine != owned_.end() && mine->second != board_.find(name)->body) own(name, mine->second);
    return true;
}

void Gossip::tell(const RecordUpdate& update, int from) {
    News news;
    news.records.push_back(update);
    const Json message = news.toJson();
    const auto origin = links_.find(from);
    const std::string teller = origin == links_.end() ? std::string() : origin->second.peer;
    for (const auto& [number, link] : links_) {
        const bool back = number == from || (!teller.empty() && link.peer == teller);
        if (link.carries && !back) send_(number, message);
    }
}

void Gossip::own(const std::string& name, const Json& body) {
    owned_[name] = body;
    const Record* stands = board_.find(name);
    if (stands && stands->body == body) return;
    put(name, {{stands ? stands->version.major + 1 : 1, hashOfBody(body)}, body});
}

void Gossip::heard(int number, const Json& message) {
    const auto at = links_.find(number);
    const std::string kind = message.at("k");
    if (at != links_.end()) {
        at->second.aliveAt = now_;
        // Changes that go on coming are no answer to an exchange.
        if (kind != News::kind) at->second.answeredAt = now_;
    }
    if (kind == News::kind || kind == News::kindOfAnswer) return take(number, News::fromJson(message));
    if (at == links_.end()) return;
    if (kind == Digest::kind) return take(number, Digest::fromJson(message));
    if (kind == Inventory::kind) return take(number, Inventory::fromJson(message));
    if (kind == Want::kind) return take(number, Want::fromJson(message));
    if (kind == Sent::kind) {
        at->second.wants.erase(Sent::fromJson(message).number);
        return;
    }
    if (kind != Complete::kind) return;
    const Complete done = Complete::fromJson(message);
    lifetimes_.peerContact(now_, done.contactAge_ms * nanosInMilli);
    if (done.exchange == at->second.exchange) at->second.awaiting = false;
}

void Gossip::take(int number, const News& news) {
    for (const RecordUpdate& each : news.records) takeUpdate(number, each);
}

void Gossip::takeUpdate(int number, const RecordUpdate& update) {
    const Record* known = board_.find(update.name);
    const Nanos age = update.age_ms * nanosInMilli;
    if (update.unconfirmed) {
        if (inContact_ || known || owned_.count(update.name)) return;
        lifetimes_.doubt(update.name);
        board_.put(update.name, {update.version, update.body});
        onNews_(update.name, *board_.find(update.name));
        return;
    }
    if (!update.from) {
        if (update.body.is_null() && age >= tombstoneLife) return;
        apply(update.name, {update.version, update.body}, nullptr, age, number);
        return;
    }
    if (known && known->version == update.version) lifetimes_.confirm(update.name);
    const Version held = standing(update.name);
    if (held >= update.version) return;
    if (known && held == *update.from) {
        apply(update.name, {update.version, known->body.patch(update.body)}, &update.body, 0, number);
        return;
    }
    // What the exchange or an open question brings need not be asked for.
    const auto at = links_.find(number);
    if (at == links_.end() || at->second.awaiting || wanted(at->second, update.name)) return;
    want(number, {{update.name, held}});
}

}  // namespace granitereel::gossip
