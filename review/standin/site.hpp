// A small site on loopback for the cases of the review: stores with replicated logs, the platform, an operator
// and clients, as the users' pages describe them, around real processes of the program. Times are those of
// the real clock. Everything that is sent, answered and run goes to a record file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
inline const Clock::time_point startedAt = Clock::now();
inline double seconds() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }
inline void sleepFor(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

// ---- the record ------------------------------------------------------------------------------------

class Record {
public:
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%9.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};
inline Record record;

// ---- sockets ---------------------------------------------------------------------------------------

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in raw() const {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
        return result;
    }
};

inline int listenOn(const Address& address) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in where = address.raw();
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
        ::listen(socket, 256) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline int connectTo(const Address& address, int timeout_ms) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in where = address.raw();
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        pollfd waiting{socket, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof error;
        if (error == 0 && ::poll(&waiting, 1, timeout_ms) != 1) error = ETIMEDOUT;
        if (error == 0) ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            ::close(socket);
            return -1;
        }
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const timeval wait{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    return socket;
}

inline bool sendAll(int socket, const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t n = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads lines that end with CR LF.
class LineReader {
public:
    explicit LineReader(int socket) : socket_(socket) {}
    std::optional<std::string> next() {
        for (;;) {
            if (const auto end = buffer_.find("\r\n"); end != buffer_.npos) {
                std::string line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return line;
            }
            if (!fill()) return std::nullopt;
        }
    }
    std::optional<std::string> bytes(std::size_t count) {
        while (buffer_.size() < count)
            if (!fill()) return std::nullopt;
        std::string result = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return result;
    }

private:
    bool fill() {
        char bytes[8192];
        const ssize_t n = ::recv(socket_, bytes, sizeof bytes, 0);
        if (n <= 0) return false;
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    int socket_;
    std::string buffer_;
};

struct HttpAnswer {
    int status = 0;  // 0: none
    std::string body, location;
};

inline HttpAnswer http(const Address& to, const std::string& method, const std::string& path,
                       const std::string& body, int timeout_ms = 1000) {
    HttpAnswer answer;
    const int socket = connectTo(to, timeout_ms);
    if (socket < 0) return answer;
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + to.text() +
                                "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    LineReader reader(socket);
    std::size_t length = 0;
    if (sendAll(socket, request)) {
        if (const auto first = reader.next(); first && first->size() > 12) {
            int status = std::atoi(first->c_str() + 9);
            for (;;) {
                const auto header = reader.next();
                if (!header) {
                    status = 0;
                    break;
                }
                if (header->empty()) break;
                if (header->rfind("Content-Length: ", 0) == 0) length = std::stoul(header->substr(16));
                if (header->rfind("Location: ", 0) == 0) answer.location = header->substr(10);
            }
            if (const auto content = status && length ? reader.bytes(length) : std::nullopt)
                answer.body = *content;
            answer.status = status;
        }
    }
    ::close(socket);
    return answer;
}

// ---- processes -------------------------------------------------------------------------------------

class Process {
public:
    Process(std::string program, std::string role, std::string settings, std::string log)
        : program_(std::move(program)),
          role_(std::move(role)),
          settings_(std::move(settings)),
          log_(std::move(log)) {}
    ~Process() { kill(); }
    // As the deploy file runs it: the role as the only argument, the settings in the environment.
    void start() {
        const std::string variable = "GRANITEREEL_BOOT=" + settings_;
        pid_ = ::fork();
        if (pid_ != 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        char* const arguments[] = {program_.data(), role_.data(), nullptr};
        char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
        ::execve(program_.c_str(), arguments, environment);
        ::_exit(127);
    }
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    void kill() {
        if (pid_ <= 0) return;
        signal(SIGCONT);
        signal(SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    // Whether it has ended by itself.
    bool ended() {
        if (pid_ <= 0) return false;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
        pid_ = 0;
        return true;
    }

private:
    std::string program_, role_, settings_, log_;
    pid_t pid_ = 0;
};

// ---- stores ----------------------------------------------------------------------------------------

struct Position {
    std::uint64_t term = 1, number = 0;
    auto operator<=>(const Position&) const = default;
    std::string text() const { return std::to_string(term) + "." + std::to_string(number); }
};
inline Position positionOf(const std::string& text) {
    Position result;
    const auto dot = text.find('.');
    result.term = std::stoull(text.substr(0, dot));
    result.number = std::stoull(text.substr(dot + 1));
    return result;
}

// One service: a primary and replicas that receive its log over the network and apply it afterwards. A commit
// that writes is answered once `sync` replicas have received it.
class Service {
public:
    struct Entry {
        Position at;
        std::vector<std::string> writes;  // ids
        double madeAt = 0;
    };
    struct Store {
        std::string id;
        Address address;
        std::vector<Entry> log;
        std::vector<double> receivedAt;
        bool running = true, deaf = false;
        std::uint64_t pausedTerm = 0;
        int listener = -1;
        std::set<int> sockets;
        // What its beats say.
        bool listed = true;
        std::string standing = "accepting";
        std::uint64_t callNumber = 0;
        double networkDelay = 0.0014, applyDelay = 0.06;
    };

    std::string name;
    int sync = 1;
    double promoteDelay = 0.3;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::unique_ptr<Store>> stores;
    std::string primary;
    std::uint64_t term = 1;
    std::map<std::string, double> acknowledged;  // writes whose success a client has read, and when
    std::vector<std::string> lost;               // acknowledged and missing in the log of a promoted store
    std::map<std::string, int> effects;
    int promotions = 0;
    std::atomic<bool> ending{false};

    Service(std::string serviceName, std::string firstPrimary)
        : name(std::move(serviceName)), primary(std::move(firstPrimary)) {
        threads_.emplace_back([this] { replicate(); });
    }
    ~Service() { end(); }
    void end() {
        ending = true;
        changed.notify_all();
        {
            const std::lock_guard<std::mutex> lock(mutex);
            for (auto& [id, store] : stores) closeSockets(*store);
        }
        std::vector<std::thread> threads;
        for (;;) {
            {
                const std::lock_guard<std::mutex> lock(threadsMutex_);
                threads.swap(threads_);
            }
            if (threads.empty()) return;
            for (std::thread& each : threads) each.join();
            threads.clear();
        }
    }

    Store& add(const std::string& id, const Address& address, std::vector<Entry> log = {}) {
        const std::lock_guard<std::mutex> lock(mutex);
        auto& slot = stores[id];
        slot = std::make_unique<Store>();
        slot->id = id;
        slot->address = address;
        slot->receivedAt.assign(log.size(), 0.0);
        slot->log = std::move(log);
        openListener(*slot);
        return *slot;
    }
    std::string roleOf(const std::string& id) const { return id == primary ? "head_office" : "branch_office"; }
    // SIGKILL of the store: its port resets, its connections are gone; its log stays.
    void crash(const std::string& id) {
        const std::lock_guard<std::mutex> lock(mutex);
        Store& store = *stores.at(id);
        store.running = false;
        closeSockets(store);
        changed.notify_all();
        record.line("store %s: ended, log at %s", id.c_str(), head(store).text().c_str());
    }
    void restart(const std::string& id) {
        const std::lock_guard<std::mutex> lock(mutex);
        Store& store = *stores.at(id);
        store.running = true;
        store.pausedTerm = 0;
        openListener(store);
        record.line("store %s: started again as %s, log at %s", id.c_str(), roleOf(id).c_str(),
                    head(store).text().c_str());
    }
    void setDeaf(const std::string& id, bool deaf) {
        const std::lock_guard<std::mutex> lock(mutex);
        stores.at(id)->deaf = deaf;
        record.line("store %s: %s", id.c_str(), deaf ? "receives nothing" : "receives again");
    }
    void clientRead(const std::string& write) {
        const std::lock_guard<std::mutex> lock(mutex);
        acknowledged[write] = seconds();
    }
    // The platform's part; the caller has checked the fence. Returns the status of the answer.
    int promote(const std::string& id, std::uint64_t fence) {
        std::lock_guard<std::mutex> lock(mutex);
        const auto found = stores.find(id);
        if (found == stores.end() || !found->second->running) return 409;
        if (id == primary) return 200;
        const std::lock_guard<std::mutex> threadsLock(threadsMutex_);
        threads_.emplace_back([this, id, fence] {
            sleepFor(promoteDelay);
            lead(id, fence);
        });
        return 200;
    }
    static Position head(const Store& store) { return store.log.empty() ? Position{1, 0} : store.log.back().at; }

private:
    void lead(const std::string& id, std::uint64_t fence) {
        const std::lock_guard<std::mutex> lock(mutex);
        Store& store = *stores.at(id);
        if (!store.running || primary == id) return;
        ++promotions;
        std::set<std::string> present;
        for (const Entry& entry : store.log) present.insert(entry.writes.begin(), entry.writes.end());
        record.line("platform: %s leads term %llu (fence %llu) with its log at %s", id.c_str(),
                    static_cast<unsigned long long>(term + 1), static_cast<unsigned long long>(fence),
                    head(store).text().c_str());
        for (auto& [otherId, other] : stores)
            record.line("  log of %s then: %s%s", otherId.c_str(), head(*other).text().c_str(),
                        other->running ? "" : " (not running)");
        for (const auto& [write, at] : acknowledged)
            if (!present.count(write)) {
                lost.push_back(write);
                record.line("  LOST: write %s, acknowledged to its client at %.3f, is not in the log of %s",
                            write.c_str(), at, id.c_str());
            }
        primary = id;
        ++term;
        for (auto& [otherId, other] : stores) {
            other->pausedTerm = 0;
            std::size_t common = 0;
            while (common < other->log.size() && common < store.log.size() &&
                   other->log[common].at == store.log[common].at)
                ++common;
            other->log.resize(common);
            other->receivedAt.resize(common);
        }
        changed.notify_all();
    }
    void openListener(Store& store) {
        store.listener = listenOn(store.address);
        if (store.listener < 0) {
            record.line("store %s: can't listen at %s", store.id.c_str(), store.address.text().c_str());
            std::_Exit(2);
        }
        const std::lock_guard<std::mutex> lock(threadsMutex_);
        threads_.emplace_back([this, id = store.id, listener = store.listener] { accept(id, listener); });
    }
    void closeSockets(Store& store) {
        if (store.listener >= 0) ::shutdown(store.listener, SHUT_RDWR);
        store.listener = -1;
        for (const int socket : store.sockets) ::shutdown(socket, SHUT_RDWR);
    }
    void accept(const std::string& id, int listener) {
        for (;;) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) break;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard<std::mutex> lock(mutex);
            if (ending || !stores.at(id)->running) {
                ::close(socket);
                continue;
            }
            stores.at(id)->sockets.insert(socket);
            const std::lock_guard<std::mutex> threadsLock(threadsMutex_);
            threads_.emplace_back([this, id, socket] { serve(id, socket); });
        }
        ::close(listener);
    }
    // Replicas receive what the primary has, each after its own delay.
    void replicate() {
        while (!ending) {
            sleepFor(0.0005);
            const std::lock_guard<std::mutex> lock(mutex);
            const auto found = stores.find(primary);
            if (found == stores.end() || !found->second->running) continue;
            const std::vector<Entry>& source = found->second->log;
            const double now = seconds();
            bool any = false;
            for (auto& [id, store] : stores) {
                if (id == primary || !store->running || store->deaf || store->pausedTerm) continue;
                while (store->log.size() < source.size() &&
                       source[store->log.size()].madeAt + store->networkDelay <= now) {
                    store->log.push_back(source[store->log.size()]);
                    store->receivedAt.push_back(now);
                    any = true;
                }
            }
            if (any) changed.notify_all();
        }
    }
    Position applied(const Store& store) const {
        if (store.id == primary) return head(store);
        const double now = seconds();
        for (std::size_t n = store.log.size(); n > 0; --n)
            if (store.receivedAt[n - 1] + store.applyDelay <= now) return store.log[n - 1].at;
        return {1, 0};
    }

    struct Session {
        bool transaction = false, failed = false, plain = false;
        std::uint64_t term = 0;
        std::vector<std::string> writes;
        std::map<std::string, bool> prepared;  // name -> writes
    };
    std::string ready(const Store& store, const Session& session) const {
        return std::string("READY ") + (session.failed ? "E" : session.transaction ? "T" : "I") + " " +
               head(store).text() + "\r\n";
    }
    void serve(const std::string& id, int socket) {
        LineReader reader(socket);
        Session session;
        bool greeted = false;
        while (const auto line = reader.next()) {
            std::istringstream in(*line);
            std::string word;
            in >> word;
            if (word == "BYE") break;
            std::string answer;
            bool close = false;
            if (word == "GREET" && !greeted) {
                std::string service, who, expected;
                in >> service >> who >> expected;
                const std::lock_guard<std::mutex> lock(mutex);
                greeted = service == name && (expected.empty() || expected == id);
                answer = greeted ? ready(*stores.at(id), session) : "ERROR MISSENT " + id + "\r\n";
                close = !greeted;
            } else if (word == "QUERY" && greeted) {
                answer = query(id, session, *line);
            } else {
                break;
            }
            {
                const std::lock_guard<std::mutex> lock(mutex);
                if (!stores.at(id)->running || ending || !stores.at(id)->sockets.count(socket)) break;
            }
            if (answer.empty() || !sendAll(socket, answer) || close) break;
        }
        {
            const std::lock_guard<std::mutex> lock(mutex);
            stores.at(id)->sockets.erase(socket);
        }
        ::close(socket);
    }
    std::string error(const Store& store, Session& session, const char* kind) {
        if (session.transaction) session.failed = true;
        return std::string("ERROR ") + kind + " " + store.id + "\r\n" + ready(store, session);
    }
    std::string done(const Store& store, const Session& session, const std::string& outcome = "DONE -\r\n") {
        return outcome + ready(store, session);
    }
    std::string stamp(const char* kind) { return std::string("DONE ") + kind + std::to_string(++stamps_) + "\r\n"; }

    // Empty: no answer, as the store has ended meanwhile.
    std::string query(const std::string& storeId, Session& session, const std::string& line) {
        std::istringstream in(line);
        std::string word, id, argument;
        in >> word >> id >> word;
        std::unique_lock<std::mutex> lock(mutex);
        Store& store = *stores.at(storeId);
        std::optional<Position> after;
        if (word == "AFTER") {
            in >> argument >> word;
            after = positionOf(argument);
        }
        std::string rest;
        std::getline(in, rest);
        if (!rest.empty()) rest.erase(0, 1);
        const bool leads = store.id == primary;
        if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
            if (word == "PAUSE") {
                const std::uint64_t at = std::stoull(rest);
                if (leads || at <= std::max(term, store.pausedTerm)) return error(store, session, "MALFORMED");
                store.pausedTerm = at;
            }
            if (word == "RESUME") store.pausedTerm = 0;
            if (word != "STATUS")
                record.line("store %s: %s %s, log at %s", storeId.c_str(), word.c_str(), rest.c_str(),
                            head(store).text().c_str());
            return "ROW " + roleOf(store.id) + " " + std::to_string(term) + " " + head(store).text() + " " +
                   std::to_string(store.pausedTerm) + " 0 0 " + std::to_string(store.sockets.size()) +
                   "\r\nDONE -\r\n" + ready(store, session);
        }
        if (word == "ABORT") {
            session = Session{false, false, false, 0, {}, std::move(session.prepared)};
            return done(store, session);
        }
        if (session.failed && word != "COMMIT") return error(store, session, "MALFORMED");
        if (word == "SET" || word == "CLOSE") return done(store, session);
        if (word == "RESET") {
            session.prepared.clear();
            return done(store, session);
        }
        if (word == "PARSE") {
            std::istringstream fields(rest);
            std::string statement, effect;
            fields >> statement >> effect;
            session.prepared[statement] = effect == "WRITE";
            return done(store, session);
        }
        if (after && applied(store) < *after) return error(store, session, "LAGGING");
        if (word == "BEGIN") {
            if (rest.empty() && !leads) return error(store, session, "READONLY");
            session.transaction = true;
            session.plain = rest.empty();
            session.term = term;
            return done(store, session);
        }
        const bool lostLead = session.transaction && session.plain && (!leads || session.term != term);
        if (word == "COMMIT") {
            if (session.failed) {
                session = Session{false, false, false, 0, {}, std::move(session.prepared)};
                return error(store, session, "ABORTED");
            }
            if (lostLead && !session.writes.empty()) return error(store, session, "READONLY");
            const std::vector<std::string> writes = session.writes;
            session = Session{false, false, false, 0, {}, std::move(session.prepared)};
            if (!writes.empty() && !commit(lock, store, writes)) return "";
            return done(store, session, stamp("c"));
        }
        if (lostLead) return error(store, session, "READONLY");
        bool writes = word == "WRITE";
        if (word == "EXECUTE") {
            const auto found = session.prepared.find(rest.substr(0, rest.find(' ')));
            if (found == session.prepared.end()) return error(store, session, "UNKNOWN");
            writes = found->second;
        } else if (!writes && word != "READ") {
            return error(store, session, "MALFORMED");
        }
        if (!writes)
            return done(store, session, "ROW " + applied(store).text() + "\r\n" + stamp("r"));
        if (!leads || (session.transaction && !session.plain)) return error(store, session, "READONLY");
        if (session.transaction) {
            session.writes.push_back(id);
            return done(store, session, stamp("w"));
        }
        if (!commit(lock, store, {id})) return "";
        return done(store, session, stamp("w"));
    }
    // Waits until as many replicas have received the commit as are synchronous.
    bool commit(std::unique_lock<std::mutex>& lock, Store& store, const std::vector<std::string>& writes) {
        const std::uint64_t madeIn = term;
        const Position at{term, head(store).number + 1};
        store.log.push_back({at, writes, seconds()});
        store.receivedAt.push_back(seconds());
        for (const std::string& write : writes) ++effects[write];
        std::string holders;
        changed.wait(lock, [&] {
            if (ending || !store.running || term != madeIn) return true;
            int received = 0;
            holders.clear();
            for (auto& [id, other] : stores)
                if (id != store.id && other->running && !(head(*other) < at)) {
                    ++received;
                    holders += " " + id;
                }
            return received >= sync;
        });
        if (ending || !store.running || term != madeIn) return false;
        record.line("store %s: commit %s of %s, received by%s", store.id.c_str(), at.text().c_str(),
                    writes.front().c_str(), holders.c_str());
        return true;
    }

    std::mutex threadsMutex_;
    std::vector<std::thread> threads_;
    std::uint64_t stamps_ = 0;
};

}  // namespace review
