#include "control/member.hpp"

#include <xxhash.h>

#include <algorithm>

namespace granitereel::control {

namespace {
// Rounds of the lease: three fit into one, so that one lost message does not end it.
constexpr Nanos roundEvery = millis(200);
// Over a lease, steady clocks of two machines differ by less.
constexpr Nanos driftOfClocks = millis(50);
// A change that has no majority by then is answered as failed, within the time that an operator's call waits.
constexpr Nanos changeWithin = millis(900);
// A member whose link is down for longer counts as away when duties are dealt out.
constexpr Nanos awayAfter = millis(600);
// An accepted value that nobody has said to stand is settled after this.
constexpr Nanos unannouncedFor = millis(250);
// After a start nothing has been said yet, and everyone waits for it.
constexpr Nanos soonAtStart = millis(50);
// A member that comes gets its vote after this; one that is away loses it after this, where others have come.
constexpr Nanos settlesIn = millis(300), awayForGood = millis(15'000);
// What an earlier life of a member with an empty disk may have said is no longer under way after this.
constexpr Nanos forgottenAfter = changeWithin + millis(300);

// Rendezvous hashing (Thaler and Ravishankar, 1998): the highest of all members' values for a name has it.
std::uint64_t weight(const std::string& member, const std::string& name) {
    const std::string both = member + '\n' + name;
    return XXH64(both.data(), both.size(), 0);
}
}  // namespace

ControlMember::ControlMember(const settings::Settings& settings, std::string incarnation,
                             const std::map<std::string, Json>& disk, Nanos now)
    : settings_(settings),
      self_(settings.controlAddress),
      incarnation_(std::move(incarnation)),
      gossip_([this](int link, Json message) { send(link, std::move(message)); },
              [this](const std::string& name, const board::Record& record) { news(name, record); }),
      proposer_(self_, [this](const std::string& name) -> const Slot& { return acceptor_.at(name); }),
      startedAt_(now) {
    now_ = now;
    for (const auto& [name, body] : disk) {
        if (name == "core") {
            core_ = {body.at("epoch").get<std::uint64_t>(), body.at("voters").get<std::set<std::string>>()};
            recovering_ = body.value("recovering", false);
        }
        if (name.starts_with("slot/")) acceptor_.load(name.substr(5), readSlot(body));
    }
    if (core_.epoch) {
        proposer_.core(core_, now);
    } else if (settings_.firstBoot) {
        // All processes get the same seeds at the first start: they found the core, each by itself and alike.
        outputs_.push_back(
            ToLog{"founding the core with " + std::to_string(settings_.seeds.size()) + " voters"});
        adopt({1, {settings_.seeds.begin(), settings_.seeds.end()}});
    } else {
        outputs_.push_back(ToLog{"no state on disk: asking the core for it"});
    }
    recovery_.notBefore = now + forgottenAfter;
}

// Of two cores the later epoch holds, from the disk's sync on.
void ControlMember::adopt(Core core) {
    if (core.epoch <= core_.epoch) return;
    core_ = std::move(core);
    reform_.reset();
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
    send(link, {{"k", "hello"},
                {"kind", "member"},
                {"member", self_},
                {"station", settings_.station},
                {"incarnation", incarnation_}});
    gossip_.join(link, board::Side::dialler, dialled);
    proposer_.reached(dialled);
    flushProposer(now_);
}

void ControlMember::linkDown(int link, Nanos now) {
    const auto at = peers_.find(link);
    if (at == peers_.end()) return;
    if (!at->second.dialled.empty()) memberHeard_[at->second.dialled] = now;
    peers_.erase(at);
    gossip_.leave(link);
}

void ControlMember::news(const std::string& name, const board::Record& record) {
    if (name.starts_with("lead/")) {
        const auto at = unsettledLeads_.find(name.substr(5));
        if (at != unsettledLeads_.end() && record.version.major >= at->second) unsettledLeads_.erase(at);
    }
    if (name == "config") configuration_ = configuration::read(record.body);
    if (name == "core")
        adopt({record.body.at("epoch").get<std::uint64_t>(),
               record.body.at("voters").get<std::set<std::string>>()});
    unannounced_.erase(name);
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

// A register's value that is known to stand becomes a record for all.
void ControlMember::learn(const std::string& name, const Json& value) {
    if (!value.is_null()) gossip_.put(name, {versionOf(name, value), value});
}

// How many voters in reach come before this one: what any may do the first does, the next if it has not.
std::size_t ControlMember::rank() const {
    std::size_t before = 0;
    for (const std::string& voter : core_.voters) {
        if (voter == self_) break;
        before += here(voter);
    }
    return before;
}

void ControlMember::heard(int link, const Json& message, Nanos now) {
    now_ = now;
    gossip_.advance(now, now < leaseUntil_);
    gossip_.alive(link);
    take(link, message, now);
    flushProposer(now);
}

void ControlMember::take(int link, const Json& message, Nanos now) {
    const auto found = peers_.find(link);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    const std::string kind = message.at("k");
    if (!peer.dialled.empty()) memberHeard_[peer.dialled] = now;
    if (kind == "hello") {
        peer.kind = message.at("kind");
        peer.station = message.value("station", "");
        peer.member = message.value("member", "");
        if (peer.kind == "member") {
            std::string& known = incarnations_[peer.member];
            const std::string told = message.at("incarnation");
            if (!known.empty() && known != told) proposer_.forgets(peer.member);
            known = told;
        }
        if (peer.dialled.empty()) {
            send(link, {{"k", "hello"},
                        {"kind", "member"},
                        {"member", self_},
                        {"station", settings_.station},
                        {"district", settings_.district},
                        {"incarnation", incarnation_},
                        {"epoch", core_.epoch},
                        {"voters", core_.voters}});
            gossip_.join(link, board::Side::acceptor, peer.member);
        } else if (const std::uint64_t epoch = message.value("epoch", std::uint64_t(0));
                   epoch > core_.epoch) {
            Core core{epoch, message.at("voters").get<std::set<std::string>>()};
            if (!core_.epoch) {
                recovering_ = core.voters.count(self_) > 0;
                outputs_.push_back(ToLog{recovering_
                                             ? "the disk was lost: reading the core's state before voting"
                                             : "joined the core without a vote"});
            }
            adopt(std::move(core));
        }
    } else if (board::isGossip(kind)) {
        gossip_.heard(link, message);
    } else if (kind == "prepare" || kind == "accept") {
        vote(link, message);
    } else if (kind == "promised" || kind == "accepted" || kind == "refused") {
        proposer_.heard(peer.dialled, message, now);
    } else if (kind == "stale") {
        adopt({message.at("e").get<std::uint64_t>(), message.at("c").get<std::set<std::string>>()});
    } else if (kind == "round") {
        if (votes() && message.at("e") == core_.epoch)
            send(link, {{"k", "roundok"}, {"t", message.at("t")}, {"c", unsettledLeads()}});
    } else if (kind == "roundok") {
        const auto at = roundsOut_.find(message.at("t").get<std::uint64_t>());
        for (const auto& [service, seq] : message.at("c").items())
            markUnsettled(service, seq.get<std::uint64_t>());
        if (at == roundsOut_.end() || !core_.voters.count(peer.dialled)) return;
        // Before the exchange on this link is complete the voter may know of a change that this member
        // doesn't.
        if (!gossip_.complete(link)) return;
        auto& [sent, from] = at->second;
        from.insert(peer.dialled);
        if (from.size() >= core_.majority()) leaseUntil_ = std::max(leaseUntil_, sent + leaseTime);
    } else if (kind == "lease?") {
        const Nanos left = leaseUntil_ - now;
        send(link, {{"k", "lease"},
                    {"t", message.at("t")},
                    {"left", std::max<Nanos>(0, left / 1000)},
                    {"c", unsettledLeads()}});
    } else if (kind == "suspect") {
        suspected(message, now);
    } else if (kind == "dump?") {
        if (message.contains("c"))
            adopt({message.at("e").get<std::uint64_t>(), message["c"].get<std::set<std::string>>()});
        if (!votes()) return;
        Json slots = Json::object();
        for (const auto& [name, slot] : acceptor_.all()) slots[name] = written(slot);
        send(link, {{"k", "dump"}, {"e", core_.epoch}, {"slots", std::move(slots)}});
    } else if (kind == "dump" && reform_ && !recovering_) {
        if (message.at("e") != core_.epoch || !core_.voters.count(peer.dialled)) return;
        reform_->heard.insert(peer.dialled);
        for (const auto& [name, slot] : message.at("slots").items()) reform_->names.insert(name);
    } else if (kind == "dump" && recovering_) {
        for (const auto& [name, slot] : message.at("slots").items())
            if (acceptor_.merge(name, readSlot(slot)))
                outputs_.push_back(ToDisk{"slot/" + name, written(acceptor_.at(name))});
        recovery_.from.insert(peer.dialled);
        if (recovery_.from.size() >= core_.majority() && now >= recovery_.notBefore) {
            recovering_ = false;
            outputs_.push_back(ToDisk{"core", {{"epoch", core_.epoch}, {"voters", core_.voters}}});
            outputs_.push_back(ToLog{"the core's state is read; votes again"});
        }
    }
}

void ControlMember::vote(int link, const Json& message) {
    // An earlier epoch's majority may lack what was accepted since: its proposer is told the present one.
    const std::uint64_t epoch = message.at("e");
    if (epoch > core_.epoch) adopt({epoch, message.at("c").get<std::set<std::string>>()});
    if (!votes()) return;
    if (epoch < core_.epoch) {
        if (link) send(link, {{"k", "stale"}, {"e", core_.epoch}, {"c", core_.voters}});
        return;
    }
    const std::string name = message.at("n");
    const Ballot ballot{message.at("r"), message.at("b")};
    Json reply{{"n", name}, {"t", message.at("t")}};
    bool taken;
    const bool accepting = message.at("k") == "accept";
    const Slot before = acceptor_.at(name);
    if (accepting) {
        Json value = message.value("v", Json());
        if (message.contains("p")) {
            if (before.accepted != Ballot{message.at("pr"), message.at("pb")})
                return;  // asked again, it gets the whole
            value = before.value.patch(message["p"]);
        }
        taken = acceptor_.accept(name, ballot, value);
        if (taken && name.starts_with("lead/")) markUnsettled(name.substr(5), value.at("seq"));
        if (taken && !said(name, value)) unannounced_.try_emplace(name, now_);
    } else {
        taken = acceptor_.promise(name, ballot);
    }
    const Slot& slot = acceptor_.at(name);
    if (taken) {
        if (slot.promised != before.promised || accepting)
            outputs_.push_back(ToDisk{"slot/" + name, written(slot)});
        reply["k"] = accepting ? "accepted" : "promised";
        reply["r"] = ballot.round;
        reply["b"] = ballot.by;
        reply["ar"] = slot.accepted.round;
        reply["ab"] = slot.accepted.by;
        const bool known =
            !accepting && slot.accepted.round == message.at("hr") && slot.accepted.by == message.at("hb");
        if (!accepting && !known) reply["av"] = slot.value;
    } else {
        reply["k"] = "refused";
        reply["r"] = slot.promised.round;
        reply["b"] = slot.promised.by;
    }
    if (link != 0)
        send(link, std::move(reply));
    else
        proposer_.heard(self_, reply, now_);
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

void ControlMember::markUnsettled(const std::string& service, std::uint64_t seq) {
    const board::Record* record = board().find("lead/" + service);
    if (record && record->version.major >= seq) return;
    std::uint64_t& known = unsettledLeads_[service];
    known = std::max(known, seq);
}

Json ControlMember::unsettledLeads() const {
    return Json(unsettledLeads_).is_null() ? Json::object() : Json(unsettledLeads_);
}

void ControlMember::rounds(Nanos now) {
    if (!core_.epoch || now - roundAt_ < roundEvery) return;
    roundAt_ = now;
    const std::uint64_t no = ++round_;
    roundsOut_.erase(roundsOut_.begin(), roundsOut_.lower_bound(no > 8 ? no - 8 : 0));
    auto& out = roundsOut_[no];
    out.first = now;
    if (votes()) out.second.insert(self_);
    if (out.second.size() >= core_.majority()) leaseUntil_ = std::max(leaseUntil_, now + leaseTime);
    for (const std::string& voter : core_.voters)
        if (const int link = voter == self_ ? 0 : linkTo(voter))
            send(link, {{"k", "round"}, {"t", no}, {"e", core_.epoch}});
}

std::uint64_t ControlMember::nextAsk(Succession& asker) {
    asks_[nextAsk_] = &asker;
    return nextAsk_++;
}

void ControlMember::change(const std::string& service, std::uint64_t ifSeq, Lead to,
                           std::function<void(std::optional<Lead>)> done) {
    const std::string name = "lead/" + service;
    const Json wanted = written(to);
    proposer_.begin({name,
                     [ifSeq, wanted](const Json& was) {
                         const std::uint64_t seq = was.is_object() ? was.at("seq").get<std::uint64_t>() : 0;
                         return seq == ifSeq ? wanted : was;
                     },
                     [this, name, wanted, done = std::move(done)](std::optional<Json> stands) {
                         if (stands) learn(name, *stands);
                         done(stands && *stands == wanted ? readLead(*stands) : std::nullopt);
                     }},
                    now_, now_ + changeWithin);
    flushProposer(now_);
}

int ControlMember::syncReplicas(const std::string& service) const {
    const configuration::Service* known = configuration_.service(service);
    return known ? known->syncReplicas : 1;  // not known yet: as if it had some
}

void ControlMember::call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                         const std::string& body, Nanos now) {
    now_ = now;
    const std::string place = path.empty() ? "" : path[0];
    const std::string what = method + " " + place + (path.size() > 1 ? "/ID" : "");
    if (path.size() <= 2) {
        if (what == "PUT stores/ID") return storeCalled(call, path[1], body, now);
        if (what == "DELETE stores/ID") return storeLeft(call, path[1]);
        if (what == "PUT config") return configSent(call, body, now);
        if (what == "GET config") return configAsked(call, now);
        if (what == "GET state") return answer(call, Kind::taken, state(now).dump());
    }
    const bool known = place == "config" || place == "stores" || place == "state";
    answer(call, known ? Kind::notAllowed : Kind::notFound);
}

void ControlMember::storeCalled(std::uint64_t call, const std::string& id, const std::string& body, Nanos) {
    Json told, now;
    std::uint64_t seq = 0;
    try {
        told = Json::parse(body);
        now = {{"service", told.at("depot")},
               {"address", told.at("address")},
               {"district", told.value("district", "")},
               {"berths", told.value("berths", 0)},
               {"standing", told.value("standing", "accepting")},
               {"role", told.value("db_role", "")}};
        seq = told.value("call_seq", std::uint64_t(0));
    } catch (const Json::exception&) {
        return answer(call, Kind::notSound, R"({"fault":"not a store's call"})");
    }
    const std::string name = "store/" + id;
    const board::Record* known = board().find(name);
    // A call that was overtaken is acknowledged and changes nothing; one that left does not come back by it.
    const bool late = known && seq <= known->version.minor;
    if (!late && (!known || known->body != now || gossip_.unconfirmed(name))) {
        const std::uint64_t major = known ? known->version.major + 1 : 1;
        gossip_.put(name, {{major, seq}, now});
    }
    answer(call, Kind::taken, "{}");
}

void ControlMember::storeLeft(std::uint64_t call, const std::string& id) {
    const std::string name = "store/" + id;
    const board::Record* known = board().find(name);
    if (known && !known->body.is_null())
        gossip_.put(name, {{known->version.major + 1, known->version.minor + 1'000'000}, nullptr});
    answer(call, Kind::taken, "{}");
}

void ControlMember::configSent(std::uint64_t call, const std::string& body, Nanos now) {
    Json sent;
    try {
        configuration::read(body);
        sent = Json::parse(body);
    } catch (const configuration::Invalid& fault) {
        return answer(call, Kind::notSound, Json{{"fault", fault.what()}}.dump());
    }
    if (!core_.epoch) return answer(call, Kind::unready);
    proposer_.begin(
        {"config",
         [sent](const Json& was) {
             if (was.is_object() && was.at("edition") >= sent.at("edition")) return was;
             return sent;
         },
         [this, call](std::optional<Json> stands) {
             if (!stands) return answer(call, Kind::noMajority);
             learn("config", *stands);
             answer(call, Kind::taken, "{}");
             outputs_.push_back(ToLog{"configuration " + stands->at("edition").dump() + " acknowledged"});
         }},
        now, now + changeWithin);
    flushProposer(now);
}

void ControlMember::configAsked(std::uint64_t call, Nanos now) {
    if (!core_.epoch) return answer(call, Kind::unready);
    proposer_.begin({"config", [](const Json& was) { return was; },
                     [this, call](std::optional<Json> stands) {
                         if (!stands) return answer(call, Kind::noMajority);
                         if (stands->is_null()) return answer(call, Kind::notFound);
                         learn("config", *stands);
                         answer(call, Kind::taken, stands->dump());
                     }},
                    now, now + changeWithin);
    flushProposer(now);
}

void ControlMember::suspected(const Json& message, Nanos now) {
    const std::string service = message.at("service");
    const auto at = successions_.find(service);
    if (at != successions_.end()) at->second->suspected(message.at("store"), now);
    // The member that owns the duty may be another; it is told once.
    if (message.value("passed", false)) return;
    Json on = message;
    on["passed"] = true;
    for (const auto& [link, peer] : peers_)
        if (!peer.dialled.empty()) send(link, on);
}

void ControlMember::storeAnswered(std::uint64_t ask, std::optional<StoreRow> row, Nanos now) {
    const auto at = asks_.find(ask);
    if (at == asks_.end()) return;
    Succession* asker = at->second;
    asks_.erase(at);
    asker->answered(ask, std::move(row), now);
}

void ControlMember::platformAnswered(std::uint64_t ask, int status, Nanos now) {
    const auto at = asks_.find(ask);
    if (at == asks_.end()) return;
    Succession* asker = at->second;
    asks_.erase(at);
    asker->promoted(ask, status, now);
}

// Each service's duty belongs to the voter with the highest value for its name among those in reach.
void ControlMember::ownDuties(Nanos now) {
    if (!settings_.promotes) return;
    std::vector<std::string> here;
    for (const std::string& voter : core_.voters) {
        const auto at = memberHeard_.find(voter);
        if (voter == self_ || linkTo(voter) || (at != memberHeard_.end() && now - at->second < awayAfter))
            here.push_back(voter);
    }
    const bool majority = here.size() >= core_.majority() && now < leaseUntil_;
    board().under("store/", [&](const std::string&, const board::Record& record) {
        if (!record.body.is_object()) return;
        auto& slot = successions_[record.body.at("service").get<std::string>()];
        if (!slot)
            slot = std::make_unique<Succession>(self_, record.body.at("service"), leaseTime + driftOfClocks,
                                                *this);
    });
    for (const auto& [service, succession] : successions_) {
        const auto best = std::max_element(here.begin(), here.end(), [&, &name = service](auto& a, auto& b) {
            return weight(a, name) < weight(b, name);
        });
        succession->own(majority && votes() && best != here.end() && *best == self_, now);
        succession->tick(now);
    }
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
                             unannounced_.erase(name);
                         }},
                        now, now + changeWithin);
}

bool ControlMember::here(const std::string& member) const {
    if (member == self_) return true;
    for (const auto& [link, peer] : peers_)
        if (peer.dialled == member || peer.member == member) return true;
    return false;
}

// Who votes follows who is there: each member of control that stays gets a vote, one that is away for long
// loses it once another has come in its place. One voter at a time; before each change every register is
// accepted anew by a majority of the present voters, so that the next epoch's majorities meet one that holds
// it.
void ControlMember::manage(Nanos now) {
    if (!core_.epoch || !votes() || now - managedAt_ < millis(100)) return;
    managedAt_ = now;
    if (reform_) {
        Reform& reform = *reform_;
        if (now - reform.since > millis(3000)) return reform_.reset();
        if (reform.left < 0 && reform.heard.size() >= core_.majority()) {
            reform.left = static_cast<int>(reform.names.size());
            const std::uint64_t epoch = core_.epoch;
            for (const std::string& name : std::set<std::string>(reform.names))
                proposer_.begin({name, [](const Json& was) { return was; },
                                 [this, name, epoch](std::optional<Json> stands) {
                                     if (!reform_ || core_.epoch != epoch) return;
                                     if (!stands) return reform_.reset();
                                     learn(name, *stands);
                                     --reform_->left;
                                 },
                                 true},
                                now, now + changeWithin);
        }
        if (reform.left == 0) {
            reform.left = 1 << 30;  // once
            changeCore(reform.to, now);
        } else if (reform.left < 0 && now - reform.askedAt > millis(300)) {
            reform.askedAt = now;
            for (const std::string& voter : core_.voters)
                if (const int link = voter == self_ ? 0 : linkTo(voter))
                    send(link, {{"k", "dump?"}, {"e", core_.epoch}, {"c", core_.voters}});
        }
        return;
    }
    std::set<std::string> present, away;
    for (const auto& [link, peer] : peers_)
        if (!peer.member.empty()) present.insert(peer.member);
    for (const std::string& voter : core_.voters) {
        if (here(voter))
            voterAway_.erase(voter);
        else if (now - voterAway_.try_emplace(voter, now).first->second > awayForGood)
            away.insert(voter);
    }
    std::erase_if(memberSince_, [&](const auto& each) { return !present.count(each.first); });
    for (const std::string& member : present) memberSince_.try_emplace(member, now);
    // Two that think themselves the first clash at the register, and one goes on.
    if (rank() > 0) return;
    Reform reform;
    reform.to = core_;
    ++reform.to.epoch;
    for (const auto& [member, since] : memberSince_)
        if (!core_.voters.count(member) && now - since >= settlesIn) {
            reform.to.voters.insert(member);
            break;
        }
    if (reform.to.voters == core_.voters && core_.voters.size() > 3 && !away.empty())
        reform.to.voters.erase(*away.begin());
    if (reform.to.voters == core_.voters) return;
    reform.since = now;
    reform.heard.insert(self_);
    for (const auto& [name, slot] : acceptor_.all()) reform.names.insert(name);
    reform_ = std::move(reform);
}

void ControlMember::changeCore(Core to, Nanos now) {
    const Json wanted{{"epoch", to.epoch}, {"voters", to.voters}};
    proposer_.begin(
        {"core",
         [wanted](const Json& was) {
             const std::uint64_t epoch = was.is_object() ? was.at("epoch").get<std::uint64_t>() : 1;
             return epoch + 1 == wanted.at("epoch") ? wanted : was;
         },
         [this, wanted](std::optional<Json> stands) {
             reform_.reset();
             if (!stands || stands->is_null()) return;
             learn("core", *stands);
             if (*stands == wanted)
                 outputs_.push_back(ToLog{"core of " + std::to_string(wanted.at("voters").size()) +
                                          " voters in epoch " + wanted.at("epoch").dump()});
         }},
        now, now + changeWithin);
}

void ControlMember::tick(Nanos now) {
    now_ = now;
    gossip_.advance(now, now < leaseUntil_);
    gossip_.own("member/" + self_,
                {{"station", settings_.station}, {"district", settings_.district}, {"ip", settings_.ip}});
    rounds(now);
    proposer_.tick(now);
    for (std::string& text : proposer_.takeFailures()) outputs_.push_back(ToLog{std::move(text)});
    if (recovering_ && now - recovery_.askedAt >= millis(300)) {
        recovery_.askedAt = now;
        for (const std::string& voter : core_.voters)
            if (const int link = voter == self_ ? 0 : linkTo(voter)) send(link, {{"k", "dump?"}});
    }
    repair(now);
    manage(now);
    ownDuties(now);
    flushProposer(now);
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
            {"lease_left_ms", std::max<Nanos>(0, leaseUntil_ - now) / 1'000'000},
            {"edition", config ? Json(config->version.major) : Json()},
            {"registers", acceptor_.all().size()},
            {"leads", leads}};
}

}  // namespace granitereel::control
