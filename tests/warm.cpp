// The warm-up of a cold store as work of one owner, in virtual time: whatever is lost, late, twice, cut,
// stalled or started again, what fronts earn themselves and what is lent to them never sums above the whole.
#undef NDEBUG
#include <rapidcheck.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>

#include "bench.hpp"
#include "owners/clerk.hpp"
#include "owners/letter.hpp"
#include "standins/outlet.hpp"
#include "standins/world.hpp"

using namespace granitereel;
using namespace granitereel::owners;
using standins::World;

namespace {

// What one process may give a cold store, and what it has had by others' leave.
struct Purse final : Warmer::Till {
    const std::function<Nanoseconds()> now;
    const double part;
    const bool& cold_;
    const Nanoseconds started;
    double ceded = 0, earned = 0, lent = 0;
    Nanoseconds at = -1;
    int loans = 0;
    Purse(std::function<Nanoseconds()> clock, double share, const bool& isCold, Nanoseconds since)
        : now(std::move(clock)), part(share), cold_(isCold), started(since) {}
    void settle() {
        if (at >= 0) earned += std::max(0.0, part - ceded) * double(now() - at);
        if (at >= 0) at = now();
    }
    std::vector<Warmer::Cold> cold() override {
        if (!cold_) return {};
        if (at < 0) at = now();  // it is used by nobody before
        return {{"s", started, part}};
    }
    void cede(const std::string&, double by) override {
        settle();
        ceded = by;
    }
    void lend(const std::string&, Nanoseconds work, Nanoseconds) override {
        lent += double(work);
        ++loans;
    }
};

struct Beside {
    Purse purse;
};
struct Host final : Beside, WarmClerk {
    Host(tier::Members& members, Clerk& leases, Nanoseconds now, Purse own,
         const std::function<void(const std::string&)>& log)
        : Beside{std::move(own)}, WarmClerk(members, leases, {}, now, purse, log) {}
};

constexpr Nanoseconds work = milliseconds(50);

struct Fleet {
    World world;
    const int count;
    const double part;
    bool cold = true;
    Nanoseconds since;
    std::map<Host*, int> alive;  // processes, each with its front's number
    double spent = 0;            // earned and lent by processes that are gone
    int loans = 0;
    std::vector<int> wishing;  // fronts where work waits all the time

