// One front of a tier by itself, handed what others say: each guard of `Members` alone.
#undef NDEBUG
#include <cassert>
#include <cstdlib>
#include <utility>

#include "tier/members.hpp"

using namespace granitereel;
using tier::Fact;
using tier::Members;
using tier::Said;
using tier::State;

namespace {

// Front 0 of `count`; the others are played by the test.
struct Lone final : tier::Outlet {
    Nanoseconds now = milliseconds(1'000'000);
    std::vector<std::pair<int, Said>> sent;
    std::vector<std::string> lines;
    std::vector<std::uint32_t> nth;
    Members members;

    explicit Lone(int count)
        : nth(static_cast<std::size_t>(count)), members(0, count, 77, 1, {}, now, *this) {}
    std::vector<Fact> told;  // whatever was said of others than the receiver, ever
    void send(int to, const Said& what) override {
        sent.emplace_back(to, what);
        for (const Fact& fact : what.facts)
            if (fact.member != to) told.push_back(fact);
    }
    void log(const std::string& line) override { lines.push_back(line); }

    // What a process of `from` says that started `age` ago.
    bool say(int from, std::vector<Fact> facts = {}, Nanoseconds age = milliseconds(50'000),
             std::uint32_t birth = 0, std::uint32_t incarnation = 1) {
        Said said;
        said.birth = birth ? birth : static_cast<std::uint32_t>(100 + from);
        said.incarnation = incarnation;
        said.age = age + now - milliseconds(1'000'000);
        said.members = members.count();
        said.nth = ++nth[static_cast<std::size_t>(from)];
        said.facts = std::move(facts);
        return members.heard(now, from, said);
    }
    // Time passes with its own clockwork; `answering` members answer its probes.
    void pass(Nanoseconds time, const std::function<bool(int)>& answering) {
        for (const Nanoseconds end = now + time; now < end;) {
            now = std::min(end, std::max(now + milliseconds(1), members.next()));
            members.tick(now);
            for (const auto& [to, what] : std::exchange(sent, {})) {
                if (!what.probe || !answering(to)) continue;
                Said said;
                said.birth = static_cast<std::uint32_t>(100 + to);
                said.incarnation = 1;
                said.age = milliseconds(50'000) + now - milliseconds(1'000'000);
                said.members = members.count();
                said.nth = ++nth[static_cast<std::size_t>(to)];
                said.answer = what.probe;
                said.about = what.about;
                said.silent = what.about >= 0;
                members.heard(now, to, said);
            }
        }
    }
    State state(int member) const { return members.member(member).state; }
};

const auto nobody = [](int) { return false; };

// One front's verdict is an accusation; three make it a verdict.
void believesNoVerdictOfOne() {
    Lone lone(6);
    for (int i = 1; i < 6; ++i) lone.say(i);
    lone.say(1, {{5, State::gone, 1, 1}});
    assert(lone.state(5) == State::suspect);
    lone.say(2, {{5, State::gone, 1, 1}});  // the same verdict, passed on
    lone.say(2, {{5, State::suspect, 1, 2}});
    assert(lone.state(5) == State::suspect);
    lone.say(3, {{5, State::gone, 1, 3}});
    assert(lone.state(5) == State::gone);
    // Of one that was never heard of it is believed: nothing speaks against it.
    Lone fresh(6);
    fresh.say(1, {{5, State::gone, 7, 1}});
    assert(fresh.state(5) == State::gone && fresh.members.member(5).incarnation == 7);
}

// It has spoken since its last calls began: no verdict, though it has not answered for itself yet.
void condemnsNobodyWhoSpeaks() {
    Lone lone(3);
    lone.say(1);
    lone.say(2);
    lone.say(1, {{2, State::suspect, 1, 1}});
    for (int i = 0; i < 100; ++i) {
        lone.pass(milliseconds(400), [](int to) { return to == 1; });
        lone.say(2);
        assert(lone.state(2) == State::suspect);
    }
    lone.pass(milliseconds(30'000), [](int to) { return to == 1; });
    assert(lone.state(2) == State::gone);
}

// The more is lost on the way here, the more often a suspect is called before the verdict.
void callsOftenerWhereMuchIsLost() {
    int calls[2] = {0, 0};
    for (const bool lossy : {false, true}) {
        Lone lone(3);
        for (int i = 0; i < 60; ++i) {
            if (lossy) ++lone.nth[1];  // every other one never comes
            lone.say(1);
        }
        lone.say(2);
        lone.say(1, {{2, State::suspect, 1, 1}});
        lone.pass(milliseconds(60'000), [](int to) { return to == 1; });
        assert(lone.state(2) == State::gone);
        for (const std::string& line : lone.lines)
            if (const auto at = line.find("none of "); at != std::string::npos)
                calls[lossy] = std::atoi(line.c_str() + at + 8);
    }
    assert(calls[0] >= 4 && calls[0] < 10 && calls[1] > 3 * calls[0]);
}

// Stalled, it gives up what it waited for, doubts itself, and lets suspicions stand longer by as much.
void blamesNobodyForItsOwnStall() {
    Lone lone(3);
    lone.say(1);
    lone.say(2);
    lone.say(1, {{2, State::suspect, 1, 1}});
    const Nanoseconds verdict = lone.members.member(2).verdictAt;
    lone.now += milliseconds(10'000);
    lone.members.tick(lone.now);
    assert(lone.members.doubt() == 8 && lone.members.member(2).verdictAt > verdict + milliseconds(9'000));
    lone.sent.clear();
    lone.now += milliseconds(10);
    lone.members.tick(lone.now);
    for (const auto& [to, what] : lone.sent) assert(what.about < 0);  // no helper is asked for what it missed
}

// Nobody answers it: what it thinks of others it keeps to itself.
void keepsQuietWhileAlone() {
    Lone lone(4);
    for (int i = 1; i < 4; ++i) lone.say(i);
    lone.pass(milliseconds(3'000), [](int) { return true; });
    lone.pass(milliseconds(60'000), nobody);
    assert(lone.state(1) == State::gone && lone.state(2) == State::gone && lone.state(3) == State::gone);
    for (const Fact& fact : lone.told) assert(fact.state != State::gone);
}

// Held on the way, by age alone; a clock that stood still is taken anew after ten seconds of it.
void dropsWhatWasHeld() {
    Lone lone(3);
    assert(lone.say(1));
    lone.now += milliseconds(30'000);
    assert(lone.say(1));
    const Nanoseconds late = milliseconds(50'000) - milliseconds(6'000),
                      sleepy = milliseconds(50'000) - milliseconds(300'000);
    assert(!lone.say(1, {{2, State::suspect, 9, 1}}, late) && lone.state(2) == State::gone);
    assert(lone.say(1, {}, milliseconds(50'000) - milliseconds(3'000)));
    // The machine slept for five minutes.
    lone.now += milliseconds(300'000);
    int believed = 0;
    for (int i = 0; i < 40; ++i) {
        lone.now += milliseconds(500);
        believed += lone.say(1, {}, sleepy);
        assert(believed == 0 || i >= 19);
    }
    assert(believed >= 15);
}

// A process that started before the one that is known: let go together, what it once said proves nothing;
// twice over time shows that it lives, and both are told. What it said long ago does not.
void tellsTwinsFromTheDead() {
    Lone lone(3);
    lone.say(1, {}, milliseconds(50'000), 5);
    lone.now += milliseconds(20'000);
    lone.say(1, {}, milliseconds(-15'000), 6);  // a successor, five seconds old
    lone.now += milliseconds(1'000);
    lone.sent.clear();
    const auto told = [&] {
        for (const auto& [to, what] : lone.sent)
            if (what.twins) return to == 1 && what.twins->younger == 6 && what.twins->elder == 5;
        return false;
    };
    assert(!lone.say(1, {}, milliseconds(50'000) - milliseconds(12'000), 5) &&
           !lone.say(1, {}, milliseconds(50'000), 5) && !told());
    lone.now += milliseconds(3'000);
    assert(!lone.say(1, {}, milliseconds(50'000) - milliseconds(12'000), 5) && !told());
    assert(!lone.say(1, {}, milliseconds(50'000), 5) && told());
    assert(lone.say(1, {}, milliseconds(-15'000), 6));
}

// Killed and started again at once: the successor is heard, whatever the two births.
void hearsAQuickSuccessor() {
    for (const std::uint32_t birth : {3u, 9u}) {
        Lone lone(3);
        lone.now += milliseconds(60'000);
        const Nanoseconds started = milliseconds(-60'000) + milliseconds(30);
        assert(lone.say(1, {}, started, 5));
        lone.now += milliseconds(90);
        assert(lone.say(1, {}, started - milliseconds(80), birth));
        lone.now += milliseconds(500);
        assert(lone.say(1, {}, started - milliseconds(80), birth) && lone.members.member(1).birth == birth);
    }
}

// An elder process that learns of its successor says nothing any more.
void fallsSilentForItsSuccessor() {
    Lone lone(3);
    lone.say(1);
    lone.now += milliseconds(60'000);
    Said said;
    said.birth = 101;
    said.age = milliseconds(110'000);
    said.members = 3;
    said.twins = tier::Twins{88, 77, milliseconds(90'000)};  // older than this one: not a successor
    lone.members.heard(lone.now, 1, said);
    assert(!lone.members.silenced());
    said.twins->youngerAge = milliseconds(2'000);
    lone.members.heard(lone.now, 1, said);
    assert(lone.members.silenced() && lone.members.sight(lone.now) == tier::Sight::alone);
    lone.sent.clear();
    lone.now += milliseconds(5'000);
    lone.members.tick(lone.now);
    lone.members.leave(lone.now);
    assert(lone.sent.empty());
}

}  // namespace

int main() {
    believesNoVerdictOfOne();
    condemnsNobodyWhoSpeaks();
    callsOftenerWhereMuchIsLost();
    blamesNobodyForItsOwnStall();
    keepsQuietWhileAlone();
    dropsWhatWasHeld();
    tellsTwinsFromTheDead();
    hearsAQuickSuccessor();
    fallsSilentForItsSuccessor();
}
