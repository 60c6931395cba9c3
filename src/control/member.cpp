#include "control/member.hpp"

#include <algorithm>

#include "control/disk_records.hpp"
#include "control/messages.hpp"

namespace granitereel::control {

namespace {
// Rounds of the lease: three fit into one, so that one lost message does not end it.
constexpr Nanos roundEvery = millis(200);
// An accepted value that nobody has said to stand is settled after this.
constexpr Nanos unannouncedFor = millis(250);
// After a start nothing has been said yet, and everyone waits for it.
constexpr Nanos soonAtStart = millis(50);
// A member that was told to end is gone after this part of guarantees.grace_s, whatever is left to hand over.
constexpr int leavingPartOfGrace = 3;

ProposerId proposerOf(const settings::Settings& settings, const std::string& incarnation,
                      const std::map<std::string, Json>& disk) {
    const auto life = disk.find(lifeKey);
    return {settings.controlAddress, incarnation, life == disk.end() ? 0 : life->second.get<std::uint64_t>()};
}

// A span told in microseconds; 0 where it is not.
Nanos micros(const Json& message, const char* field) {
    return message.value(field, Nanos(0)) * 1000;
}
}  // namespace

ControlMember::ControlMember(const settings::Settings& settings, std::string incarnation,
                             const std::map<std::string, Json>& disk, Nanos now)
    : settings_(settings),
      self_(settings.controlAddress),
      incarnation_(std::move(incarnation)),
      gossip_([this](int link, Json message) { send(link, std::move(message)); },
              [this](const std::string& name, const board::Record& record) { news(name, record); }),
      proposer_(proposerOf(settings, incarnation_, disk),
                [this](const std::string& name) -> const Slot& { return acceptor_.at(name); }),
      now_(now),
      membership_(self_, settings_, *this, now),
      recovery_(now + forgottenAfter),
      startedAt_(now),
      // Steady time of the start: no link outlives the process, so it need differ only while one is open.
      stores_(self_, self_ + "/" + std::to_string(now), settings.beatInterval_ms, *this, now),
      operatorCalls_(*this),
      calls_(*this, stores_, operatorCalls_) {
    for (const auto& [name, body] : disk) {
        if (name == "core") {
            core_ = {body.at("epoch").get<std::uint64_t>(), body.at("voters").get<std::set<std::string>>()};
            recovering_ = body.value("recovering", false);
        }
        if (name.starts_with("slot/")) {
            acceptor_.load(name.substr(5), readSlot(body));
            unsettledLeads_.accepted(name.substr(5), acceptor_.at(name.substr(5)).value);
        }
    }
    if (core_.epoch) {
        proposer_.core(core_, now);
        membership_.adopted(core_, now);
    } else if (settings_.firstBoot && !disk.count(std::string(afterLossRecord))) {
        // All processes get the same seeds at the first start: they found the core, each by itself and alike.
        outputs_.push_back(
            ToLog{"founding the core with " + std::to_string(settings_.seeds.size()) + " voters"});
        adopt({1, {settings_.seeds.begin(), settings_.seeds.end()}});
    } else {
        recovering_ = true;
        outputs_.push_back(ToLog{"no state on disk: asking the core for it"});
    }
}

// Of two cores the later epoch holds, from the disk's sync on.
void ControlMember::adopt(Core core) {
    if (core.epoch <= core_.epoch) return;
    core_ = std::move(core);
    membership_.adopted(core_, now_);
    recovery_.epochChanged();
    outputs_.push_back(
        ToDisk{"core", {{"epoch", core_.epoch}, {"voters", core_.voters}, {"recovering", recovering_}}});
    proposer_.core(core_, now_);
}

std::set<std::string> ControlMember::toDial() const {
    std::set<std::string> members = core_.voters;
    // Who does not vote may have missed who does: the seeds know.
    if (!core_.voters.count(self_)) members.insert(settings_.seeds.begin(), settings_.seeds.end());
    members.erase(self_);
    return members;
}

int ControlMember::linkTo(const std::string& member) const {
    for (const auto& [link, peer] : peers_)
        if (peer.dialled == member) return link;
    return 0;
}

void ControlMember::linkUp(int link, const std::string& dialled, Nanos) {
    peers_[link].dialled = dialled;
    if (dialled.empty()) return;  // who comes speaks first
    send(link, Hello{Hello::fromMember, self_, settings_.station, "", incarnation_, {}}.toJson());
    gossip_.join(link, board::Side::dialler, dialled);
    proposer_.reached(dialled);
    flushProposer(now_);
}

void ControlMember::linkDown(int link, Nanos now) {
    const auto at = peers_.find(link);
    if (at == peers_.end()) return;
    const std::string dialled = at->second.dialled;
    if (linkTo(dialled) == link) calls_.contacts().lost(dialled);
    peers_.erase(at);
    gossip_.leave(link);
    if (dialled.empty()) return;
    memberHeard_[dialled] = now;
    if (!linkTo(dialled)) proposer_.lost(dialled);
}

void ControlMember::news(const std::string& name, const board::Record& record) {
    if (name == "config") configuration_ = configuration::read(record.body);
    if (name == "core")
        adopt({record.body.at("epoch").get<std::uint64_t>(),
               record.body.at("voters").get<std::set<std::string>>()});
    if (name.starts_with("member/")) membership_.told(name.substr(7), MemberStanding::fromJson(record.body));
    forgetAnnounced(name);
    stores_.recordChanged(name, record, now_);
}

namespace {
// The version under which a register's value is a record for all.
board::Version versionOf(const std::string& name, const Json& value) {
    const char* const field = name == "config" ? "edition" : name == "core" ? "epoch" : "seq";
    return {value.at(field).get<std::uint64_t>(), 0};
}
}  // namespace

bool ControlMember::said(const std::string& name, const Json& value) const {
    const board::Record* record = board().find(name);
    return record && record->version >= versionOf(name, value);
}

// What was accepted here is announced once its own version or a later one is a record; news of an earlier one
// says nothing of it.
void ControlMember::forgetAnnounced(const std::string& name) {
    const auto waits = unannounced_.find(name);
    if (waits == unannounced_.end()) return;
    const Json& value = acceptor_.at(name).value;
    if (value.is_null() || said(name, value)) unannounced_.erase(waits);
}

// A register's value that is known to stand becomes a record for all.
void ControlMember::learn(const std::string& name, const Json& value) {
    if (value.is_null()) return;
    const Json body = name == "config" ? ConfigurationRevisions::fromJson(value).configuration() : value;
    gossip_.put(name, {versionOf(name, value), body});
}

// How many voters in reach come before this one: what any may do the first does, the next if it has not.
std::size_t ControlMember::rank() const {
    std::size_t before = 0;
    for (const std::string& voter : core_.voters) {
        if (voter == self_) break;
        before += membership_.inReach(voter, now_);
    }
    return before;
}

void ControlMember::heard(int link, const Json& message, Nanos now) {
    now_ = now;
    gossip_.advance(now, leased(now));
    gossip_.alive(link);
    take(link, message, now);
    if (membership_.changing(now)) membership_.tick(votes(), now);
    calls_.runWaitingCalls(now);
    flushProposer(now);
    depart(now);
}

void ControlMember::take(int link, const Json& message, Nanos now) {
    const auto found = peers_.find(link);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    const std::string kind = message.at("k");
    if (!peer.dialled.empty()) memberHeard_[peer.dialled] = now;
    if (const std::string& member = peer.dialled.empty() ? peer.member : peer.dialled; !member.empty())
        membership_.heard(member, now);
    if (kind == Hello::kind) {
        greeted(link, peer, Hello::fromJson(message), now);
    } else if (board::isGossip(kind)) {
        gossip_.heard(link, message);
        if (!peer.dialled.empty() && gossip_.complete(link)) stores_.recordsReceivedFrom(peer.dialled);
    } else if (kind == StoreReplicationRequest::kind) {
        if (const auto reply = stores_.replicate(StoreReplicationRequest::fromJson(message), now))
            send(link, reply->toJson());
    } else if (kind == StoreReplicationReply::kind) {
        stores_.replicationAnswered(peer.dialled, StoreReplicationReply::fromJson(message), now);
    } else if (isVoteRequest(kind)) {
        vote(link, message);
    } else if (isVoteReply(kind)) {
        proposer_.heard(peer.dialled, message, now);
    } else if (kind == PresentCore::kind) {
        adopt(PresentCore::fromJson(message).core);
    } else if (kind == LeaseRoundRequest::kind) {
        roundAsked(link, peer, message, now);
    } else if (kind == LeaseRoundReply::kind) {
        roundAnswered(link, peer, message, now);
    } else if (kind == board::LeaseRequest::kind) {
        const std::uint64_t number = board::LeaseRequest::fromJson(message).number;
        const Nanos left = std::max<Nanos>(0, lease_.expiresAt() - now);
        send(link, board::LeaseReply{number, left, unsettledLeads_.all(board(), now),
                                     board::configurationVersion(board())}
                       .toJson());
    } else if (kind == "suspect") {
        suspected(message, now);
    } else if (kind == StateRequest::kind) {
        stateAsked(link, StateRequest::fromJson(message));
    } else if (kind == StateReply::kind) {
        stateTold(peer.dialled, StateReply::fromJson(message));
    } else if (kind == "census?") {
        const CensusRequest request = CensusRequest::fromJson(message);
        adopt({request.epoch, request.voters});
        if (votes()) send(link, membership_.answer(request, now).toJson());
    } else if (kind == "census") {
        if (votes()) membership_.heard(peer.dialled, CensusReply::fromJson(message), now);
    } else if (kind == "flush?") {
        send(link, FlushReply{FlushRequest::fromJson(message).number}.toJson());
    } else if (kind == "flushed") {
        departure_.heard(peer.dialled, FlushReply::fromJson(message));
    }
}

// The other side of a link says who it is, and hears the same where it dialled.
void ControlMember::greeted(int link, Peer& peer, const Hello& hello, Nanos now) {
    peer.kind = hello.sender;
    peer.station = hello.station;
    peer.member = hello.member;
    if (hello.sender == Hello::fromMember) {
        std::string& known = incarnations_[hello.member];
        if (!known.empty() && known != hello.incarnation) proposer_.forgets(hello.member, now);
        known = hello.incarnation;
        membership_.heard(hello.member, now);
    }
    if (!peer.dialled.empty()) {
        if (hello.core) adopt(*hello.core);
        return;
    }
    const std::string& district = settings_.district;
    send(link, Hello{Hello::fromMember, self_, settings_.station, district, incarnation_, core_}.toJson());
    gossip_.join(link, board::Side::acceptor, peer.member);
}

// A member asks for its lease.
void ControlMember::roundAsked(int link, const Peer& peer, const Json& message, Nanos now) {
    const LeaseRoundRequest question = LeaseRoundRequest::fromJson(message);
    if (!peer.member.empty()) calls_.contacts().heard(peer.member, micros(message, "lease_left_us"), now);
    if (votes() && question.epoch == core_.epoch) {
        const LeaseRoundReply told{question.round, question.epoch, unsettledLeads_.acceptedLocally(board()),
                                   board::configurationVersion(board())};
        send(link, withLeaseLeft(told.toJson()));
    }
    // Who was cut off during a change of voters is told of it.
    if (question.epoch < core_.epoch) send(link, PresentCore{core_}.toJson());
}

void ControlMember::roundAnswered(int link, const Peer& peer, const Json& message, Nanos now) {
    calls_.contacts().heard(peer.dialled, micros(message, "lease_left_us"), now);
    const LeaseRoundReply told = LeaseRoundReply::fromJson(message);
    unsettledLeads_.reported(told.unsettled, now);
    // Before the exchange on this link is complete the voter may know of a change that this member doesn't.
    if (!gossip_.complete(link)) return;
    if (const std::uint64_t held = board::configurationVersion(board()); held < told.configurationRevision) {
        reportBroken(newsBeforeLease_, "configuration " + std::to_string(held) + ", and " + peer.dialled +
                                           " holds " + std::to_string(told.configurationRevision));
        return gossip_.exchangeAnew(link);
    }
    lease_.answered(peer.dialled, told, core_);
}

void ControlMember::reportBroken(board::Invariant& invariant, const std::string& detail) {
    if (auto line = invariant.check(false, detail)) outputs_.push_back(ToLog{std::move(*line)});
}

// Another member reads what this one's disk holds: before a change of voters, or after the loss of its own.
void ControlMember::stateAsked(int link, const StateRequest& request) {
    adopt(request.core);
    if (request.core.epoch < core_.epoch) return send(link, PresentCore{core_}.toJson());
    if (!votes()) return;
    StateReply reply{core_.epoch, {}};
    for (const auto& [name, slot] : acceptor_.all())
        if (request.only.empty() || name == request.only) reply.slots[name] = slot;
    send(link, reply.toJson());
}

void ControlMember::stateTold(const std::string& voter, const StateReply& reply) {
    if (!recovering_ || !recovery_.answered(core_, voter, reply.epoch)) return;
    for (const auto& [name, slot] : reply.slots) {
        if (!acceptor_.merge(name, slot)) continue;
        outputs_.push_back(ToDisk{"slot/" + name, written(acceptor_.at(name))});
        unsettledLeads_.accepted(name, acceptor_.at(name).value);
    }
    if (!recovery_.complete(core_, newestEpochSeen())) return;
    recovering_ = false;
    outputs_.push_back(ToDisk{"core", {{"epoch", core_.epoch}, {"voters", core_.voters}}});
    outputs_.push_back(
        ToLog{votes() ? "the core's state is read; votes again" : "joined the core without a vote"});
}

// The highest epoch that the register of the core was accepted with, as far as this disk tells.
std::uint64_t ControlMember::newestEpochSeen() {
    const Json& core = acceptor_.at("core").value;
    return core.is_object() ? core.at("epoch").get<std::uint64_t>() : 0;
}

// Asks the voters for what they hold. Where this member has no vote, only whether the epoch still stands is
// of interest.
void ControlMember::recover(Nanos now) {
    if (!recovering_ || !recovery_.askNow(core_, self_, now)) return;
    if (newestEpochSeen() > core_.epoch) settleCore(now);
    const StateRequest request{core_, core_.voters.count(self_) ? "" : "core"};
    for (const std::string& voter : core_.voters)
        if (const int link = voter == self_ ? 0 : linkTo(voter)) send(link, request.toJson());
}

// A later epoch was accepted by some voter: it is found out whether it was chosen, and is so held by a
// majority.
void ControlMember::settleCore(Nanos now) {
    proposer_.begin({"core", [](const Json& was) { return was; },
                     [this](std::optional<Json> stands) {
                         if (stands) learn("core", *stands);
                     },
                     true},
                    now, now + changeWithin);
}

void ControlMember::vote(int link, const Json& message) {
    const VoteRequest request = VoteRequest::fromJson(message);
    adopt(request.core);
    // An earlier epoch's majority may lack what was accepted since: its proposer is told the present one.
    if (request.core.epoch < core_.epoch) {
        if (link) send(link, PresentCore{core_}.toJson());
        return;
    }
    VoteReply reply{VoteKind::abstains, request.attempt, request.ballot, {}, false, {}};
    if (votes() && diskWatch_.votes()) {
        const Acceptor::Outcome outcome = acceptor_.answer(request);
        reply = outcome.reply;
        if (outcome.conflict)
            outputs_.push_back(ToLog{"register " + request.name + ": refused another value under ballot " +
                                     toJson(request.ballot).dump()});
        if (outcome.changed)
            outputs_.push_back(ToDisk{"slot/" + request.name, written(acceptor_.at(request.name))});
        if (reply.kind == VoteKind::accepted) accepted(request.name);
    }
    if (link != 0)
        outputs_.push_back(ToLink{link, reply.toJson(), Release::onceDurable});
    else
        outputs_.push_back(ToSelf{reply.toJson()});
}

// A value was accepted here; whether it is chosen is for a proposer to say.
void ControlMember::accepted(const std::string& name) {
    const Json& value = acceptor_.at(name).value;
    unsettledLeads_.accepted(name, value);
    if (!value.is_null() && !said(name, value)) unannounced_.try_emplace(name, now_);
}

void ControlMember::voteStored(const Json& reply, Nanos now) {
    now_ = now;
    proposer_.heard(self_, reply, now);
    flushProposer(now);
}

void ControlMember::diskSeen(DiskHealth health, Nanos now) {
    if (std::optional<std::string> line = diskWatch_.seen(health, now))
        outputs_.push_back(ToLog{std::move(*line)});
}

bool ControlMember::disqualified(const std::string& voter) const {
    const board::Record* record = board().find("member/" + voter);
    return record && record->body.is_object() && record->body.value("disk_unwell", false);
}

// What proposers of this member say goes to its own vote directly.
void ControlMember::flushProposer(Nanos) {
    for (auto said = proposer_.takeSaid(); !said.empty(); said = proposer_.takeSaid())
        for (auto& [to, message] : said) {
            if (to == self_) {
                vote(0, message);
            } else if (const int link = linkTo(to)) {
                send(link, std::move(message));
            }
        }
}

void ControlMember::rounds(Nanos now) {
    if (!core_.epoch || now - roundAt_ < roundEvery) return;
    roundAt_ = now;
    const LeaseRoundRequest question = lease_.begin(core_, votes() ? self_ : "", now);
    for (const std::string& voter : core_.voters)
        if (const int link = voter == self_ ? 0 : linkTo(voter)) send(link, withLeaseLeft(question.toJson()));
}

Json ControlMember::withLeaseLeft(Json message) const {
    message["lease_left_us"] = std::max<Nanos>(0, lease_.expiresAt() - now_) / 1000;
    return message;
}

void ControlMember::putRecord(const std::string& name, board::Record record) {
    gossip_.put(name, std::move(record));
}

void ControlMember::sendTo(const std::string& voter, Json message) {
    if (const int link = linkTo(voter)) send(link, std::move(message));
}

void ControlMember::beginChange(Change change, Nanos now, Nanos until) {
    proposer_.begin(std::move(change), now, until);
    flushProposer(now);
}

void ControlMember::call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                         const std::string& body, Nanos now) {
    now_ = now;
    calls_.call(call, method, path, body, now);
}