    Fleet(int fronts, std::uint64_t seed)
        : world(fronts, seed), count(fronts), part(0.6 / fronts), since(world.now()) {
        world.guests = [this](int front, tier::Members& members, Nanoseconds now, std::uint64_t guestSeed) {
            World::Guests all;
            const auto log = [this, front](const std::string& line) {
                if (std::getenv("TRACE"))
                    std::printf("%.3f %d: %s\n", double(world.now()) / 1e9 - 1000, front, line.c_str());
            };
            auto leases =
                std::make_unique<Clerk>(members, Electors::first(count), Terms{}, 1000, guestSeed, now, log);
            auto host = std::make_unique<Host>(
                members, *leases, now, Purse([this] { return world.now(); }, part, cold, milliseconds(5)),
                log);
            alive[host.get()] = front;
            all.push_back(std::move(leases));
            all.push_back(std::move(host));
            return all;
        };
    }
    Host& host(int front) { return static_cast<Host&>(world.guest(front, 1)); }
    Owners& owners(int front) { return static_cast<Clerk&>(world.guest(front, 0)).owners(); }
    void startAll() {
        for (int i = 0; i < count; ++i) world.start(i);
    }
    // A process is about to end: what it has had is kept on the books.
    void book(int front) {
        if (!world.up(front)) return;
        Host& its = host(front);
        its.purse.settle();
        spent += its.purse.earned + its.purse.lent;
        loans += its.purse.loans;
        alive.erase(&its);
    }
    void kill(int front) {
        book(front);
        world.kill(front);
    }
    void start(int front) {
        book(front);
        world.start(front);
    }
    // The claim, at this moment.
    void check() {
        double sum = spent;
        for (const auto& [each, front] : alive) {
            each->purse.settle();
            sum += each->purse.earned + each->purse.lent;
        }
        const double whole = count * part * double(world.now() - since);
        assert(sum <= whole * (1 + 1e-9) + 1);
    }
    int lender() {
        int found = -1;
        for (int i = 0; i < count; ++i) {
            if (!world.up(i) || !owners(i).holds(world.clockOf(i), keyOf("warm/s"))) continue;
            assert(found < 0);
            found = i;
        }
        return found;
    }
    void pass(Nanoseconds time, Nanoseconds step = milliseconds(10)) {
        for (const Nanoseconds end = world.now() + time; world.now() < end;) {
            world.run(std::min(end, world.now() + step));
            for (const int i : wishing) {
                if (!world.up(i) || world.stalledNow(i)) continue;
                host(i).warmer().scarce(world.clockOf(i), "s",
                                        {work, 1.0 + i, world.clockOf(i) + milliseconds(400)});
                world.stir(i);
            }
            check();
            lender();
        }
    }
    int lentTo(int front) { return host(front).purse.loans; }
    int allLoans() {
        int all = loans;
        for (const auto& [each, front] : alive) all += each->purse.loans;
        return all;
    }
    bool owned(Nanoseconds atMost = milliseconds(20'000)) {
        for (const Nanoseconds end = world.now() + atMost; world.now() < end;) {
            pass(milliseconds(20));
            if (lender() >= 0) return true;
        }
        return false;
    }
};

// One front in need gets nearly all that the others leave, soon after the store is seen, and no more.
void lendsWhatOthersLeave() {
    for (const int count : {3, 10, 60}) {
        Fleet fleet(count, 1);
        fleet.cold = false;
        fleet.startAll();
        fleet.pass(milliseconds(5'000));
        fleet.cold = true;
        const int needy = 1;
        fleet.wishing = {needy};
        fleet.since = fleet.world.now();
        fleet.pass(milliseconds(15'000));
        const double own = fleet.part * 15e9, got = fleet.host(needy).purse.lent;
        // Three quarters of the parts of all others, less a quarter for starts, ends and rounding to whole
        // work.
        if (std::getenv("TRACE")) std::printf("%d: own %.3f got %.3f\n", count, own / 1e9, got / 1e9);
        assert(got > 0.5 * 0.75 * own * (count - 1));
        // Warm again: nothing is lent, and all is given back.
        fleet.cold = false;
        fleet.pass(milliseconds(1'000));
        const int before = fleet.lentTo(needy);
        fleet.pass(milliseconds(5'000));
        assert(fleet.lentTo(needy) == before && fleet.lender() < 0);
        for (int i = 0; i < count; ++i) assert(fleet.host(i).purse.ceded == 0);
    }
}

// Of several in need the highest gain comes first; the others are not forgotten while there is enough.
void lendsToTheHighestGainFirst() {
    Fleet fleet(12, 2);
    fleet.startAll();
    fleet.wishing = {2, 9};
    fleet.pass(milliseconds(20'000));
    assert(fleet.lentTo(9) > fleet.lentTo(2));
    fleet.wishing = {2};
    const int before = fleet.lentTo(2);
    fleet.pass(milliseconds(5'000));
    assert(fleet.lentTo(2) > before + 5);
}

// The owner dies, stalls and comes back, leaves, is cut off: another lends soon, and the sum holds all the
// while.
void losesTheOwner() {
    for (int how = 0; how < 4; ++how) {
        Fleet fleet(7, 3 + static_cast<std::uint64_t>(how));
        fleet.world.drift = 0.005;
        fleet.startAll();
        fleet.wishing = {0, 1};
        assert(fleet.owned());
        fleet.pass(milliseconds(6'000));
        const int owner = fleet.lender();
        const int before = fleet.allLoans();
        assert(before > 5);
        if (how == 0) fleet.kill(owner);
        if (how == 1) fleet.world.stall(owner, milliseconds(9'000));
        if (how == 2) fleet.world.leave(owner);
        if (how == 3) fleet.world.cut = [owner](int from, int to) { return from == owner || to == owner; };
        fleet.pass(milliseconds(16'000));
        assert(fleet.lender() >= 0 && fleet.lender() != owner && fleet.allLoans() > before + 5);
        fleet.world.cut = nullptr;
        if (how == 0) fleet.start(owner);
        fleet.pass(milliseconds(20'000));
    }
}

// Slices of an owner that are held on their way until another owns the key are refused, and the log says so.
void refusesWhatComesLate() {
    int refused = 0;
    for (std::uint64_t seed = 10; seed < 16; ++seed) {
        Fleet fleet(7, seed);
        fleet.startAll();
        fleet.wishing = {0, 1};
        assert(fleet.owned());
        fleet.pass(milliseconds(6'000));
        const int owner = fleet.lender();
        fleet.world.holds = [owner](int from, int) { return from == owner; };
        fleet.pass(milliseconds(3'000));
        fleet.world.holds = nullptr;
        fleet.world.letGo();
        fleet.pass(milliseconds(100));
        for (int i = 0; i < 7; ++i) refused += static_cast<int>(fleet.host(i).warmer().told().refused);
    }
    assert(refused > 20);
}

// Seen few or alone a front lends, asks and cedes nothing; it has its own part whole, as one without a tier.
void aloneAsWithoutATier() {
    Fleet fleet(5, 20);
    fleet.startAll();
    fleet.wishing = {4};
    assert(fleet.owned());
    fleet.pass(milliseconds(5'000));
    fleet.world.cut = [](int from, int to) { return from == 4 || to == 4; };
    fleet.pass(milliseconds(15'000));
    const Purse& purse = fleet.host(4).purse;
    const int loans = purse.loans;
    fleet.pass(milliseconds(5'000));
    assert(purse.ceded == 0 && purse.loans == loans);
}

// A process that starts anew keeps what its forerunner may have promised.
void keepsItsForerunnersWord() {
    Fleet fleet(5, 21);
    fleet.startAll();
    fleet.wishing = {0, 1};
    assert(fleet.owned());
    fleet.pass(milliseconds(5'000));
    for (int round = 0; round < 6; ++round) {
        for (const int i : {2, 3, 4})
            if (i != fleet.lender()) fleet.start(i);
        fleet.pass(milliseconds(700), milliseconds(1));
    }
}

void sumHolds() {
    const bool held = rc::check("what is earned and lent never sums above the whole", [] {
        const int count = *rc::gen::inRange(3, 8);
        Fleet fleet(count, *rc::gen::inRange<std::uint64_t>(1, 1'000'000));
        fleet.world.drift = 0.005;
        fleet.world.repeats = 0.1;
        fleet.startAll();
        const int wishes = *rc::gen::inRange(1, 255);
        for (int i = 0; i < count; ++i)
            if (wishes >> i & 1) fleet.wishing.push_back(i);
        fleet.pass(milliseconds(*rc::gen::inRange(2'000, 8'000)));
        for (int step = *rc::gen::inRange(3, 20); step > 0; --step) {
            const int who = *rc::gen::inRange(0, count), what = *rc::gen::inRange(0, 9);
            if (what == 0) fleet.kill(who);
            if (what <= 1 && !fleet.world.up(who)) fleet.start(who);
            if (what == 2 && fleet.world.up(who))
                fleet.world.stall(who, milliseconds(*rc::gen::inRange(100, 9'000)));
            if (what == 3) {
                const int sides = *rc::gen::inRange(0, 255), oneWay = *rc::gen::inRange(0, 2);
                fleet.world.cut = [sides, oneWay](int from, int to) {
                    return (sides >> from & 1) != (sides >> to & 1) && (!oneWay || (sides >> from & 1));
                };
            }
            if (what == 4) fleet.world.cut = nullptr;
            if (what == 5) fleet.world.loss = *rc::gen::inRange(0, 5) / 10.0;
            if (what == 6 && fleet.world.up(who)) fleet.world.leave(who);
            if (what == 7) {
                const int sides = *rc::gen::inRange(0, 255);
                fleet.world.holds = [who, sides](int from, int to) {
                    return from == who && (sides >> to & 1);
                };
            }
            if (what == 8) {
                fleet.world.holds = nullptr;
                fleet.world.letGo();
            }
            fleet.pass(milliseconds(*rc::gen::inRange(0, 5'000)));
        }
    });
    assert(held);
}

// One Warmer by itself, which owns `warm/s` from some seconds on, as it is its only elector.
struct Desk1 {
    struct Leases final : Owners::Outlet {
        void send(int, const Talk&) override {}
        void log(const std::string&) override {}
        void changed(Key, bool) override {}
    } quiet;
    Nanoseconds now = milliseconds(1'000'000);
    bool cold = true;
    const Key key = keyOf("warm/s");
    Purse purse;
    std::vector<std::pair<int, Warm>> sent;
    std::vector<std::string> lines;
    Owners owners;
    Warmer warmer;
    explicit Desk1(int me = 0, double part = 0)
        : purse([this] { return now; }, part, cold, milliseconds(900'000)),
          owners(me, 7, Electors{{0}, {}}, {}, 1000, 1, now,
                 {[] {
                      return std::vector<int>{0, 1, 2, 3};
                  },
                  [] { return true; }},
                 quiet),
          warmer(
              me, now, owners,
              {[] {
                   return std::vector<int>{0, 1, 2, 3};
               },
               [] { return true; }},
              {}, purse, [this](int to, const Warm& warm) { sent.emplace_back(to, warm); },
              [this](const std::string& line) { lines.push_back(line); }) {
        owners.need(key, "warm/s");
    }
    void pass(Nanoseconds time, bool wants = false) {
        for (const Nanoseconds end = now + time; now < end;) {
            now += milliseconds(10);
            owners.tick(now);
            warmer.tick(now);
            if (wants) warmer.heard(now, 3, 5, now, want());
        }
    }
    Warm want() const {
        Warm warm;
        warm.wants = {{key, 0, milliseconds(3), 1, milliseconds(300)}};
        return warm;
    }
    // Work lent so far.
    Nanoseconds lent() const {
        Nanoseconds sum = 0;
        for (const auto& [to, warm] : sent)
            for (const Warm::Slice& each : warm.slices) sum += each.work;
        return sum;
    }
    void own() {
        // Whoever the duty names: the lease is asked for as soon as it is handed.
        Talk talk;
        talk.handed = {key};
        pass(milliseconds(4'000));
        owners.heard(now, 1, 1, talk);
        pass(milliseconds(300));
        assert(owners.holds(now, key));
    }
    Warm cession(std::uint32_t number, double part = 0.2) const {
        Warm warm;
        warm.cessions = {{key, number, milliseconds(900'000), static_cast<std::uint32_t>(part * 1e6),
                          milliseconds(4'000)}};
        return warm;
    }
};

// What is lent of a cession: its part for its time from its sending, less what clocks may drift by and what
// may not be known of that moment; whether it comes late, twice, or after a newer one.
void lendsEachCessionOnce() {
    for (const Nanoseconds late : {Nanoseconds(0), milliseconds(2'500), milliseconds(5'000)}) {
        Desk1 desk;
        desk.own();
        const Nanoseconds sent = desk.now;
        desk.pass(late, true);
        const Nanoseconds own = desk.lent();
        desk.warmer.heard(desk.now, 1, 5, sent, desk.cession(2));
        desk.pass(milliseconds(1'000), true);
        desk.warmer.heard(desk.now, 1, 5, desk.now, desk.cession(2));  // its sending told wrongly, too
        desk.warmer.heard(desk.now, 1, 5, desk.now, desk.cession(1));
        desk.pass(milliseconds(9'000), true);
        const double most = 0.2 * double(std::max<Nanoseconds>(0, milliseconds(4'000 - 80 - 100) - late));
        const double others = double(desk.lent() - own);
        if (std::getenv("TRACE")) std::fprintf(stderr, "%.4f of %.4f\n", others / 1e9, most / 1e9);
        assert(others <= most && others >= most - 5e6);
    }
}

// What was given back is lent no more, though its letter comes once more under a later lease.
void givesBackForGood() {
    Desk1 desk;
    desk.own();
    desk.warmer.heard(desk.now, 1, 5, desk.now, desk.cession(1));
    desk.warmer.heard(desk.now, 2, 5, desk.now, desk.cession(1));
    desk.owners.yieldKey(desk.now, desk.key, milliseconds(100));
    desk.warmer.stir();
    desk.pass(milliseconds(20));
    int returns = 0;
    for (const auto& [to, warm] : desk.sent) returns += static_cast<int>(warm.returns.size());
    assert(returns == 2);
    desk.pass(milliseconds(200));
    Talk talk;
    talk.handed = {desk.key};
    desk.owners.heard(desk.now, 1, 1, talk);
    desk.pass(milliseconds(300));
    assert(desk.owners.holds(desk.now, desk.key));
    const Nanoseconds before = desk.lent();
    desk.warmer.heard(desk.now, 1, 5, desk.now, desk.cession(1));
    desk.pass(milliseconds(2'000), true);
    assert(desk.lent() == before);
    desk.warmer.heard(desk.now, 1, 5, desk.now, desk.cession(2));
    desk.pass(milliseconds(2'000), true);
    assert(double(desk.lent() - before) > 0.2 * double(milliseconds(1'500)));
}

// The place of the effect: an ended slice, an older term, another life of the store; each has none, and is
// logged.
void refusesAtTheEffect() {
    Desk1 desk(2);
    desk.pass(milliseconds(300));
    const auto slice = [&](std::uint64_t term, Nanoseconds start, Nanoseconds left, Nanoseconds sent) {
        Warm warm;
        warm.slices = {{desk.key, term, start, milliseconds(10), left}};
        desk.warmer.heard(desk.now, 0, 5, sent, warm);
        return desk.purse.loans;
    };
    const Nanoseconds start = milliseconds(900'000), now = desk.now;
    assert(slice(2000, start, milliseconds(500), now) == 1);
    assert(slice(1999, start, milliseconds(500), now) == 1);
    assert(slice(2000, start + milliseconds(1), milliseconds(500), now) == 1);
    assert(slice(2001, start, milliseconds(500), now - milliseconds(600)) == 1);
    assert(desk.warmer.told().refused == 3 && desk.lines.size() == 3);
    assert(slice(2000, start, milliseconds(500), now) == 2 &&
           slice(2001, start, milliseconds(500), now) == 3);
}

// Who has work waiting cedes nothing when it is called; the others do, each once.
void cedesWhenCalled() {
    Desk1 desk(2, 0.1);
    desk.pass(milliseconds(5'000));  // what it ceded at first sight is over
    const auto call = [&] {
        const std::size_t from = desk.sent.size();
        Warm warm;
        warm.opens = {{desk.key, 3000, milliseconds(2000), true}};
        desk.warmer.heard(desk.now, 0, 5, desk.now, warm);
        int cessions = 0;
        for (std::size_t i = from; i < desk.sent.size(); ++i)
            cessions += static_cast<int>(desk.sent[i].second.cessions.size());
        return cessions;
    };
    desk.warmer.scarce(desk.now, "s", {milliseconds(10), 1, desk.now + milliseconds(300)});
    assert(call() == 0 && desk.purse.ceded == 0);
    desk.pass(milliseconds(1'100));
    assert(call() == 1 && desk.purse.ceded > 0.0749 && call() == 0);
    desk.pass(milliseconds(4'100));
    assert(desk.purse.ceded == 0);
}

// The decisions' side: what is ceded is earned no more, and never earned back; what is lent holds until its
// end.
void cedesAndLends() {
    RoutingConfig settings = charter();
    settings.proxyCount = 4;
    Bench b(settings);
    Store& cold = b.primary("p");
    cold.startedAt = b.now;
    b.pass(1000);
    assert(!b.hasWarmUpCredit(cold, 100e6));  // its credit starts below nought, or at most at it
    const auto told = b.front.coldStores();
    assert(told.size() == 1 && told[0].id == "p" && told[0].startedAt == cold.startedAt &&
           told[0].workShare > 0);
    const double before = cold.warmUpCredit;
    b.front.offerCredit("p", 1e9);  // more than all
    b.pass(3000);
    b.front.offerCredit("p", 0);
    assert(cold.warmUpCredit == before);
    b.pass(100);
    b.hasWarmUpCredit(cold, 100e6);
    assert(cold.warmUpCredit > before);
    // Lent: enough for the work, or nothing; gone at its end, and once it is used.
    cold.warmUpCredit = -1e9;
    b.front.grantCredit("p", 30e6, b.now + milliseconds(100));
    assert(b.hasWarmUpCredit(cold, 30e6) && !b.hasWarmUpCredit(cold, 31e6));
    b.pass(100);
    assert(!b.hasWarmUpCredit(cold, 30e6));
    b.front.grantCredit("p", 300e6, b.now + milliseconds(100));
    Transaction& t = b.transaction(pay);
    const double credit = cold.warmUpCredit;
    b.startAttempt(t, cold);
    assert(b.launchedTo("t", "p") && cold.grantedWork < 300e6 && cold.warmUpCredit == credit);
    // Who owes more than a launch has nothing to spare; a warm store is nobody's matter.
    assert(b.front.coldStores()[0].workShare == 0);
    b.pass(20'000);
    assert(b.front.coldStores().empty());
}

// A transaction that waits for a cold primary's credit asks for it, and goes as soon as that is lent.
void waitsAndGoes() {
    struct Asks final : standins::SilentOutlet {
        std::vector<std::string> launched, asked;
        void startAttempt(const std::string& t, const std::string&, Nanoseconds) override {
            launched.push_back(t);
        }
        void creditExhausted(const std::string& store, double, double gain, Nanoseconds) override {
            assert(gain > 0);
            asked.push_back(store);
        }
    } outlet;
    const Nanoseconds now = milliseconds(1'000'000);
    RoutingConfig settings = charter();
    settings.proxyCount = 50;
    Router front(settings, 3, now, outlet);
    front.listBegins(true);
    front.listEntry("p", 0, 0, StoreState::up, now - milliseconds(10), true);
    front.listEnds();
    front.submit("a", pay, "u", milliseconds(2000), 0, {});
    assert(outlet.launched.empty() && outlet.asked == std::vector<std::string>{"p"});
    front.setTime(now + milliseconds(30));
    front.grantCredit("p", 1e9, now + milliseconds(500));
    assert(outlet.launched == std::vector<std::string>{"a"});
}

}  // namespace

int main(int argc, char** argv) {
    ::setenv("RC_PARAMS", "seed=20261202 max_success=1000", 0);
    const std::pair<const char*, void (*)()> all[] = {
        {"cedesAndLends", cedesAndLends},
        {"waitsAndGoes", waitsAndGoes},
        {"lendsEachCessionOnce", lendsEachCessionOnce},
        {"givesBackForGood", givesBackForGood},
        {"refusesAtTheEffect", refusesAtTheEffect},
        {"cedesWhenCalled", cedesWhenCalled},
        {"lendsWhatOthersLeave", lendsWhatOthersLeave},
        {"lendsToTheHighestGainFirst", lendsToTheHighestGainFirst},
        {"losesTheOwner", losesTheOwner},
        {"refusesWhatComesLate", refusesWhatComesLate},
        {"aloneAsWithoutATier", aloneAsWithoutATier},
        {"keepsItsForerunnersWord", keepsItsForerunnersWord},
        {"sumHolds", sumHolds}};
    for (const auto& [name, test] : all) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        std::puts(name);
        std::fflush(stdout);
        test();
    }
}
