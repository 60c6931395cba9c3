// Registers under trouble by chance, judged by the history of calls alone: kills, deaths at a write, lost
// disks, cuts (one way too), freezes, lives that restart. The seed is the bug report.
#include <gtest/gtest.h>

#include <cstdlib>

#include "standins/control_world.hpp"
#include "standins/register_history.hpp"

namespace {
using namespace granitereel;
using namespace granitereel::control;
using standins::RegisterHistory;
using World = standins::ControlWorld;

TEST(RegisterHistory, FindsWhatNoRegisterCouldAnswer) {
    auto two = [](std::uint64_t firstNumber, std::uint64_t secondNumber, const std::string& secondBody) {
        RegisterHistory history;
        history.acknowledged(history.begin("a", true, 1, 5, "x"), 2);
        history.acknowledged(history.begin("a", true, 1, 6, "x"), 2);
        history.read(history.begin("b", false, 3), 4, firstNumber, "x");
        history.read(history.begin("c", false, 5), 6, secondNumber, secondBody);
        return history.faults().size();
    };
    EXPECT_EQ(two(6, 6, "x"), 0u);
    EXPECT_GT(two(5, 6, "x"), 0u);  // an acknowledged one is not read
    EXPECT_GT(two(6, 5, "x"), 0u);  // a read goes back
    EXPECT_GT(two(6, 6, "y"), 0u);  // two bodies of one number
    EXPECT_GT(two(6, 7, "x"), 0u);  // never written
}

class Trial {
public:
    Trial(int members, unsigned seed) : size_(members), world_(3, members - 3, seed), chance_(seed + 77) {
        world_.run(milliseconds(1500 + 900 * members));
    }

    void run() {
        for (int round = 0; round < 8; ++round) {
            const Nanoseconds until = world_.now + milliseconds(400 + below(2200));
            for (int troubles = 1 + below(2); troubles > 0; --troubles) trouble();
            while (world_.now < until) {
                call();
                step(milliseconds(1 + below(120)));
            }
            heal();
            step(milliseconds(below(2) ? 200 : 3500));
        }
        heal();
        step(milliseconds(5000));
        for (int i = 0; i < size_; ++i) read(World::address(i));
        step(milliseconds(1000));
    }
    const RegisterHistory& history() const { return history_; }
    std::size_t answered() const { return answered_; }
    // Reads at the end that were answered.
    std::size_t lastReads() const {
        std::size_t count = 0;
        const auto& calls = history_.calls();
        for (std::size_t i = calls.size() - static_cast<std::size_t>(size_); i < calls.size(); ++i)
            count += calls[i].end.has_value();
        return count;
    }

private:
    struct Open {
        std::string at;
        std::uint64_t call;
        std::size_t entry;
        bool write;
    };

    int below(int bound) { return static_cast<int>(chance_() % static_cast<unsigned>(bound)); }
    std::string anyone() { return World::address(below(size_)); }

    void step(Nanoseconds time) {
        for (const Nanoseconds until = world_.now + time; world_.now < until;) {
            world_.step();
            collect();
        }
    }
    void collect() {
        std::erase_if(open_, [&](const Open& each) {
            auto& answers = world_.members[each.at].answers;
            const auto found = answers.find(each.call);
            if (found == answers.end()) return false;
            const auto& [kind, body] = found->second;
            if (kind == CallOutcome::accepted || kind == CallOutcome::notFound) ++answered_;
            if (kind == CallOutcome::accepted && each.write) history_.acknowledged(each.entry, world_.now);
            if (kind == CallOutcome::notFound) history_.read(each.entry, world_.now, 0, "");
            if (kind == CallOutcome::accepted && !each.write) {
                const Json read = Json::parse(body);
                history_.read(each.entry, world_.now, read.at("edition"), read.at("mark"));
            }
            return true;
        });
    }
    void call() {
        const std::string at = anyone();
        if (below(3) == 0) return read(at);
        if (!usable(at)) return;
        // Now and then two write another body under one number.
        if (below(4) != 0) ++number_;
        const std::string body = "body " + std::to_string(++bodies_);
        const std::size_t entry = history_.begin(at, true, world_.now, number_, body);
        open_.push_back({at, world_.put(at, number_, body), entry, true});
    }
    void read(const std::string& at) {
        if (!usable(at)) return;
        const std::size_t entry = history_.begin(at, false, world_.now);
        const std::uint64_t call = ++world_.lastCall;
        world_.members[at].control->handleCall(call, "GET", {"config"}, "", world_.now);
        world_.carry(at);
        open_.push_back({at, call, entry, false});
    }
    bool usable(const std::string& at) { return world_.members[at].control && !world_.frozen.count(at); }

