// Several fronts as processes, with links between them that fail by a script: they know each other, and every
// item gets one answer.
#include "standins/tier.hpp"

#include <algorithm>
#include <fstream>

#include "tier/letter.hpp"
#include "tier/tier.pb.h"

using namespace granitereel;
using standins::Seen;
using standins::Tier;

namespace {

bool hears(const std::vector<int>& list, int number) {
    return std::find(list.begin(), list.end(), number) != list.end();
}

// Three fronts, one killed and started again under load, then one ended in order: every item one answer.
void killsUnderLoad() {
    Tier tier(PROGRAM, {});
    tier.startAll();
    tier.settle();
    tier.load(4);
    tier.kill(1);
    for (const int i : {0, 2}) tier.front(i).logged("front 1 is gone");
    assert(tier.seen(0).sight == "most" && tier.seen(0).gone == std::vector<int>{1});
    tier.start(1);
    tier.settle();
    assert(tier.seen(1).incarnation > 1);
    assert(tier.end(2) == 0);
    for (const int i : {0, 1}) tier.front(i).logged("front 2 is leaving");
    const Seen seen = tier.seen(0);
    assert(seen.leaving == std::vector<int>{2} && seen.gone.empty() && seen.suspect.empty());
    tier.start(2);
    tier.settle();
    const auto [asked, delivered] = tier.stop();
    assert(asked > 100 && delivered > asked * 9 / 10);
}

// Stopped for long enough and resumed: suspected, gone, back; no third front is accused by anyone.
void stops() {
    Tier tier(PROGRAM, {});
    tier.startAll();
    tier.settle();
    const std::size_t before = tier.front(1).lines();
    tier.front(1).signal(SIGSTOP);
    for (const int i : {0, 2}) {
        const std::size_t suspected = tier.front(i).logged("front 1 is suspect");
        tier.front(i).logged("front 1 is gone", suspected);
    }
    tier.front(1).signal(SIGCONT);
    tier.front(1).logged("this front was stalled", before);
    tier.settle();
    assert(tier.seen(1).incarnation > 1);
    assert(tier.front(0).count("front 2 is suspect") == 0 && tier.front(2).count("front 0 is suspect") == 0);
    assert(tier.front(1).count("is suspect", before) == 0);
}

// Cut one way each way round, both ways, and between parts; healed, all hold the same view again.
void cuts() {
    Tier tier(PROGRAM, {.count = 5, .seed = 2});
    tier.startAll();
    tier.settle();
    for (const bool deaf : {false, true}) {
        for (int i = 0; i < 5; ++i)
            if (i != 4) tier.links().set(deaf ? i : 4, deaf ? 4 : i, {.cut = true});
        tier.until([&] { return tier.seen(4).sight == "alone" && tier.seen(0).gone == std::vector<int>{4}; });
        assert(tier.seen(1).sight == "most");
        tier.links().setAll({});
        tier.settle();
    }
    const auto side = [](int front) { return front < 2; };
    tier.links().part(side, true);
    tier.until([&] {
        for (int i = 0; i < 5; ++i)
            if (tier.seen(i).sight != (side(i) ? "few" : "most")) return false;
        return tier.agree({0, 1}) && tier.agree({2, 3, 4});
    });
    tier.links().part(side, false);
    tier.settle();
    // One link alone: nobody is accused for good, as the others speak for both.
    std::vector<std::size_t> before;
    for (int i = 0; i < 5; ++i) before.push_back(tier.front(i).lines());
    tier.links().set(0, 1, {.cut = true});
    tier.links().set(1, 0, {.cut = true});
    const int passed = tier.links().passed(0, 2);
    tier.until([&] { return tier.links().passed(0, 2) > passed + 30; });
    for (int i = 0; i < 5; ++i)
        assert(tier.front(i).count("is gone", before[static_cast<std::size_t>(i)]) == 0);
}

// Links that lose, repeat, delay, reorder and spoil: nobody is called gone, and what is spoilt is counted.
void losesAndSpoils() {
    Tier tier(PROGRAM, {.count = 4, .seed = 3});
    tier.startAll();
    tier.settle();
    tier.links().setAll({.lost = 0.2, .repeated = 0.2, .flipped = 0.1, .least = 0, .most = 40});
    tier.until([&] { return tier.seen(0).dropped["checksum"] + tier.seen(0).dropped["short"] > 20; });
    for (int i = 0; i < 4; ++i) assert(tier.front(i).count("is gone, was suspect") == 0);
    tier.links().setAll({});
    tier.settle();
}

// Seven in ten killed at once and started together.
void losesSevenInTen() {
    Tier tier(PROGRAM, {.count = 10, .seed = 4});
    tier.startAll();
    tier.settle();
    tier.load(3);
    for (int i = 0; i < 7; ++i) tier.kill(i);
    for (int i = 7; i < 10; ++i) tier.until([&] { return tier.seen(i).gone.size() == 7; });
    assert(tier.seen(9).sight == "few");
    tier.startAll();
    tier.settle();
    tier.stop();
}

// A front that starts from nothing goes above what is remembered of it, however high, and whatever the clock
// says.
void goesAboveWhatIsRemembered() {
    Tier tier(PROGRAM, {.count = 2, .seed = 5});
    tier.start(0);
    tier::Said said;
    said.birth = 99;
    said.members = 2;
    said.incarnation = 1;
    said.age = milliseconds(3600'000);
    said.nth = 1;
    said.facts = {{0, tier::State::gone, 4'000'000, 1}};
    tier.links().inject(1, 0, tier::write(said, "rig", 1, 0));
    tier.front(0).logged("this front goes from incarnation 1 to 4000001");
    tier.start(1);
    tier.settle();
    tier.kill(0);
    tier.start(0);
    tier.settle();
    assert(tier.seen(0).incarnation > 4'000'001);
}

// The elder process of a name is resumed beside its successor: both say so, and it falls silent.
void tellsTwinsApart() {
    Tier tier(PROGRAM, {.count = 4, .seed = 6});
    tier.startAll();
    tier.settle();
    tier.front(2).signal(SIGSTOP);
    tier.front(0).logged("front 2 is suspect");
    standins::Process& elder = tier.startBeside(2);
    tier.settle();
    elder.signal(SIGCONT);
    elder.logged("a younger process of this front's name");
    tier.front(2).logged("an older process of this front's name");
    assert(Tier::seen(elder).silenced && Tier::seen(elder).sight == "alone");
    tier.settle();
    assert(!tier.seen(2).silenced && elder.kill() == -SIGKILL);
}

// What is not believed: held back until it is old, another tier's, a stranger's, cut at every byte, every bit
// flipped. Nothing changes by it, and each is counted.
void believesNothingElse() {
    Tier tier(PROGRAM,
              {.count = 3, .seed = 7, .tier = "name: \"rig\" round_ms: 200 answer_ms: 80 good_for_ms: 1500"});
    tier.startAll();
    tier.settle();
    tier.links().set(1, 0, {.hold = true});
    tier.until([&] { return tier.links().held() >= 10; });
    tier.links().set(1, 0, {});
    const Seen before = tier.seen(0);
    const int passed = tier.links().passed(1, 0);
    tier.until([&] { return tier.links().passed(1, 0) > passed + 15; });  // some 3 s on
    tier.links().letGo();
    tier.until([&] { return tier.seen(0).dropped["late"] >= before.dropped.at("late") + 10; });
    assert(tier.seen(0).incarnation == before.incarnation);

    tier::Said said;
    said.birth = 1;
    said.members = 3;
    said.incarnation = 3;
    said.probe = 5;
    said.facts = {{2, tier::State::leaving, 9000, 1}};
    const std::string bytes = tier::write(said, "rig", 1, 0);
    const Seen clean = tier.seen(0);
    tier.links().injectStrange(0, bytes);
    tier.links().inject(1, 0, tier::write(said, "other", 1, 0));
    for (std::size_t n = 0; n < bytes.size(); ++n) tier.links().inject(1, 0, bytes.substr(0, n));
    tier.links().inject(1, 0, bytes + std::string(300, 'x'));
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string flipped = bytes;
        flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ 1 << bit % 8);
        tier.links().inject(1, 0, flipped);
    }
    tier.links().inject(1, 0, tier::frame("no letter", "rig", 1, 0));
    // Length: cut at every byte, too long, and the 16 bits of the length; the rest fails the checksum.
    const auto more = [&](const char* name, std::uint64_t by) {
        tier.until([&] { return tier.seen(0).dropped[name] >= clean.dropped.at(name) + by; });
        assert(tier.seen(0).dropped[name] == clean.dropped.at(name) + by);
    };
    more("stranger", 1);
    more("short", bytes.size() + 1 + 16);
    more("checksum", 1 + (bytes.size() - 2) * 8);
    more("form", 1);
    assert(!hears(tier.seen(0).leaving, 2));
    tier.settle();
}

