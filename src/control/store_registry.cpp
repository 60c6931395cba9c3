#include "control/store_registry.hpp"

#include <algorithm>
#include <vector>

#include "gossip/messages.hpp"

namespace granitereel::control {

namespace {
constexpr const char* accepting = "accepting";
constexpr const char* windingDown = "winding_down";
// Raises a tombstone's version above any that another member may derive at the same time from a call of the
// store.
constexpr std::uint64_t tombstoneOffset = 1'000'000;

std::string recordName(const std::string& id) {
    return "store/" + id;
}

// `warmUpLeft_ms` is its value at the last change: it is the only field that differs between equal
// registrations of one incarnation.
Json recordBody(const StoreRegistration& registration, std::uint64_t startedAtVersion,
                std::int64_t warmUpLeft_ms) {
    return {{"cold_left_ms", warmUpLeft_ms},
            {"service", registration.service},
            {"address", registration.address},
            {"district", registration.district},
            {"edition", registration.softwareVersion},
            {"berths", registration.connectionSlots},
            {"standing", registration.status},
            {"role", registration.role},
            {"life", startedAtVersion}};
}

std::int64_t warmUpLeftOf(const gossip::Record& record) {
    return record.body.is_object() ? record.body.value("cold_left_ms", std::int64_t(0)) : 0;
}

std::uint64_t incarnationOf(const gossip::Record& record) {
    return record.body.is_object() ? record.body.value("life", std::uint64_t(0)) : 0;
}

bool isLeaving(const gossip::Record& record) {
    return record.body.is_null() || record.body.value("standing", "") == windingDown;
}
}  // namespace

StoreRegistration StoreRegistration::fromJson(const std::string& id, const std::string& body) {
    const Json fields = Json::parse(body);
    StoreRegistration registration;
    registration.id = id;
    fields.at("depot").get_to(registration.service);
    fields.at("address").get_to(registration.address);
    registration.district = fields.value("district", "");
    registration.softwareVersion = fields.value("edition", "");
    registration.status = fields.value("standing", accepting);
    registration.role = fields.value("db_role", "");
    registration.connectionSlots = fields.value("berths", std::int64_t(0));
    registration.warmUpLeft_ms = fields.value("cold_left_ms", std::int64_t(0));
    registration.number = fields.value("call_seq", std::uint64_t(0));
    return registration;
}

namespace {
Json recordToJson(const std::string& name, const gossip::Record& record) {
    return gossip::RecordUpdate{name, record.version, std::nullopt, record.body}.toJson();
}
}  // namespace

Json StoreReplicationRequest::toJson() const {
    return {{"k", kind},
            {"life", processIncarnation},
            {"number", number},
            {"record", recordToJson(name, record)}};
}

StoreReplicationRequest StoreReplicationRequest::fromJson(const Json& message) {
    gossip::RecordUpdate update = gossip::RecordUpdate::fromJson(message.at("record"));
    return {message.at("life"), message.at("number"), std::move(update.name),
            gossip::Record{update.version, std::move(update.body)}};
}

Json StoreReplicationReply::toJson() const {
    Json message{{"k", kind}, {"life", processIncarnation}, {"number", number}};
    if (other) message["other"] = recordToJson("", *other);
    return message;
}

StoreReplicationReply StoreReplicationReply::fromJson(const Json& message) {
    StoreReplicationReply answer{message.at("life"), message.at("number"), std::nullopt};
    if (message.contains("other")) {
        gossip::RecordUpdate update = gossip::RecordUpdate::fromJson(message.at("other"));
        answer.other = gossip::Record{update.version, std::move(update.body)};
    }
    return answer;
}

StoreRegistry::StoreRegistry(std::string self, std::string processIncarnation, std::int64_t beatInterval_ms,
                             Host& host, Nanoseconds now)
    : self_(std::move(self)),
      processIncarnation_(std::move(processIncarnation)),
      heartbeatTimeout_(maxMissedHeartbeats * milliseconds(beatInterval_ms)),
      host_(host),
      startedAt_(now),
      lastTickAt_(now),
      lastDropAt_(now) {}

void StoreRegistry::registerStore(std::uint64_t callId, const StoreRegistration& registration,
                                  Nanoseconds deadline, Nanoseconds now) {
    handleRegistration(callId, registration, deadline, now);
}

void StoreRegistry::deregisterStore(std::uint64_t callId, const std::string& id, Nanoseconds deadline,
                                    Nanoseconds now) {
    handleDeregistration(callId, recordName(id), deadline, now);
}

// Whether a call whose number is not above the known one, or that follows a tombstone, is from a new
// incarnation: either no call of the known incarnation can still be in flight, or the store's warm-up ends
// later than that incarnation's did.
bool StoreRegistry::isNewIncarnation(const StoreRegistration& registration, const Incarnation& incarnation,
                                     Nanoseconds now) const {
    if (now - incarnation.lastHeartbeatAt >= heartbeatTimeout_) return true;
    const Nanoseconds warmAt = now + milliseconds(registration.warmUpLeft_ms);
    return registration.warmUpLeft_ms > 0 && incarnation.warmAt &&
           warmAt > *incarnation.warmAt + heartbeatTimeout_;
}

StoreRegistry::Verdict StoreRegistry::classify(const StoreRegistration& registration,
                                               const gossip::Record* known, Nanoseconds now) const {
    const auto found = incarnations_.find(recordName(registration.id));
    if (!known || found == incarnations_.end()) return Verdict::newIncarnation;
    const Incarnation& incarnation = found->second;
    const bool sameProcess = registration.address == incarnation.address &&
                             registration.softwareVersion == incarnation.softwareVersion;
    if (!sameProcess && !incarnation.address.empty()) {
        const bool previous = registration.address == incarnation.previousAddress &&
                              registration.softwareVersion == incarnation.previousSoftwareVersion;
        return previous && now < incarnation.previousUntil ? Verdict::outdated : Verdict::newIncarnation;
    }
    const bool deregistered = known->body.is_null();
    // A record that others may have dropped is written again, with a version above the current one.
    const bool confirmed = !deregistered && !host_.unconfirmed(recordName(registration.id));
    const bool same =
        confirmed && known->body == recordBody(registration, incarnationOf(*known), warmUpLeftOf(*known));
    // Compares only the number: the same call may have been received before the record turned out to be
    // behind.
    if (deregistered || registration.number < incarnation.number ||
        registration.number <= known->version.minor) {
        if (isNewIncarnation(registration, incarnation, now)) return Verdict::newIncarnation;
        return same ? Verdict::unchanged : Verdict::outdated;
    }
    return same ? Verdict::unchanged : Verdict::changed;
}

void StoreRegistry::beginIncarnation(const StoreRegistration& registration, std::uint64_t startedAtVersion,
                                     Nanoseconds now) {
    Incarnation& incarnation = incarnations_[recordName(registration.id)];
    if (incarnation.address != registration.address ||
        incarnation.softwareVersion != registration.softwareVersion) {
        incarnation.previousAddress = std::exchange(incarnation.address, registration.address);
        incarnation.previousSoftwareVersion =
            std::exchange(incarnation.softwareVersion, registration.softwareVersion);
        incarnation.previousUntil = now + heartbeatTimeout_;
    }
    incarnation.startedAtVersion = startedAtVersion;
    incarnation.number = 0;
    incarnation.warmAt.reset();
}

void StoreRegistry::handleRegistration(std::uint64_t callId, const StoreRegistration& registration,
                                       Nanoseconds deadline, Nanoseconds now) {
    const std::string name = recordName(registration.id);
    const gossip::Record* known = host_.recordTable().find(name);
    const Verdict verdict = classify(registration, known, now);
    const std::uint64_t major = known ? known->version.major + 1 : 1;
    if (verdict == Verdict::newIncarnation) beginIncarnation(registration, major, now);
    if (verdict != Verdict::outdated) {
        Incarnation& incarnation = incarnations_[name];
        if (registration.number > incarnation.number || verdict == Verdict::newIncarnation) {
            incarnation.number = registration.number;
            incarnation.lastHeartbeatAt = now;
        }
        incarnation.setWarmAt(now + milliseconds(registration.warmUpLeft_ms));
    }
    if (verdict == Verdict::changed || verdict == Verdict::newIncarnation) {
        const Json body =
            recordBody(registration, incarnations_[name].startedAtVersion, registration.warmUpLeft_ms);
        host_.putRecord(name, {{major, registration.number}, body});
    } else if (registration.status != windingDown) {
        // Repeated or outdated: nothing depends on which voters hold it.
        return host_.answerStore(callId, CallOutcome::accepted);
    } else if (!isLeaving(*known)) {
        // Outdated, or from a new incarnation that can't be recognised yet: the store will repeat the call.
        return host_.answerStore(callId, CallOutcome::notReady);
    }
    replicateToMajority({callId, registration, name, *host_.recordTable().find(name), {}, deadline, now},
                        now);
}

void StoreRegistry::handleDeregistration(std::uint64_t callId, const std::string& name, Nanoseconds deadline,
                                         Nanoseconds now) {
    const gossip::Record* known = host_.recordTable().find(name);
    if (known && !known->body.is_null())
        host_.putRecord(name, {{known->version.major + 1, known->version.minor + tombstoneOffset}, nullptr});
    known = host_.recordTable().find(name);
    // For a store that is unknown here, the other voters are asked for its record.
    replicateToMajority({callId, std::nullopt, name, known ? *known : gossip::Record(), {}, deadline, now},
                        now);
}

void StoreRegistry::replicateToMajority(Pending pending, Nanoseconds now) {
    const auto seen = majorityHolds_.find(pending.name);
    if (seen != majorityHolds_.end() && seen->second == pending.record.version)
        return host_.answerStore(pending.callId, CallOutcome::accepted);
    if (recordsComplete(now)) pending.holders.insert(self_);
    const std::uint64_t number = nextNumber_++;
    Pending& added = pending_[number] = std::move(pending);
    sendToVoters(number, added, now);
    completeIfHeldByMajority(number);
}

void StoreRegistry::sendToVoters(std::uint64_t number, Pending& pending, Nanoseconds now) {
    pending.sentAt = now;
    const Json message =
        StoreReplicationRequest{processIncarnation_, number, pending.name, pending.record}.toJson();
    for (const std::string& voter : host_.voterSet().voters)
        if (voter != self_ && !pending.holders.count(voter)) host_.sendTo(voter, message);
}

// Answers the store if a majority of the current voters holds its record.
bool StoreRegistry::completeIfHeldByMajority(std::uint64_t number) {
    const Pending& pending = pending_.at(number);
    const VoterSet& voterSet = host_.voterSet();
    const auto count =
        std::count_if(pending.holders.begin(), pending.holders.end(),
                      [&](const std::string& holder) { return voterSet.voters.count(holder) > 0; });
    if (!voterSet.epoch || static_cast<std::size_t>(count) < voterSet.majority()) return false;
    // That the store is unknown holds only for the moment of the request, so it is not remembered.
    if (pending.record.version != gossip::Version()) majorityHolds_[pending.name] = pending.record.version;
    host_.answerStore(pending.callId, CallOutcome::accepted);
    pending_.erase(number);
    return true;
}

// Whether this member counts as a holder. After a start it has lost the records that it held before, so it
// counts only once it has received the records of enough other voters; counting it sooner could acknowledge a
// change on top of an acknowledged one that was lost.
bool StoreRegistry::recordsComplete(Nanoseconds now) const {
    const VoterSet& voterSet = host_.voterSet();
    if (!voterSet.epoch) return false;
    std::size_t received = 0;
    for (const std::string& voter : recordsReceived_)
        received += voter != self_ && voterSet.voters.count(voter);
    const std::size_t otherVoters = voterSet.voters.size() - voterSet.voters.count(self_);
    if (received >= std::min(voterSet.majority(), otherVoters)) return true;
    return received + 1 >= voterSet.majority() && now - startedAt_ >= recordsTimeout;
}

std::optional<StoreReplicationReply> StoreRegistry::replicate(const StoreReplicationRequest& request,
                                                              Nanoseconds now) {
    if (request.record.version != gossip::Version()) host_.putRecord(request.name, request.record);
    if (!recordsComplete(now)) return std::nullopt;
    const gossip::Record* current = host_.recordTable().find(request.name);
    const gossip::Record present = current ? *current : gossip::Record();
    if (present.version == request.record.version && present.body == request.record.body)
        return StoreReplicationReply{request.processIncarnation, request.number, std::nullopt};
    return StoreReplicationReply{request.processIncarnation, request.number, present};
}

void StoreRegistry::replicationAnswered(const std::string& voter, const StoreReplicationReply& answer,
                                        Nanoseconds now) {
    const auto found = pending_.find(answer.number);
    if (answer.processIncarnation != processIncarnation_ || found == pending_.end()) return;
    if (!answer.other) {
        found->second.holders.insert(voter);
        completeIfHeldByMajority(answer.number);
        return;
    }
    // The voter holds another record: the call is classified again with that record.
    const Pending retried = std::move(found->second);
    pending_.erase(found);
    if (answer.other->version == retried.record.version) {
        // Two bodies with the same version: this request's body gets a version above both.
        const gossip::Version above{retried.record.version.major + 1, retried.record.version.minor};
        host_.putRecord(retried.name, {above, retried.record.body});
    } else {
        host_.putRecord(retried.name, *answer.other);
    }
    if (retried.registration)
        handleRegistration(retried.callId, *retried.registration, retried.deadline, now);
    else
        handleDeregistration(retried.callId, retried.name, retried.deadline, now);
}

void StoreRegistry::recordChanged(const std::string& name, const gossip::Record& record, Nanoseconds now) {
    if (!name.starts_with("store/")) return;
    Incarnation& incarnation = incarnations_[name];
    incarnation.lastHeartbeatAt = now;
    if (!record.body.is_object()) return;
    const std::string address = record.body.value("address", ""),
                      softwareVersion = record.body.value("edition", "");
    const std::uint64_t startedAtVersion = incarnationOf(record);
    if (incarnation.startedAtVersion != startedAtVersion) {
        StoreRegistration registration;
        registration.id = name.substr(std::string("store/").size());
        registration.address = address;
        registration.softwareVersion = softwareVersion;
        beginIncarnation(registration, startedAtVersion, now);
    }
    incarnation.number = std::max(incarnation.number, record.version.minor);
    incarnation.setWarmAt(now + milliseconds(warmUpLeftOf(record)));
}

// Forgets stores whose records no longer exist.
void StoreRegistry::dropUnknownStores(Nanoseconds now) {
    if (now - lastDropAt_ < heartbeatTimeout_) return;
    lastDropAt_ = now;
    const auto unknown = [this](const auto& each) { return !host_.recordTable().find(each.first); };
    std::erase_if(incarnations_, unknown);
    std::erase_if(majorityHolds_, unknown);
}

void StoreRegistry::tick(Nanoseconds now) {
    // Heartbeats that arrived while this process was stalled are newer than they seem.
    if (now - lastTickAt_ > stallThreshold)
        for (auto& [name, incarnation] : incarnations_) incarnation.lastHeartbeatAt = now;
    lastTickAt_ = now;
    dropUnknownStores(now);
    std::vector<std::uint64_t> expired;
    for (auto& [number, pending] : pending_) {
        if (now >= pending.deadline)
            expired.push_back(number);
        else if (now - pending.sentAt >= retryInterval)
            sendToVoters(number, pending, now);
    }
    for (const std::uint64_t number : expired) {
        const std::uint64_t callId = pending_.at(number).callId;
        pending_.erase(number);
        host_.answerStore(callId, CallOutcome::noMajority);
    }
}

}  // namespace granitereel::control
