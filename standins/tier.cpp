#include "tier.hpp"

#include <boost/json.hpp>
#include <chrono>
#include <fstream>

namespace granitereel::standins {

namespace json = boost::json;

namespace {

std::vector<int> numbers(const json::value& from) {
    std::vector<int> list;
    for (const json::value& each : from.as_array()) list.push_back(each.to_number<int>());
    return list;
}

json::object lane(const char* name, const char* effect, double worth) {
    return {{"name", name},          {"effect", effect},    {"group", "cell"},    {"worth", worth},
            {"aim-ms", 2000},        {"hard-limit-ms", 4000}, {"late-value", 0.5}, {"window-ms", 5000}};
}

// A free port below those that the system gives to outgoing connections (32768 on, by default): one of these could
// take a port between its choice and its use.
int quietPort() {
    static std::atomic<int> next{0};
    for (int tried = 0; tried < 12'000; ++tried) {
        const int port = 18'000 + (static_cast<int>(::getpid()) * 61 + next++) % 12'000;
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        ::close(fd);
        if (free) return port;
    }
    assert(!"no port is free");
    return 0;
}

std::string temporary(const std::string& content) {
    char name[] = "/tmp/granitereel-XXXXXX";
    const int fd = ::mkstemp(name);
    assert(fd >= 0);
    ::close(fd);
    std::ofstream(name) << content;
    return name;
}

}  // namespace

Tier::Tier(const char* program, const Wish& wish)
    : program_(program),
      wish_(wish),
      links_(wish.count, wish.seed),
      primary_("primary", audit_),
      fronts_(static_cast<std::size_t>(wish.count)) {
    for (int i = 0; i < wish.replicas; ++i) replicas_.push_back(std::make_unique<Store>("replica", audit_));
    if (wish.cold) started_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count();
    std::string entries = store("p", primary_, "primary", started_);
    for (std::size_t i = 0; i < replicas_.size(); ++i)
        entries += "," + store("r" + std::to_string(i), *replicas_[i], "replica");
    registry_.publish(entries);
    known_ = json::parse("[" + entries + "]");
    for (int i = 0; i < wish.count; ++i) {
        fittings_.push_back(temporary("tier { on: " + std::string(wish.on ? "true" : "false") + " " + wish.tier + " }\n" +
                                      (wish.moreOf ? wish.moreOf(i) : wish.more) + "\n"));
        ports_.push_back(quietPort());
        portsBeside_.push_back(quietPort());
        files_.push_back(temporary(config(i, wish.count, links_.listens(i))));
    }
}

Tier::~Tier() {
    over_ = true;
    for (std::thread& each : clients_)
        if (each.joinable()) each.join();
    fronts_.clear();
    elders_.clear();
    for (const std::string& each : files_) ::unlink(each.c_str());
    for (const std::string& each : fittings_) ::unlink(each.c_str());
}

std::string Tier::store(const std::string& name, const Store& at, const std::string& role,
                        std::int64_t since) const {
    return json::serialize(json::object{{"name", name},
                                        {"address", at.place().address()},
                                        {"zone", "a"},
                                        {"group", 3},
                                        {"status", "Ready"},
                                        {"weight", 1.0},
                                        {"since_ms", since},
                                        {"role", role}});
}

std::string Tier::config(int number, int peers, const std::string& listen, bool beside) const {
    json::array addresses;
    for (int i = 0; i < peers; ++i) addresses.emplace_back(links_.address(number, i));
    if (beside) addresses[static_cast<std::size_t>(number)] = listen;
    const auto at = static_cast<std::size_t>(number);
    const json::object settings{
        {"az", 0},
        {"azs", json::array{"a"}},
        {"me", number},
        {"siblings", peers},
        {"membership-mode", "push"},
        {"tick-ms", 5},
        {"caps",
         {{"cancel", true},
          {"connect-timeout-ms", 250},
          {"idle-close-ms", 30000},
          {"max-retry-after-ms", 2000},
          {"may-tell", wish_.mayTell},
          {"probes", false},
          {"retry-after", true},
          {"try-limit", 6}}},
        {"guarantees", wish_.cold ? json::object{{"ramp-time-ms", 60'000}, {"cold-from", 0.1}, {"fall-multiple", 2}}
                                  : json::object{}},
        {"report", {{"how", "on_probe"}, {"fields", {"x0", "x1"}}}},
        {"domain",
         {{"guards", "off"},
          {"max-age-ms", {0, 0, 0}},
          {"stamps", true},
          {"session-marks", "brought"},
          {"origin-time-ms", 0},
          {"read-level", {"eventual", "mutate", "mutate"}}}},
        {"classes", {lane("look", "repeatable", 1), lane("pay", "once", 1), lane("post", "by_key", 1)}}};
    return json::serialize(
        json::object{{"name", "n" + std::to_string(number)},
                     {"listen", "127.0.0.1:" + std::to_string(beside ? portsBeside_[at] : ports_[at])},
                     {"discovery", registry_.address()},
                     {"seed", std::to_string(wish_.seed * 1000 + at)},
                     {"limits", {{"memory_mb", 64}, {"sockets", 512}}},
                     {"known", {{"index", 41}, {"snapshot", true}, {"endpoints", known_}}},
                     {"peer_listen", listen},
                     {"peers", addresses},
                     {"settings", settings}});
}

std::vector<std::string> Tier::words(const std::string& file, int front) const {
    return {"serve", "--config", file, "--fittings", fittings_[static_cast<std::size_t>(front)]};
}

void Tier::start(int number) {
    const auto at = static_cast<std::size_t>(number);
    fronts_[at] = nullptr;
    fronts_[at] = std::make_unique<Process>(program_, words(files_[at], number), "n" + std::to_string(number));
    fronts_[at]->logged("serving");
}

void Tier::startAll() {
    for (int i = 0; i < count(); ++i)
        if (!up(i)) start(i);
}

int Tier::kill(int number) {
    const int code = front(number).kill();
    fronts_[static_cast<std::size_t>(number)] = nullptr;
    return code;
}

int Tier::end(int number) {
    front(number).signal(SIGTERM);
    const int code = front(number).end();
    fronts_[static_cast<std::size_t>(number)] = nullptr;
    return code;
}

Process& Tier::startBeside(int number) {
    const auto at = static_cast<std::size_t>(number);
    elders_.push_back(std::move(fronts_[at]));
    files_.push_back(temporary(config(number, count(), links_.listensBeside(number), true)));
    fronts_[at] = std::make_unique<Process>(program_, words(files_.back(), number), "n" + std::to_string(number) + "'");
    fronts_[at]->logged("serving");
    return *elders_.back();
}

void Tier::tellPeers(int number, int peers) {
    std::ofstream(file(number)) << config(number, peers, links_.listens(number));
    front(number).signal(SIGHUP);
}

Seen Tier::seen(Process& process) {
    const std::size_t from = process.lines();
    process.signal(SIGUSR1);
    const std::string line = process.line(process.logged(" tier {", from));
    const json::object read = json::parse(line.substr(line.find("tier {") + 5)).as_object();
    Seen seen;
    seen.sight = read.at("sight").as_string();
    if (!read.contains("me")) return seen;
    seen.me = read.at("me").to_number<int>();
    seen.incarnation = read.at("incarnation").to_number<std::uint32_t>();
    seen.digest = read.at("digest").as_string();
    seen.here = numbers(read.at("here"));
    seen.suspect = numbers(read.at("suspect"));
    seen.gone = numbers(read.at("gone"));
    seen.leaving = numbers(read.at("leaving"));
    seen.sent = read.at("sent").to_number<std::uint64_t>();
    seen.heard = read.at("heard").to_number<std::uint64_t>();
    seen.silenced = read.at("silenced").as_bool();
    if (const json::value* warm = read.if_contains("warm")) {
        seen.lent = warm->at("lent").to_number<std::uint64_t>();
        seen.got = warm->at("got").to_number<std::uint64_t>();
        seen.refused = warm->at("refused").to_number<std::uint64_t>();
        for (const json::value& each : read.at("leases").as_array()) {
            if (each.at("key").as_string() != "warm/p") continue;
            seen.term = std::max(seen.term, each.at("term").to_number<std::uint64_t>());
            seen.owns = seen.owns || each.at("mine").as_bool();
        }
    }
    for (const auto& [name, value] : read.at("dropped").as_object())
        seen.dropped[std::string(name)] = value.to_number<std::uint64_t>();
    return seen;
}

Seen Tier::seen(int number) {
    return seen(front(number));
}

void Tier::until(const std::function<bool()>& holds, int seconds) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (!holds()) {
        const bool inTime = std::chrono::steady_clock::now() < end;
        if (!inTime) {
            std::fprintf(stderr, "ran out of time, seed %llu\n", static_cast<unsigned long long>(wish_.seed));
            for (int i = 0; i < count(); ++i)
                if (up(i)) front(i).signal(SIGUSR1), std::fputs(front(i).line(front(i).lines() - 1).c_str(), stderr);
        }
        assert(inTime);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));  // between two looks
    }
}