// Versions one apart talk; further apart they don't, and the log says so once.
void talksToItsNeighbours() {
    Tier tier(PROGRAM, {.count = 2, .seed = 8});
    tier.start(0);
    tier::wire::Letter letter;
    letter.set_birth(7);
    letter.set_incarnation(5);
    letter.set_members(2);
    letter.set_nth(1);
    const std::string body = letter.SerializeAsString();
    tier.links().inject(1, 0, tier::frame(body + std::string("\xa2\x06\x03new", 6), "rig", 1, 0, 2, 1));
    tier.front(0).logged("front 1 is here");
    for (int i = 0; i < 3; ++i) tier.links().inject(1, 0, tier::frame(body, "rig", 1, 0, 3, 3));
    tier.front(0).logged("front 1 speaks a version that is not read here");
    tier.until([&] { return tier.seen(0).dropped["version"] == 3; });
    assert(tier.front(0).count("speaks a version") == 1);
}

// One front more and one fewer, told by SIGHUP to each at its time; a list that can't be used changes
// nothing.
void growsAndShrinks() {
    Tier tier(PROGRAM, {.count = 4, .seed = 9});
    for (int i = 0; i < 3; ++i) {
        tier.start(i);
        tier.tellPeers(i, 3);
        tier.front(i).logged("tier: 3 fronts, were 4");
    }
    tier.settleAmong({0, 1, 2});
    tier.start(3);
    for (int i = 0; i < 3; ++i) tier.tellPeers(i, 4);
    tier.settle();
    assert(tier.end(3) == 0);
    for (int i = 0; i < 3; ++i) tier.tellPeers(i, 3);
    tier.settleAmong({0, 1, 2});
    const std::size_t before = tier.front(2).lines();
    tier.tellPeers(2, 2);
    tier.front(2).logged("config not read again, nothing changes: peers: no place for front 2", before);
    tier.settleAmong({0, 1, 2});
}

