#include "world.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace granitereel::standins {

using tier::Members;
using tier::Said;

struct World::Process final : tier::Outlet {
    World& world;
    const int number;
    double rate = 1;
    Nanoseconds offset = 0;
    bool alive = true;
    Nanoseconds stalledUntil = 0;
    Nanoseconds planned = -1;
    std::vector<std::pair<int, std::string>> waiting;  // came while it was stalled
    std::unique_ptr<Members> members;
    Guests guests;

    Process(World& in, int front) : world(in), number(front) {}
    Nanoseconds clock() const {
        return offset + static_cast<Nanoseconds>(std::llround(double(world.now_) * rate));
    }
    Nanoseconds worldTime(Nanoseconds own) const {
        return static_cast<Nanoseconds>(std::ceil(double(own - offset) / rate));
    }
    bool stalled() const { return world.now_ < stalledUntil; }

    void send(int member, const Said& what) override {
        world.carry(number, member, tier::write(what, "world", number, member));
    }
    void received(int from, std::uint32_t birth, Nanoseconds sent, const tier::Further& further) override {
        for (const auto& guest : guests)
            if (guest->kind() == further.kind) guest->received(clock(), from, birth, sent, further.bytes);
    }
    Nanoseconds next() const {
        Nanoseconds when = members->next();
        for (const auto& guest : guests) when = std::min(when, guest->next());
        return when;
    }
    void tick() {
        if (clock() >= members->next()) members->tick(clock());
        for (const auto& guest : guests)
            if (clock() >= guest->next()) guest->tick(clock());
    }
    void log(const std::string& line) override {
        if (world.onLog) world.onLog(number, line);
        const std::size_t gone = line.find(" is gone, ");
        if (gone == std::string::npos || line.rfind("front ", 0) != 0) return;
        const int subject = std::stoi(line.substr(6));
        const auto& other = world.processes_[static_cast<std::size_t>(subject)];
        const bool again = line.find("started again") != std::string::npos;
        world.verdicts.push_back(
            {world.now_, number, subject, !again && other && other->alive && !other->stalled(), line});
    }
};

World::World(int count, std::uint64_t seed, const tier::Pace& pace)
    : count_(count),
      pace_(pace),
      chance_(static_cast<std::minstd_rand::result_type>(seed * 7919 + 17)),
      now_(milliseconds(1'000'000)),
      processes_(static_cast<std::size_t>(count)),
      elders_(static_cast<std::size_t>(count)) {
    chance_.discard(3);
}

std::shared_ptr<World::Process> World::begin(int front) {
    auto process = std::make_shared<Process>(*this, front);
    process->rate = 1 + drift * (2 * chance() - 1);
    process->offset = static_cast<Nanoseconds>(chance_()) * 1000;
    const std::uint32_t birth = chance_();
    process->members =
        std::make_unique<Members>(front, count_, birth, chance_(), pace_, process->clock(), *process);
    if (guests) process->guests = guests(front, *process->members, process->clock(), chance_());
    plan(process);
    return process;
}

void World::start(int front) {
    kill(front);
    processes_[static_cast<std::size_t>(front)] = begin(front);
}

void World::startBeside(int front) {
    const auto at = static_cast<std::size_t>(front);
    elders_[at] = processes_[at];
    processes_[at] = begin(front);
}

void World::kill(int front) {
    if (auto& process = processes_[static_cast<std::size_t>(front)]) process->alive = false;
    processes_[static_cast<std::size_t>(front)] = nullptr;
}

void World::stall(int front, Nanoseconds over) {
    const auto process = processes_[static_cast<std::size_t>(front)];
    process->stalledUntil = now_ + over;
    after(over, [this, process] {
        if (!process->alive || process->stalled()) return;
        // What had come lies in the socket's buffer, before its timers are looked at.
        for (const auto& [from, bytes] : std::exchange(process->waiting, {})) {
            const auto letter = tier::read(bytes, "world", from, process->number);
            process->members->heard(process->clock(), from, letter.said);
        }
        process->planned = -1;
        plan(process);
    });
}

void World::leave(int front) {
    const auto& process = processes_[static_cast<std::size_t>(front)];
    for (const auto& guest : process->guests) guest->leave(process->clock());
    process->members->leave(process->clock());
    plan(process);
}

void World::resizeAt(int front, int count) {
    const auto& process = processes_[static_cast<std::size_t>(front)];
    if (!process) return;
    process->members->resize(process->clock(), count);
    plan(process);
}

