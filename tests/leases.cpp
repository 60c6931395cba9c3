// One owner at a time between processes of the program, with links that fail by a script, clients that ask all the
// while, and a cold primary whose credit is short: whoever is late does no harm, and every item has one answer.
#include <algorithm>

#include "standins/tier.hpp"

using namespace granitereel;
using standins::Seen;
using standins::Tier;

namespace {

constexpr const char* owners = "owners { lease_ms: 1000 margin_ms: 100 cede_ms: 1000 warm_stores: true }";

Tier::Wish cold(std::uint64_t seed, int count = 5) {
    return {.count = count, .seed = seed, .more = owners, .cold = true};
}

struct Fleet : Tier {
    explicit Fleet(const Wish& wish) : Tier(PROGRAM, wish) {
        standins::Store::Ways slow;
        slow.takes = std::chrono::milliseconds(30);
        primary().behave(slow);
    }
    int owner() {
        for (int i = 0; i < count(); ++i)
            if (up(i) && !stopped[i] && seen(i).owns) return i;
        return -1;
    }
    int owned() {
        int found = -1;
        until([&] { return (found = owner()) >= 0; });
        return found;
    }
    // Until another than this one owns it, and lends.
    int followed(int old) {
        int found = -1;
        until([&] { return (found = owner()) >= 0 && found != old; });
        return found;
    }
    std::uint64_t lent() {
        std::uint64_t sum = 0;
        for (int i = 0; i < count(); ++i)
            if (up(i) && !stopped[i]) sum += seen(i).lent;
        return sum;
    }
    void lendsOn() {
        const std::uint64_t before = lent();
        until([&] { return lent() > before; });
    }
    void stop(int front) {
        stopped[front] = true;
        avoid(front, true);
        this->front(front).signal(SIGSTOP);
    }
    void resume(int front) {
        stopped[front] = false;
        avoid(front, false);
        this->front(front).signal(SIGCONT);
    }
    // Terms in the order in which they were granted, over all fronts' logs; each is higher than the one before.
    void termsRise(const std::vector<std::vector<std::string>>& logs) {
        std::vector<std::pair<std::string, std::uint64_t>> granted;
        for (const auto& lines : logs)
            for (const std::string& line : lines) {
                const std::size_t at = line.find("owners: owns warm/p, term ");
                if (at != std::string::npos) granted.emplace_back(line.substr(0, 23), std::stoull(line.substr(at + 26)));
            }
        std::stable_sort(granted.begin(), granted.end());
        assert(granted.size() >= 2);
        for (std::size_t i = 1; i < granted.size(); ++i) assert(granted[i].second > granted[i - 1].second);
    }
    std::vector<std::string> log(int front) {
        std::vector<std::string> lines;
        for (std::size_t i = 0; i < this->front(front).lines(); ++i) lines.push_back(this->front(front).line(i));
        return lines;
    }
    void termsRise() {
        std::vector<std::vector<std::string>> logs;
        for (int i = 0; i < count(); ++i)
            if (up(i)) logs.push_back(log(i));
        termsRise(logs);
    }
    void overStop() {
        // What the script waited for may have come at once: the load goes on until it says something.
        until([&] { return asked() > 50; });
        const auto [asked, delivered] = Tier::stop();
        assert(delivered > asked / 2);
    }
    std::map<int, bool> stopped;
};

// A cold primary's credit is lent between fronts; SIGUSR1 says by whom.
void lends() {
    Fleet tier(cold(1));
    tier.startAll();
    tier.settle();
    tier.load(8, 2);
    const int owner = tier.owned();
    tier.lendsOn();
    tier.until([&] {
        std::uint64_t got = 0;
        for (int i = 0; i < 5; ++i) got += tier.seen(i).got;
        return got > 5;
    });
    assert(tier.seen(owner).lent > 0);
    tier.overStop();
}

// The owner is stopped at each of its steps for longer than its lease, and resumed with work in hand: as it begins to
// own, as it lends, and as it renews. Another owns the key meanwhile; what the old one held it knows to be over.
void stopsTheOwner() {
    Fleet tier(cold(2));
    tier.startAll();
    tier.settle();
    tier.load(6, 2);
    for (int step = 0; step < 3; ++step) {
        const int owner = tier.owned();
        if (step == 1) {
            const std::uint64_t before = tier.seen(owner).lent;
            tier.until([&] { return tier.owner() != owner || tier.seen(owner).lent > before; });
        }
        if (step == 2) {
            const int passed = tier.links().passed(owner, (owner + 1) % 5);
            tier.until([&] { return tier.links().passed(owner, (owner + 1) % 5) > passed; });
        }
        tier.stop(owner);
        const int next = tier.followed(owner);
        tier.lendsOn();
        tier.resume(owner);
        // It has handed the key on meanwhile, or knows by its clock that its time is over; the other's term is higher.
        tier.until([&] { return !tier.seen(owner).owns; });
        assert(tier.front(next).count("owns warm/p") > 0);
        tier.settle();
    }
    tier.overStop();
    tier.termsRise();
}

// What the owner sends is held on its way until another owns the key: none of it takes effect, and it is logged.
void holdsItsLetters() {
    Fleet tier(cold(3));
    tier.startAll();
    tier.settle();
    tier.load(8, 2);
    bool refused = false;
    for (int round = 0; round < 8 && !refused; ++round) {
        const int owner = tier.owned();
        tier.lendsOn();
        for (int i = 0; i < 5; ++i)
            if (i != owner) tier.links().set(owner, i, {.hold = true});
        tier.followed(owner);
        tier.lendsOn();
        for (int i = 0; i < 5; ++i)
            if (i != owner) tier.links().set(owner, i, {});
        tier.links().letGo();
        tier.settle();
        for (int i = 0; i < 5; ++i) refused |= tier.seen(i).refused > 0;
    }
    assert(refused);
    tier.overStop();
    tier.termsRise();
}

// The owner's links are cut: to all, to the electors alone (all but itself, of three), one way each way round.
void cutsTheOwner() {
    Fleet tier(cold(4));
    tier.startAll();
    tier.settle();
    tier.load(6, 2);
    for (int way = 0; way < 3; ++way) {
        const int owner = tier.owned();
        for (int i = 0; i < 5; ++i) {
            if (i == owner) continue;
            if (way != 2) tier.links().set(owner, i, {.cut = true});
            if (way != 1) tier.links().set(i, owner, {.cut = true});
        }
        tier.followed(owner);
        tier.lendsOn();
        tier.links().setAll({});
        tier.settle();
    }
    tier.overStop();
    tier.termsRise();
}

// Two of five electors killed and started from nothing within a lease, then all five at once: terms go on rising.
void losesElectors() {
    Fleet tier(cold(5));
    std::vector<std::vector<std::string>> logs;
    tier.startAll();
    tier.settle();
    tier.owned();
    for (const int dead : {2, 5}) {
        for (int i = 0; i < dead; ++i) {
            logs.push_back(tier.log(i));
            tier.kill(i);
            if (dead == 2) tier.start(i);
        }
        tier.startAll();
        tier.settle();
        tier.load(6, 2);
        tier.owned();
        tier.lendsOn();
        tier.overStop();
    }
    for (int i = 0; i < 5; ++i) logs.push_back(tier.log(i));
    tier.termsRise(logs);
}

// SIGTERM: the key is given back, and another lends at once, before the old one's time would have been over.
void leaves() {
    Fleet tier(cold(6));
    tier.startAll();
    tier.settle();
    tier.load(6, 2);
    const int owner = tier.owned();
    tier.lendsOn();
    const std::vector<std::string> before = tier.log(owner);
    tier.front(owner).signal(SIGTERM);
    tier.front(owner).logged("gives back warm/p");
    tier.stopped[owner] = true;
    tier.followed(owner);
    assert(tier.end(owner) == 0);
    tier.lendsOn();
    tier.overStop();
}

// Two processes of one name, the elder an owner that was stopped: it does not go on as one.
void tellsTwinsApart() {
    Fleet tier(cold(7));
    tier.startAll();
    tier.settle();
    const int owner = tier.owned();
    tier.stop(owner);
    standins::Process& elder = tier.startBeside(owner);
    tier.stopped[owner] = false;
    tier.settle();
    tier.owned();
    const std::size_t from = elder.lines();
    elder.signal(SIGCONT);
    elder.logged("no longer owns warm/p", from);
    tier.until([&] { return Tier::seen(elder).silenced; });
    assert(!Tier::seen(elder).owns);
    assert(elder.kill() == -SIGKILL);
}

// One front knows no leases, another goes by other electors: the rest own and lend, and the log says what is wrong.
void bearsOldersAndOthers() {
    Tier::Wish wish = cold(8);
    wish.moreOf = [](int front) {
        return front == 1   ? std::string()
               : front == 3 ? std::string(owners).replace(std::string(owners).size() - 1, 1, " electors: [0, 3, 4] }")
                            : std::string(owners);
    };
    Fleet tier(wish);
    tier.startAll();
    tier.settle();
    tier.load(6, 2);
    const int owner = tier.owned();
    assert(owner != 1 && owner != 3);
    tier.lendsOn();
    tier.until([&] { return tier.front(owner).count("front 3 goes by another list of electors") > 0; });
    tier.overStop();
}

}  // namespace

int main(int argc, char** argv) {
    const std::pair<const char*, void (*)()> all[] = {
        {"lends", lends},
        {"stopsTheOwner", stopsTheOwner},
        {"holdsItsLetters", holdsItsLetters},
        {"cutsTheOwner", cutsTheOwner},
        {"losesElectors", losesElectors},
        {"leaves", leaves},
        {"tellsTwinsApart", tellsTwinsApart},
        {"bearsOldersAndOthers", bearsOldersAndOthers}};
    for (const auto& [name, test] : all) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        std::puts(name);
        std::fflush(stdout);
        test();
    }
}