// What was accepted here and is said by nobody to stand may have been chosen by a proposer that died before
// it could say so; and after a start nobody has said anything. It is read by a majority, which settles it,
// and told to all.
void ControlMember::repair(Nanos now) {
    if (!core_.epoch || recovering_ || now - readAt_ < millis(100)) return;
    readAt_ = now;
    std::vector<std::string> names;
    const Nanos turn = unannouncedFor + static_cast<Nanos>(rank()) * millis(300);
    if (now - startedAt_ < millis(30'000))
        for (const auto& [name, slot] : acceptor_.all())
            if (!slot.value.is_null() && !said(name, slot.value))
                unannounced_.try_emplace(name, now - unannouncedFor + soonAtStart);
    for (auto& [name, since] : unannounced_)
        if (now - since >= turn) names.push_back(name), since = now;
    for (const std::string& name : names)
        proposer_.begin({name, [](const Json& was) { return was; },
                         [this, name](std::optional<Json> stands) {
                             if (!stands) return;
                             learn(name, *stands);
                             forgetAnnounced(name);
                         }},
                        now, now + changeWithin);
}

void ControlMember::sendToVoter(const std::string& voter, Json message) {
    if (const int link = linkTo(voter)) send(link, std::move(message));
}

bool ControlMember::linkedTo(const std::string& member) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& each) {
        return each.second.dialled == member || each.second.member == member;
    });
}

