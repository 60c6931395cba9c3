// Several owners of one service's duty in virtual time: a linearizable register, stores, a platform that
// checks fences or doesn't, fronts that read under a lease. Calls take time and are lost, owners freeze
// before any of their steps, die and come back as another life, are cut off, and each has a clock of its own.
// Broken rules are collected in words.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/failover.hpp"
#include "gossip/lease.hpp"
#include "proxy/primary_evidence.hpp"
#include "proxy/replica_evidence.hpp"
#include "standins/databases.hpp"

namespace granitereel::standins {

using namespace granitereel::control;

class PromotionRig {
public:
    struct Options {
        bool fenceChecked = true;
        Nanoseconds platformLease = 0;
        unsigned seed = 1;
        int owners = 2;
        std::optional<Nanoseconds> postWay = {}, promoteTakes = {};  // none: at random
        int lostInHundred = 0;  // of calls to stores and to the platform, requests and answers alike
        bool provesByReplicas =
            false;  // fronts that are cut off from control ask replicas; these start and join
        bool provesOnAnyConnection = false;  // broken: also on those made since the last lease
        bool comesBackRenamed = false;       // stores that crash come back under other names
        bool startsAtAnyMoment = false;  // also between a replica's pause and the promotion that rests on it
    };
    struct Post {
        Nanoseconds at;
        std::string holder;
        int life;
        std::uint64_t fence;
        std::string store;
    };
    // A member that may own the duty.
    struct Owner final : Failover::Host {
        PromotionRig& rig;
        std::string name;
        int life = 0;
        Nanoseconds offset = 0;
        double rate = 1;
        std::unique_ptr<Failover> succession;
        gossip::RecordTable known;
        Outputs out;
        std::uint64_t lastAsk = 0;
        bool frozen = false, cutOff = false, answersCut = false, storesCut = false, platformCut = false,
             mine = false;
        int steps = 0, freezeAtStep = -1;
        std::vector<std::function<void()>> waiting;  // what is due while it is frozen

        Owner(PromotionRig& of, std::string called) : rig(of), name(std::move(called)) {}
        Nanoseconds clock() const {
            return offset + static_cast<Nanoseconds>(static_cast<double>(rig.now) * rate);
        }
        Outputs& outputs() override { return out; }
        std::uint64_t nextRequestId(Failover&) override { return ++lastAsk; }
        const gossip::RecordTable& recordTable() const override { return known; }
        int syncReplicas(const std::string&) const override { return 1; }
        void compareAndSet(const std::string&, std::uint64_t ifSeq, PrimaryRecord to,
                           std::function<void(std::optional<PrimaryRecord>)> done) override {
            const auto once =
                std::make_shared<std::function<void(std::optional<PrimaryRecord>)>>(std::move(done));
            rig.askRegister(
                *this,
                [this, ifSeq, to, once] {
                    const bool applies = (rig.lead ? rig.lead->sequence : 0) == ifSeq;
                    if (applies) rig.write(to);
                    if (answersCut) return;
                    rig.toOwner(*this, rig.delay(), [this, applies, to, once] {
                        if (applies) known.put("lead/svc", {{to.sequence, 0}, serializePrimaryRecord(to)});
                        if (const auto told = std::exchange(*once, nullptr))
                            told(applies ? std::optional(to) : std::nullopt);
                    });
                },
                [once] {
                    if (const auto told = std::exchange(*once, nullptr)) told(std::nullopt);
                });
        }
        void confirmPrimary(const std::string&, const PrimaryRecord& expected,
                            std::function<void(Confirmation, Nanoseconds)> done) override {
            const auto once =
                std::make_shared<std::function<void(Confirmation, Nanoseconds)>>(std::move(done));
            rig.askRegister(
                *this,
                [this, expected, once] {
                    if (answersCut) return;
                    const bool stands =
                        rig.lead && serializePrimaryRecord(*rig.lead) == serializePrimaryRecord(expected);
                    rig.toOwner(*this, rig.delay(), [this, stands, once] {
                        if (const auto told = std::exchange(*once, nullptr))
                            told(stands ? Confirmation::current : Confirmation::replaced, clock());
                    });
                },
                [this, once] {
                    if (const auto told = std::exchange(*once, nullptr)) told(Confirmation::unknown, clock());
                });
        }
    };
    // Reads from the lead without proof while its lease runs, and tells clients of their writes as the proxy
    // does.
    struct Front {
        Nanoseconds leaseUntil = 0, askedAt = 0;
        std::string store;
        bool frozen = false, cutOff = false;
        std::uint64_t heardSeq = 0;
        proxy::PrimaryEvidence evidence;
        proxy::ReplicaEvidence replicas;
        std::map<std::string, int> witnesses;  // connections to replicas made while the lead was settled
        std::vector<std::pair<std::string, proxy::AcknowledgedWrite>> unproven;  // by the write's id
    };

