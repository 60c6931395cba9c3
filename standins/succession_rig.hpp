// Owners of one service's duty over a register that is always there, against stand-in stores and a platform.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/succession.hpp"
#include "standins/databases.hpp"

namespace granitereel::standins {

using namespace granitereel::control;

// Owners of one service's duty over a register that is always there, against stand-in stores.
struct SuccessionRig : Succession::Means {
    Databases databases{"svc", 3, 1};
    gossip::RecordTable known;
    Outputs out;
    std::optional<Lead> lead;
    std::map<std::uint64_t, Succession*> asks;
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
    std::uint64_t nextAsk(Succession& asker) override {
        asks[next] = &asker;
        return next++;
    }
    void change(const std::string&, std::uint64_t ifSeq, Lead to,
                std::function<void(std::optional<Lead>)> done) override {
        if ((lead ? lead->seq : 0) != ifSeq) return done(std::nullopt);
        lead = to;
        known.put("lead/svc", {{to.seq, 0}, written(to)});
        done(to);
    }
    void confirm(const std::string&, const Lead& expected,
                 std::function<void(Confirmation, Nanoseconds)> done) override {
        const bool stands = lead && written(*lead) == written(expected);
        done(stands ? Confirmation::stands : Confirmation::replaced, clock);
    }
    const gossip::RecordTable& recordTable() const override { return known; }
    int syncReplicas(const std::string&) const override { return 1; }

    // Carries out what is asked, and answers it; `stopAfter`: that many asks, then whoever asked is dead.
    int serve(Succession& owner, Nanoseconds now, int stopAfter = 1 << 30, bool answers = true,
              bool posts = true) {
        int served = 0;
        while (!out.empty() && served < stopAfter) {
            Outputs batch = std::exchange(out, {});
            for (Output& each : batch) {
                if (served >= stopAfter) break;
                if (auto* ask = std::get_if<ToStore>(&each)) {
                    ++served;
                    const int line = databases.connect(ask->store);
                    std::optional<StoreRow> row;
                    databases.said(line, "GREET svc control " + ask->store);
                    if (const auto told = databases.said(line, "QUERY - " + ask->text);
                        told && told->starts_with("ROW "))
                        row = readRow(told->substr(4, told->find("\r\n") - 4));
                    databases.closed(line);
                    if (answers) owner.answered(ask->requestId, row, now);
                } else if (auto* post = std::get_if<ToPlatform>(&each); post && !posts) {
                    heldBack.push_back(*post);
                } else if (post) {
                    ++served;
                    auto answer = PromotionAnswer::conflict;
                    if (post->fence >= highestFence) {
                        highestFence = post->fence;
                        if (databases.promote(post->store)) answer = PromotionAnswer::accepted;
                        for (const std::string& store : databases.names()) beat(store);
                    } else {
                        ++late;
                    }
                    if (answers) owner.promoted(post->requestId, answer, now);
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

inline void settleDown(SuccessionRig& rule, Succession& owner, Nanoseconds& now, Nanoseconds time) {
    for (const Nanoseconds until = now + time; now < until; now += milliseconds(50)) {
        rule.clock = now;
        owner.tick(now);
        rule.serve(owner, now);
    }
}

}  // namespace granitereel::standins
