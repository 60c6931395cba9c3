// A tier of processes of the program on loopback, with discovery, stores, clients and links of stand-ins. What
// happens to it is a script of the test's; the seed is printed when a wait runs out.
#pragma once

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <vector>

#include "links.hpp"
#include "process.hpp"
#include "registry.hpp"
#include "store.hpp"

namespace granitereel::standins {

// What a front logs of its tier on SIGUSR1.
struct Seen {
    int me = -1;
    std::uint32_t incarnation = 0;
    std::string sight, digest;
    std::vector<int> here, suspect, gone, leaving;
    std::uint64_t sent = 0, heard = 0;
    std::map<std::string, std::uint64_t> dropped;
    bool silenced = false;
    // Of warm-ups: slices lent and had, acts refused; the highest term of `warm/p` and whether it is this front's own.
    std::uint64_t lent = 0, got = 0, refused = 0, term = 0;
    bool owns = false;
};

class Tier {
public:
    struct Wish {
        int count = 3;
        std::uint64_t seed = 1;
        // Of our own settings file, beside `on`.
        std::string tier = "name: \"rig\" round_ms: 200 answer_ms: 80";
        bool on = true;
        std::string more{};  // further blocks of that file
        std::function<std::string(int front)> moreOf{};  // instead, where fronts differ
        bool cold = false;   // the primary has just started, and bears little for a minute
        int replicas = 2;
        bool mayTell = true;
    };
    Tier(const char* program, const Wish& wish);
    ~Tier();

    Links& links() { return links_; }
    Registry& registry() { return registry_; }
    Audit& audit() { return audit_; }
    Store& primary() { return primary_; }
    Process& front(int number) { return *fronts_[static_cast<std::size_t>(number)]; }
    bool up(int number) const { return fronts_[static_cast<std::size_t>(number)] != nullptr; }
    int count() const { return wish_.count; }

    void start(int number);
    void startAll();
    int kill(int number);
    // SIGTERM and its end: the exit code.
    int end(int number);
    // The process goes on by itself as the elder of its name; a successor starts beside it.
    Process& startBeside(int number);
    // Another list of peers for a front from its next reading on; SIGHUP.
    void tellPeers(int number, int count);

    // As the front says on SIGUSR1.
    Seen seen(int number);
    static Seen seen(Process& process);
    // Waits, each front asked again and again, until it holds; `seconds` at most.
    void until(const std::function<bool()>& holds, int seconds = 60);
    bool agree(const std::vector<int>& fronts);
    // Waits until all that are up see the whole tier alike.
    void settle(int seconds = 60);
    // The same of some, in a tier of as many.
    void settleAmong(const std::vector<int>& fronts, int seconds = 60);

    // Clients of their own threads, each asking one front after another, until stop(); every item is answered by
    // someone or written off with the front that it was lost with.
    // Of all fronts, or of the first so many.
    void load(int clients, int fronts = 0);
    // Clients turn to others from now on, or to it again; those that wait there go on waiting.
    void avoid(int front, bool on);
    // How many items clients have asked so far.
    int asked();
    // Ends the load and checks the rules over all fronts. Returns how many items were asked, and delivered.
    std::pair<int, int> stop();

    std::string config(int number, int peers, const std::string& listen, bool beside = false) const;
    std::string file(int number) const { return files_[static_cast<std::size_t>(number)]; }
    // The command line for a config.
    std::vector<std::string> words(const std::string& file, int front = 0) const;
    // A client's connection to a front's port.
    End client(int number) const;

private:
    void ask(int client, int fronts);
    std::atomic<std::uint64_t> avoided_{0};  // fronts, a bit each
    std::string store(const std::string& name, const Store& at, const std::string& role, std::int64_t since = 0) const;

    const char* program_;
    const Wish wish_;
    Links links_;
    Audit audit_;
    Registry registry_;
    boost::json::value known_;  // the list at the start
    Store primary_;
    std::vector<std::unique_ptr<Store>> replicas_;
    std::vector<std::unique_ptr<Process>> fronts_, elders_;
    std::vector<int> ports_, portsBeside_;
    std::vector<std::string> files_;
    std::vector<std::string> fittings_;  // by front
    std::int64_t started_ = 0;           // the primary, in Unix milliseconds
    std::atomic<bool> over_{false};
    std::mutex lock_;
    std::vector<std::string> items_;
    std::vector<std::thread> clients_;
};

}  // namespace granitereel::standins