    explicit PromotionRig(Options of) : options(of), chance(of.seed) {
        for (int i = 0; i < options.owners; ++i) {
            owners.push_back(std::make_unique<Owner>(*this, "m" + std::to_string(i)));
            owners.back()->offset = Nanoseconds(chance() % 1'000'000'000);
            owners.back()->rate = 1 + (static_cast<int>(chance() % 11) - 5) / 1000.0;
            start(*owners.back());
        }
        for (const std::string& store : databases.names()) beat(store);
        fronts.resize(2);
    }

    void start(Owner& owner) {
        ++owner.life;
        owner.frozen = false;
        owner.waiting.clear();
        owner.out.clear();
        owner.succession =
            std::make_unique<Failover>(owner.name, "svc", frontLease + maxClockDrift, owner,
                                       PlatformGuarantees{options.fenceChecked, options.platformLease});
        owner.mine = false;
        for (const auto& [name, record] : truth.all()) owner.known.put(name, record);
    }
    // Its link is back: it is told what it lacks.
    void synchronise(Owner& owner) {
        for (const auto& [name, record] : truth.all())
            toOwner(owner, delay(), [&owner, name, record] { owner.known.put(name, record); });
    }
    void kill(Owner& owner) {
        owner.succession.reset();
        ++owner.life;
        owner.waiting.clear();
        owner.out.clear();
    }
    void freeze(Owner& owner, Nanoseconds time) {
        owner.frozen = true;
        at(now + time, [this, &owner, life = owner.life] {
            if (owner.life == life) thaw(owner);
        });
    }
    void thaw(Owner& owner) {
        owner.frozen = false;
        // What is due is seen in any order.
        auto due = std::exchange(owner.waiting, {});
        std::shuffle(due.begin(), due.end(), chance);
        for (auto& each : due) step(owner, std::move(each));
    }
    void own(Owner& owner, bool mine) {
        if (!owner.succession || owner.mine == mine) return;
        owner.mine = mine;
        toOwner(owner, 0, [&owner] { owner.succession->setOwner(owner.mine, owner.clock()); });
    }
    void suspect(Owner& owner, const std::string& store) {
        toOwner(owner, 0, [&owner, store] { owner.succession->primarySuspected(store, owner.clock()); });
    }
    void beat(const std::string& store, const std::string& standing = "accepting") {
        standings[store] = standing;
        if (dark.count(store)) return;
        publish("store/" + store, {{++version, 0},
                                   {{"service", "svc"},
                                    {"address", addresses.count(store) ? addresses[store] : store},
                                    {"standing", standing},
                                    {"role", databases.roleOf(store)}}});
    }
    // By value: the name may be that of an element which is erased here.
    void crash(std::string store, bool on) {
        on ? (void)dark.insert(store) : (void)dark.erase(store);
        databases.dark(store, on);
    }
    // A replica ends in order, and takes its log along.
    void leaves(const std::string& store) {
        left = store;
        leftAt = now;
        databases.leaves(store);
        standings.erase(store);
        dark.erase(store);
        hiddenFromControl.erase(store);
        publish("store/" + store, {{++version, 0}, nullptr});
    }
    // A new store at its address has its log.
    void logPassesTo(const std::string& from, const std::string& store) {
        databases.logPassesTo(from, store);
        addresses[store] = addresses.count(from) ? addresses[from] : from;
        left.clear();
        beat(store);
    }
    // A store that crashed without a word is back at its address under another name. The record under the old
    // name stands, as nobody took it down.
    void returnsAs(const std::string& store, const std::string& to) {
        databases.renamed(store, to);
        formerNames.insert(store);
        dark.erase(store);
        standings.erase(store);
        addresses[to] = addresses.count(store) ? addresses[store] : store;
        beat(to);
    }
    // A client's write at the store that leads, through a front that runs. The store acknowledges it if a
    // replica has it, the front tells the client once its evidence says that it is kept.
    void clientWrites() {
        std::vector<Front*> running;
        for (Front& front : fronts)
            if (!front.frozen) running.push_back(&front);
        if (running.empty()) return;
        Front& front = *running[static_cast<std::size_t>(writes) % running.size()];
        const std::string id = "w" + std::to_string(++writes);
        const int line = databases.connect(databases.lead());
        databases.said(line, "GREET svc w " + databases.lead());
        const auto told = databases.said(line, "QUERY " + id + " WRITE x 1");
        if (told && told->starts_with("DONE")) {
            const auto position = parseLogPosition(
                told->substr(told->rfind(' ') + 1, told->rfind("\r\n") - told->rfind(' ') - 1));
            front.unproven.push_back({id, {position, position->term, now}});
        }
        databases.closed(line);
        judge(front);
    }
    // A replica that starts again under its name.
    void restarts(const std::string& store) { databases.restarted(store); }
    void joins(const std::string& store) {
        databases.joins(store);
        beat(store);
    }
    // Rows come one by one: at each look only some replicas are asked.
    void askReplicas(Front& front) {
        if (front.unproven.empty()) return;
        if (options.provesOnAnyConnection) openWitnesses(front);
        for (const auto& [store, connection] : front.witnesses) {
            if (!databases.open(connection) || chance() % 2) continue;
            const auto told = databases.said(connection, "QUERY - STATUS");
            const auto row = told ? rowOf(*told) : std::nullopt;
            if (row) front.replicas.recordStatus(store, *row);
        }
    }
    bool provenByReplicas(const Front& front, const proxy::AcknowledgedWrite& write) const {
        return options.provesByReplicas && write.position &&
               now < front.evidence.settledUntil() + gossip::recordsUsableAfterLease &&
               front.replicas.allHave(*write.position, 1);
    }
    // Tells clients of writes that are kept; those of which nothing is known are in doubt.
    void judge(Front& front) {
        if (options.provesByReplicas) askReplicas(front);
        std::erase_if(front.unproven, [&](const auto& each) {
            proxy::WriteDurability fate = front.evidence.durabilityOf(each.second);
            if (fate == proxy::WriteDurability::undecided && provenByReplicas(front, each.second)) {
                fate = proxy::WriteDurability::durable;
                ++provenAlone;
            }
            if (fate == proxy::WriteDurability::durable) acknowledged.push_back(each.first);
            if (fate == proxy::WriteDurability::unknown) ++doubtful;
            return fate != proxy::WriteDurability::undecided;
        });
    }

    void run(Nanoseconds time) {
        for (const Nanoseconds until = now + time; now < until;) {
            now += milliseconds(1);
            while (!events.empty() && events.begin()->first <= now) {
                const auto due = std::move(events.begin()->second);
                events.erase(events.begin());
                due();
            }
            const Nanoseconds turn = now / milliseconds(1);
            if (turn % 50 == 0)
                for (auto& owner : owners)
                    toOwner(*owner, 0, [o = owner.get()] { o->succession->tick(o->clock()); });
            if (turn % 500 == 0)
                for (const auto& [store, standing] : std::map(standings)) beat(store, standing);
            for (Front& front : fronts) readUnderLease(front);
            if (options.provesByReplicas && turn % 50 == 0)
                for (Front& front : fronts)
                    if (!front.frozen) judge(front);
        }
    }
    // Replicas that stand still, by what they say themselves.
    std::vector<std::string> pausedReplicas() {
        std::vector<std::string> all;
        for (const std::string& store : databases.names()) {
            if (dark.count(store)) continue;
            const auto row = say(store, "STATUS");
            if (row && row->fencedTerm > 0) all.push_back(store);
        }
        return all;
    }

    Options options;
    Databases databases{"svc", 3, 1};
    std::mt19937 chance;
    Nanoseconds now = milliseconds(1'000'000);
    std::vector<std::unique_ptr<Owner>> owners;
    std::vector<Front> fronts;
    std::optional<PrimaryRecord> lead;
    std::vector<Post> posts;  // as the platform saw them
    std::set<std::string> dark, hiddenFromControl, formerNames;
    std::string left;  // whose log is away; empty: none
    Nanoseconds leftAt = 0;
    int postsLeft = 0;
    Nanoseconds promotedBy = 0;  // by then every promotion asked for so far has been carried out
    // A start ends a pause, so none is assumed between a pause and the promotion that rests on it. No
    // promotion goes on without a store that is still on record.
    bool mayStart() const {
        if (options.startsAtAnyMoment) return !left.empty();
        if (left.empty() || !lead || now - leftAt <= milliseconds(3000) || now <= promotedBy) return false;
        return lead->settled || lead->replicas.count(left) > 0;
    }
    std::vector<std::string> acknowledged, faults;
    int provenAlone = 0;  // writes told by what the replicas said
    int doubtful = 0;     // writes of whose fate the client was told nothing
    static constexpr Nanoseconds frontLease = milliseconds(700);

private:
    friend struct Owner;
    void at(Nanoseconds when, std::function<void()> what) { events.emplace(when, std::move(what)); }
    Nanoseconds delay() {
        return milliseconds(1) + Nanoseconds(chance() % 4 ? chance() % 5'000'000 : chance() % 60'000'000);
    }
    bool lost() { return static_cast<int>(chance() % 100) < options.lostInHundred; }

    void toOwner(Owner& owner, Nanoseconds in, std::function<void()> what) {
        at(now + in, [this, &owner, life = owner.life, what = std::move(what)] {
            if (owner.life == life) step(owner, what);
        });
    }
    void step(Owner& owner, std::function<void()> what) {
        if (!owner.succession) return;
        if (!owner.frozen && ++owner.steps == owner.freezeAtStep) freeze(owner, milliseconds(20'000));
        if (owner.frozen) return owner.waiting.push_back(std::move(what));
        what();
        // What it wants done leaves in steps of its own, as it may freeze before each.
        for (Output& each : std::exchange(owner.out, {})) {
            if (auto* ask = std::get_if<ToStore>(&each))
                toOwner(owner, Nanoseconds(chance() % 2'000'000),
                        [this, &owner, ask = *ask] { leave(owner, ask); });
            if (auto* post = std::get_if<ToPlatform>(&each))
                toOwner(owner, Nanoseconds(chance() % 2'000'000),
                        [this, &owner, post = *post] { leave(owner, post); });
        }
    }
    void askRegister(Owner& owner, std::function<void()> evaluate, std::function<void()> gaveUp) {
        toOwner(owner, Nanoseconds(chance() % 2'000'000), [this, &owner, evaluate = std::move(evaluate)] {
            at(now + delay(), [&owner, evaluate] {
                if (!owner.cutOff) evaluate();
            });
        });
        toOwner(owner, milliseconds(900), std::move(gaveUp));
    }
    void write(const PrimaryRecord& to) {
        lead = to;
        publish("lead/svc", {{to.sequence, 0}, serializePrimaryRecord(to)});
    }
    void publish(const std::string& name, gossip::Record record) {
        truth.put(name, record);
        for (auto& owner : owners)
            if (!owner->cutOff && !owner->answersCut)
                toOwner(*owner, delay(), [o = owner.get(), name, record] { o->known.put(name, record); });
    }
    std::optional<StoreStatus> say(const std::string& store, const std::string& text) {
        if (!standings.count(store)) return std::nullopt;  // it has left
        const int line = databases.connect(store);
        databases.said(line, "GREET svc control " + store);
        const auto told = databases.said(line, "QUERY - " + text);
        databases.closed(line);
        return told ? rowOf(*told) : std::nullopt;
    }
    static std::optional<StoreStatus> rowOf(const std::string& told) {
        if (!told.starts_with("ROW ")) return std::nullopt;
        return parseStoreStatus(told.substr(4, told.find("\r\n") - 4));
    }
    void openWitnesses(Front& front) {
        for (const std::string& store : front.replicas.replicas()) {
            int& connection = front.witnesses[store];
            if (databases.open(connection) || !standings.count(store) || dark.count(store)) continue;
            connection = databases.connect(store);
            databases.said(connection, "GREET svc w " + store);
        }
    }
    void leave(Owner& owner, const ToStore& ask) {
        const auto none = [&owner, no = ask.requestId] {
            owner.succession->statementAnswered(no, std::nullopt, owner.clock());
        };
        if (owner.clock() >= ask.notAfter) return none();
        toOwner(owner, milliseconds(ask.within_ms), none);
        if (owner.storesCut || lost()) return;
        // One in sixteen arrives as late as its time-out allows.
        const Nanoseconds way = chance() % 16 ? delay() : milliseconds(ask.within_ms - 1);
        at(now + way, [this, &owner, life = owner.life, ask] {
            if (hiddenFromControl.count(ask.store)) return;
            const auto row = say(ask.store, ask.text);
            if (owner.life != life || dark.count(ask.store) || owner.storesCut || lost()) return;
            toOwner(owner, delay(), [&owner, no = ask.requestId, row] {
                owner.succession->statementAnswered(no, row, owner.clock());
            });
        });
    }
    void leave(Owner& owner, const ToPlatform& post) {
        const auto ended = [this, &owner, no = post.requestId](Nanoseconds in, PromotionOutcome answer) {
            toOwner(owner, in,
                    [&owner, no, answer] { owner.succession->promotionAnswered(no, answer, owner.clock()); });
        };
        if (owner.clock() >= post.notAfter) return ended(0, PromotionOutcome::notSent);
        ended(milliseconds(post.within_ms), PromotionOutcome::unanswered);
        if (owner.platformCut || lost()) return;
        const Nanoseconds atRandom =
            chance() % 4 ? delay() : milliseconds(1) + Nanoseconds(chance() % 1000) * 1'190'000;
        const Nanoseconds way = options.postWay.value_or(atRandom);
        promotedBy = now + way + milliseconds(800);
        ++postsLeft;
        at(now + way, [this, &owner, life = owner.life, post, ended] {
            const PromotionOutcome answer = arrived({now, owner.name, life, post.fence, post.store});
            if (owner.life == life && !owner.platformCut && !lost()) ended(delay(), answer);
        });
    }
    PromotionOutcome arrived(const Post& post) {
        for (const Post& seen : posts) {
            const bool same =
                seen.holder == post.holder && seen.life == post.life && seen.store == post.store;
            if (seen.fence == post.fence && !same) fault("two calls under fence", post, seen);
            if (!options.fenceChecked && post.fence < seen.fence) fault("a lower fence", post, seen);
            if (seen.holder != post.holder && post.at - seen.at < options.platformLease)
                fault("turns inside the lease", post, seen);
        }
        const std::uint64_t highest = highestFence;
        if (options.fenceChecked && post.fence < highest) return PromotionOutcome::conflict;
        posts.push_back(post);
        highestFence = std::max(highest, post.fence);
        if (dark.count(post.store) || !standings.count(post.store)) return PromotionOutcome::conflict;
        const Nanoseconds atRandom = milliseconds(100) + Nanoseconds(chance() % 700) * 1'000'000;
        const Nanoseconds takes = options.promoteTakes.value_or(atRandom);
        at(now + takes, [this, store = post.store] {
            if (!standings.count(store) || databases.lead() == store || !databases.promote(store)) return;
            for (const std::string& id : acknowledged)
                if (databases.effects(id) != 1) faults.push_back(store + " is promoted without " + id);
            for (const std::string& each : databases.names()) beat(each, standings[each]);
        });
        return PromotionOutcome::accepted;
    }
    void fault(const std::string& what, const Post& post, const Post& seen) {
        faults.push_back(what + " " + std::to_string(post.fence) + " by " + post.holder + " after " +
                         std::to_string(seen.fence) + " by " + seen.holder);
    }
    void readUnderLease(Front& front) {
        if (now - front.askedAt >= milliseconds(200) && !front.frozen && !front.cutOff) {
            front.askedAt = now;
            at(now + delay(), [this, &front, asked = now] {
                if (!lead) return;
                const std::string store = lead->settled ? lead->store : "";
                at(now + delay(), [this, &front, asked, store, record = *lead] {
                    front.leaseUntil = std::max(front.leaseUntil, asked + frontLease);
                    front.store = store;
                    if (record.sequence < front.heardSeq) return;  // overtaken by a later record
                    front.heardSeq = record.sequence;
                    front.evidence.updateRecord(record.term, record.retained);
                    front.replicas.updateRecord(record.term, record.replicas);
                    if (record.settled) front.evidence.extendSettled(asked + frontLease);
                    if (options.provesByReplicas && front.evidence.isSettled(now) && !front.frozen)
                        openWitnesses(front);
                    if (!front.frozen) judge(front);
                });
            });
        }
        if (front.frozen || now >= front.leaseUntil || front.store.empty()) return;
        if (formerNames.count(front.store)) return;  // no store answers to that name
        if (front.store != databases.lead())
            faults.push_back("a front reads from " + front.store + " while " + databases.lead() + " leads");
    }

    std::multimap<Nanoseconds, std::function<void()>> events;
    gossip::RecordTable truth;
    std::map<std::string, std::string> standings, addresses;
    std::uint64_t version = 1, highestFence = 0;
    int writes = 0;
};

}  // namespace granitereel::standins
