// The proxy's state machine against stand-in databases, in virtual time: what it sends waits until the test
// lets it arrive, so that every order can be caused.
#pragma once

#include <deque>
#include <map>
#include <memory>

#include "databases.hpp"
#include "proxy/pooler.hpp"

namespace granitereel::standins {

class PoolerRig {
public:
    explicit PoolerRig(int stores = 3, int sync = 1);

    Databases databases{"svc", 3, 1};
    std::unique_ptr<proxy::Pooler> pooler;
    Nanos now = millis(5'000'000);

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
    void run(Nanos time = millis(40));
    // Runs until the client is told `READY`, and returns what it was told.
    std::vector<std::string> ask(int client, const std::string& line);
    void pass(Nanos time);
    // Connections of the pooler that were made and are open.
    std::size_t open() const { return lines_.size(); }
    void cutAll(const std::string& store);
    // News, as the agent tells it.
    void lead(const std::string& store, bool steady = true);
    void lease(Nanos left);
    void config(std::uint64_t edition, bool bounded = true);
    void standing(const std::string& store, const std::string& standing, const std::string& role = "");
    bool leases = true;     // whether questions for the lease are answered
    bool exchanges = true;  // whether the agent completes the exchange of boards on a new link

    std::vector<nlohmann::json> toCourier;

private:
    struct Line {
        std::string store;
        int connection = 0;
        std::deque<std::string> requests;  // on the way to the store
    };
    void carry();
    std::map<int, Line> lines_;
    std::deque<int> opening_;
    std::map<int, std::string> said_;
    std::set<int> ended_;
    int lastClient_ = 0;
    std::uint64_t version_ = 0, seq_ = 0;
};

}  // namespace granitereel::standins
