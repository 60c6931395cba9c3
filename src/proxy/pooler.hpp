// The proxy's state machine: clients' sessions pooled onto connections to stores ("lines"). A transaction
// stays on one line until it ends; single statements take any. Which store runs a statement is decided by
// Front, the module that the program in service uses too; here stand the sessions, the lines, and what makes
// a read safe. Free of I/O, clocks and chance: what comes in is handed over with the time, what is to be done
// comes out.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "board/contact_watch.hpp"
#include "board/gossip.hpp"
#include "board/invariant.hpp"
#include "board/lease.hpp"
#include "configuration/configuration.hpp"
#include "front.hpp"
#include "proxy/answer.hpp"
#include "proxy/horizon.hpp"
#include "proxy/lead_evidence.hpp"
#include "proxy/replica_evidence.hpp"
#include "proxy/wire.hpp"
#include "settings/settings.hpp"

namespace granitereel::proxy {

using Json = nlohmann::json;

struct ToClient {
    int client = 0;
    std::string bytes;
};
struct EndClient {  // what was sent is written first
    int client = 0;
};
struct HoldClient {  // reads no more from it for now
    int client = 0;
    bool on = false;
};
struct OpenLine {
    int line = 0;
    std::string address;
};
struct ToLine {
    int line = 0;
    std::string bytes;
};
struct CloseLine {
    int line = 0;
};
struct ToAgent {
    Json message;
};
struct ToLog {
    std::string text;
};
using Output = std::variant<ToClient, EndClient, HoldClient, OpenLine, ToLine, CloseLine, ToAgent, ToLog>;

// What has happened since the start, for the log.
struct Counts {
    std::uint64_t sessions = 0, statements = 0, transactions = 0, answered = 0, promised = 0, indoubt = 0,
                  opened = 0, outOfStep = 0, unproven = 0, deferred = 0;
    std::uint64_t own = 0, guarded = 0, lagging = 0, leadNear = 0, leadFar = 0, replicaNear = 0,
                  replicaFar = 0;
};

class Pooler : private Outlet {
public:
    Pooler(const settings::Settings& settings, std::uint64_t seed, Nanos now);
    ~Pooler() override;

    void clientCame(int client, Nanos now);
    void clientSaid(int client, std::string_view line, Nanos now);
    void clientLeft(int client, Nanos now);
    void lineOpened(int line, Nanos now);
    void lineSaid(int line, std::string_view text, Nanos now);
    void lineEnded(int line, bool refused, Nanos now);
    // The link to the agent: it is there, it is lost, it says something.
    void agentUp(Nanos now);
    void agentDown();
    void agentSaid(const Json& message, Nanos now);
    void tick(Nanos now);
    // The process is told to end: sessions at rest are closed, transactions are given `half` to end.
    void leave(Nanos now);
    bool ready() const;
    bool over() const { return leaving_ && sessions_.empty(); }