std::set<std::string> ControlMember::registersHeld() const {
    std::set<std::string> names;
    for (const auto& [name, slot] : acceptor_.all()) names.insert(name);
    return names;
}

void ControlMember::acceptAnew(const std::string& name, std::function<void(bool accepted)> done) {
    proposer_.begin({name, [](const Json& was) { return was; },
                     [this, name, done = std::move(done)](std::optional<Json> stands) {
                         if (stands) learn(name, *stands);
                         done(stands.has_value());
                     },
                     true},
                    now_, now_ + changeWithin);
}

void ControlMember::writeCore(const Core& next, std::function<void()> done) {
    const Json wanted{{"epoch", next.epoch}, {"voters", next.voters}};
    proposer_.begin(
        {"core",
         [wanted](const Json& was) {
             const std::uint64_t epoch = was.is_object() ? was.at("epoch").get<std::uint64_t>() : 1;
             return epoch + 1 == wanted.at("epoch") ? wanted : was;
         },
         [this, wanted, done = std::move(done)](std::optional<Json> stands) {
             if (stands && !stands->is_null()) {
                 learn("core", *stands);
                 if (*stands == wanted)
                     outputs_.push_back(ToLog{"core of " + std::to_string(wanted.at("voters").size()) +
                                              " voters in epoch " + wanted.at("epoch").dump()});
             }
             done();
         }},
        now_, now_ + changeWithin);
}