void World::resize(int count) {
    for (int i = count; i < count_; ++i) kill(i);
    count_ = count;
    processes_.resize(static_cast<std::size_t>(count));
    elders_.resize(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) resizeAt(i, count);
}

void World::after(Nanoseconds delay, std::function<void()> what) {
    events_.push({now_ + delay, ++order_, std::move(what)});
}

void World::plan(const std::shared_ptr<Process>& process) {
    if (!process->alive) return;
    const Nanoseconds when = std::max(now_, process->worldTime(process->next()));
    if (process->planned >= 0 && process->planned <= when && process->planned >= now_) return;
    process->planned = when;
    after(when - now_, [this, process, when] {
        if (!process->alive || process->stalled() || process->planned != when) return;
        process->planned = -1;
        process->tick();
        plan(process);
    });
}

void World::carry(int from, int to, std::string bytes) {
    ++sent;
    if (to >= count_ || (cut && cut(from, to)) || chance() < loss) return;
    auto arrives = [this, from, to, bytes = std::move(bytes)] { arrive(from, to, bytes); };
    if (holds && holds(from, to)) return held_.push_back(std::move(arrives));
    const auto delay = [&] {
        return leastDelay + static_cast<Nanoseconds>(chance() * double(mostDelay - leastDelay));
    };
    if (repeats > 0 && chance() < repeats) after(delay(), arrives);
    after(delay(), std::move(arrives));
}

void World::letGo() {
    for (auto& each : std::exchange(held_, {})) after(0, std::move(each));
}

void World::arrive(int from, int to, const std::string& bytes) {
    if (to >= count_) return;
    for (const auto& process :
         {processes_[static_cast<std::size_t>(to)], elders_[static_cast<std::size_t>(to)]}) {
        if (!process || !process->alive) continue;
        ++delivered;
        deliveredBytes += static_cast<std::int64_t>(bytes.size());
        if (process->stalled()) {
            process->waiting.emplace_back(from, bytes);
            continue;
        }
        const auto letter = tier::read(bytes, "world", from, to);
        if (letter.flaw != tier::Flaw::none) {
            ++flawed;
            continue;
        }
        process->members->heard(process->clock(), from, letter.said);
        plan(process);
    }
}

void World::run(Nanoseconds until) {
    while (!events_.empty() && events_.top().when <= until) {
        now_ = std::max(now_, events_.top().when);
        const auto what = std::move(const_cast<Event&>(events_.top()).what);
        events_.pop();
        what();
    }
    now_ = until;
}

bool World::runUntil(Nanoseconds atMost, const std::function<bool()>& holdsNow) {
    for (const Nanoseconds end = now_ + atMost; now_ < end;) {
        if (holdsNow()) return true;
        run(now_ + milliseconds(10));
    }
    return holdsNow();
}

bool World::up(int front) const {
    return processes_[static_cast<std::size_t>(front)] != nullptr;
}

const Members& World::at(int front) const {
    return *processes_[static_cast<std::size_t>(front)]->members;
}

tier::Guest& World::guest(int front, std::size_t n) {
    return *processes_[static_cast<std::size_t>(front)]->guests.at(n);
}

tier::Guest* World::elderGuest(int front, std::size_t n) {
    const auto& process = elders_[static_cast<std::size_t>(front)];
    return process && !process->stalled() ? process->guests.at(n).get() : nullptr;
}

void World::stir(int front) {
    const auto& process = processes_[static_cast<std::size_t>(front)];
    process->planned = -1;
    plan(process);
}

const Members* World::elder(int front) const {
    const auto& process = elders_[static_cast<std::size_t>(front)];
    return process ? process->members.get() : nullptr;
}

tier::Sight World::sight(int front) const {
    const auto& process = processes_[static_cast<std::size_t>(front)];
    return process->members->sight(process->clock());
}

bool World::stalledNow(int front) const {
    return processes_[static_cast<std::size_t>(front)]->stalled();
}

Nanoseconds World::clockOf(int front, bool elder) const {
    return (elder ? elders_ : processes_)[static_cast<std::size_t>(front)]->clock();
}

bool World::agree() const {
    const Members* first = nullptr;
    for (const auto& process : processes_) {
        if (!process) continue;
        if (!first)
            first = process->members.get();
        else if (process->members->digest() != first->digest())
            return false;
    }
    return true;
}

int World::falseVerdicts() const {
    return static_cast<int>(
        std::count_if(verdicts.begin(), verdicts.end(), [](const Change& each) { return each.alive; }));
}

}  // namespace granitereel::standins