    std::vector<Output> take() { return std::exchange(outputs_, {}); }
    const Counts& counts() const { return counts_; }
    // How often one of its invariants was found broken.
    std::uint64_t violations() const {
        return newsBeforeLease_.violations() + configurationsRise_.violations();
    }
    std::size_t sessions() const { return sessions_.size(); }
    std::size_t lines() const { return lines_.size(); }

private:
    struct Service;
    struct Store {
        std::string id, address, district, standing, role;
        Service* service = nullptr;
        std::set<int> idle;
        int lines = 0;
        bool gone = false, probing = false;
        Nanos windingSince = 0, heard = 0, suspectedAt = 0;
        std::deque<int> waiting;  // clients whose statement waits for a line
    };
    struct Service {
        std::string name;
        int group = 0, berthCap = 0;
        std::string lead;
        std::uint64_t term = 0, seq = 0;
        bool steady = false;
        LeadEvidence evidence;
        ReplicaEvidence replicas;
        int syncReplicas = 0;
        Nanos usedAt = 0;          // when a client's statement was last sent to one of its stores
        std::deque<int> deferred;  // clients whose write waits until the lead is settled
        Horizon horizon;
        std::map<std::string, Store*> stores;
    };
    struct Prepared {
        bool writes = false;
        std::string shape;
        bool operator==(const Prepared&) const = default;
    };
    enum class Part { prelude, begin, main, cleanup, status };
    struct Session;
    struct Line {
        int no = 0;
        std::string address;  // where it was opened; the store may have moved since
        Store* store = nullptr;
        bool open = false, probe = false, dead = false;
        std::map<std::string, std::string> values;
        std::set<std::string> prepared;
        Session* user = nullptr;  // whose statement or transaction it serves
        bool inTx = false;        // the store holds a transaction of ours open
        std::deque<Part> expects;
        AnswerReader reader;
        Nanos askedAt = 0, usedAt = 0, heardAt = 0, abandonedAt = 0;
        // It was open while its service's lead was settled: its store has not started since.
        bool witness = false;
        // A success of what it was asked last shows that the store had the lead when it was asked.
        bool proven = false;
    };
    // The success of a write whose client was not told yet.
    struct Unproven {
        Service* service = nullptr;
        Answer answer;
        AcknowledgedWrite write;
    };
    // A statement in hand.
    struct Op {
        Statement statement;
        std::string key;  // by which Front knows it; empty: it goes to the line that the session is pinned to
        std::string after, text;  // as the store gets it
        std::string prepared;
        int lane = 0, launches = 0;
        bool writes = false, commit = false, guarded = false, sent = false, preluding = false;
        bool deferred = false;  // a write that waits until the lead is settled
        std::optional<Unproven> unproven;
        Store* store = nullptr;
        Line* line = nullptr;
        Nanos came = 0, launchedAt = 0, deadline = 0;
        std::optional<Error> lastError;
        std::string lastText;
    };
    // One launch of a statement, as Front knows it; without a key it does not.
    struct Launched {
        std::string key;
        int number = 0;
        Nanos at = 0;
    };
    struct Tx {
        Tx() {}  // clang wants it before the class around it is whole
        bool readOnly = false, begun = false;
        bool wrote = false;    // a write was sent
        bool written = false;  // a write has succeeded
        std::string beginId;
        Nanos came = 0;
        configuration::Route route;
    };
    struct Session {
        int client = 0;
        bool greeted = false, gone = false, held = false;
        std::string database;
        char state = 'I';
        std::map<std::string, std::string> values;
        std::map<std::string, Prepared> prepared;
        std::optional<Tx> tx;
        std::optional<Op> op;
        Line* line = nullptr;  // pinned to
        std::optional<LogPosition> own;
        Nanos ownAt = 0, restsSince = 0;
        std::deque<std::string> queue;
        std::size_t queued = 0;
    };

    // Outlet
    void launch(const std::string& key, const std::string& store, Nanos within) override;
    void nack(const std::string& key, Nanos comeBackAfter) override;
    void writeOff(const std::string& key) override;
    void cancel(const std::string& key, int launchNo) override;
    void probe(const std::string& store) override;
    void hangUp(const std::string& store) override;
    void followList(bool) override {}
    void askList() override {}
    void tell(std::optional<int>, const std::string&) override {}
    void wake(Nanos when, std::int64_t) override { wakeAt_ = when; }
    void log(const std::string& line) override { outputs_.push_back(ToLog{line}); }

    void begin(Nanos now);
    void settle();
    void cancelLaunch(const std::string& key, int launchNo);
    void placeLaunch(const std::string& key, const std::string& store);
    void probeStore(const std::string& id);
    void askForLease();
    void sweepLine(Line& line);
    void endRest(Session& s, Line& line);
    void refuseLate();
    void endLeaving();
    void news(const std::string& name, const board::Record& record);
    void storeNews(const std::string& id, const Json& body);
    void leadNews(const std::string& service, const Json& body);
    void leadChanged(Service& of, const std::string& before);
    void leaveLead(const std::string& storeId);
    void configNews(const Json& body);
    bool toldBeforeLease(const board::LeaseReply& reply);
    void reportBroken(board::Invariant& invariant, const std::string& detail);
    Service& service(const std::string& name);
    void standing(Store& store);

