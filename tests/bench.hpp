// What the tests share: a Front with its state laid open, and an Outlet that writes down what it does; for
// the tests of the program, a front that runs among stand-ins, spoken to in blocking style.
#pragma once

#undef NDEBUG
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "front.hpp"
#include "standins/ends.hpp"
#include "standins/process.hpp"

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
    std::pair<std::size_t, std::size_t> marks() const {
        return {front.marks_.size(), front.olderMarks_.size()};
    }
    Nanos mustSee(const std::string& id) const { return front.transactions_.at(id)->mustSee; }

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

// ---- the program's tests ----------------------------------------------------------------------------

// A front that runs, in group 3 a primary and a replica, and its discovery.
struct Stage {
    Place discovery, primary, replica;
    int port = 0, index = 41;
    pid_t program = 0;
    void (*prepare)(const char*) = nullptr;  // see start()
    std::FILE* log = nullptr;
    std::string file;
    std::string known;                 // the list at the start, where it is another than whole()
    std::vector<std::string> options;  // of the command line, beside the config

    static std::string lane(const std::string& name, const std::string& effect, int aim, int limit) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect +
               "\",\"group\":\"cell\",\"worth\":1,\"aim-ms\":" + std::to_string(aim) +
               ",\"hard-limit-ms\":" + std::to_string(limit) + ",\"late-value\":0.5,\"window-ms\":5000}";
    }
    std::string entry(const std::string& name, const Place& place, const std::string& status,
                      const std::string& role) const {
        return "{\"name\":\"" + name + "\",\"address\":\"" + place.address() +
               "\",\"zone\":\"a\",\"group\":3," + "\"status\":\"" + status +
               "\",\"weight\":1.0,\"since_ms\":0,\"role\":\"" + role + "\"}";
    }
    static std::string list(int index, bool whole, const std::string& entries) {
        return "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (whole ? "true" : "false") +
               ",\"endpoints\":[" + entries + "]}";
    }
    std::string whole() const {
        return list(index, true,
                    entry("p", primary, "Ready", "primary") + "," + entry("r", replica, "Ready", "replica"));
    }
    std::string config(const Place& registry, bool probes = false, int sockets = 1024) const {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(port) + "\",\"discovery\":\"" +
               registry.address() +
               "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":64,\"sockets\":" +
               std::to_string(sockets) + "},\"known\":" + (known.empty() ? whole() : known) +
               ",\"settings\":{\"az\":0,\"azs\":[\"a\"],\"me\":0,\"siblings\":1,\"membership-mode\":"
               "\"push\"," +
               "\"tick-ms\":5,\"caps\":{\"cancel\":true,\"connect-timeout-ms\":250,\"idle-close-ms\":30000," +
               "\"max-retry-after-ms\":2000,\"probes\":" + (probes ? "true" : "false") +
               ",\"retry-after\":true,\"try-limit\":6},\"guarantees\":{}," +
               "\"report\":{\"how\":\"on_probe\",\"fields\":[\"x0\",\"x1\"]}," +
               "\"domain\":{\"guards\":\"off\",\"max-age-ms\":[0,0,0,0],\"stamps\":true," +
               "\"session-marks\":\"brought\",\"origin-time-ms\":0,\"read-level\":" +
               "[\"eventual\",\"causal\",\"mutate\",\"mutate\"]},\"classes\":[" +
               lane("look", "repeatable", 2000, 4000) + "," + lane("recent", "repeatable", 2000, 4000) + "," +
               lane("pay", "once", 2000, 4000) + "," + lane("post", "by_key", 2000, 4000) + "]}}";
    }

    explicit Stage(bool probes = false, int sockets = 1024) { begin(probes, sockets); }
    struct Later {};  // begun once all is laid out
    explicit Stage(Later) {}
    void begin(bool probes = false, int sockets = 1024) {
        port = Place().port;  // free, as the place is gone again
        char name[] = "/tmp/granitereel-XXXXXX";
        const int fd = ::mkstemp(name);
        assert(fd >= 0);
        ::close(fd);
        std::ofstream(file = name) << config(discovery, probes, sockets);
        std::vector<std::string> words{"serve", "--config", file};
        words.insert(words.end(), options.begin(), options.end());
        program = start(std::move(words), log, prepare);
        logged("serving");
    }
    ~Stage() {
        if (program) ::kill(program, SIGKILL);
        if (log) exitCode();
        ::unlink(file.c_str());
    }
    // `prepare` runs in the child between fork and exec, as the platform's own filter would be set there.
    static pid_t start(std::vector<std::string> words, std::FILE*& output,
                       void (*prepare)(const char*) = nullptr) {
        return standins::startProgram(PROGRAM, std::move(words), output, prepare);
    }
    // Reads the log up to a line that holds `text`.
    void logged(const std::string& text) {
        char line[1024];
        ::alarm(20);
        while (std::fgets(line, sizeof line, log)) {
            if (std::getenv("TRACE")) std::fputs(line, stderr);
            if (std::string_view(line).find(text) != std::string_view::npos) return void(::alarm(0));
        }
        assert(!"the program ended before it logged that");
    }
    int exitCode() {
        int status = 0;
        ::waitpid(program, &status, 0);
        std::fclose(std::exchange(log, nullptr));
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    End client() const {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        assert(::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        return End(fd);
    }
    void reload(const std::string& content) const {
        std::ofstream(file) << content;
        ::kill(program, SIGHUP);
    }
    // Discovery's side of the watch that the front opens.
    End follow() { return follow(discovery); }
    static End follow(Place& registry) {
        End watch = registry.accept();
        assert(watch.called().find("GET /v1/servers?stream=1&index=") == 0);
        watch.watch();
        return watch;
    }
};

inline std::string statement(const std::string& id, const std::string& lane, int d = 3000,
                             const std::string& more = "") {
    return "/* id=" + id + ",c=" + lane + ",d=" + std::to_string(d) + ",cluster=3" + more + " */ " +
           (lane == "look" || lane == "recent"
                ? "SELECT val FROM state WHERE uid = 'key'"
                : "INSERT INTO state (uid, val) VALUES ('key', '\\x9f03') RETURNING val");
}

}  // namespace granitereel