void ControlMember::leave(Nanos now) {
    now_ = now;
    if (departure_.begun()) return;
    departure_.begin(millis(settings_.grace_ms / leavingPartOfGrace), now);
    outputs_.push_back(ToLog{"told to end: handing over"});
    ownRecord();
    ownDuties(now);
    depart(now);
    flushProposer(now);
}

// Its vote has gone, or nothing that it sees speaks for another's having it.
void ControlMember::depart(Nanos now) {
    if (!departure_.begun()) return;
    const bool voteSettled = !core_.voters.count(self_) || membership_.settled(now);
    std::set<std::string> inReach;
    for (const std::string& voter : core_.voters)
        if (voter != self_ && membership_.inReach(voter, now)) inReach.insert(voter);
    departure_.proceed(
        proposer_.idle() && calls_.idle() && voteSettled, inReach,
        [this](const std::string& voter, Json message) { sendToVoter(voter, std::move(message)); }, now);
}

void ControlMember::ownRecord() {
    Json body{{"station", settings_.station}, {"district", settings_.district}, {"ip", settings_.ip}};
    if (departure_.begun()) body["leaving"] = true;
    if (recovering_) body["recovering"] = true;
    if (!diskWatch_.ownsDuties(now_)) body["disk_unwell"] = true;
    gossip_.own("member/" + self_, body);
}

