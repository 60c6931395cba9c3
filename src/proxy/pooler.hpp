// The proxy's state machine: clients' sessions pooled onto connections to stores. A transaction keeps one
// connection until it ends; a single statement uses any. The router, the module that the program in
// service uses too, decides which store runs a statement; the sessions, the connections and the
// conditions under which a read is safe are handled here. Free of I/O, clocks and randomness: inputs
// arrive as calls that carry the current time, and what is to be done is returned as outputs.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "configuration/configuration.hpp"
#include "gossip/control_contact_monitor.hpp"
#include "gossip/invariant.hpp"
#include "gossip/lease.hpp"
#include "gossip/record_replicator.hpp"
#include "proxy/commit_horizon.hpp"
#include "proxy/primary_evidence.hpp"
#include "proxy/replica_evidence.hpp"
#include "proxy/store_response.hpp"
#include "proxy/wire.hpp"
#include "router.hpp"
#include "settings/settings.hpp"

namespace granitereel::proxy {

using Json = nlohmann::json;

struct SendToClient {
    int client = 0;
    std::string bytes;
};
struct CloseClient {  // closes the connection after all pending bytes have been written
    int client = 0;
};
struct SetClientPaused {  // stops or resumes reading from the client
    int client = 0;
    bool paused = false;
};
struct OpenStoreConnection {
    int connection = 0;
    std::string address;
};
struct SendToStore {
    int connection = 0;
    std::string bytes;
};
struct CloseStoreConnection {
    int connection = 0;
};
struct SendToAgent {
    Json message;
};
struct WriteLog {
    std::string text;
};
using Output = std::variant<SendToClient, CloseClient, SetClientPaused, OpenStoreConnection, SendToStore,
                            CloseStoreConnection, SendToAgent, WriteLog>;

// Counters since the start of the process. They are logged under these names.
struct Counters {
    // answered, promised, indoubt: statements that needed a store and ended with success, with an error
    // other than INDOUBT, with INDOUBT. opened: connections to stores. outOfStep: connections closed because
    // their responses no longer matched their queries. unproven: successful writes held back until known to
    // be durable. deferred: writes that waited until the primary was settled.
    std::uint64_t sessions = 0, statements = 0, transactions = 0, answered = 0, promised = 0, indoubt = 0,
                  opened = 0, outOfStep = 0, unproven = 0, deferred = 0;
    // own: queries of the proxy itself (SET, PARSE, RESET, STATUS, rollbacks, BEGIN around a guarded read).
    // guarded: reads inside a transaction that proves the store to be primary. lagging: refusals by lagging
    // replicas. leadNear to replicaFar: statements sent to a primary or replica inside (near) or outside
    // (far) the proxy's district.
    std::uint64_t own = 0, guarded = 0, lagging = 0, leadNear = 0, leadFar = 0, replicaNear = 0,
                  replicaFar = 0;
};

class Pooler : private RouterOutput {
public:
    Pooler(const settings::Settings& settings, std::uint64_t seed, Nanoseconds now);
    ~Pooler() override;

    void onClientConnected(int client, Nanoseconds now);
    void onClientLine(int client, std::string_view message, Nanoseconds now);
    void onClientDisconnected(int client, Nanoseconds now);
    void onStoreConnected(int connection, Nanoseconds now);
    void onStoreLine(int connection, std::string_view text, Nanoseconds now);
    void onStoreDisconnected(int connection, bool refused, Nanoseconds now);
    // The link to the agent was established, was lost, or delivered a message.
    void onAgentConnected(Nanoseconds now);
    void onAgentDisconnected();
    void onAgentMessage(const Json& message, Nanoseconds now);
    void tick(Nanoseconds now);
    // The process is to end: idle sessions are closed, and open transactions may finish within half
    // the grace period.
    void beginShutdown(Nanoseconds now);
    bool ready() const;
    bool drained() const { return shuttingDown_ && sessions_.empty(); }

