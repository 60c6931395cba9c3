// See rig.cpp.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rig {

double now();  // seconds since the start of the script
void sleepFor(double seconds);
void openRecord(const std::string& path);
void record(const std::string& line);

int freePorts();                                              // the first of fifty
int dial(const std::string& address, int receiveBuffer = 0);  // 0: the system's own
bool sendAll(int fd, const std::string& bytes);
void timeoutAfter(int fd, double seconds);
void serve(const std::string& address, std::function<void(int)> onConnection);
std::string httpText(const std::string& method, const std::string& path, const std::string& body);
// The status; 0 where there was no answer.
int http(const std::string& address, const std::string& method, const std::string& path,
         const std::string& body, std::string* answer, double within);

class Lines {
public:
    explicit Lines(int fd) : fd_(fd) {}
    bool next(std::string& line);
    void take(std::string& bytes, std::size_t size);

private:
    int fd_;
    std::string in_;
};

// A client's statement that reached a store.
struct Arrival {
    double at;
    std::string store, id, text;
};

// A store that took the lead, and the ids of the writes in its log at that moment.
struct Promotion {
    double at;
    std::string store;
    std::set<std::string> log;
};

// The service "svc" with sync_replicas 1: s0 leads term 1, s1 and s2 are its replicas, which receive and
// apply a commit their lag after it was made.
class Stores {
public:
    Stores(int port, double workSeconds, std::map<std::string, double> lags = {});
    std::string lead() const;
    std::string addressOf(const std::string& name) const;
    int nextSeq(const std::string& name);
    std::string beatBody(const std::string& name, int seq) const;
    void setLeaving(const std::string& name);
    // Beats every 1.2 s from now on, at the first control machine that answers.
    void beatFor(const std::string& name, const std::vector<std::string>& controls);
    void stopBeats(const std::string& name) { stores_.at(name).beating = false; }
    bool promote(const std::string& name);
    std::vector<Arrival> arrivals() const;
    std::vector<Promotion> promotions() const;

private:
    struct Store {
        std::string address;
        std::atomic<bool> beating{false};
        bool leaving = false;
        int seq = 0;
        double lag = 0;
        std::uint64_t paused = 0, received = 0;
    };
    struct Commit {
        std::set<std::string> ids;
        double at;
    };
    void replicate();
    void listen(const std::string& name, const std::string& address);
    void talk(const std::string& name, int fd);
    std::string role(const std::string& name) const;

    const int port_;
    const double work_;
    mutable std::mutex lock_;
    std::map<std::string, Store> stores_;
    std::string lead_ = "s0";
    std::uint64_t term_ = 1;
    std::vector<Commit> log_;  // of the primary; a replica has the first `received` of it
    std::vector<Promotion> promotions_;
    std::uint64_t stamp_ = 0;
    std::vector<Arrival> arrivals_;
};

struct Platform {
    std::atomic<double> slowSeconds{0};  // how long a call lies before it is handled
};
void servePlatform(const std::string& address, Stores& stores, Platform& platform);

// Three control machines and one front machine (agent and proxy).
class System {
public:
    System(std::string root, std::string folder, int port, int net);
    void endAll();
    void start(const std::string& name, bool first = true);
    void signal(const std::string& name, int number);
    bool waitForEnd(const std::string& name, double within);
    bool ready(double within);
    bool configure(int edition, double within);
    std::vector<std::string> controls() const;
    std::string front() const { return ip(11) + ":" + std::to_string(port_); }

private:
    std::string ip(int machine) const;
    std::string settings(const std::string& name, int machine, bool first);

    const std::string root_, folder_;
    const int port_, net_;
    std::map<std::string, pid_t> pids_;
};

class Client {
public:
    Client(const std::string& address, const std::string& database);
    ~Client();
    bool open() const { return open_; }
    std::string ask(const std::string& id, const std::string& text);

private:
    int fd_;
    Lines lines_;
    bool open_ = false;
};

}  // namespace rig
