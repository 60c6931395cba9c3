// The proxy's state machine against stand-in databases, in virtual time: what it sends waits until the test
// lets it arrive, so that every order can be caused.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "databases.hpp"
#include "proxy/pooler.hpp"

namespace granitereel::standins {

// What happens to a request on its way to a store, and to the answer.
struct Fault {
    bool arrives = true;                    // the store gets the request
    std::string refusal;                    // the store does not run it and says this error
    std::optional<std::string> answer;      // said in place of the store's own
    std::size_t bytes = std::string::npos;  // of the answer that come through
    bool cut = false;                       // then the connection breaks
};

class PoolerRig {
public:
    explicit PoolerRig(int stores = 3, int sync = 1, bool leased = true);

    Databases databases{"svc", 3, 1};
    std::unique_ptr<proxy::Pooler> pooler;
    Nanoseconds now = milliseconds(5'000'000);

    // Sessions on "primary" (head_office), "bounded" (age_bounded, 1,500 ms) and "mine" (own).
    int client(const std::string& database = "primary");
    void say(int client, const std::string& line);
    void leave(int client);
    // All that a client was told and has not been looked at; one line each.
    std::vector<std::string> told(int client);
    bool ended(int client) const { return ended_.count(client) > 0; }

    // Lets one thing arrive at a store, or back; false: nothing is under way.
    bool step();
    // All of it, and some time.
    void run(Nanoseconds time = milliseconds(40));
    // Runs until the client is told `READY`, and returns what it was told.
    std::vector<std::string> ask(int client, const std::string& line);
    void pass(Nanoseconds time);
    // Connections of the pooler that were made and are open.
    std::size_t open() const { return lines_.size(); }
    void cutAll(const std::string& store);
    void cut(int line);
    std::vector<int> linesTo(const std::string& store) const;
    // Bytes that a store says of itself, whole lines of them.
    void storeSays(int line, std::string bytes);
    // The process stands still: time passes, nothing is heard or done.
    void freeze(Nanoseconds time) { now += time; }
    // Asked for each request that arrives; none: no faults.
    std::function<Fault(const std::string& store, const std::string& request)> fault;
    // Answers wait until deliver(), also for connections that were given up meanwhile.
    bool holdsAnswers = false;
    void deliver();
    // News, as the agent tells it.
    // `retained`: what the store had of the log of the lead before, "TERM.NUMBER"; empty: not known.
    void lead(const std::string& store, bool steady = true, const std::string& retained = "");
    void lease(Nanoseconds left);
    void config(std::uint64_t edition, bool bounded = true);
    void standing(const std::string& store, const std::string& standing, const std::string& role = "",
                  const std::string& address = "");
    bool leases = true;             // whether questions for the lease are answered
    bool replicasOnRecord = false;  // whether the record of the lead names the replicas
    bool exchanges = true;          // whether the agent completes the exchange of boards on a new link

    std::vector<nlohmann::json> toCourier;
    std::vector<std::string> requests;  // all that reached a store, in order

private:
    struct Line {
        std::string store;
        int connection = 0;
        std::deque<std::string> requests;  // on the way to the store
    };
    void carry();
    std::map<int, Line> lines_;
    std::deque<int> opening_;
    std::deque<std::pair<int, std::string>> heldAnswers_;
    std::map<int, std::string> said_;
    std::set<int> ended_;
    int lastClient_ = 0;
    std::uint64_t version_ = 0, seq_ = 0;
};

}  // namespace granitereel::standins
