// What the tests share: a Front with its state laid open, and an Outlet that writes down what it does.
#pragma once

#undef NDEBUG
#include <cassert>

#include "front.hpp"

namespace granitereel {

struct Notes final : Outlet {
    std::vector<std::string> lines;
    void add(std::string line) { lines.push_back(std::move(line)); }
    void launch(const std::string& t, const std::string& s, Nanos) override { add("launch " + t + " " + s); }
    void nack(const std::string& t, Nanos) override { add("nack " + t); }
    void writeOff(const std::string& t) override { add("write off " + t); }
    void cancel(const std::string& t, int no) override { add("cancel " + t + " " + std::to_string(no)); }
    void probe(const std::string& s) override { add("probe " + s); }
    void hangUp(const std::string& s) override { add("hang up " + s); }
    void followList(bool) override { add("follow"); }
    void askList() override { add("ask"); }
    void tell(std::optional<int>, const std::string&) override { add("tell"); }
    void wake(Nanos, std::int64_t) override {}
    void log(const std::string&) override {}

    int count(const std::string& start) const {
        int n = 0;
        for (const std::string& line : lines) n += line.rfind(start, 0) == 0;
        return n;
    }
};

enum { look, recent, report, pay, post, check };  // the lanes of charter()

inline Charter charter() {
    Charter c;
    auto lane = [&](Need need, Effect effect, double gain, Nanos goal, Nanos cutOff) -> Lane& {
        Lane l;
        l.need = need;
        l.effect = effect;
        l.gain = gain;
        l.goalTime = goal;
        l.cutOff = cutOff;
        c.lanes.push_back(l);
        return c.lanes.back();
    };
    lane(Need::bounded, Effect::harmless, 3, millis(400), millis(1000)).bound = millis(300);
    lane(Need::session, Effect::harmless, 1, millis(400), millis(1000));
    lane(Need::any, Effect::harmless, 1, millis(4000), millis(8000));
    lane(Need::write, Effect::oneShot, 4, millis(600), millis(2000)).lateShare = 0.5;
    Lane& stamped = lane(Need::write, Effect::stamped, 4, millis(600), millis(2000));
    stamped.reach = Reach::group;
    stamped.window = millis(1200);
    lane(Need::fresh, Effect::harmless, 1, millis(600), millis(2000));
    c.launchLimit = 6;
    c.mayProbe = c.mayCancel = c.reportsTellRole = true;
    c.askWithin = millis(10'000);
    c.coldTime = millis(15'000);
    c.coldFrom = 0.25;
    c.fallMultiple = 2;
    c.tick = millis(5);
    return c;
}

struct Bench {
    Notes notes;
    Nanos now = millis(1'000'000);
    Front front;
    Group& group;
    std::vector<std::unique_ptr<Transaction>> loose;

    explicit Bench(const Charter& c = charter(), std::uint64_t seed = 7)
        : front(c, seed, now, notes), group(front.groups_[0]) {}

    // A warm, idle store of group 0 whose position is the present.
    Store& store(const std::string& id, Pool pool = Pool::none) {
        auto& slot = front.stores_[id];
        slot = std::make_unique<Store>();
        Store& s = *slot;
        s.id = id;
        s.pool = pool;
        s.window = 100;
        s.position = s.positionTold = s.heard = now;
        group.members.push_back(&s);
        group.redeal = false;
        return s;
    }
    Store& primary(const std::string& id) {
        Store& s = store(id);
        s.role = Role::primary;
        s.roleAsOf = now;
        return *(group.primary = &s);
    }
    // A transaction that the front has taken just now.
    Transaction& transaction(int lane, const std::string& id = "t") {
        auto& slot = front.transactions_[id];
        slot = std::make_unique<Transaction>();
        Transaction& t = *slot;
        t.id = id;
        t.lane = lane;
        t.group = &group;
        t.arrived = now;
        t.goal = now + front.lanes_[lane].goalTime;
        t.cutOff = now + front.lanes_[lane].cutOff;
        return t;
    }
    void pass(std::int64_t ms) { front.clock(now += millis(ms)); }
    bool known(const std::string& id) const { return front.transactions_.count(id) > 0; }

    Store* pick(const Transaction& t) { return front.pick(group, t); }
    Store* pickReplica(const Transaction& t) { return front.pickReplica(group, t); }
    void deal() { front.deal(group); }
    void giveBack(int tier) { front.giveBack(group, tier); }
    void launch(Transaction& t, Store& s) { front.launch(t, s); }
    void route(Transaction& t) { front.route(t); }
    void finish(Transaction& t) { front.finish(t); }
    bool freshEnough(const Store& s, const Transaction& t) { return front.freshEnough(s, t); }
    bool mayLaunch(const Transaction& t, const Store& s) { return front.mayLaunch(t, s); }
    bool mayNack(const Transaction& t) { return front.mayNack(t); }
    bool probeIsDue(const Store& s) { return front.probeIsDue(s); }
    void tellRole(Store& s, Role role, Nanos asOf, bool byAnswer) { front.tellRole(s, role, asOf, byAnswer); }
    void judgeSilence(Store& s) { front.judgeSilence(s); }
    void distrust(Store& s, bool away) { front.distrust(s, away); }
    bool wellEnough(const Store& s) { return front.wellEnough(s); }
    bool hasRoom(Store& s, const Transaction& t) { return front.hasRoom(s, t); }
    bool coldRoom(Store& s, double work) { return front.coldRoom(s, work); }
    void setBearing(double work) { front.bearing_ = work; }
    void heardFrom(int zone) { front.ways_[zone].heard = now; }
    void settle(Store& s, Ending how, Nanos delay) {
        front.settleAccount(s, {"x", 0, look, now, false}, how, delay);
    }
    void seen(int lane, Nanos delay) { front.laneTime_[lane].add(now, millis(30'000), double(delay)); }
    Nanos alreadyWaited(int lane, Nanos patience) { return front.alreadyWaited(lane, patience); }
    double gainNow(const Transaction& t) { return front.gainNow(t); }
    bool launchedTo(const std::string& t, const std::string& s) {
        return notes.count("launch " + t + " " + s) > 0;
    }
    void end(const std::string& t, int no, Store& s, Ending how, Role role = Role::unknown) {
        front.ended(t, no, s.id, how, millis(20), role, {}, how == Ending::delivered);
    }
};

}  // namespace granitereel
