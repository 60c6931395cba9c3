#include "control/member.hpp"

#include <algorithm>

#include "control/disk_records.hpp"
#include "control/messages.hpp"

namespace granitereel::control {

namespace {
// Interval of lease rounds: three fit into one lease, so that a single lost message does not end it.
constexpr Nanoseconds leaseRoundInterval = milliseconds(200);
// An accepted value that nobody has published is resolved after this time.
constexpr Nanoseconds unpublishedTimeout = milliseconds(250);
// Nothing is published yet after a start, and all members wait for it.
constexpr Nanoseconds unpublishedTimeoutAtStart = milliseconds(50);
// A shutdown takes at most this fraction of guarantees.grace_s, whatever is left to hand over.
constexpr int shutdownGraceDivisor = 3;

ProposerId proposerOf(const settings::Settings& settings, const std::string& incarnation,
                      const std::map<std::string, Json>& disk) {
    const auto found = disk.find(processIncarnationKey);
    return {settings.controlListenAddress, incarnation,
            found == disk.end() ? 0 : found->second.get<std::uint64_t>()};
}

// A duration given in microseconds; 0 if the field is missing.
Nanoseconds durationField(const Json& message, const char* field) {
    return message.value(field, Nanoseconds(0)) * 1000;
}
}  // namespace

ControlMember::ControlMember(const settings::Settings& settings, std::string incarnation,
                             const std::map<std::string, Json>& disk, Nanoseconds now)
    : settings_(settings),
      self_(settings.controlListenAddress),
      incarnation_(std::move(incarnation)),
      gossip_([this](int link, Json message) { send(link, std::move(message)); },
              [this](const std::string& name, const gossip::Record& record) { handleRecord(name, record); }),
      proposer_(proposerOf(settings, incarnation_, disk),
                [this](const std::string& name) -> const Slot& { return acceptor_.slot(name); }),
      now_(now),
      membership_(self_, settings_, *this, now),
      recovery_(now + earlierRequestLifetime),
      startedAt_(now),
      // The start time on the steady clock identifies this process. No link outlives the process, so it
      // must only be unique while one is open.
      stores_(self_, self_ + "/" + std::to_string(now), settings.heartbeatInterval_ms, *this, now),
      operatorCalls_(*this),
      calls_(*this, stores_, operatorCalls_) {
    for (const auto& [name, body] : disk) {
        if (name == "core") {
            voterSet_ = {body.at("epoch").get<std::uint64_t>(),
                         body.at("voters").get<std::set<std::string>>()};
            recovering_ = body.value("recovering", false);
        }
        if (name.starts_with("slot/")) {
            acceptor_.load(name.substr(5), slotFromJson(body));
            unsettledPrimaries_.accepted(name.substr(5), acceptor_.slot(name.substr(5)).value);
        }
    }
    if (voterSet_.epoch) {
        proposer_.setVoters(voterSet_, now);
        membership_.adopt(voterSet_, now);
    } else if (settings_.firstBoot && !disk.count(std::string(afterLossRecord))) {
        // All processes get the same seeds at the first start, so each founds an identical voter set by
        // itself.
        outputs_.push_back(
            ToLog{"founding the core with " + std::to_string(settings_.seeds.size()) + " voters"});
        adoptVoterSet({1, {settings_.seeds.begin(), settings_.seeds.end()}});
    } else {
        recovering_ = true;
        outputs_.push_back(ToLog{"no state on disk: reading it from the voters"});
    }
}

// The voter set of the later epoch wins. Replies given under it leave only after it is synced.
void ControlMember::adoptVoterSet(VoterSet voterSet) {
    if (voterSet.epoch <= voterSet_.epoch) return;
    voterSet_ = std::move(voterSet);
    membership_.adopt(voterSet_, now_);
    recovery_.epochChanged();
    outputs_.push_back(ToDisk{
        "core", {{"epoch", voterSet_.epoch}, {"voters", voterSet_.voters}, {"recovering", recovering_}}});
    proposer_.setVoters(voterSet_, now_);
}

std::set<std::string> ControlMember::membersToDial() const {
    std::set<std::string> members = voterSet_.voters;
    // A member without a vote may not know the current voters; the seeds do.
    if (!voterSet_.voters.count(self_)) members.insert(settings_.seeds.begin(), settings_.seeds.end());
    members.erase(self_);
    return members;
}

int ControlMember::linkTo(const std::string& member) const {
    for (const auto& [link, peer] : peers_)
        if (peer.dialled == member) return link;
    return 0;
}

void ControlMember::linkUp(int link, const std::string& dialled, Nanoseconds) {
    peers_[link].dialled = dialled;
    if (dialled.empty()) return;  // the connecting side sends the first hello
    send(link, Hello{Hello::memberSender, self_, settings_.station, "", incarnation_, {}}.toJson());
    gossip_.addLink(link, gossip::Side::dialler, dialled);
    proposer_.linkUp(dialled);
    sendProposerRequests(now_);
}

void ControlMember::linkDown(int link, Nanoseconds now) {
    const auto found = peers_.find(link);
    if (found == peers_.end()) return;
    const std::string dialled = found->second.dialled;
    if (linkTo(dialled) == link) calls_.contacts().remove(dialled);
    peers_.erase(found);
    gossip_.removeLink(link);
    if (dialled.empty()) return;
    lastContact_[dialled] = now;
    if (!linkTo(dialled)) proposer_.linkDown(dialled);
}

void ControlMember::handleRecord(const std::string& name, const gossip::Record& record) {
    if (name == "config") configuration_ = configuration::parse(record.body);
    if (name == "core")
        adoptVoterSet({record.body.at("epoch").get<std::uint64_t>(),
                       record.body.at("voters").get<std::set<std::string>>()});
    if (name.starts_with("member/"))
        membership_.updateStatus(name.substr(7), MemberStatus::fromJson(record.body));
    clearIfPublished(name);
    stores_.recordChanged(name, record, now_);
}

namespace {
// Version of the record that publishes a value of the register.
gossip::Version versionOf(const std::string& name, const Json& value) {
    const char* const field = name == "config" ? "edition" : name == "core" ? "epoch" : "seq";
    return {value.at(field).get<std::uint64_t>(), 0};
}
}  // namespace

bool ControlMember::isPublished(const std::string& name, const Json& value) const {
    const gossip::Record* record = recordTable().find(name);
    return record && record->version >= versionOf(name, value);
}

// An accepted value counts as published once a record has its version or a later one; a record of an
// earlier version proves nothing about it.
void ControlMember::clearIfPublished(const std::string& name) {
    const auto found = unpublished_.find(name);
    if (found == unpublished_.end()) return;
    const Json& value = acceptor_.slot(name).value;
    if (value.is_null() || isPublished(name, value)) unpublished_.erase(found);
}

// Publishes a chosen value of a register as a record for all.
void ControlMember::publishChosen(const std::string& name, const Json& value) {
    if (value.is_null()) return;
    const Json body = name == "config" ? ConfigurationRevisions::fromJson(value).configuration() : value;
    gossip_.put(name, {versionOf(name, value), body});
}

// Number of reachable voters that act before this one: each voter acts only if those before it have not.
std::size_t ControlMember::turnOrder() const {
    std::size_t before = 0;
    for (const std::string& voter : voterSet_.voters) {
        if (voter == self_) break;
        before += membership_.isReachable(voter, now_);
    }
    return before;
}

void ControlMember::handleMessage(int link, const Json& message, Nanoseconds now) {
    now_ = now;
    gossip_.advance(now, leased(now));
    gossip_.noteActivity(link);
    dispatch(link, message, now);
    if (membership_.changeInProgress(now)) membership_.tick(hasVote(), now);
    calls_.runWaitingCalls(now);
    sendProposerRequests(now);
    continueShutdown(now);
}

void ControlMember::dispatch(int link, const Json& message, Nanoseconds now) {
    const auto found = peers_.find(link);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    const std::string kind = message.at("k");
    if (!peer.dialled.empty()) lastContact_[peer.dialled] = now;
    if (const std::string& member = peer.dialled.empty() ? peer.member : peer.dialled; !member.empty())
        membership_.recordContact(member, now);
    if (kind == Hello::kind) {
        handleHello(link, peer, Hello::fromJson(message), now);
    } else if (gossip::isGossipMessage(kind)) {
        gossip_.receive(link, message);
        if (!peer.dialled.empty() && gossip_.isComplete(link)) stores_.recordsReceivedFrom(peer.dialled);
    } else if (kind == StoreReplicationRequest::kind) {
        if (const auto reply = stores_.replicate(StoreReplicationRequest::fromJson(message), now))
            send(link, reply->toJson());
    } else if (kind == StoreReplicationReply::kind) {
        stores_.replicationAnswered(peer.dialled, StoreReplicationReply::fromJson(message), now);
    } else if (isVoteRequest(kind)) {
        handleVoteRequest(link, message);
    } else if (isVoteReply(kind)) {
        proposer_.handleReply(peer.dialled, message, now);
    } else if (kind == CurrentVoterSet::kind) {
        adoptVoterSet(CurrentVoterSet::fromJson(message).voterSet);
    } else if (kind == LeaseRoundRequest::kind) {
        handleLeaseRequest(link, peer, message, now);
    } else if (kind == LeaseRoundReply::kind) {
        handleLeaseReply(link, peer, message, now);
    } else if (kind == gossip::LeaseRequest::kind) {
        const std::uint64_t number = gossip::LeaseRequest::fromJson(message).number;
        const Nanoseconds left = std::max<Nanoseconds>(0, lease_.expiresAt() - now);
        send(link, gossip::LeaseReply{number, left, unsettledPrimaries_.all(recordTable(), now),
                                      gossip::configurationVersion(recordTable())}
                       .toJson());
    } else if (kind == "suspect") {
        handleSuspicion(message, now);
    } else if (kind == StateRequest::kind) {
        handleStateRequest(link, StateRequest::fromJson(message));
    } else if (kind == StateReply::kind) {
        handleStateReply(peer.dialled, StateReply::fromJson(message));
    } else if (kind == "census?") {
        const SurveyRequest request = SurveyRequest::fromJson(message);
        adoptVoterSet({request.epoch, request.voters});
        if (hasVote()) send(link, membership_.answer(request, now).toJson());
    } else if (kind == "census") {
        if (hasVote()) membership_.handleReply(peer.dialled, SurveyReply::fromJson(message), now);
    } else if (kind == "flush?") {
        send(link, FlushReply{FlushRequest::fromJson(message).number}.toJson());
    } else if (kind == "flushed") {
        shutdown_.handleReply(peer.dialled, FlushReply::fromJson(message));
    }
}

// Handles the hello of the other side, and replies with one if the other side dialled.
void ControlMember::handleHello(int link, Peer& peer, const Hello& hello, Nanoseconds now) {
    peer.kind = hello.sender;
    peer.station = hello.station;
    peer.member = hello.member;
    if (hello.sender == Hello::memberSender) {
        std::string& known = incarnations_[hello.member];
        if (!known.empty() && known != hello.incarnation) proposer_.handleDiskLoss(hello.member, now);
        known = hello.incarnation;
        membership_.recordContact(hello.member, now);
    }
    if (!peer.dialled.empty()) {
        if (hello.voterSet) adoptVoterSet(*hello.voterSet);
        return;
    }
    const std::string& district = settings_.district;
    send(link,
         Hello{Hello::memberSender, self_, settings_.station, district, incarnation_, voterSet_}.toJson());
    gossip_.addLink(link, gossip::Side::acceptor, peer.member);
}

// Another member asks for its lease.
void ControlMember::handleLeaseRequest(int link, const Peer& peer, const Json& message, Nanoseconds now) {
    const LeaseRoundRequest question = LeaseRoundRequest::fromJson(message);
    if (!peer.member.empty())
        calls_.contacts().update(peer.member, durationField(message, "lease_left_us"), now);
    if (hasVote() && question.epoch == voterSet_.epoch) {
        const LeaseRoundReply answer{question.round, question.epoch,
                                     unsettledPrimaries_.acceptedLocally(recordTable()),
                                     gossip::configurationVersion(recordTable())};
        send(link, withLeaseLeft(answer.toJson()));
    }
    // A member that was cut off during a change of voters learns the current voter set.
    if (question.epoch < voterSet_.epoch) send(link, CurrentVoterSet{voterSet_}.toJson());
}

void ControlMember::handleLeaseReply(int link, const Peer& peer, const Json& message, Nanoseconds now) {
    calls_.contacts().update(peer.dialled, durationField(message, "lease_left_us"), now);
    const LeaseRoundReply answer = LeaseRoundReply::fromJson(message);
    unsettledPrimaries_.reported(answer.unsettled, now);
    // Until the record exchange on this link is complete, the voter may know of a change that this member
    // does not. Counting its reply could start a lease on outdated records.
    if (!gossip_.isComplete(link)) return;
    if (const std::uint64_t held = gossip::configurationVersion(recordTable());
        held < answer.configurationRevision) {
        reportViolation(newsBeforeLease_, "configuration " + std::to_string(held) + ", and " + peer.dialled +
                                              " holds " + std::to_string(answer.configurationRevision));
        return gossip_.restartExchange(link);
    }
    lease_.answered(peer.dialled, answer, voterSet_);
}

void ControlMember::reportViolation(gossip::Invariant& invariant, const std::string& detail) {
    if (auto line = invariant.check(false, detail)) outputs_.push_back(ToLog{std::move(*line)});
}

// Another member reads the slots on this disk: before a change of voters, or after the loss of its own
// disk.
void ControlMember::handleStateRequest(int link, const StateRequest& request) {
    adoptVoterSet(request.voterSet);
    if (request.voterSet.epoch < voterSet_.epoch) return send(link, CurrentVoterSet{voterSet_}.toJson());
    if (!hasVote()) return;
    StateReply reply{voterSet_.epoch, {}};
    for (const auto& [name, slot] : acceptor_.slots())
        if (request.onlyRegister.empty() || name == request.onlyRegister) reply.slots[name] = slot;
    send(link, reply.toJson());
}

void ControlMember::handleStateReply(const std::string& voter, const StateReply& reply) {
    if (!recovering_ || !recovery_.recordReply(voterSet_, voter, reply.epoch)) return;
    for (const auto& [name, slot] : reply.slots) {
        if (!acceptor_.mergeRecovered(name, slot)) continue;
        outputs_.push_back(ToDisk{"slot/" + name, slotToJson(acceptor_.slot(name))});
        unsettledPrimaries_.accepted(name, acceptor_.slot(name).value);
    }
    if (!recovery_.isComplete(voterSet_, newestAcceptedEpoch())) return;
    recovering_ = false;
    outputs_.push_back(ToDisk{"core", {{"epoch", voterSet_.epoch}, {"voters", voterSet_.voters}}});
    outputs_.push_back(
        ToLog{hasVote() ? "the core's state is read; votes again" : "joined the core without a vote"});
}

// The highest epoch accepted for the register "core", as far as this disk knows.
std::uint64_t ControlMember::newestAcceptedEpoch() {
    const Json& voterSet = acceptor_.slot("core").value;
    return voterSet.is_object() ? voterSet.at("epoch").get<std::uint64_t>() : 0;
}

// Requests the slots of the voters. A member without a vote only needs to know whether its epoch is still
// current.
void ControlMember::continueRecovery(Nanoseconds now) {
    if (!recovering_ || !recovery_.shouldRequestNow(voterSet_, self_, now)) return;
    if (newestAcceptedEpoch() > voterSet_.epoch) resolveVoterSet(now);
    const StateRequest request{voterSet_, voterSet_.voters.count(self_) ? "" : "core"};
    for (const std::string& voter : voterSet_.voters)
        if (const int link = voter == self_ ? 0 : linkTo(voter)) send(link, request.toJson());
}

// Some voter accepted a later epoch. Reads the register "core" with a forced accept phase, which settles
// whether that epoch was chosen and puts the result on the disks of a majority.
void ControlMember::resolveVoterSet(Nanoseconds now) {
    proposer_.begin({"core", [](const Json& current) { return current; },
                     [this](std::optional<Json> chosen) {
                         if (chosen) publishChosen("core", *chosen);
                     },
                     true},
                    now, now + changeTimeout);
}

void ControlMember::handleVoteRequest(int link, const Json& message) {
    const VoteRequest request = VoteRequest::fromJson(message);
    adoptVoterSet(request.voterSet);
    // Requests of an earlier epoch are not answered: their majority need not intersect the current one and
    // may miss values accepted since. The proposer gets the current voter set instead.
    if (request.voterSet.epoch < voterSet_.epoch) {
        if (link) send(link, CurrentVoterSet{voterSet_}.toJson());
        return;
    }
    VoteReply reply{VoteKind::abstains, request.attempt, request.ballot, {}, false, {}};
    if (hasVote() && diskMonitor_.mayVote()) {
        const Acceptor::Outcome outcome = acceptor_.handle(request);
        reply = outcome.reply;
        if (outcome.conflict)
            outputs_.push_back(ToLog{"register " + request.name + ": refused another value under ballot " +
                                     toJson(request.ballot).dump()});
        if (outcome.changed)
            outputs_.push_back(ToDisk{"slot/" + request.name, slotToJson(acceptor_.slot(request.name))});
        if (reply.kind == VoteKind::accepted) trackAccepted(request.name);
    }
    if (link != 0)
        outputs_.push_back(ToLink{link, reply.toJson(), Release::onceDurable});
    else
        outputs_.push_back(ToSelf{reply.toJson()});
}

// Tracks an accepted value until it is published; only a proposer can tell whether it was chosen.
void ControlMember::trackAccepted(const std::string& name) {
    const Json& value = acceptor_.slot(name).value;
    unsettledPrimaries_.accepted(name, value);
    if (!value.is_null() && !isPublished(name, value)) unpublished_.try_emplace(name, now_);
}

void ControlMember::handleDurableVote(const Json& reply, Nanoseconds now) {
    now_ = now;
    proposer_.handleReply(self_, reply, now);
    sendProposerRequests(now);
}

void ControlMember::updateDiskHealth(DiskHealth health, Nanoseconds now) {
    if (std::optional<std::string> line = diskMonitor_.update(health, now))
        outputs_.push_back(ToLog{std::move(*line)});
}

bool ControlMember::hasUnhealthyDisk(const std::string& voter) const {
    const gossip::Record* record = recordTable().find("member/" + voter);
    return record && record->body.is_object() && record->body.value("disk_unwell", false);
}

// Requests of the own proposer go directly to the own acceptor.
void ControlMember::sendProposerRequests(Nanoseconds) {
    for (auto requests = proposer_.takeRequests(); !requests.empty(); requests = proposer_.takeRequests())
        for (auto& [to, message] : requests) {
            if (to == self_) {
                handleVoteRequest(0, message);
            } else if (const int link = linkTo(to)) {
                send(link, std::move(message));
            }
        }
}

void ControlMember::startLeaseRound(Nanoseconds now) {
    if (!voterSet_.epoch || now - lastLeaseRoundAt_ < leaseRoundInterval) return;
    lastLeaseRoundAt_ = now;
    const LeaseRoundRequest question = lease_.begin(voterSet_, hasVote() ? self_ : "", now);
    for (const std::string& voter : voterSet_.voters)
        if (const int link = voter == self_ ? 0 : linkTo(voter)) send(link, withLeaseLeft(question.toJson()));
}

Json ControlMember::withLeaseLeft(Json message) const {
    message["lease_left_us"] = std::max<Nanoseconds>(0, lease_.expiresAt() - now_) / 1000;
    return message;
}

void ControlMember::putRecord(const std::string& name, gossip::Record record) {
    gossip_.put(name, std::move(record));
}

void ControlMember::sendTo(const std::string& voter, Json message) {
    if (const int link = linkTo(voter)) send(link, std::move(message));
}

void ControlMember::beginChange(RegisterChange change, Nanoseconds now, Nanoseconds until) {
    proposer_.begin(std::move(change), now, until);
    sendProposerRequests(now);
}

void ControlMember::handleCall(std::uint64_t call, const std::string& method,
                               const std::vector<std::string>& path, const std::string& body,
                               Nanoseconds now) {
    now_ = now;
    calls_.call(call, method, path, body, now);
}

// A value that was accepted here and is not published may have been chosen by a proposer that died before
// it could publish it, and nothing is published after a start. Reads such registers by a majority, which
// settles the value, and publishes it.
void ControlMember::resolveUnpublished(Nanoseconds now) {
    if (!voterSet_.epoch || recovering_ || now - lastResolveAt_ < milliseconds(100)) return;
    lastResolveAt_ = now;
    std::vector<std::string> names;
    const Nanoseconds resolveAfter =
        unpublishedTimeout + static_cast<Nanoseconds>(turnOrder()) * milliseconds(300);
    if (now - startedAt_ < milliseconds(30'000))
        for (const auto& [name, slot] : acceptor_.slots())
            if (!slot.value.is_null() && !isPublished(name, slot.value))
                unpublished_.try_emplace(name, now - unpublishedTimeout + unpublishedTimeoutAtStart);
    for (auto& [name, since] : unpublished_)
        if (now - since >= resolveAfter) names.push_back(name), since = now;
    for (const std::string& name : names)
        proposer_.begin({name, [](const Json& current) { return current; },
                         [this, name](std::optional<Json> chosen) {
                             if (!chosen) return;
                             publishChosen(name, *chosen);
                             clearIfPublished(name);
                         }},
                        now, now + changeTimeout);
}

void ControlMember::sendToVoter(const std::string& voter, Json message) {
    if (const int link = linkTo(voter)) send(link, std::move(message));
}

bool ControlMember::linkedTo(const std::string& member) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& each) {
        return each.second.dialled == member || each.second.member == member;
    });
}