    std::vector<Output> takeOutputs() { return std::exchange(outputs_, {}); }
    const Counters& counters() const { return counters_; }
    // How often one of its invariants was found broken.
    std::uint64_t violations() const {
        return recordsBeforeLease_.violations() + configurationsIncrease_.violations();
    }
    std::size_t sessionCount() const { return sessions_.size(); }
    std::size_t connectionCount() const { return connections_.size(); }

private:
    struct Service;
    struct Store {
        std::string id, address, district, recordedState, role;
        Service* service = nullptr;
        std::set<int> idleConnections;
        int connectionCount = 0;
        bool removed = false, probing = false;
        Nanoseconds drainingSince = 0, lastReceivedAt = 0, suspectReportedAt = 0;
        std::deque<int> waitingClients;  // clients whose statement waits for a connection
    };
    struct Service {
        std::string name;
        int group = 0, connectionSlots = 0;
        std::string primary;
        std::uint64_t term = 0, seq = 0;
        bool steady = false;
        PrimaryEvidence primaryEvidence;
        ReplicaEvidence replicaEvidence;
        int syncReplicas = 0;
        Nanoseconds lastUsedAt = 0;       // when a client's statement was last sent to one of its stores
        std::deque<int> deferredClients;  // clients whose write waits until the primary is settled
        CommitHorizon commitHorizon;
        std::map<std::string, Store*> stores;
    };
    struct PreparedStatement {
        bool writes = false;
        std::string text;
        bool operator==(const PreparedStatement&) const = default;
    };
    enum class ExchangeStep { setup, begin, statement, rollback, status };
    struct Session;
    struct StoreConnection {
        int id = 0;
        std::string address;  // where it was opened; the store's address may have changed since
        Store* store = nullptr;
        bool open = false, isProbe = false, closed = false;
        std::map<std::string, std::string> variables;
        std::set<std::string> preparedNames;
        Session* session = nullptr;  // whose statement or transaction it serves
        bool inTransaction = false;  // the store holds a transaction of this proxy open
        std::deque<ExchangeStep> expectedSteps;
        StoreResponseReader responseReader;
        // abandonedAt: since when no session waits for its responses; 0 if one does or none are due.
        Nanoseconds sentAt = 0, lastUsedAt = 0, lastReceivedAt = 0, abandonedAt = 0;
        // It was opened while its service's primary was settled, so its store has not restarted
        // since.
        bool openedWhileSettled = false;
        // If the last query succeeds, the store was the primary when the query was sent.
        bool provesPrimary = false;
    };
    // A write that its store reported as successful and that has not been reported to its client yet,
    // because it may not survive a failover.
    struct UnconfirmedWrite {
        Service* service = nullptr;
        StoreResponse response;
        AcknowledgedWrite write;
    };
    // A statement that is being processed.
    struct PendingStatement {
        Statement statement;
        std::string key;  // the router's key for it; empty if it goes to the session's pinned connection,
                          // without the router
        std::string afterClause, text;  // as sent to the store
        std::string preparedName;
        int classIndex = 0, attempts = 0;
        // guarded: a read inside a transaction of the proxy's own, whose success proves that the store is
        // primary.
        bool writes = false, commit = false, guarded = false, sent = false, preparing = false;
        bool deferred = false;  // a write that waits until the primary is settled
        std::optional<UnconfirmedWrite> unconfirmed;
        Store* store = nullptr;
        StoreConnection* connection = nullptr;
        Nanoseconds receivedAt = 0, attemptStartedAt = 0, deadline = 0;
        std::optional<Error> lastError;
        std::string lastErrorText;
    };
    // One attempt of a statement, as the router knows it; without a key, the router does not know it.
    struct RoutedAttempt {
        std::string key;
        int number = 0;
        Nanoseconds startedAt = 0;
    };
    struct OpenTransaction {
        OpenTransaction() {}  // clang needs a constructor before the enclosing class is complete
        bool readOnly = false, begun = false;
        bool writeSent = false;
        bool writeSucceeded = false;
        std::string beginId;
        Nanoseconds receivedAt = 0;
        configuration::Route route;
    };
    struct Session {
        int client = 0;
        bool greeted = false, removed = false, readsPaused = false;
        std::string database;
        char state = 'I';
        std::map<std::string, std::string> variables;
        std::map<std::string, PreparedStatement> preparedStatements;
        std::optional<OpenTransaction> transaction;
        std::optional<PendingStatement> pending;
        StoreConnection* connection = nullptr;  // the connection that its open transaction is pinned to
        // The log position of its last write and when that was sent: reads on routes of mode `own` see it.
        std::optional<LogPosition> ownPosition;
        Nanoseconds ownPositionAt = 0, idleSince = 0;
        std::deque<std::string> requestQueue;
        std::size_t queuedBytes = 0;
    };

