// The replicas in the primary record: which are added, which are recent, which have left and are released,
// and at which addresses their logs are handed over to other stores.
#include <algorithm>

#include "control/failover.hpp"

namespace granitereel::control {

namespace {
// A store that deregistered terminates within this, since it waits no longer for the response.
constexpr Nanoseconds shutdownTime = milliseconds(1000);
// How often it is checked whether the remaining replicas have everything that a departed one had.
constexpr Nanoseconds releaseCheckInterval = milliseconds(500);
// How often the ages of recent replicas are updated.
constexpr Nanoseconds ageUpdateInterval = milliseconds(1000);
// Bound on the addresses kept of released replicas. Beyond it, stores that take over their logs count as
// recent.
constexpr std::size_t maxVacatedAddresses = 16;
}  // namespace

std::string Failover::addressOf(const std::string& store, const PrimaryRecord& primary) const {
    if (const Json* body = storeRecord(store)) return body->value("address", "");
    const auto recorded = primary.addresses.find(store);
    return recorded != primary.addresses.end() ? recorded->second : "";
}

// A store that crashed may be back at its address, with its log, under another name while its former record
// still exists. Of two names at the primary's address either may be the current one; both mean the primary's
// own log.
bool Failover::isPrimaryOrAlias(const std::string& store, const PrimaryRecord& primary) const {
    if (store == primary.store) return true;
    const Json* body = storeRecord(primary.store);
    const std::string address = addressOf(store, primary);
    return body && !address.empty() && body->value("address", "") == address;
}

std::map<std::string, std::string> Failover::addressesOf(const std::set<std::string>& stores,
                                                         const PrimaryRecord& previous) const {
    std::map<std::string, std::string> result;
    for (const std::string& store : stores)
        if (storeRecord(store) || previous.addresses.count(store)) result[store] = addressOf(store, previous);
    return result;
}

bool Failover::hasLeft(const std::string& store) const {
    const gossip::Record* entry = host_.recordTable().find("store/" + store);
    return entry && entry->body.is_null();
}

// The replica set is kept in the primary record: after a failure, nothing else tells which replicas must be
// verified. A replica missing from the registry may just not have registered yet, and one that left may have
// the only copy of a commit. Both stay until handleReleaseStatus() releases them; dropping one earlier could
// lose an acknowledged write.
void Failover::updateReplicas(const PrimaryRecord& primary, Nanoseconds now) {
    std::set<std::string> replicas = primary.replicas;
    for (const std::string& store : listedStores()) replicas.insert(store);
    std::erase_if(replicas, [&](const std::string& store) { return isPrimaryOrAlias(store, primary); });
    const RecentReplicas recent = recentAmong(replicas, primary, now);
    if (replicas != primary.replicas || recent != primary.recentReplicas ||
        addressesOf(replicas, primary) != primary.addresses)
        return writeReplicas(primary, replicas, recent);
    if (std::any_of(replicas.begin(), replicas.end(), [&](const auto& each) { return hasLeft(each); }))
        beginReplicaRelease(primary, now);
    else
        departureSeenAt_ = 0;
}

// Whether the store took over the log of an established replica, as it is at that replica's address.
bool Failover::inheritsEstablishedLog(const std::string& store, const PrimaryRecord& primary) const {
    const std::string address = addressOf(store, primary);
    if (address.empty()) return false;
    if (primary.vacatedAddresses.count(address)) return true;
    return std::any_of(primary.replicas.begin(), primary.replicas.end(), [&](const std::string& established) {
        return !primary.recentReplicas.count(established) && addressOf(established, primary) == address;
    });
}

// An address now used by a registered store is dropped: a store of another service has no log of this one.
std::set<std::string> Failover::nextVacatedAddresses(const PrimaryRecord& primary,
                                                     const std::set<std::string>& replicas) const {
    std::set<std::string> vacated = primary.vacatedAddresses;
    for (const std::string& store : primary.replicas)
        if (!replicas.count(store) && !primary.recentReplicas.count(store))
            vacated.insert(addressOf(store, primary));
    vacated.erase("");
    host_.recordTable().forEachWithPrefix("store/", [&](const std::string&, const gossip::Record& other) {
        if (other.body.is_object()) vacated.erase(other.body.value("address", ""));
    });
    while (vacated.size() > maxVacatedAddresses) vacated.erase(vacated.begin());
    return vacated;
}

// Every member tracks how long replicas have been on record, so that the next owner knows it too.
void Failover::updateReplicaAges(Nanoseconds now) {
    if (now - agesUpdatedAt_ < ageUpdateInterval) return;
    agesUpdatedAt_ = now;
    const gossip::Record* entry = host_.recordTable().find("lead/" + service_);
    const bool hasRecent = entry && entry->body.is_object() && entry->body.contains("young");
    replicaAges_.update(hasRecent ? entry->body["young"].get<RecentReplicas>() : RecentReplicas(), now);
}

// The recent ones among the replicas of the next record, with their ages.
RecentReplicas Failover::recentAmong(const std::set<std::string>& replicas, const PrimaryRecord& primary,
                                     Nanoseconds now) const {
    RecentReplicas recent;
    for (const std::string& store : replicas) {
        const bool isNew = !primary.replicas.count(store);
        if (isNew ? inheritsEstablishedLog(store, primary) : !primary.recentReplicas.count(store)) continue;
        const unsigned age =
            isNew ? 0 : std::max(primary.recentReplicas.at(store), replicaAges_.age(store, now));
        if (age < ReplicaAges::establishedAge) recent[store] = age;
    }
    return recent;
}

void Failover::writeReplicas(const PrimaryRecord& primary, std::set<std::string> replicas,
                             RecentReplicas recent) {
    PrimaryRecord next = primary;
    next.recentReplicas = std::move(recent);
    next.vacatedAddresses = nextVacatedAddresses(primary, replicas);
    next.addresses = addressesOf(replicas, primary);
    next.replicas = std::move(replicas);
    ++next.sequence;
    writePending_ = true;
    host_.compareAndSet(service_, primary.sequence, next, [this](auto) { writePending_ = false; });
}

// A replica that left counts as a synchronous one until its process has ended, and its log goes with it.
// After that, the primary is asked for its position, then the remaining replicas for theirs.
void Failover::beginReplicaRelease(const PrimaryRecord& primary, Nanoseconds now) {
    if (departureSeenAt_ == 0) departureSeenAt_ = now;
    if (now - departureSeenAt_ < shutdownTime || now - lastQueryAt_ < releaseCheckInterval) return;
    lastQueryAt_ = now;
    statuses_.clear();
    sendStatement(primary.store, Statement::status, "STATUS", now);
}

// Releases departed replicas once as many remaining replicas as are synchronous have everything that the
// primary had. Releasing them earlier could drop the only copy of an acknowledged write.
void Failover::handleReleaseStatus(const Request& request, const StoreStatus& status, Nanoseconds now) {
    const auto primary = currentPrimary();
    if (!primary || !primary->settled || writePending_ || request.statement != Statement::status) return;
    std::set<std::string> staying;
    for (const std::string& store : primary->replicas)
        if (!hasLeft(store)) staying.insert(store);
    if (request.store == primary->store) {
        if (!status.primary || status.term != primary->term) return;
        statuses_[primary->store] = status;
        for (const std::string& store : staying) sendStatement(store, Statement::status, "STATUS", now);
        return;
    }
    const auto primaryStatus = statuses_.find(primary->store);
    if (primaryStatus == statuses_.end() || !staying.count(request.store)) return;
    statuses_[request.store] = status;
    const auto syncCount = static_cast<std::size_t>(std::max(0, host_.syncReplicas(service_)));
    const auto upToDate =
        static_cast<std::size_t>(std::count_if(statuses_.begin(), statuses_.end(), [&](const auto& each) {
            return each.first != primary->store &&
                   !(each.second.receivedPosition < primaryStatus->second.receivedPosition);
        }));
    if (upToDate < std::max<std::size_t>(1, std::min(syncCount, staying.size()))) return;
    statuses_.clear();
    departureSeenAt_ = 0;
    writeReplicas(*primary, staying, recentAmong(staying, *primary, now));
}

}  // namespace granitereel::control