std::set<std::string> ControlMember::heldRegisters() const {
    std::set<std::string> names;
    for (const auto& [name, slot] : acceptor_.slots()) names.insert(name);
    return names;
}

void ControlMember::reaccept(const std::string& name, std::function<void(bool accepted)> done) {
    proposer_.begin({name, [](const Json& current) { return current; },
                     [this, name, done = std::move(done)](std::optional<Json> chosen) {
                         if (chosen) publishChosen(name, *chosen);
                         done(chosen.has_value());
                     },
                     true},
                    now_, now_ + changeTimeout);
}

void ControlMember::writeVoterSet(const VoterSet& next, std::function<void()> done) {
    const Json wanted{{"epoch", next.epoch}, {"voters", next.voters}};
    proposer_.begin(
        {"core",
         [wanted](const Json& current) {
             const std::uint64_t epoch = current.is_object() ? current.at("epoch").get<std::uint64_t>() : 1;
             return epoch + 1 == wanted.at("epoch") ? wanted : current;
         },
         [this, wanted, done = std::move(done)](std::optional<Json> chosen) {
             if (chosen && !chosen->is_null()) {
                 publishChosen("core", *chosen);
                 if (*chosen == wanted)
                     outputs_.push_back(ToLog{"core of " + std::to_string(wanted.at("voters").size()) +
                                              " voters in epoch " + wanted.at("epoch").dump()});
             }
             done();
         }},
        now_, now_ + changeTimeout);
}

