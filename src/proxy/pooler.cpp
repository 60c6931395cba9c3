#include "proxy/pooler.hpp"

#include <algorithm>
#include <utility>

#include "proxy/timing.hpp"

namespace granitereel::proxy {

namespace {
RoutingConfig charterOf(const settings::Settings& settings, int zone) {
    RoutingConfig charter;
    // The router rotates the assignment of stores to pools by this number, which should differ between
    // proxies.
    charter.proxyIndex = static_cast<int>(std::hash<std::string>()(settings.station) % 1024);
    charter.zone = zone;
    charter.maxAttempts = maxAttempts;
    charter.probesAllowed = charter.cancelAllowed = charter.clientsHonorRetryAfter = true;
    charter.maxRetryAfter = milliseconds(10 * retryAdvice_ms);
    charter.tick = milliseconds(1);
    charter.crossZoneCost = 0.01;
    charter.preferZoneOverTier = true;
    charter.maxQueueShare = 0.45;  // the time to reach the client counts as well
    return charter;
}
}  // namespace

Pooler::Pooler(const settings::Settings& settings, std::uint64_t seed, Nanoseconds now)
    : settings_(settings),
      now_(now),
      startedAt_(now),
      recordReplicator_(
          [this](int, Json message) { outputs_.push_back(SendToAgent{std::move(message)}); },
          [this](const std::string& name, const gossip::Record& record) { applyRecord(name, record); }),
      router_(charterOf(settings, 0), seed, now, *this) {
    districtIndexes_[settings.district] = 0;
}

Pooler::~Pooler() = default;

void Pooler::advanceClock(Nanoseconds now) {
    now_ = now;
    router_.setTime(now);
}

// What the router requests while it is being called is queued, and done here after the call.
void Pooler::drainWorkQueues() {
    for (;;) {
        if (!cancelQueue_.empty()) {
            const auto [key, attemptNumber] = std::move(cancelQueue_.front());
            cancelQueue_.pop_front();
            abandonAttempt(key, attemptNumber);
        } else if (!attemptQueue_.empty()) {
            const auto [key, store] = std::move(attemptQueue_.front());
            attemptQueue_.pop_front();
            executeAttempt(key, store);
        } else if (!probeQueue_.empty()) {
            const std::string id = std::move(probeQueue_.front());
            probeQueue_.pop_front();
            probeStore(id);
        } else if (!readyClients_.empty()) {
            const int client = readyClients_.front();
            readyClients_.pop_front();
            const auto found = sessions_.find(client);
            if (found != sessions_.end()) processQueue(*found->second);
        } else {
            break;
        }
    }
    for (const int connectionId : closedConnections_) connections_.erase(connectionId);
    closedConnections_.clear();
}

void Pooler::abandonAttempt(const std::string& key, int attemptNumber) {
    const auto found = sessionsByKey_.find(key);
    if (found == sessionsByKey_.end()) return;
    Session& session = *found->second;
    if (!session.pending || session.pending->attempts - 1 != attemptNumber || !session.pending->store) return;
    Store& store = *session.pending->store;
    if (session.pending->connection)
        releaseConnection(*session.pending->connection);
    else
        removeFromWaiting(session);
    session.pending->connection = nullptr;
    session.pending->store = nullptr;
    session.pending->sent = session.pending->preparing = false;
    reportOutcome(attemptOf(*session.pending), store, AttemptOutcome::cancelled, {}, false);
}

void Pooler::executeAttempt(const std::string& key, const std::string& store) {
    const auto found = sessionsByKey_.find(key);
    if (found != sessionsByKey_.end()) assignStore(*found->second, store);
}

// The router probes a replica to learn how fresh it is. No query is needed for that: the next read finds out,
// because it carries a position that the store itself checks. Only a store that may be unreachable is
// probed, by opening a connection.
void Pooler::probeStore(const std::string& id) {
    const auto found = stores_.find(id);
    if (found == stores_.end()) return router_.probeEnded(id, AttemptOutcome::unreachable);
    Store& store = *found->second;
    const bool open = std::any_of(connections_.begin(), connections_.end(), [&](auto& each) {
        return each.second->store == &store && each.second->open && !each.second->closed;
    });
    if (open && now_ - store.suspectReportedAt > milliseconds(1000)) {
        if (const auto newestTime = store.service->commitHorizon.newestTime())
            router_.storeReported(id, *newestTime, {});
        router_.probeEnded(id, AttemptOutcome::succeeded);
    } else if (!store.probing) {
        store.probing = true;
        openConnection(store, true);
    }
}

// If control is reachable, the first lease arrives soon after the configuration; without a lease, no
// write can be reported as successful. The wait for it is bounded, because reads are served without it.
bool Pooler::ready() const {
    const bool everSettled = std::all_of(services_.begin(), services_.end(), [](const auto& each) {
        return each.second->primaryEvidence.settledUntil() > 0;
    });
    const bool leaseWaitOver = everSettled || now_ - configuredAt_ >= maxFirstLeaseWait;
    return configured_ && !stores_.empty() && leaseWaitOver && !shuttingDown_;
}

void Pooler::beginShutdown(Nanoseconds now) {
    advanceClock(now);
    if (!shuttingDown_) shutdownStartedAt_ = now;
    shuttingDown_ = true;
}

void Pooler::tick(Nanoseconds now) {
    advanceClock(now);
    recordReplicator_.advance(now, lease_.valid(now));
    if (auto message = controlContact_.update(lease_.until(), now)) log(*message);
    requestLease();
    if (now >= routerWakeAt_) router_.timerFired(0);
    drainWorkQueues();
    if (now - lastSweepAt_ < sweepInterval) return;
    lastSweepAt_ = now;
    std::vector<StoreConnection*> open;
    for (auto& [connectionId, connection] : connections_)
        if (!connection->closed) open.push_back(connection.get());
    for (StoreConnection* connection : open)
        if (!connection->closed) checkTimeouts(*connection);
    rejectExpiredWaiters();
    resolveUnconfirmedWrites();
    queryReplicas();
    for (auto& [name, service] : services_) {
        const auto primary = service->stores.find(service->primary);
        if (primary != service->stores.end() && primary->second->drainingSince)
            updateRouterState(*primary->second);
    }
    if (shuttingDown_ && now - shutdownStartedAt_ > minShutdownDelay) closeDrainedSessions();
    drainWorkQueues();
}

void Pooler::requestLease() {
    if (!agentConnected_ || now_ - leaseRequestedAt_ < leaseRequestInterval) return;
    leaseRequestedAt_ = now_;
    outputs_.push_back(SendToAgent{gossip::LeaseRequest{leaseRequests_.start(now_)}.toJson()});
}

void Pooler::checkTimeouts(StoreConnection& connection) {
    if (!connection.expectedSteps.empty() &&
        now_ - std::max(connection.sentAt, connection.store->lastReceivedAt) > storeSilenceLimit)
        reportSuspect(*connection.store, "silent");
    if (!connection.open && now_ - connection.sentAt > connectTimeout) {
        outputs_.push_back(CloseStoreConnection{connection.id});
        return onConnectionClosed(connection, false);
    }
    if (connection.abandonedAt && now_ - connection.abandonedAt > abandonedTimeout)
        return closeConnection(connection);
    if (!connection.session && connection.expectedSteps.empty() && connection.open &&
        now_ - connection.lastUsedAt > idleConnectionTimeout)
        closeConnection(connection);
    Session* session = connection.session;
    if (!session) return;
    if (!session->pending)
        abortIdleTransaction(*session, connection);
    else if (session->pending->connection == &connection && now_ >= session->pending->deadline)
        onDeadlineExceeded(*session, connection);
}

// Rolls back a transaction that has been idle for too long, or is still open after the first half of the
// grace period.
void Pooler::abortIdleTransaction(Session& session, StoreConnection& connection) {
    if (!session.transaction || !session.transaction->begun) return;
    const bool idleTooLong =
        configuration_.transactionIdleTimeout_ms > 0 &&
        now_ - session.idleSince > milliseconds(configuration_.transactionIdleTimeout_ms);
    const bool shutdownDue =
        shuttingDown_ && now_ - shutdownStartedAt_ > milliseconds(settings_.shutdownGrace_ms / 2);
    if (!idleTooLong && !shutdownDue) return;
    rollBackAndRelease(connection, "-");
    session.connection = nullptr;
    session.transaction->begun = false;
    session.state = 'E';
}

// Rejects statements whose deadline passes while they wait for a connection.
void Pooler::rejectExpiredWaiters() {
    std::vector<Session*> expired;
    for (auto& [key, session] : sessionsByKey_)
        if (session->pending && session->pending->store && !session->pending->connection &&
            now_ >= session->pending->deadline)
            expired.push_back(session);
    for (Session* session : expired) {
        const RoutedAttempt attempt = attemptOf(*session->pending);
        Store& store = *session->pending->store;
        session->pending->lastError = Error::busy;
        session->pending->lastErrorText =
            "no connection; come back in " + std::to_string(retryAdvice_ms) + " ms";
        replyWithLastError(*session);
        reportOutcome(attempt, store, AttemptOutcome::notSent, {}, true);
    }
}

// Closes idle sessions, and all sessions shortly before the grace period ends.
void Pooler::closeDrainedSessions() {
    const bool all = now_ - shutdownStartedAt_ > milliseconds(settings_.shutdownGrace_ms - 500);
    std::vector<int> closing;
    for (auto& [client, session] : sessions_) {
        const bool isIdle = !session->pending && ((session->state == 'I' && session->requestQueue.empty()) ||
                                                  session->state == 'E');
        if (isIdle || all) closing.push_back(client);
    }
    for (const int client : closing) {
        outputs_.push_back(CloseClient{client});
        removeSession(client);
    }
}

}  // namespace granitereel::proxy
