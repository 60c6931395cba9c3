// A store that serves by itself, with TLS or without: it counts what reaches it, and fails in named ways.
#pragma once

#include <openssl/ssl.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "authority.hpp"
#include "ends.hpp"

namespace granitereel::standins {

// What happened to transactions at all stores and clients of a test: the rules that hold everywhere.
class Audit {
public:
    void launched(const std::string& id);
    void answered(const std::string& id, const std::string& how);
    int launches(const std::string& id) const;
    // Asserts: one final answer for each of these; none of the one-shots launched twice; what was delivered
    // was launched, and its answer was made for it.
    void check(const std::vector<std::string>& ids,
               const std::function<bool(const std::string&)>& oneShot) const;
    int delivered() const;

private:
    mutable std::mutex lock_;
    std::map<std::string, int> launches_;
    std::map<std::string, std::vector<std::string>> answers_;
};

class Store {
public:
    Store(std::string role, Audit& audit);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // From now on new connections are sealed with this; a client's certificate has to end at `clients` (PEM)
    // where that is given. Open ones go on.
    void seal(const Identity& identity, const std::string& clients = "", const std::string& chain = "");
    void cutAll();  // resets every open connection

    // Named ways to fail. Each is asked at its moment, with the connection's number from 1 on.
    struct Ways {
        bool direct = false;     // TLS at once, without a request
        std::string insteadOfS;  // what is said to a request for TLS; empty: S
        int stallAt = 0,
            resetAt = 0;  // 1: at the request, 2: before the hello is read, 3: before the welcome
        bool stallInAnswer = false;
        int ticketsEach = 2;         // offered after each full handshake
        bool forgetTickets = false;  // none is taken up again
        bool cutInAnswer = false;    // half an answer, then the end without a good-bye
        bool tls12 = false, tls13 = true;
        std::chrono::milliseconds takes{0};
    };
    void behave(const Ways& ways);

    const Place& place() const { return place_; }
    int full() const { return full_; }
    int resumed() const { return resumed_; }
    int refused() const { return refused_; }  // handshakes that came to nothing
    int connections() const { return connections_; }
    int statements() const { return statements_; }  // probes included
    int launches() const { return launches_; }
    int open() const { return open_; }
    std::string clientSeen() const;  // the subject of the last client's certificate
    // Waits, ten seconds at most, until it holds; it is looked at after everything that happens here.
    void until(const std::function<bool()>& holds);

private:
    struct Link;
    void listen();
    void serve(int fd, int number);
    bool shake(Link& link, const Ways& ways);
    void answer(Link& link, const std::string& text, const Ways& ways);
    void happened();

    const std::string role_;
    Audit& audit_;
    Place place_;
    mutable std::mutex lock_;
    std::condition_variable changed_;
    std::shared_ptr<SSL_CTX> context_;
    Ways ways_;
    std::vector<int> fds_;
    std::vector<std::thread> threads_;
    std::string seen_;
    std::atomic<bool> over_{false};
    std::atomic<int> full_{0}, resumed_{0}, refused_{0}, connections_{0}, statements_{0}, launches_{0},
        open_{0};
    std::thread listener_;
};

}  // namespace granitereel::standins
