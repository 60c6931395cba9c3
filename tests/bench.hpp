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

#include "router.hpp"
#include "standins/ends.hpp"
#include "standins/process.hpp"

namespace granitereel {

struct Notes final : RouterOutput {
    std::vector<std::string> lines;
    void add(std::string line) { lines.push_back(std::move(line)); }
    void startAttempt(const std::string& t, const std::string& s, Nanoseconds) override {
        add("launch " + t + " " + s);
    }
    void reject(const std::string& t, Nanoseconds) override { add("nack " + t); }
    void reportIndeterminate(const std::string& t) override { add("write off " + t); }
    void cancel(const std::string& t, int no) override { add("cancel " + t + " " + std::to_string(no)); }
    void probe(const std::string& s) override { add("probe " + s); }
    void closeIdleConnections(const std::string& s) override { add("hang up " + s); }
    void subscribeToList(bool) override { add("follow"); }
    void requestList() override { add("ask"); }
    void send(std::optional<int>, const std::string&) override { add("tell"); }
    void wakeAt(Nanoseconds, std::int64_t) override {}
    void log(const std::string&) override {}

    int count(const std::string& start) const {
        int n = 0;
        for (const std::string& line : lines) n += line.rfind(start, 0) == 0;
        return n;
    }
};

enum { look, recent, report, pay, post, check };  // the lanes of charter()

inline RoutingConfig charter() {
    RoutingConfig c;
    auto lane = [&](Consistency need, RetrySafety effect, double gain, Nanoseconds goal,
                    Nanoseconds cutOff) -> TransactionClass& {
        TransactionClass l;
        l.consistency = need;
        l.retrySafety = effect;
        l.value = gain;
        l.targetLatency = goal;
        l.timeout = cutOff;
        c.classes.push_back(l);
        return c.classes.back();
    };
    lane(Consistency::bounded, RetrySafety::idempotent, 3, milliseconds(400), milliseconds(1000))
        .maxStaleness = milliseconds(300);
    lane(Consistency::session, RetrySafety::idempotent, 1, milliseconds(400), milliseconds(1000));
    lane(Consistency::eventual, RetrySafety::idempotent, 1, milliseconds(4000), milliseconds(8000));
    lane(Consistency::write, RetrySafety::unsafe, 4, milliseconds(600), milliseconds(2000)).lateValueShare =
        0.5;
    TransactionClass& stamped =
        lane(Consistency::write, RetrySafety::deduplicated, 4, milliseconds(600), milliseconds(2000));
    stamped.deduplicationScope = DeduplicationScope::group;
    stamped.deduplicationWindow = milliseconds(1200);
    lane(Consistency::strong, RetrySafety::idempotent, 1, milliseconds(600), milliseconds(2000));
    c.maxAttempts = 6;
    c.probesAllowed = c.cancelAllowed = c.reportsIncludeRole = true;
    c.listMaxAge = milliseconds(10'000);
    c.warmUpTime = milliseconds(15'000);
    c.coldCapacityShare = 0.25;
    c.overloadMultiple = 2;
    c.tick = milliseconds(5);
    return c;
}

struct Bench {
    Notes notes;
    Nanoseconds now = milliseconds(1'000'000);
    Router front;
    Group& group;
    std::vector<std::unique_ptr<Transaction>> loose;

    explicit Bench(const RoutingConfig& c = charter(), std::uint64_t seed = 7)
        : front(c, seed, now, notes), group(front.groups_[0]) {}

    // A warm, idle store of group 0 whose position is the present.
    Store& store(const std::string& id, Pool pool = Pool::none) {
        auto& slot = front.stores_[id];
        slot = std::make_unique<Store>();
        Store& s = *slot;
        s.id = id;
        s.pool = pool;
        s.window = 100;
        s.position = s.positionUpdatedAt = s.respondedAt = now;
        group.members.push_back(&s);
        group.poolsOutdated = false;
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
        t.classIndex = lane;
        t.group = &group;
        t.arrivedAt = now;
        t.targetTime = now + front.classes_[lane].targetLatency;
        t.deadline = now + front.classes_[lane].timeout;
        return t;
    }
    void pass(std::int64_t ms) { front.setTime(now += milliseconds(ms)); }
    bool known(const std::string& id) const { return front.transactions_.count(id) > 0; }
    std::pair<std::size_t, std::size_t> marks() const {
        return {front.sessionWrites_.size(), front.olderSessionWrites_.size()};
    }
    Nanoseconds mustSee(const std::string& id) const { return front.transactions_.at(id)->minPosition; }

    Store* selectStore(const Transaction& t) { return front.selectStore(group, t); }
    Store* selectReplica(const Transaction& t) { return front.selectReplica(group, t); }
    void assignPools() { front.assignPools(group); }
    void returnBorrowed(int tier) { front.returnBorrowed(group, tier); }
    void startAttempt(Transaction& t, Store& s) { front.startAttempt(t, s); }
    void route(Transaction& t) { front.route(t); }
    void finishUnserved(Transaction& t) { front.finishUnserved(t); }
    bool isFreshEnough(const Store& s, const Transaction& t) { return front.isFreshEnough(s, t); }
    bool mayStartAttempt(const Transaction& t, const Store& s) { return front.mayStartAttempt(t, s); }
    bool mayReject(const Transaction& t) { return front.mayReject(t); }
    bool probeIsDue(const Store& s) { return front.probeIsDue(s); }
    void updateRole(Store& s, Role role, Nanoseconds asOf, bool byAnswer) {
        front.updateRole(s, role, asOf, byAnswer);
    }
    void checkSilence(Store& s) { front.checkSilence(s); }
    void markUnhealthy(Store& s, bool away) { front.markUnhealthy(s, away); }
    bool isUsable(const Store& s) { return front.isUsable(s); }
    bool hasRoom(Store& s, const Transaction& t) { return front.hasRoom(s, t); }
    bool hasWarmUpCredit(Store& s, double work) { return front.hasWarmUpCredit(s, work); }
    void setBearing(double work) { front.warmStoreWork_ = work; }
    void heardFrom(int zone) { front.zonePaths_[zone].respondedAt = now; }
    void settle(Store& s, AttemptOutcome how, Nanoseconds delay) {
        front.recordOutcome(s, {"x", 0, look, now, false}, how, delay);
    }
    void seen(int lane, Nanoseconds delay) {
        front.classWork_[lane].add(now, milliseconds(30'000), double(delay));
    }
    Nanoseconds alreadyWaited(int lane, Nanoseconds patience) { return front.alreadyWaited(lane, patience); }
    double valueRate(const Transaction& t) { return front.valueRate(t); }
    bool launchedTo(const std::string& t, const std::string& s) {
        return notes.count("launch " + t + " " + s) > 0;
    }
    void end(const std::string& t, int no, Store& s, AttemptOutcome how, Role role = Role::unknown) {
        front.attemptEnded(t, no, s.id, how, milliseconds(20), role, {}, how == AttemptOutcome::succeeded);
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