bool Tier::agree(const std::vector<int>& fronts) {
    const std::string first = seen(fronts.front()).digest;
    return std::all_of(fronts.begin(), fronts.end(), [&](int each) { return seen(each).digest == first; });
}

void Tier::settle(int seconds) {
    std::vector<int> all;
    for (int i = 0; i < count(); ++i) all.push_back(i);
    settleAmong(all, seconds);
}

void Tier::settleAmong(const std::vector<int>& fronts, int seconds) {
    until(
        [&] {
            std::string digest;
            for (const int i : fronts) {
                const Seen each = seen(i);
                if (each.sight != "whole" || (!digest.empty() && each.digest != digest)) return false;
                digest = each.digest;
            }
            return true;
        },
        seconds);
}

End Tier::client(int number) const {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(ports_[static_cast<std::size_t>(number)]));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // A front that is not there refuses; one that is stopped lets the connection wait.
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return End();
    }
    return End(fd);
}

void Tier::ask(int client, int fronts) {
    std::minstd_rand chance(static_cast<std::minstd_rand::result_type>(wish_.seed * 100 + 1 + client));
    chance.discard(2);
    for (int n = 0; !over_; ++n) {
        const bool pays = chance() % 5 == 0;
        const std::string id =
            (pays ? "pay-" : "look-") + std::to_string(client) + "-" + std::to_string(n);
        const std::string statement =
            "/* id=" + id + ",c=" + (pays ? "pay" : "look") + ",d=4000,cluster=3 */ " +
            (pays ? "INSERT INTO state (uid, val) VALUES ('key', '\\x9f03') RETURNING val"
                  : "SELECT val FROM state WHERE uid = 'key'");
        {
            const std::lock_guard hold(lock_);
            items_.push_back(id);
        }
        // Asked of one front after another until one answers; a one-shot that went with its front is not asked
        // again, as nobody can tell whether it ran.
        for (;;) {
            int front = static_cast<int>(chance() % static_cast<unsigned>(fronts));
            for (int tried = 0; tried < fronts && (avoided_ >> front & 1); ++tried) front = (front + 1) % fronts;
            End end = this->client(front);
            // Longer than any script stops a front.
            constexpr int seconds = 40;
            const std::string said = end.open() && end.helloOrEnd(seconds) ? end.askOrEnd(statement, seconds)
                                                                           : std::string("unasked");
            if (said == "unasked") continue;
            if (said == "ended" && !pays) continue;
            audit_.answered(id, said == "ended" ? "40003" : said);
            break;
        }
    }
}

void Tier::avoid(int front, bool on) {
    const std::uint64_t bit = std::uint64_t(1) << front;
    if (on)
        avoided_ |= bit;
    else
        avoided_ &= ~bit;
}

void Tier::load(int clients, int fronts) {
    over_ = false;
    for (int i = 0; i < clients; ++i)
        clients_.emplace_back([this, i = i + static_cast<int>(items_.size()), fronts] {
            ask(i, fronts > 0 ? fronts : count());
        });
}

int Tier::asked() {
    const std::lock_guard hold(lock_);
    return static_cast<int>(items_.size());
}

std::pair<int, int> Tier::stop() {
    over_ = true;
    for (std::thread& each : clients_) each.join();
    clients_.clear();
    audit_.check(items_, [](const std::string& id) { return id.starts_with("pay-"); });
    return {static_cast<int>(items_.size()), audit_.delivered()};
}

}  // namespace granitereel::standins
