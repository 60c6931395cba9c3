// Owners of one service's duty over a register that is always there, against stand-in stores and a platform.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/failover.hpp"
#include "standins/databases.hpp"

namespace granitereel::standins {

using namespace granitereel::control;

// Owners of one service's duty over a register that is always there, against stand-in stores.
struct SuccessionRig : Failover::Host {
    Databases databases{"svc", 3, 1};
    gossip::RecordTable known;
    Outputs out;
    std::optional<PrimaryRecord> lead;
    std::map<std::uint64_t, Failover*> asks;
    std::uint64_t next = 1, version = 1, highestFence = 0;
    int late = 0;
    std::vector<ToPlatform> heldBack;  // calls that serve() was told not to carry out
    Nanoseconds clock = 0;
    std::vector<std::string> refused;

    SuccessionRig() {
        for (const std::string& store : databases.names()) beat(store);
    }
    void beat(const std::string& store, const std::string& standing = "accepting") {
        known.put("store/" + store, {{++version, 0},
                                     {{"service", "svc"},
                                      {"address", store},
                                      {"standing", standing},
                                      {"role", databases.roleOf(store)}}});
    }
    Outputs& outputs() override { return out; }
    std::uint64_t nextRequestId(Failover& asker) override {
        asks[next] = &asker;
        return next++;
    }
    void compareAndSet(const std::string&, std::uint64_t ifSeq, PrimaryRecord to,
                       std::function<void(std::optional<PrimaryRecord>)> done) override {
        if ((lead ? lead->sequence : 0) != ifSeq) return done(std::nullopt);
        lead = to;
        known.put("lead/svc", {{to.sequence, 0}, serializePrimaryRecord(to)});
        done(to);
    }
    void confirmPrimary(const std::string&, const PrimaryRecord& expected,
                        std::function<void(Confirmation, Nanoseconds)> done) override {
        const bool stands = lead && serializePrimaryRecord(*lead) == serializePrimaryRecord(expected);
        done(stands ? Confirmation::current : Confirmation::replaced, clock);
    }
    const gossip::RecordTable& recordTable() const override { return known; }
    int syncReplicas(const std::string&) const override { return 1; }

    // Carries out what is asked, and answers it; `stopAfter`: that many asks, then whoever asked is dead.
    int serve(Failover& owner, Nanoseconds now, int stopAfter = 1 << 30, bool answers = true,
              bool posts = true) {
        int served = 0;
        while (!out.empty() && served < stopAfter) {
            Outputs batch = std::exchange(out, {});
            for (Output& each : batch) {
                if (served >= stopAfter) break;
                if (auto* ask = std::get_if<ToStore>(&each)) {
                    ++served;
                    const int line = databases.connect(ask->store);
                    std::optional<StoreStatus> row;
                    databases.said(line, "GREET svc control " + ask->store);
                    if (const auto told = databases.said(line, "QUERY - " + ask->text);
                        told && told->starts_with("ROW "))
                        row = parseStoreStatus(told->substr(4, told->find("\r\n") - 4));
                    databases.closed(line);
                    if (answers) owner.statementAnswered(ask->requestId, row, now);
                } else if (auto* post = std::get_if<ToPlatform>(&each); post && !posts) {
                    heldBack.push_back(*post);
                } else if (post) {
                    ++served;
                    auto answer = PromotionOutcome::conflict;
                    if (post->fence >= highestFence) {
                        highestFence = post->fence;
                        if (databases.promote(post->store)) answer = PromotionOutcome::accepted;
                        for (const std::string& store : databases.names()) beat(store);
                    } else {
                        ++late;
                    }
                    if (answers) owner.promotionAnswered(post->requestId, answer, now);
                }
            }
        }
        return served;
    }
    void write(const std::string& id) {
        const int line = databases.connect(databases.lead());
        databases.said(line, "GREET svc w " + databases.lead());
        const auto told = databases.said(line, "QUERY " + id + " WRITE x 1");
        if (told && told->starts_with("DONE")) acknowledged.push_back(id);
        databases.closed(line);
    }
    std::vector<std::string> acknowledged;
};

inline void settleDown(SuccessionRig& rule, Failover& owner, Nanoseconds& now, Nanoseconds time) {
    for (const Nanoseconds until = now + time; now < until; now += milliseconds(50)) {
        rule.clock = now;
        owner.tick(now);
        rule.serve(owner, now);
    }
}

}  // namespace granitereel::standins
