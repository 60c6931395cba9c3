// Bookkeeping without decisions; these are in src/policy.
#include "router.hpp"

#include <algorithm>

#include "policy/shared.hpp"

namespace granitereel {

int Router::indexOfClass(const TransactionClass& transactionClass) {
    for (std::size_t i = 0; i < classes_.size(); ++i)
        if (classes_[i].name == transactionClass.name) return static_cast<int>(i);
    classes_.push_back(transactionClass);
    classWork_.emplace_back();
    usualTimeouts_.emplace_back();
    deriveClassParameters();
    return static_cast<int>(classes_.size()) - 1;
}

void Router::listBegins(bool snapshot) {
    unlistedStores_.clear();
    if (snapshot)
        for (auto& [id, store] : stores_)
            if (store->state != StoreState::removed) unlistedStores_.push_back(store.get());
}

void Router::listEnds() {
    for (Store* store : unlistedStores_) changeState(*store, StoreState::removed);
    unlistedStores_.clear();
    for (auto& [number, group] : groups_)
        if (group.poolsOutdated) assignPools(group);
}

void Router::setPrimary(Group& group, Store* store) {
    if (group.primary == store) return;
    const Store* named = store ? store : group.primary;
    output_.log("group " + std::to_string(named->group) + (store ? ": primary is " : ": primary lost, was ") +
                named->id);
    group.primary = store;
    group.poolsOutdated = true;
}

void Router::setDecidedPrimary(int groupNumber, const std::string& id) {
    Group& group = groups_[groupNumber];
    Store* store = findStore(id);
    for (Store* member : group.members) {
        member->role = member == store ? Role::primary : Role::replica;
        member->saysReplica = member != store;
    }
    setPrimary(group, store && store->state == StoreState::up ? store : nullptr);
}

std::optional<std::string> Router::primaryOf(int groupNumber) const {
    const auto found = groups_.find(groupNumber);
    if (found == groups_.end() || !found->second.primary || !isUsable(*found->second.primary)) return {};
    return found->second.primary->id;
}

int Router::poolSize(const Group& group, Pool pool) const {
    return static_cast<int>(std::count_if(group.members.begin(), group.members.end(),
                                          [&](const Store* store) { return store->pool == pool; }));
}

void Router::updatePosition(Store& store, Nanoseconds position) {
    store.position = std::max(store.position, position);
    store.positionUpdatedAt = now_;
}

void Router::finishNow(const std::string& id) {
    if (Transaction* transaction = findTransaction(id)) finishUnserved(*transaction);
}

void Router::removeTransaction(Transaction& transaction) {
    if (transaction.queued) std::erase(transaction.group->queue, &transaction);
    if (transaction.inFlight > 0 && config_.cancelAllowed)
        for (Store* store : transaction.group->members)
            for (Attempt& attempt : store->attempts)
                if (!attempt.cancelled && attempt.transaction == transaction.id) {
                    attempt.cancelled = true;
                    output_.cancel(attempt.transaction, attempt.number);
                }
    transactions_.erase(transaction.id);
}

// The client has its response from now on, so no deadline applies any more.
void Router::responseStarted(const std::string& id) {
    if (Transaction* transaction = findTransaction(id))
        transaction->targetTime = transaction->deadline = std::numeric_limits<Nanoseconds>::max();
}

void Router::abandon(const std::string& id) {
    if (Transaction* transaction = findTransaction(id)) removeTransaction(*transaction);
}

void Router::storeReported(const std::string& id, std::optional<Nanoseconds> position,
                           std::optional<bool> primary) {
    Store* store = findStore(id);
    if (!store) return;
    if (position) updatePosition(*store, *position);
    if (primary && position) updateRole(*store, *primary ? Role::primary : Role::replica, *position, false);
}

void Router::storeLags(const std::string& id, Nanoseconds position) {
    Store* store = findStore(id);
    if (!store) return;
    store->position = position;
    store->positionUpdatedAt = now_;
}

// Has the periodic tasks check a store until it has no attempts and is reachable.
void Router::watchStore(Store& store) {
    if (!std::exchange(store.watched, true)) watchedStores_.push_back(&store);
}

// The handshake is taken to cost the store what it cost here, and is charged to a warming one as work: a
// crowd of new connections alone could overload it.
void Router::handshakeDone(const std::string& id, Nanoseconds work) {
    Store* store = findStore(id);
    if (store && warmShare(*store) < 1) store->warmUpCredit -= double(work);
}

}  // namespace granitereel