void ControlMember::shutDown(Nanoseconds now) {
    now_ = now;
    if (shutdown_.started()) return;
    shutdown_.begin(milliseconds(settings_.shutdownGrace_ms / shutdownGraceDivisor), now);
    outputs_.push_back(ToLog{"told to end: handing over"});
    publishMemberRecord();
    assignFailoverOwners(now);
    continueShutdown(now);
    sendProposerRequests(now);
}

// The vote is settled once another member has it, or if this member sees none that could take it.
void ControlMember::continueShutdown(Nanoseconds now) {
    if (!shutdown_.started()) return;
    const bool voteSettled = !voterSet_.voters.count(self_) || membership_.isStable(now);
    std::set<std::string> reachableVoters;
    for (const std::string& voter : voterSet_.voters)
        if (voter != self_ && membership_.isReachable(voter, now)) reachableVoters.insert(voter);
    shutdown_.proceed(
        proposer_.idle() && calls_.idle() && voteSettled, reachableVoters,
        [this](const std::string& voter, Json message) { sendToVoter(voter, std::move(message)); }, now);
}

void ControlMember::publishMemberRecord() {
    Json body{{"station", settings_.station}, {"district", settings_.district}, {"ip", settings_.ip}};
    if (shutdown_.started()) body["leaving"] = true;
    if (recovering_) body["recovering"] = true;
    if (!diskMonitor_.mayOwnFailover(now_)) body["disk_unwell"] = true;
    gossip_.publish("member/" + self_, body);
}

