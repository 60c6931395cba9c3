#include "control/store_registry.hpp"

#include <algorithm>
#include <vector>

#include "gossip/messages.hpp"

namespace granitereel::control {

namespace {
constexpr const char* accepting = "accepting";
constexpr const char* windingDown = "winding_down";
// Puts a tombstone above what others may at the same time make of a call of the store.
constexpr std::uint64_t aboveCalls = 1'000'000;

std::string recordName(const std::string& id) {
    return "store/" + id;
}

// `coldLeft_ms` as it was at the change: it alone differs between the calls of a life that say the same.
Json recordBody(const StoreCall& said, std::uint64_t since, std::int64_t coldLeft_ms) {
    return {{"cold_left_ms", coldLeft_ms}, {"service", said.service}, {"address", said.address},
            {"district", said.district},   {"edition", said.edition}, {"berths", said.berths},
            {"standing", said.standing},   {"role", said.role},       {"life", since}};
}

std::int64_t coldLeftOf(const gossip::Record& record) {
    return record.body.is_object() ? record.body.value("cold_left_ms", std::int64_t(0)) : 0;
}

std::uint64_t lifeOf(const gossip::Record& record) {
    return record.body.is_object() ? record.body.value("life", std::uint64_t(0)) : 0;
}

bool leaving(const gossip::Record& record) {
    return record.body.is_null() || record.body.value("standing", "") == windingDown;
}
}  // namespace

StoreCall StoreCall::fromJson(const std::string& id, const std::string& body) {
    const Json told = Json::parse(body);
    StoreCall said;
    said.id = id;
    told.at("depot").get_to(said.service);
    told.at("address").get_to(said.address);
    said.district = told.value("district", "");
    said.edition = told.value("edition", "");
    said.standing = told.value("standing", accepting);
    said.role = told.value("db_role", "");
    said.berths = told.value("berths", std::int64_t(0));
    said.coldLeft_ms = told.value("cold_left_ms", std::int64_t(0));
    said.number = told.value("call_seq", std::uint64_t(0));
    return said;
}

namespace {
Json recordToJson(const std::string& name, const gossip::Record& record) {
    return gossip::RecordUpdate{name, record.version, std::nullopt, record.body}.toJson();
}
}  // namespace

Json StoreRecordReplicate::toJson() const {
    return {{"k", kind}, {"life", life}, {"number", number}, {"record", recordToJson(name, record)}};
}

StoreRecordReplicate StoreRecordReplicate::fromJson(const Json& message) {
    gossip::RecordUpdate told = gossip::RecordUpdate::fromJson(message.at("record"));
    return {message.at("life"), message.at("number"), std::move(told.name),
            gossip::Record{told.version, std::move(told.body)}};
}

Json StoreRecordHeld::toJson() const {
    Json message{{"k", kind}, {"life", life}, {"number", number}};
    if (other) message["other"] = recordToJson("", *other);
    return message;
}

StoreRecordHeld StoreRecordHeld::fromJson(const Json& message) {
    StoreRecordHeld answer{message.at("life"), message.at("number"), std::nullopt};
    if (message.contains("other")) {
        gossip::RecordUpdate told = gossip::RecordUpdate::fromJson(message.at("other"));
        answer.other = gossip::Record{told.version, std::move(told.body)};
    }
    return answer;
}

StoreRegistry::StoreRegistry(std::string self, std::string life, std::int64_t beatInterval_ms, Means& means,
                             Nanoseconds now)
    : self_(std::move(self)),
      life_(std::move(life)),
      lateAfter_(lateBeats * milliseconds(beatInterval_ms)),
      means_(means),
      startedAt_(now),
      tickedAt_(now),
      forgotAt_(now) {}

void StoreRegistry::called(std::uint64_t call, const StoreCall& said, Nanoseconds until, Nanoseconds now) {
    take(call, said, until, now);
}

void StoreRegistry::left(std::uint64_t call, const std::string& id, Nanoseconds until, Nanoseconds now) {
    takeLeft(call, recordName(id), until, now);
}

// Whether a call whose number is not above the known one, or that follows a tombstone, is of a later life: no
// call of the known life can still be under way, or the store's slow start ends later than that life's did.
bool StoreRegistry::startedAnew(const StoreCall& said, const Life& life, Nanoseconds now) const {
    if (now - life.heardAt >= lateAfter_) return true;
    const Nanoseconds warmAt = now + milliseconds(said.coldLeft_ms);
    return said.coldLeft_ms > 0 && life.warmAt && warmAt > *life.warmAt + lateAfter_;
}

StoreRegistry::Verdict StoreRegistry::judge(const StoreCall& said, const gossip::Record* known,
                                            Nanoseconds now) const {
    const auto found = lives_.find(recordName(said.id));
    if (!known || found == lives_.end()) return Verdict::newLife;
    const Life& life = found->second;
    const bool sameProcess = said.address == life.address && said.edition == life.edition;
    if (!sameProcess && !life.address.empty()) {
        const bool former = said.address == life.formerAddress && said.edition == life.formerEdition;
        return former && now < life.formerUntil ? Verdict::overtaken : Verdict::newLife;
    }
    const bool gone = known->body.is_null();
    // What may be gone elsewhere is put anew, above what stands.
    const bool certain = !gone && !means_.unconfirmed(recordName(said.id));
    const bool same = certain && known->body == recordBody(said, lifeOf(*known), coldLeftOf(*known));
    // The number alone: this very call may have been heard before it was found that the record was behind.
    if (gone || said.number < life.number || said.number <= known->version.minor) {
        if (startedAnew(said, life, now)) return Verdict::newLife;
        return same ? Verdict::unchanged : Verdict::overtaken;
    }
    return same ? Verdict::unchanged : Verdict::changed;
}

void StoreRegistry::begin(const StoreCall& said, std::uint64_t since, Nanoseconds now) {
    Life& life = lives_[recordName(said.id)];
    if (life.address != said.address || life.edition != said.edition) {
        life.formerAddress = std::exchange(life.address, said.address);
        life.formerEdition = std::exchange(life.edition, said.edition);
        life.formerUntil = now + lateAfter_;
    }
    life.since = since;
    life.number = 0;
    life.warmAt.reset();
}

void StoreRegistry::take(std::uint64_t call, const StoreCall& said, Nanoseconds until, Nanoseconds now) {
    const std::string name = recordName(said.id);
    const gossip::Record* known = means_.recordTable().find(name);
    const Verdict verdict = judge(said, known, now);
    const std::uint64_t major = known ? known->version.major + 1 : 1;
    if (verdict == Verdict::newLife) begin(said, major, now);
    if (verdict != Verdict::overtaken) {
        Life& life = lives_[name];
        if (said.number > life.number || verdict == Verdict::newLife) {
            life.number = said.number;
            life.heardAt = now;
        }
        life.slowUntil(now + milliseconds(said.coldLeft_ms));
    }
    if (verdict == Verdict::changed || verdict == Verdict::newLife) {
        const Json body = recordBody(said, lives_[name].since, said.coldLeft_ms);
        means_.putRecord(name, {{major, said.number}, body});
    } else if (said.standing != windingDown) {
        // Said again, or overtaken: nothing hangs on who holds it.
        return means_.answerStore(call, CallOutcome::accepted);
    } else if (!leaving(*known)) {
        // Overtaken, or of a new life that can't be told yet: it says again that it leaves.
        return means_.answerStore(call, CallOutcome::notReady);
    }
    confirm({call, said, name, *means_.recordTable().find(name), {}, until, now}, now);
}

void StoreRegistry::takeLeft(std::uint64_t call, const std::string& name, Nanoseconds until,
                             Nanoseconds now) {
    const gossip::Record* known = means_.recordTable().find(name);
    if (known && !known->body.is_null())
        means_.putRecord(name, {{known->version.major + 1, known->version.minor + aboveCalls}, nullptr});
    known = means_.recordTable().find(name);
    // Of a store that is not known here the others are asked.
    confirm({call, std::nullopt, name, known ? *known : gossip::Record(), {}, until, now}, now);
}

void StoreRegistry::confirm(Pending pending, Nanoseconds now) {
    const auto seen = confirmed_.find(pending.name);
    if (seen != confirmed_.end() && seen->second == pending.record.version)
        return means_.answerStore(pending.call, CallOutcome::accepted);
    if (remembers(now)) pending.holders.insert(self_);
    const std::uint64_t number = nextNumber_++;
    Pending& stands = pending_[number] = std::move(pending);
    ask(number, stands, now);
    settle(number);
}

void StoreRegistry::ask(std::uint64_t number, Pending& pending, Nanoseconds now) {
    pending.askedAt = now;
    const Json message = StoreRecordReplicate{life_, number, pending.name, pending.record}.toJson();
    for (const std::string& voter : means_.voterSet().voters)
        if (voter != self_ && !pending.holders.count(voter)) means_.sendTo(voter, message);
}

// Answers the store where a majority of the present voters holds its record.
bool StoreRegistry::settle(std::uint64_t number) {
    const Pending& pending = pending_.at(number);
    const VoterSet& voterSet = means_.voterSet();
    const auto count =
        std::count_if(pending.holders.begin(), pending.holders.end(),
                      [&](const std::string& holder) { return voterSet.voters.count(holder) > 0; });
    if (!voterSet.epoch || static_cast<std::size_t>(count) < voterSet.majority()) return false;
    // That no store is known is true for the moment of asking only.
    if (pending.record.version != gossip::Version()) confirmed_[pending.name] = pending.record.version;
    means_.answerStore(pending.call, CallOutcome::accepted);
    pending_.erase(number);
    return true;
}

// A member that started has forgotten what it held: it counts as a holder only once it has the boards of
// those that may hold it.
bool StoreRegistry::remembers(Nanoseconds now) const {
    const VoterSet& voterSet = means_.voterSet();
    if (!voterSet.epoch) return false;
    std::size_t heard = 0;
    for (const std::string& voter : boardsHeard_) heard += voter != self_ && voterSet.voters.count(voter);
    const std::size_t others = voterSet.voters.size() - voterSet.voters.count(self_);
    if (heard >= std::min(voterSet.majority(), others)) return true;
    return heard + 1 >= voterSet.majority() && now - startedAt_ >= boardsWithin;
}

std::optional<StoreRecordHeld> StoreRegistry::hold(const StoreRecordReplicate& asked, Nanoseconds now) {
    if (asked.record.version != gossip::Version()) means_.putRecord(asked.name, asked.record);
    if (!remembers(now)) return std::nullopt;
    const gossip::Record* stands = means_.recordTable().find(asked.name);
    const gossip::Record holds = stands ? *stands : gossip::Record();
    if (holds.version == asked.record.version && holds.body == asked.record.body)
        return StoreRecordHeld{asked.life, asked.number, std::nullopt};
    return StoreRecordHeld{asked.life, asked.number, holds};
}

void StoreRegistry::held(const std::string& voter, const StoreRecordHeld& answer, Nanoseconds now) {
    const auto found = pending_.find(answer.number);
    if (answer.life != life_ || found == pending_.end()) return;
    if (!answer.other) {
        found->second.holders.insert(voter);
        settle(answer.number);
        return;
    }
    // Another record stands there: the call is judged again by it.
    const Pending again = std::move(found->second);
    pending_.erase(found);
    if (answer.other->version == again.record.version) {
        // Two bodies under one version: the one that is asked for here goes above both.
        const gossip::Version above{again.record.version.major + 1, again.record.version.minor};
        means_.putRecord(again.name, {above, again.record.body});
    } else {
        means_.putRecord(again.name, *answer.other);
    }
    if (again.said)
        take(again.call, *again.said, again.until, now);
    else
        takeLeft(again.call, again.name, again.until, now);
}

void StoreRegistry::news(const std::string& name, const gossip::Record& record, Nanoseconds now) {
    if (!name.starts_with("store/")) return;
    Life& life = lives_[name];
    life.heardAt = now;
    if (!record.body.is_object()) return;
    const std::string address = record.body.value("address", ""), edition = record.body.value("edition", "");
    const std::uint64_t since = lifeOf(record);
    if (life.since != since) {
        StoreCall said;
        said.id = name.substr(std::string("store/").size());
        said.address = address;
        said.edition = edition;
        begin(said, since, now);
    }
    life.number = std::max(life.number, record.version.minor);
    life.slowUntil(now + milliseconds(coldLeftOf(record)));
}

// What the board has dropped altogether is dropped here too.
void StoreRegistry::forgetUnknown(Nanoseconds now) {
    if (now - forgotAt_ < lateAfter_) return;
    forgotAt_ = now;
    const auto unknown = [this](const auto& each) { return !means_.recordTable().find(each.first); };
    std::erase_if(lives_, unknown);
    std::erase_if(confirmed_, unknown);
}

void StoreRegistry::tick(Nanoseconds now) {
    // What came in while this process stood still is younger than it seems.
    if (now - tickedAt_ > stalled)
        for (auto& [name, life] : lives_) life.heardAt = now;
    tickedAt_ = now;
    forgetUnknown(now);
    std::vector<std::uint64_t> over;
    for (auto& [number, pending] : pending_) {
        if (now >= pending.until)
            over.push_back(number);
        else if (now - pending.askedAt >= askAgain)
            ask(number, pending, now);
    }
    for (const std::uint64_t number : over) {
        const std::uint64_t call = pending_.at(number).call;
        pending_.erase(number);
        means_.answerStore(call, CallOutcome::noMajority);
    }
}

}  // namespace granitereel::control