// A tier of one sees the whole of it; of two, one alone hears nobody; off, and where the settings allow no
// telling, no datagram is sent.
void ofOneTwoAndNone() {
    {
        Tier tier(PROGRAM, {.count = 1});
        tier.start(0);
        assert(tier.seen(0).sight == "whole" && tier.end(0) == 0);
    }
    {
        Tier tier(PROGRAM, {.count = 2});
        tier.startAll();
        tier.settle();
        tier.kill(1);
        tier.until([&] { return tier.seen(0).sight == "alone" && tier.seen(0).gone == std::vector<int>{1}; });
        tier.start(1);
        tier.settle();
    }
    for (const bool mayTell : {true, false}) {
        Tier tier(PROGRAM, {.count = 2, .on = !mayTell, .mayTell = mayTell});
        tier.startAll();
        tier.load(2);
        assert(tier.seen(0).sight == "off" && tier.seen(1).sight == "off");
        tier.until([&] { return tier.audit().delivered() > 50; });
        tier.stop();
        assert(tier.links().passed(0, 1) + tier.links().passed(1, 0) == 0);
        assert(tier.front(0).count("tier: off, the settings allow no telling") == (mayTell ? 0 : 1));
    }
}

// An address that can't be had ends the front with 1, a config without a place for it with 2; a flood of
// datagrams fills the socket's buffer and nothing else.
void holdsUnderFlood() {
    Tier tier(PROGRAM, {.count = 2, .seed = 10});
    tier.startAll();
    tier.settle();
    const auto run = [&](const std::string& config) {
        std::ofstream(tier.file(1)) << config;
        standins::Process second(PROGRAM, tier.words(tier.file(1)), "second");
        second.logged("granitereel: peer");
        return second.end();
    };
    assert(run(tier.config(1, 2, tier.links().listens(0))) == 1);
    assert(run(tier.config(1, 1, tier.links().listensBeside(1))) == 2);
    tier.load(2);
    const std::string noise(250, 'n');
    for (int i = 0; i < 200'000; ++i) tier.links().injectStrange(0, noise);
    const int delivered = tier.audit().delivered();
    tier.until([&] { return tier.audit().delivered() > delivered + 50; });
    tier.stop();
    tier.settle();
    assert(tier.seen(0).dropped["stranger"] > 1000);
}

}  // namespace

int main(int argc, char** argv) {
    const std::pair<const char*, void (*)()> all[] = {
        {"killsUnderLoad", killsUnderLoad},
        {"stops", stops},
        {"cuts", cuts},
        {"losesAndSpoils", losesAndSpoils},
        {"losesSevenInTen", losesSevenInTen},
        {"goesAboveWhatIsRemembered", goesAboveWhatIsRemembered},
        {"tellsTwinsApart", tellsTwinsApart},
        {"believesNothingElse", believesNothingElse},
        {"talksToItsNeighbours", talksToItsNeighbours},
        {"growsAndShrinks", growsAndShrinks},
        {"ofOneTwoAndNone", ofOneTwoAndNone},
        {"holdsUnderFlood", holdsUnderFlood}};
    for (const auto& [name, test] : all) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        std::puts(name);
        std::fflush(stdout);
        test();
    }
}