void ControlMember::tick(Nanoseconds now) {
    now_ = now;
    gossip_.advance(now, leased(now));
    if (auto line = contactMonitor_.update(lease_.expiresAt(), now))
        outputs_.push_back(ToLog{std::move(*line)});
    publishMemberRecord();
    startLeaseRound(now);
    stores_.tick(now);
    calls_.runWaitingCalls(now);
    proposer_.tick(now);
    for (std::string& text : proposer_.takeFailures()) outputs_.push_back(ToLog{std::move(text)});
    continueRecovery(now);
    resolveUnpublished(now);
    membership_.tick(hasVote(), now);
    assignFailoverOwners(now);
    removeExpiredRecords(now);
    sendProposerRequests(now);
    continueShutdown(now);
}

// Removes records of owners that died without notice. Two members that do so at once create the same
// record.
void ControlMember::removeExpiredRecords(Nanoseconds now) {
    if (!leased(now)) return;
    for (const std::string& name : gossip_.overdueRecords()) {
        const bool voter = name.starts_with("member/") && voterSet_.voters.count(name.substr(7));
        if (voter) continue;
        const std::uint64_t major = recordTable().find(name)->version.major;
        outputs_.push_back(ToLog{name + " was not renewed in time: taken down"});
        gossip_.put(name, {{major + 1, 0}, nullptr});
    }
}

Json ControlMember::state(Nanoseconds now) const {
    Json primaries = Json::object();
    for (const auto& [service, failover] : failovers_) primaries[service] = {{"phase", failover->phase()}};
    recordTable().forEachWithPrefix("lead/", [&](const std::string& name, const gossip::Record& r) {
        primaries[name.substr(5)]["lead"] = r.body;
    });
    const gossip::Record* config = recordTable().find("config");
    return {{"member", self_},
            {"station", settings_.station},
            {"epoch", voterSet_.epoch},
            {"voters", voterSet_.voters},
            {"votes", hasVote()},
            {"recovering", recovering_},
            {"disk", toString(diskMonitor_.health())},
            {"lease_left_ms", std::max<Nanoseconds>(0, lease_.expiresAt() - now) / 1'000'000},
            {"edition", config ? Json(config->version.major) : Json()},
            {"registers", acceptor_.slots().size()},
            {"leads", primaries}};
}

}  // namespace granitereel::control