    // As many disks as leave a majority of the others may be lost at once.
    bool mayWipe(const std::string& victim) {
        int without = 0;
        for (const auto& [name, member] : world_.members)
            without += name != victim &&
                       (!member.disk.count("core") || member.disk.at("core").value("recovering", false));
        return without < (size_ - 1) / 2;
    }
    void trouble() {
        const std::string victim = anyone();
        World::Member& member = world_.members[victim];
        switch (below(8)) {
            case 0:
                return world_.kill(victim);
            case 1:
                member.writesLeft = below(6);
                return;
            case 2:
                if (mayWipe(victim)) world_.kill(victim, true);
                return;
            case 3:
                for (const auto& [name, other] : world_.members)
                    if (name != victim) world_.cut.insert({name, victim});
                return;
            case 4:
                for (const auto& [name, other] : world_.members) {
                    if (name == victim || below(2)) continue;
                    world_.cutOneWay.insert(below(2) ? std::pair(name, victim) : std::pair(victim, name));
                }
                return;
            case 5:
                world_.frozen.insert(victim);
                return;
            case 6:
                return changeSides();
            default:
                // All lose power; one at a time comes back.
                for (const auto& [name, other] : world_.members) {
                    world_.frozen.erase(name);
                    world_.kill(name);
                }
                for (int i = 0; i < size_; ++i)
                    if (below(4)) start(World::address(i)), step(milliseconds(below(200)));
        }
    }
    void cutBetween(const std::set<std::string>& some) {
        world_.cut.clear();
        for (const std::string& one : some)
            for (const auto& [name, other] : world_.members)
                if (!some.count(name)) world_.cut.insert({one, name});
    }
    // A minority is cut off while the others take changes; then one of these, with or without its disk, is
    // cut off with it from the rest.
    void changeSides() {
        std::set<std::string> side;
        while (static_cast<int>(side.size()) < (size_ - 1) / 2) side.insert(anyone());
        cutBetween(side);
        for (int i = 0; i < 4; ++i) call(), step(milliseconds(60));
        std::string changes = anyone();
        while (side.count(changes)) changes = anyone();
        world_.frozen.clear();
        world_.kill(changes, mayWipe(changes) && below(2));
        side.insert(changes);
        cutBetween(side);
        start(changes);
        step(milliseconds(1000 + below(1500)));
        for (const std::string& name : side) read(name);
    }
    void start(const std::string& name) {
        if (!world_.members[name].control) world_.start(name);
    }
    void heal() {
        // What was told to die at a write lives on; the frozen wake in the midst of things.
        world_.cut.clear();
        world_.cutOneWay.clear();
        world_.frozen.clear();
        for (int i = 0; i < size_; ++i) {
            world_.members[World::address(i)].writesLeft = 1 << 30;
            start(World::address(i));
        }
    }

    const int size_;
    World world_;
    std::mt19937 chance_;
    RegisterHistory history_;
    std::vector<Open> open_;
    std::uint64_t number_ = 10;
    int bodies_ = 0;
    std::size_t answered_ = 0;
};

TEST(RegisterHistory, IsThatOfOneRegisterThroughTroubleByChance) {
    const char* const more = std::getenv("SEEDS");
    const char* const from = std::getenv("FIRST_SEED");
    const unsigned first = from ? static_cast<unsigned>(std::stoul(from)) : 0;
    const unsigned seeds = more ? static_cast<unsigned>(std::stoul(more)) : 12;
    std::size_t answered = 0, calls = 0, faulty = 0, unread = 0;
    for (unsigned seed = first; seed < first + seeds; ++seed) {
        const int members = seed % 4 == 3 ? 4 : 3 + 2 * static_cast<int>(seed % 2);
        Trial trial(members, seed);
        trial.run();
        answered += trial.answered();
        calls += trial.history().calls().size();
        const auto faults = trial.history().faults();
        faulty += !faults.empty();
        EXPECT_TRUE(faults.empty()) << "seed " << seed << " of " << members << ": " << faults.size()
                                    << " faults, first: " << faults.front();
        const bool read = trial.lastReads() == static_cast<std::size_t>(members);
        unread += !read;
        EXPECT_TRUE(read) << "seed " << seed << " of " << members << ": not read at the end by "
                          << static_cast<std::size_t>(members) - trial.lastReads();
    }
    std::printf("%u seeds: %zu calls, %zu answered; %zu seeds with faults, %zu not read at the end\n", seeds,
                calls, answered, faulty, unread);
    EXPECT_GT(answered, calls / 4);
}
}  // namespace
