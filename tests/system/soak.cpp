// The real processes under series of troubles that overlap: killed, stopped, told to end, told to read their
// settings, cut off one way or both, their links reset, answers to the operator lost; changes and clients go
// on throughout. A seed gives the whole script. What must hold:
//  - each process that is in touch obeys a configuration 3 s behind its acknowledgement, and never goes back;
//  - what was acknowledged is read back at the end, and each acknowledged write has been done once;
//  - no process finds one of its own invariants broken, or ends by itself.
// SOAK_SEED, SEEDS (how many), SOAK_FRONTS, SOAK_MEMBERS choose other runs; SOAK_LOGS keeps what each process
// wrote in runs that failed.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

#include "standins/site.hpp"

namespace {
using granitereel::standins::Site;
using granitereel::standins::WireClient;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds inForceWithin{3'000};  // the operators' bound
constexpr milliseconds contact{4'000};        // in touch that long behind the last trouble
constexpr milliseconds step{50};
constexpr milliseconds quiet{7'500};
constexpr int rounds = 2;

int number(const char* name, int usual) {
    const char* given = std::getenv(name);
    return given ? std::atoi(given) : usual;
}

// Forty seeds in a row may run at once.
int portOf(unsigned seed) {
    return 22'500 + 27 * static_cast<int>(seed % 40);
}

// The operator: changes of the configuration, some at once, each sent again until it is acknowledged.
class Operator {
public:
    Operator(Site& site, int members) : site_(site), members_(members) {}

    void change(std::mt19937& chance) {
        for (unsigned count = 1 + chance() % 2; count > 0 && underWay() < most; --count) {
            const bool loses = chance() % 8 == 0;
            {
                const std::lock_guard hold(lock_);
                ++underWay_;
            }
            send(++edition_, static_cast<int>(chance() % static_cast<unsigned>(members_)),
                 loses ? 1 + static_cast<int>(chance() % 10) : patience_ms, triesMost);
        }
    }
    // The highest edition that was acknowledged before this.
    int acknowledgedBefore(Clock::time_point when) const {
        const std::lock_guard hold(lock_);
        int highest = 0;
        for (const auto& [edition, at] : acknowledged_)
            if (at <= when) highest = std::max(highest, edition);
        return highest;
    }
    std::size_t acknowledged() const {
        const std::lock_guard hold(lock_);
        return acknowledged_.size();
    }
    int underWay() const {
        const std::lock_guard hold(lock_);
        return underWay_;
    }

private:
    static constexpr int most = 8, triesMost = 12, patience_ms = 1000;

    // Under way until it is acknowledged or given up.
    void send(int edition, int member, int within_ms, int tries) {
        const std::string body = site_.configuration(edition, "added" + std::to_string(edition));
        site_.order(member, body, within_ms, [this, edition, member, tries](int status) {
            if (status != 200 && tries > 1)
                return send(edition, (member + 1) % members_, patience_ms, tries - 1);
            const std::lock_guard hold(lock_);
            --underWay_;
            if (status == 200) acknowledged_.emplace(edition, Clock::now());
        });
    }

    Site& site_;
    const int members_;
    int edition_ = 1;
    mutable std::mutex lock_;
    int underWay_ = 0;
    std::map<int, Clock::time_point> acknowledged_;
};

// A client that goes on over one connection until that ends.
class Client {
public:
    Client(Site& site, std::string proxy)
        : site_(site), proxy_(std::move(proxy)), thread_([this] { run(); }) {}
    void stop() {
        over_ = true;
        if (thread_.joinable()) thread_.join();
    }
    ~Client() { stop(); }
    const std::vector<std::string>& sent() const { return sent_; }
    const std::set<std::string>& done() const { return done_; }

private:
    void run() {
        while (!over_) {
            WireClient session(site_.frontAddress(proxy_), "primary");
            while (!over_ && ask(session)) std::this_thread::sleep_for(milliseconds(25));
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    bool ask(WireClient& session) {
        const std::string id = proxy_ + "-" + std::to_string(sent_.size());
        sent_.push_back(id);
        const auto answer = session.ask("QUERY " + id + (sent_.size() % 3 ? " WRITE x 1" : " READ x"));
        if (!answer.empty() && answer.front().starts_with("DONE")) done_.insert(id);
        return !answer.empty();
    }

    Site& site_;
    const std::string proxy_;
    std::vector<std::string> sent_;
    std::set<std::string> done_;
    std::atomic<bool> over_{false};
    std::thread thread_;
};

class Soak {
public:
    Soak(unsigned seed, int members, int fronts)
        : seed_(seed),
          members_(members),
          chance_(seed),
          site_(members, portOf(seed)),
          orders_(site_, members) {
        site_.berthCap = 20 * fronts;
        auto& network = site_.useSwitchboard();
        network_ = &network;
        for (int i = 0; i < members; ++i) add("control-" + std::to_string(i), i);
        for (int i = 0; i < fronts; ++i) {
            add("agent-" + std::to_string(i), i);
            add("proxy-" + std::to_string(i), i);
            fronts_.push_back(std::to_string(i));
        }
    }

    void run() {
        begin();
        for (int round = 0; round < rounds && broken_.empty(); ++round) {
            burst(milliseconds(3'000 + pick(4'000)));
            heal();
            standingTrouble();
            watch(contact, false);
            watch(quiet, true);
            heal();
        }
        finish();
        if (!broken_.empty()) keepLogs();
        std::printf("soak: seed %u, %d members, %zu fronts: %zu troubles, %zu changes acknowledged\n", seed_,
                    members_, fronts_.size(), script_.size(), orders_.acknowledged());
    }
    std::string broken() const {
        std::string all;
        for (const std::string& each : broken_) all += each + "\n";
        return all;
    }

private:
    struct Life {
        std::size_t readLines = 0;
        int edition = 0;
        bool ending = false, dead = false;
    };
    struct Later {
        Clock::time_point when;
        std::function<void()> what;
    };

    int pick(int below) { return static_cast<int>(chance_() % static_cast<unsigned>(below)); }
    std::string anyName() { return names_[static_cast<std::size_t>(pick(static_cast<int>(names_.size())))]; }
    std::string member(int i) const { return "control-" + std::to_string(i); }
    int elapsed() const { return static_cast<int>((Clock::now() - began_) / milliseconds(1)); }
    void note(const std::string& what) { script_.push_back(std::to_string(elapsed()) + " ms: " + what); }
    void violation(const std::string& what) {
        broken_.push_back("seed " + std::to_string(seed_) + ", " + std::to_string(elapsed()) +
                          " ms: " + what);
    }

    void add(const std::string& name, int place) {
        site_.districts[name] = "district-" + std::to_string(place % 3);
        names_.push_back(name);
        const int machine = site_.machineOf(name);
        if (!name.starts_with("proxy"))
            boost::asio::post(site_.loop, [this, machine] { network_->serve(machine); });
    }
    void start(const std::string& name) {
        lives_[name] = {};
        site_.start(name);
    }
    void begin() {
        for (const std::string& name : names_) start(name);
        const bool founded =
            site_.until([&] { return site_.put(0, "/config", site_.configuration(1)) == 200; });
        if (!founded) violation("no configuration was taken at the start");
        for (const std::string& front : fronts_) {
            site_.logged("proxy-" + front, "configuration 1 in force");
            clients_.push_back(std::make_unique<Client>(site_, "proxy-" + front));
        }
    }

    // ---- troubles --------------------------------------------------------------------------------

    void later(int after_ms, std::function<void()> what) {
        later_.push_back({Clock::now() + milliseconds(after_ms), std::move(what)});
    }
    void stopFor(const std::string& name, int time_ms) {
        if (lives_[name].dead) return;
        note("stop " + name + " for " + std::to_string(time_ms));
        site_.signal(name, SIGSTOP);
        later(time_ms, [this, name] {
            if (!lives_[name].dead) site_.signal(name, SIGCONT);
        });
    }
    void killFor(const std::string& name, int time_ms) {
        if (lives_[name].dead) return;
        note("kill " + name + ", back after " + std::to_string(time_ms));
        site_.signal(name, SIGKILL);
        buried(name);
        later(time_ms, [this, name] {
            if (lives_[name].dead) start(name);
        });
    }
    // Before its first line a process may not have come to its own code yet, and can't meet a signal.
    bool begun(const std::string& name) { return !lives_[name].dead && site_.lines(name) > 0; }
    void tellToEnd(const std::string& name) {
        if (!begun(name)) return;
        note("SIGTERM " + name);
        site_.signal(name, SIGTERM);
        lives_[name].ending = true;
    }
    void cut(int one, int other, bool isCut, bool bothWays = true) {
        network_->cut(one, other, isCut);
        if (bothWays) network_->cut(other, one, isCut);
    }
    // Cuts a machine off from the members; `oneWay`: it hears them and isn't heard.
    void cutOffFor(const std::string& name, int time_ms, bool oneWay) {
        note("cut off " + name + (oneWay ? " one way" : "") + " for " + std::to_string(time_ms));
        cutOff(name, true, oneWay);
        later(time_ms, [this, name] { cutOff(name, false, false); });
    }
    void cutOff(const std::string& name, bool isCut, bool oneWay) {
        const int machine = site_.machineOf(name);
        for (int i = 0; i < members_; ++i)
            if (member(i) != name) cut(machine, site_.machineOf(member(i)), isCut, !oneWay);
    }
    void trouble() {
        const std::string name = anyName();
        const std::string control = member(pick(members_));
        switch (pick(10)) {
            case 0:
                return stopFor(name, 100 + pick(3'000));
            case 1:
                return killFor(name, 50 + pick(1'500));
            case 2:
                return tellToEnd(name);
            case 3:
                if (!begun(name)) return;
                note("SIGHUP " + name);
                return site_.signal(name, SIGHUP);
            case 4:
                return cutOffFor(control, 200 + pick(5'000), pick(3) == 0);
            case 5:  // many fronts at once
                for (const std::string& front : fronts_)
                    if (pick(3)) cutOffFor("agent-" + front, 1'000 + pick(5'000), false);
                return;
            case 6:
                note("reset links of " + name);
                return boost::asio::post(
                    site_.loop, [this, machine = site_.machineOf(name)] { network_->reset(machine); });
            case 7:
                return stopFor(control, 100 + pick(3'000));
            case 8:
                return killFor(control, 50 + pick(1'500));
            case 9:  // all of control
                for (int i = 0; i < members_; ++i) killFor(member(i), 50 + pick(2'500));
                return;
        }
    }
    void burst(milliseconds time) {
        const auto end = Clock::now() + time;
        auto next = Clock::now();
        while (Clock::now() < end && broken_.empty()) {
            if (Clock::now() >= next) {
                trouble();
                next = Clock::now() + milliseconds(100 + pick(1'200));
            }
            pass();
        }
    }
    // A minority of the members is away while all else is well: the case that troubles before it prepared.
    void standingTrouble() {
        const std::string name = member(pick(members_));
        switch (pick(4)) {
            case 0:
                return;
            case 1:
                note("cut off " + name + " from the members");
                return cutOff(name, true, false);
            case 2:
                note("stop " + name);
                return site_.signal(name, SIGSTOP);
            case 3:
                note("kill " + name);
                site_.signal(name, SIGKILL);
                buried(name);
        }
    }
    void heal() {
        note("heal");
        later_.clear();
        network_->clear();
        for (const std::string& name : names_) {
            if (!lives_[name].dead) site_.signal(name, SIGCONT);
            if (lives_[name].dead) start(name);
        }
        // Who was told to end has its time for it.
        const auto ending = [this](const std::string& name) { return lives_[name].ending; };
        while (std::any_of(names_.begin(), names_.end(), ending) && broken_.empty()) pass();
    }

    // ---- what is looked at -----------------------------------------------------------------------

    void pass() {
        std::this_thread::sleep_for(step);
        for (std::size_t at = 0; at < later_.size(); ++at)
            if (later_[at].what && Clock::now() >= later_[at].when) std::exchange(later_[at].what, nullptr)();
        std::erase_if(later_, [](const Later& each) { return !each.what; });
        if (Clock::now() >= changeAt_) {
            orders_.change(chance_);
            changeAt_ = Clock::now() + milliseconds(100 + pick(500));
        }
        for (const std::string& name : names_) look(name);
    }
    void look(const std::string& name) {
        Life& life = lives_[name];
        if (life.dead) return;
        readLog(name);
        if (site_.process(name).running()) return;
        if (!life.ending) violation(name + " ended by itself");
        const int code = buried(name);
        if (code != 0) violation(name + " ended with " + std::to_string(code) + " at SIGTERM");
        start(name);
    }
    void readLog(const std::string& name) {
        constexpr const char* marker = "info configuration ";
        Life& life = lives_[name];
        for (; life.readLines < site_.lines(name); ++life.readLines) {
            const std::string line = site_.process(name).line(life.readLines);
            logs_[name] += line;
            if (line.find("invariant broken") != line.npos) violation(name + ": " + line);
            const auto at = line.find(marker);
            if (!name.starts_with("proxy") || at == line.npos) continue;
            const int edition = std::atoi(line.c_str() + at + std::char_traits<char>::length(marker));
            if (edition <= life.edition) violation(name + " went back to " + std::to_string(edition));
            life.edition = edition;
        }
    }
    int buried(const std::string& name) {
        const int code = site_.process(name).end();
        readLog(name);
        logs_[name] += "---- ended with " + std::to_string(code) + "\n";
        lives_[name].dead = true;
        return code;
    }
    void watch(milliseconds time, bool inTouch) {
        const auto end = Clock::now() + time;
        while (Clock::now() < end && broken_.empty()) {
            const int due = orders_.acknowledgedBefore(Clock::now() - inForceWithin);
            pass();
            if (!inTouch) continue;
            for (const std::string& front : fronts_) {
                const int held = lives_["proxy-" + front].edition;
                if (held < due)
                    violation("proxy-" + front + " obeys " + std::to_string(held) + ", " +
                              std::to_string(due) + " was acknowledged over 3 s before");
            }
        }
    }
    void finish() {
        note("end");
        while (orders_.underWay() > 0) std::this_thread::sleep_for(step);
        for (auto& client : clients_) client->stop();
        const int newest = orders_.acknowledgedBefore(Clock::now());
        std::string body;
        site_.until([&] { return !(body = site_.get(pick(members_), "/config")).empty(); });
        const auto read = nlohmann::json::parse(body, nullptr, false);
        if (!read.is_object() || read.value("edition", 0) < newest)
            violation("edition " + std::to_string(newest) +
                      " was acknowledged; read back: " + body.substr(0, 40));
        for (const auto& client : clients_)
            for (const std::string& id : client->sent()) {
                const int effects = site_.with([&](auto& databases) { return databases.effects(id); });
                if (effects > 1 || (effects == 0 && client->done().count(id)))
                    violation(id + " was done " + std::to_string(effects) + " times");
            }
    }
    void keepLogs() {
        const char* folder = std::getenv("SOAK_LOGS");
        if (!folder) return;
        const auto where = std::filesystem::path(folder) / ("seed-" + std::to_string(seed_));
        std::filesystem::create_directories(where);
        std::ofstream script(where / "script.txt");
        for (const std::string& line : script_) script << line << "\n";
        for (const std::string& line : broken_) script << line << "\n";
        for (const auto& [name, log] : logs_) std::ofstream(where / (name + ".log")) << log;
    }

    const unsigned seed_;
    const int members_;
    std::mt19937 chance_;
    Site site_;
    granitereel::standins::Switchboard* network_ = nullptr;
    Operator orders_;
    std::vector<std::string> names_, fronts_, script_, broken_;
    std::map<std::string, Life> lives_;
    std::map<std::string, std::string> logs_;
    std::vector<Later> later_;
    std::vector<std::unique_ptr<Client>> clients_;
    const Clock::time_point began_ = Clock::now();
    Clock::time_point changeAt_ = began_;
};

TEST(Soak, HoldsUnderTroublesThatOverlap) {
    const int first = number("SOAK_SEED", 1), count = number("SEEDS", 2);
    for (int seed = first; seed < first + count; ++seed) {
        Soak soak(static_cast<unsigned>(seed), number("SOAK_MEMBERS", 3), number("SOAK_FRONTS", 4));
        soak.run();
        EXPECT_EQ(soak.broken(), "");
    }
}
}  // namespace