    // Outlet
    void startAttempt(const std::string& key, const std::string& store, Nanoseconds timeLimit) override;
    void reject(const std::string& key, Nanoseconds retryAfter) override;
    void reportIndeterminate(const std::string& key) override;
    void cancel(const std::string& key, int attemptNumber) override;
    void probe(const std::string& store) override;
    void closeIdleConnections(const std::string& store) override;
    void subscribeToList(bool) override {}
    void requestList() override {}
    void send(std::optional<int>, const std::string&) override {}
    void wakeAt(Nanoseconds when, std::int64_t) override { routerWakeAt_ = when; }
    void log(const std::string& message) override { outputs_.push_back(WriteLog{message}); }

    void advanceClock(Nanoseconds now);
    void drainWorkQueues();
    void abandonAttempt(const std::string& key, int attemptNumber);
    void executeAttempt(const std::string& key, const std::string& store);
    void probeStore(const std::string& id);
    void requestLease();
    void checkTimeouts(StoreConnection& connection);
    void abortIdleTransaction(Session& session, StoreConnection& connection);
    void rejectExpiredWaiters();
    void closeDrainedSessions();
    void applyRecord(const std::string& name, const gossip::Record& record);
    void applyStoreRecord(const std::string& id, const Json& body);
    void applyPrimaryRecord(const std::string& name, const Json& body);
    void onPrimaryChanged(Service& service, const std::string& previous);
    void abandonFormerPrimary(const std::string& storeId);
    void applyConfiguration(const Json& body);
    bool holdsRecordsForLease(const gossip::LeaseReply& leaseReply);
    void reportViolation(gossip::Invariant& invariant, const std::string& detail);
    Service& findOrAddService(const std::string& name);
    void updateRouterState(Store& store);

