// The processes of the program with their settings, the platform, the stores' calls to control, the operator
// and the clients of a small deployment on loopback.
#pragma once

#include <random>

#include "site.hpp"

namespace review {

class Deployment {
public:
    static constexpr int members = 3;
    Service service;
    std::function<void(const std::string& store, std::uint64_t fence)> onPromotionCall;  // before it is handled
    int deadline_ms = 2000;  // of all routes

    Deployment(std::string program, std::string firstPrimary)
        : service("svc", std::move(firstPrimary)), program_(std::move(program)) {
        std::random_device random;
        // A network of its own for each run, and ports that nothing listens on.
        net_ = "127." + std::to_string(60 + random() % 150) + "." + std::to_string(random() % 250) + ".";
        for (int attempt = 0; attempt < 50; ++attempt) {
            port_ = 20000 + static_cast<int>(random() % 9000) / 40 * 40;
            if (free("127.0.0.1", port_ + 2) && free(ip(1), port_)) break;
        }
        folder_ = (std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid()))).string();
        std::filesystem::create_directories(folder_);
        platformSocket_ = listenOn(platform());
        if (platformSocket_ < 0) std::_Exit(2);
        threads_.emplace_back([this] { servePlatform(); });
        threads_.emplace_back([this] { beat(); });
    }
    ~Deployment() { end(); }
    void end() {
        if (ended_) return;
        ended_ = true;
        processes_.clear();
        ::shutdown(platformSocket_, SHUT_RDWR);
        service.end();
        for (std::thread& each : threads_) each.join();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    std::string ip(int machine) const { return net_ + std::to_string(machine); }
    Address control(int member) const { return {ip(1 + member), port_}; }
    Address front() const { return {ip(10), port_}; }
    Address readiness() const { return {ip(10), port_ + 20}; }
    Address platform() const { return {ip(20), port_ + 21}; }
    Address storeAddress(int number) const { return {ip(30 + number), port_ + 22}; }
    std::string logOf(const std::string& process) const { return folder_ + "/" + process + ".log"; }

    void addStore(const std::string& id, int number, std::vector<Service::Entry> log = {}) {
        service.add(id, storeAddress(number), std::move(log));
    }
    void start(const std::string& name) {
        auto& process = processes_[name];
        if (!process)
            process = std::make_unique<Process>(program_, name.substr(0, name.find('-')), writeSettings(name),
                                                logOf(name));
        process->start();
    }
    Process& process(const std::string& name) { return *processes_.at(name); }
    bool startAll() {
        for (int i = 0; i < members; ++i) start("control-" + std::to_string(i));
        start("agent");
        start("proxy");
        if (!until(20, [&] { return order(configuration(1)); })) return false;
        return until(20, [&] { return http(readiness(), "GET", "/ready", "").status == 200; });
    }
    static bool until(double limit, const std::function<bool()>& holds) {
        const double end = seconds() + limit;
        while (seconds() < end) {
            if (holds()) return true;
            sleepFor(0.1);
        }
        return false;
    }
    std::string configuration(int edition) const {
        Json routes = Json::array();
        auto route = [&](const char* name, const char* mode, int staleness) {
            routes.push_back({{"label", name},
                              {"hostname", name},
                              {"path_prefix", "/"},
                              {"mode", mode},
                              {"depot", "svc"},
                              {"deadline_ms", deadline_ms},
                              {"target_ms", 200},
                              {"precedence", 1},
                              {"tries", 2}});
            if (staleness) routes.back()["staleness_ms"] = staleness;
        };
        route("desk", "head_office", 0);
        route("board", "age_bounded", 1500);
        route("ledger", "own", 2500);
        return Json{{"edition", edition},
                    {"itineraries", routes},
                    {"depots",
                     {{{"label", "svc"},
                       {"health_path", "/health"},
                       {"berth_cap", 120},
                       {"protocol", "h1"},
                       {"tls_mode", false},
                       {"sync_replicas", service.sync}}}},
                    {"limits", {{"tx_idle_ms", 3000}}}}
            .dump();
    }
    // Sends the configuration to one member after the other until one acknowledges it.
    bool order(const std::string& body) {
        for (int i = 0; i < members; ++i)
            if (http(control(i), "PUT", "/config", body).status == 200) return true;
        return false;
    }
    // A call of a store: to another front after a failure, a 5xx, a 408, a 429 or a second of silence.
    bool storeCall(const std::string& method, const std::string& id, const std::string& body, int rounds = 3) {
        for (int i = 0; i < rounds * members && !ended_; ++i) {
            Address to = control((firstFront_ + i) % members);
            HttpAnswer answer = http(to, method, "/stores/" + id, body);
            for (int hop = 0; hop < 2 && answer.status == 307; ++hop) {
                const std::string where = answer.location.substr(7);
                const auto colon = where.find(':'), slash = where.find('/');
                answer = http({where.substr(0, colon), std::stoi(where.substr(colon + 1, slash - colon - 1))},
                              method, where.substr(slash), body);
            }
            if (answer.status / 100 == 2) {
                firstFront_ = (firstFront_ + i) % members;
                return true;
            }
        }
        return false;
    }
    std::string beatOf(const std::string& id) {
        const std::lock_guard<std::mutex> lock(service.mutex);
        Service::Store& store = *service.stores.at(id);
        return Json{{"depot", service.name},
                    {"address", store.address.text()},
                    {"district", "neihu"},
                    {"edition", "v1"},
                    {"berths", 10},
                    {"standing", store.standing},
                    {"cold_left_ms", 0},
                    {"db_role", service.roleOf(id)},
                    {"call_seq", ++store.callNumber}}
            .dump();
    }
    bool logged(const std::string& process, const std::string& text) const {
        std::ifstream in(logOf(process));
        for (std::string line; std::getline(in, line);)
            if (line.find(text) != line.npos) return true;
        return false;
    }
    // What control has logged, in the record.
    void recordLogs(const std::string& word) {
        for (const auto& [name, process] : processes_) {
            std::ifstream in(logOf(name));
            for (std::string line; std::getline(in, line);)
                if (line.find(word) != line.npos) record.line("log of %s: %s", name.c_str(), line.c_str());
        }
    }
    bool processEnded() {
        bool any = false;
        for (auto& [name, process] : processes_)
            if (process->ended()) {
                record.line("process %s ended by itself", name.c_str());
                any = true;
            }
        return any;
    }

private:
    static bool free(const std::string& address, int port) {
        const int socket = listenOn({address, port});
        if (socket >= 0) ::close(socket);
        return socket >= 0;
    }
    std::string writeSettings(const std::string& name) {
        const bool isControl = name.rfind("control", 0) == 0;
        const int machine = isControl ? 1 + std::stoi(name.substr(8)) : 10;
        const std::string path = folder_ + "/" + name + ".toml";
        std::ofstream out(path);
        out << "station = \"" << (isControl ? name : std::string("front-neihu-1")) << "\"\npost = \"counter\"\n"
            << "machine_class = \"" << (isControl ? "sorting" : "counter") << "\"\n"
            << "ip_addr = \"" << ip(machine) << "\"\ndistrict = \"neihu\"\nterritory = \"tw-north\"\n"
            << "spare_ports = [" << port_ + 1 << "," << port_ + 16 << "]\nseed_list = [";
        for (int i = 0; i < members; ++i) out << (i ? "," : "") << "\"" << control(i).text() << "\"";
        out << "]\nfirst_boot = true\nloss_counts = " << (isControl ? "true" : "false")
            << "\nbeat_interval_ms = 1200\n"
            << "clauses = [\"base\",\"drain\",\"config\",\"cost\",\"sql\",\"recover\"]\n";
        if (isControl) {
            std::filesystem::create_directories(folder_ + "/" + name);
            out << "data_path = \"" << folder_ << "/" << name << "\"\n";
        }
        out << "[districts]\nneihu = \"tw-north\"\n[listen_on]\n";
        if (isControl)
            out << "control_addr = \"" << control(machine - 1).text() << "\"\n";
        else
            out << "front_addr = \"" << front().text() << "\"\nready_addr = \"" << readiness().text() << "\"\n";
        out << "[limits]\nram_mb = 260\nfile_handles = 4200\n[tolerance]\nmachine_count = 1\n"
            << "[guarantees]\nseed_delay_s = 3\naddr_reuse_s = 2\ncontact_ms = 4000\nreceipt_ms = 5000\n"
            << "sync_in_s = 4\ndrain_ms = 7000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_lag_ms = 3000\n"
            << "back_slack_ms = 250\nstretch_ms = 12000\nrecovery_s = 12\nfence_checked = true\n"
            << "thaw_slack_ms = 300\n[platform_api]\naddress = \"" << platform().text()
            << "\"\nrate_per_s = 50.0\nassignments = [\"promotion\"]\nduty_rate_s = 50.0\n";
        return path;
    }
    void servePlatform() {
        std::vector<std::thread> calls;
        for (;;) {
            const int socket = ::accept4(platformSocket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) break;
            calls.emplace_back([this, socket] {
                promotionCall(socket);
                ::close(socket);
            });
        }
        ::close(platformSocket_);
        for (std::thread& each : calls) each.join();
    }
    void promotionCall(int socket) {
        const timeval wait{2, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
        LineReader reader(socket);
        const auto first = reader.next();
        if (!first || first->rfind("POST /promotions", 0) != 0) return;
        std::size_t length = 0;
        std::uint64_t fence = 0;
        std::string holder;
        for (;;) {
            const auto header = reader.next();
            if (!header) return;
            if (header->empty()) break;
            if (header->rfind("Content-Length: ", 0) == 0) length = std::stoul(header->substr(16));
            if (header->rfind("X-Fence-Number: ", 0) == 0) fence = std::stoull(header->substr(16));
            if (header->rfind("X-Duty-Holder: ", 0) == 0) holder = header->substr(15);
        }
        const auto body = reader.bytes(length);
        if (!body) return;
        const std::string store = Json::parse(*body).at("store_id");
        record.line("platform: call of %s with fence %llu to promote %s", holder.c_str(),
                    static_cast<unsigned long long>(fence), store.c_str());
        if (onPromotionCall) onPromotionCall(store, fence);
        int status = 409;
        {
            const std::lock_guard<std::mutex> lock(platformMutex_);
            if (fence >= highestFence_) {
                highestFence_ = fence;
                status = service.promote(store, fence);
            }
        }
        record.line("platform: answers %d to fence %llu", status, static_cast<unsigned long long>(fence));
        sendAll(socket, "HTTP/1.1 " + std::to_string(status) +
                            " Answer\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    // Each store calls about every beat_interval_ms, and at once when its role has changed.
    void beat() {
        std::map<std::string, double> nextAt;
        std::map<std::string, std::string> lastRole;
        while (!ended_) {
            std::vector<std::string> due;
            {
                const std::lock_guard<std::mutex> lock(service.mutex);
                for (auto& [id, store] : service.stores) {
                    const std::string role = service.roleOf(id);
                    if (!store->running || !store->listed) continue;
                    if (seconds() >= nextAt[id] || lastRole[id] != role) due.push_back(id);
                    lastRole[id] = role;
                }
            }
            for (const std::string& id : due) {
                nextAt[id] = seconds() + 1.2;
                if (!storeCall("PUT", id, beatOf(id), 1)) nextAt[id] = seconds() + 0.3;
            }
            sleepFor(0.02);
        }
    }

    const std::string program_;
    std::string net_, folder_;
    int port_ = 0, platformSocket_ = -1;
    std::atomic<int> firstFront_{0};
    std::atomic<bool> ended_{false};
    std::map<std::string, std::unique_ptr<Process>> processes_;
    std::mutex platformMutex_;
    std::uint64_t highestFence_ = 0;
    std::vector<std::thread> threads_;
};

// A client's session: single statements, one after the other.
class Client {
public:
    Client(const Address& front, std::string database) : front_(front), database_(std::move(database)) {}
    ~Client() { close(); }
    // The lines of the answer up to READY; empty if the connection ended first.
    std::vector<std::string> ask(const std::string& id, const std::string& text, int timeout_ms = 5000) {
        std::vector<std::string> lines;
        if (socket_ < 0) {
            socket_ = connectTo(front_, timeout_ms);
            if (socket_ < 0) return lines;
            reader_ = std::make_unique<LineReader>(socket_);
            if (!sendAll(socket_, "GREET " + database_ + " u\r\n")) return close(), lines;
            const auto greeting = reader_->next();
            if (!greeting || greeting->rfind("READY", 0) != 0) return close(), lines;
        }
        if (!sendAll(socket_, "QUERY " + id + " " + text + "\r\n")) return close(), lines;
        for (;;) {
            const auto line = reader_->next();
            if (!line) return close(), std::vector<std::string>{};
            lines.push_back(*line);
            if (line->rfind("READY ", 0) == 0) return lines;
        }
    }
    void close() {
        if (socket_ >= 0) ::close(socket_);
        socket_ = -1;
    }

private:
    Address front_;
    std::string database_;
    int socket_ = -1;
    std::unique_ptr<LineReader> reader_;
};

// Clients that write without end: one single write each, with a pause between.
class Writers {
public:
    Writers(Deployment& deployment, int count, double pause, std::string prefix = "w")
        : deployment_(deployment), prefix_(std::move(prefix)) {
        for (int i = 0; i < count; ++i) threads_.emplace_back([this, i, pause] { run(i, pause); });
    }
    ~Writers() { stop(); }
    void stop() {
        stopping_ = true;
        for (std::thread& each : threads_)
            if (each.joinable()) each.join();
    }
    int acknowledged() const { return acknowledged_; }

private:
    void run(int number, double pause) {
        Client client(deployment_.front(), "desk");
        for (int n = 0; !stopping_; ++n) {
            const std::string id = prefix_ + std::to_string(number) + "x" + std::to_string(n);
            const double sentAt = seconds();
            const auto lines = client.ask(id, "WRITE t" + std::to_string(number) + " d" + std::to_string(n));
            const std::string answer = lines.empty() ? "cut" : lines.front();
            record.line("client %d: %s sent at %.3f, answered %s", number, id.c_str(), sentAt, answer.c_str());
            if (answer.rfind("DONE ", 0) == 0) {
                deployment_.service.clientRead(id);
                ++acknowledged_;
            } else {
                sleepFor(0.1);
            }
            sleepFor(pause);
        }
    }
    Deployment& deployment_;
    std::string prefix_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> acknowledged_{0};
    std::vector<std::thread> threads_;
};

}  // namespace review