void ControlMember::tick(Nanos now) {
    now_ = now;
    gossip_.advance(now, leased(now));
    if (auto line = contact_.seen(lease_.expiresAt(), now)) outputs_.push_back(ToLog{std::move(*line)});
    ownRecord();
    rounds(now);
    stores_.tick(now);
    calls_.runWaitingCalls(now);
    proposer_.tick(now);
    for (std::string& text : proposer_.takeFailures()) outputs_.push_back(ToLog{std::move(text)});
    recover(now);
    repair(now);
    membership_.tick(votes(), now);
    ownDuties(now);
    endOverdue(now);
    flushProposer(now);
    depart(now);
}

// Takes down records whose owners died without a word. Two members that do so at once make the same record.
void ControlMember::endOverdue(Nanos now) {
    if (!leased(now)) return;
    for (const std::string& name : gossip_.overdue()) {
        const bool voter = name.starts_with("member/") && core_.voters.count(name.substr(7));
        if (voter) continue;
        const std::uint64_t major = board().find(name)->version.major;
        outputs_.push_back(ToLog{name + " was not renewed in time: taken down"});
        gossip_.put(name, {{major + 1, 0}, nullptr});
    }
}

Json ControlMember::state(Nanos now) const {
    Json leads = Json::object();
    for (const auto& [service, succession] : successions_) leads[service] = {{"phase", succession->phase()}};
    board().under("lead/", [&](const std::string& name, const board::Record& r) {
        leads[name.substr(5)]["lead"] = r.body;
    });
    const board::Record* config = board().find("config");
    return {{"member", self_},
            {"station", settings_.station},
            {"epoch", core_.epoch},
            {"voters", core_.voters},
            {"votes", votes()},
            {"recovering", recovering_},
            {"disk", textOf(diskWatch_.health())},
            {"lease_left_ms", std::max<Nanos>(0, lease_.expiresAt() - now) / 1'000'000},
            {"edition", config ? Json(config->version.major) : Json()},
            {"registers", acceptor_.all().size()},
            {"leads", leads}};
}

}  // namespace granitereel::control