    void processQueue(Session& session);
    void handleGreeting(Session& session, std::string_view rest);
    void handleStatement(Session& session, Statement statement);
    void replyLocally(Session& session, const std::string& outcome, char state);
    void replyWithError(Session& session, Error error, std::string_view text, char state);
    void routeStatement(Session& session, Statement statement);
    int transactionClassOf(const configuration::Route& route, bool writes, bool transaction);
    void assignStore(Session& session, const std::string& storeId);
    void startOnStore(Session& session, Store& store);
    void acknowledgeWrite(Session& session, Service& service, const StoreResponse& response);
    void resolveUnconfirmedWrites();
    bool isDurable(const UnconfirmedWrite& unconfirmed) const;
    void queryReplicas();
    bool replicaListIsCurrent(const Service& service) const;
    void openReplicaCheckConnections(Service& service);
    void queryReplicaStatus(Store& replica);
    StoreConnection* findReplicaCheckConnection(const Store& replica) const;
    void onStatusResponse(StoreConnection& connection, const StoreResponse& response);
    bool mustDeferWrites(const Service& service) const;
    void deferWrite(Session& session, Service& service);
    void resumeDeferredWrites(Service& service);
    StoreConnection* acquireConnection(Session& session, Store& store);
    void openConnection(Store& store, bool probe);
    void prepareConnection(Session& session, StoreConnection& connection);
    void syncVariables(const Session& session, StoreConnection& connection);
    void beginOnStore(Session& session, StoreConnection& connection, const std::string& after);
    void countDestination(const Store& store);
    void sendStatement(Session& session, StoreConnection& connection);
    bool mayRunOn(Session& session, Store& store, std::string& after, bool& guarded);
    void onGreetingReply(StoreConnection& connection, std::string_view text);
    void onResponse(StoreConnection& connection, ExchangeStep step, const StoreResponse& response);
    void onBeginFailed(Session& session, StoreConnection& connection, const StoreResponse& response);
    void onStatementResponse(Session& session, StoreConnection& connection, const StoreResponse& response);
    void onCommitResponse(Session& session, StoreConnection& connection, const StoreResponse& response);
    void onStatementNotRun(Session& session, StoreConnection& connection, const StoreResponse& response);
    void onTransactionResponse(Session& session, StoreConnection& connection, const StoreResponse& response);
    void onSingleSucceeded(Session& session, StoreConnection& connection, const StoreResponse& response);
    void onSingleFailed(Session& session, StoreConnection& connection, const StoreResponse& response);
    // Sends the store's response to the client as the statement's final one.
    void replyToClient(Session& session, const StoreResponse& response, char state);
    // The time up to which the response's position is known to cover all commits.
    std::optional<Nanoseconds> commitsCoveredUntil(const Store& store, const StoreResponse& response) const;
    // Closes a connection whose responses can no longer be matched to its queries. Using it further
    // could give a session the response to another's query.
    void closeOutOfSync(StoreConnection& connection);
    // Detaches the session; the connection serves others once all its expected responses have
    // arrived.
    void releaseConnection(StoreConnection& connection);
    // The deadline of the session's statement, which runs on this connection, has passed.
    void onDeadlineExceeded(Session& session, StoreConnection& connection);
    static RoutedAttempt attemptOf(const PendingStatement& pending) {
        return {pending.key, pending.attempts - 1, pending.attemptStartedAt};
    }
    // Reports an attempt's outcome to the router, and whether the statement has had its final response.
    void reportOutcome(const RoutedAttempt& attempt, Store& store, AttemptOutcome outcome,
                       std::optional<Nanoseconds> coveredUntil, bool finished);
    void reportLagging(Store& store, std::optional<LogPosition> position);
    void rollBackAndRelease(StoreConnection& connection, const std::string& statementId);
    void returnToPool(StoreConnection& connection);
    void closeConnection(StoreConnection& connection);
    void serveWaitingClients(Store& store);
    void failWaitingClients(Store& store, AttemptOutcome outcome);
    void endTransaction(Session& session);
    void onConnectionClosed(StoreConnection& connection, bool refused);
    void onConnectionLost(Session& session, StoreConnection& connection,
                          AttemptOutcome outcome = AttemptOutcome::connectionLost);
    void removeSession(int client);
    void removeFromWaiting(Session& session);
    void reportSuspect(Store& store, const char* why);
    bool primaryIsConfirmed(const Service& service) const;
    int connectionShare(const Service& service) const;
    void sendQuery(StoreConnection& connection, std::string_view id, std::string_view text,
                   ExchangeStep step);
    void replyWithLastError(Session& session);

    const settings::Settings settings_;
    std::vector<Output> outputs_;
    Nanoseconds now_, routerWakeAt_ = 0;
    const Nanoseconds startedAt_;
    gossip::RecordReplicator recordReplicator_;
    Router router_;
    configuration::Configuration configuration_;
    bool configured_ = false, shuttingDown_ = false, agentConnected_ = false;
    Nanoseconds shutdownStartedAt_ = 0, leaseRequestedAt_ = 0, lastSweepAt_ = 0, configuredAt_ = 0;
    std::uint64_t lastKey_ = 0;
    gossip::LeaseRequests leaseRequests_;
    gossip::HeldLease lease_;
    gossip::ControlContactMonitor controlContact_;
    gossip::Invariant recordsBeforeLease_{gossip::configurationBeforeLease};
    gossip::Invariant configurationsIncrease_{"each configuration in force is above the one before"};
    std::map<std::string, std::unique_ptr<Service>> services_;
    std::map<int, Service*> servicesByGroup_;
    std::unordered_map<std::string, std::unique_ptr<Store>> stores_;
    std::unordered_map<int, std::unique_ptr<Session>> sessions_;
    std::unordered_map<int, std::unique_ptr<StoreConnection>> connections_;
    std::unordered_map<std::string, Session*> sessionsByKey_;
    std::unordered_map<std::string, std::string> preparedNames_;
    std::deque<std::pair<std::string, std::string>> attemptQueue_;  // key, store
    std::deque<std::pair<std::string, int>> cancelQueue_;
    std::deque<std::string> probeQueue_, probed_;
    std::set<int> unconfirmedClients_;  // clients whose write is not known to be durable yet
    std::deque<int> readyClients_;      // clients whose next request may be processed
    std::vector<int> closedConnections_;
    std::map<std::string, int> districtIndexes_;
    int lastConnectionId_ = 0, proxyCount_ = 1;
    Counters counters_;
};

}  // namespace granitereel::proxy