    void proceed(Session& s);
    void greet(Session& s, std::string_view rest);
    void query(Session& s, Statement statement);
    void local(Session& s, const std::string& line, char state);
    void refuse(Session& s, Error error, std::string_view text, char state);
    void run(Session& s, Statement statement);
    int laneOf(const configuration::Route& route, bool writes, bool transaction);
    void place(Session& s, const std::string& storeId);
    void placeAt(Session& s, Store& store);
    void acknowledge(Session& s, Service& of, const Answer& answer);
    void judgeUnproven();
    bool isKept(const Unproven& waits) const;
    void askReplicas();
    bool restsOnRecord(const Service& of) const;
    void prepareWitnesses(Service& of);
    void askReplica(Store& replica);
    Line* witnessOf(const Store& replica) const;
    void statusAnswered(Line& line, const Answer& answer);
    bool defersWrites(const Service& of) const;
    void defer(Session& s, Service& of);
    void resumeDeferred(Service& of);
    Line* lineFor(Session& s, Store& store);
    void openLine(Store& store, bool probe);
    void prelude(Session& s, Line& line);
    void makeValuesRight(const Session& s, Line& line);
    void beginThere(Session& s, Line& line, const std::string& after);
    void countWhere(const Store& store);
    void sendMain(Session& s, Line& line);
    bool safe(Session& s, Store& store, std::string& after, bool& guarded);
    void greeted(Line& line, std::string_view text);
    void answered(Line& line, Part part, const Answer& answer);
    void beginRefused(Session& s, Line& line, const Answer& answer);
    void mainAnswered(Session& s, Line& line, const Answer& answer);
    void commitAnswered(Session& s, Line& line, const Answer& answer);
    void notRun(Session& s, Line& line, const Answer& answer);
    void transactionAnswered(Session& s, Line& line, const Answer& answer);
    void singleDone(Session& s, Line& line, const Answer& answer);
    void singleFailed(Session& s, Line& line, const Answer& answer);
    // The store's answer as the statement's final one.
    void reply(Session& s, const Answer& answer, char state);
    // The moment up to which an answer's position is known to cover all commits.
    std::optional<Nanos> covers(const Store& store, const Answer& answer) const;
    // The connection's answers can't be matched to its questions any more.
    void outOfStep(Line& line);
    // What the line was asked for interests nobody any more; it serves others once it has answered.
    void letGo(Line& line);
    // The deadline of the session's statement, which is at that line, has passed.
    void timeOver(Session& s, Line& line);
    static Launched launchedOf(const Op& op) { return {op.key, op.launches - 1, op.launchedAt}; }
    // Tells Front how a launch ended, and whether the statement has had its final answer.
    void report(const Launched& launched, Store& store, Ending how, std::optional<Nanos> position, bool over);
    void lags(Store& store, std::optional<LogPosition> mark);
    void release(Line& line, const std::string& abortId);
    void idle(Line& line);
    void drop(Line& line);
    void serveWaiting(Store& store);
    void refuseWaiting(Store& store, Ending how);
    void endTx(Session& s);
    void ended(Line& line, bool refused);
    void lost(Session& s, Line& line, Ending how = Ending::broken);
    void remove(int client);
    void unwait(Session& s);
    void suspect(Store& store, const char* why);
    bool provable(const Service& service) const;
    int share(const Service& service) const;
    void ask(Line& line, std::string_view id, std::string_view text, Part part);
    void answerLast(Session& s);

    const settings::Settings settings_;
    std::vector<Output> outputs_;
    Nanos now_, wakeAt_ = 0;
    const Nanos startedAt_;
    board::Gossip gossip_;
    Front front_;
    configuration::Configuration configuration_;
    bool configured_ = false, leaving_ = false, agent_ = false;
    Nanos leftAt_ = 0, askedAt_ = 0, sweptAt_ = 0, configuredAt_ = 0;
    std::uint64_t keyNo_ = 0;
    board::LeaseQuestions leaseQuestions_;
    board::HeldLease lease_;
    board::ContactWatch contact_;
    board::Invariant newsBeforeLease_{board::newsBeforeLease};
    board::Invariant configurationsRise_{"each configuration in force is above the one before"};
    std::map<std::string, std::unique_ptr<Service>> services_;
    std::map<int, Service*> byGroup_;
    std::unordered_map<std::string, std::unique_ptr<Store>> stores_;
    std::unordered_map<int, std::unique_ptr<Session>> sessions_;
    std::unordered_map<int, std::unique_ptr<Line>> lines_;
    std::unordered_map<std::string, Session*> byKey_;
    std::unordered_map<std::string, std::string> shapeNames_;
    std::deque<std::pair<std::string, std::string>> launches_;  // key, store
    std::deque<std::pair<std::string, int>> cancels_;
    std::deque<std::string> probes_, probed_;
    std::set<int> unproven_;  // clients whose write waits to be proven
    std::deque<int> woken_;   // clients whose next statement may be taken
    std::vector<int> buried_;
    std::map<std::string, int> districts_;
    int lastLine_ = 0, fronts_ = 1;
    Counts counts_;
};

}  // namespace granitereel::proxy
