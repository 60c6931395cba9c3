// A service's stores as the pages tell of them: a log with terms and positions, replicas that receive and
// apply, a platform that promotes, and connections that hold values, prepared names and a transaction. Free
// of I/O: a line in, lines out. It keeps what an auditor needs: which writes took effect how often, and which
// reads missed what.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "log_position.hpp"

namespace granitereel::standins {

class Databases {
public:
    // A statement of a client that a store ran, as the auditor sees it.
    struct Run {
        int connection = 0;
        int transaction = 0;  // counted over all connections; 0: outside any
        std::string id, text, shape;
        std::map<std::string, std::string> values;
    };
    // Stores "s0", "s1", ...; s0 leads term 1. `sync`: replicas that must have a commit before it is
    // answered.
    Databases(std::string service, int stores, int sync);

    // A connection to a store; lines said over it get their answers. None: the store says nothing (dark, or
    // its answer is lost).
    int connect(const std::string& store);
    std::optional<std::string> said(int connection, const std::string& line);
    void closed(int connection);
    bool open(int connection) const { return connections_.count(connection) > 0; }
    // The answer of a store that does not run what it was asked.
    std::string refusal(int connection, const std::string& error) {
        return failed(connections_.at(connection), error);
    }

    // The platform's part. Whether the store leads, with what it had received.
    bool promote(const std::string& store);
    // Faults. Deaf: receives nothing. Dark: answers nothing, runs nothing. A crash cuts its connections.
    // A store that crashed is back under another name, with its log, and with the lead if it had it.
    void renamed(const std::string& store, const std::string& to);
    // It starts again under its name, with its log: its connections are gone, and a pause.
    void restarted(const std::string& store);
    // A replica that is new to the service.
    void joins(const std::string& store);
    void deaf(const std::string& store, bool on) { stores_.at(store).deaf = on; }
    void dark(const std::string& store, bool on) { stores_.at(store).dark = on; }
    void slow(const std::string& store, bool on);  // received is not applied until it ends
    // It ends and takes its log along, to pass it to a new store (another name, the same address) if one
    // comes.
    void leaves(const std::string& store);
    void logPassesTo(const std::string& left, const std::string& store);
    void loseNextAnswer(const std::string& store, bool on = true) { stores_.at(store).loses = on; }
    void refuseNext(const std::string& store, const std::string& error) { stores_.at(store).refuses = error; }

    const std::string& lead() const { return lead_; }
    std::uint64_t term() const { return term_; }
    const std::string& service() const { return service_; }
    std::string roleOf(const std::string& store) const {
        return store == lead_ ? "head_office" : "branch_office";
    }
    std::vector<std::string> names() const;

    // What the auditor sees.
    int effects(const std::string& write) const;                 // of a write, by its text, in the lead's log
    std::vector<std::string> faults() const { return faults_; }  // broken rules, in words
    std::set<std::string> ranOn(const std::string& id) const;  // connections that ran a statement, by its id
    const std::vector<Run>& runs() const { return runs_; }
    // The statement that a stamp was given for; empty: no such stamp.
    std::string stampedFor(const std::string& stamp) const;
    std::size_t commits() const { return stores_.at(lead_).log.size(); }

private:
    struct Entry {
        LogPosition at;
        std::vector<std::string> writes;
    };
    struct Store {
        std::vector<Entry> log;
        std::size_t applied = 0;
        std::uint64_t paused = 0;
        bool deaf = false, dark = false, slow = false, loses = false;
        std::string refuses;
    };
    struct Connection {
        std::string store;
        bool greeted = false, tx = false, plain = false, failed = false;
        std::uint64_t txTerm = 0;
        int transaction = 0;
        std::map<std::string, std::string> values, prepared;
        std::vector<std::string> writes;
    };
    std::string ready(const Connection& c) const;
    std::string failed(Connection& c, const std::string& error);
    std::optional<std::string> commit(Connection& c, const std::string& id);
    // "DONE stamp\r\n" for a statement.
    std::string stamped(const char* kind, const std::string& id);
    void replicate();

    std::string service_, lead_;
    int sync_;
    std::uint64_t term_ = 1, next_ = 1;
    std::map<std::string, Store> stores_, left_;
    std::map<int, Connection> connections_;
    int lastConnection_ = 0, stamp_ = 0, lastTransaction_ = 0;
    std::vector<Run> runs_;
    std::map<std::string, std::string> stamps_;
    std::map<std::string, std::set<std::string>> ran_;
    std::vector<std::string> faults_;
};

}  // namespace granitereel::standins
