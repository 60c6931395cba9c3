// The rule guards: the final check before every attempt and rejection.
#include "policy/shared.hpp"

namespace granitereel {

bool Router::mayStartAttempt(const Transaction& txn, const Store& store) const {
    const TransactionClass& txnClass = classes_[txn.classIndex];
    if (store.state != StoreState::up || txn.inFlight > 0 || txn.attempts >= config_.maxAttempts)
        return false;
    if (!txn.mayHaveRunSince || txnClass.retrySafety == RetrySafety::idempotent) return true;
    if (txnClass.retrySafety == RetrySafety::unsafe ||
        now_ >= txn.mayHaveRunSince + txnClass.deduplicationWindow)
        return false;
    return txnClass.deduplicationScope != DeduplicationScope::zone || store.zone == txn.pinnedZone;
}

// A connection may be opened between selection and the first byte sent. It guards against a list or a
// response that comes meanwhile, and a position grown too old; it costs one of a transaction's few attempts.
bool Router::mayStillSend(const std::string& id, const std::string& storeId) const {
    const Transaction* txn = findTransaction(id);
    const Store* store = findStore(storeId);
    if (!txn || !store || store->state != StoreState::up) return false;
    const Consistency consistency = classes_[txn->classIndex].consistency;
    if (consistency == Consistency::eventual || consistency == Consistency::write ||
        config_.storesCheckFreshness || isFreshEnough(*store, *txn))
        return true;
    return txn->group->primary == store && mayReadPrimary(*store);
}

bool Router::mayReject(const Transaction& txn) const {
    const TransactionClass& txnClass = classes_[txn.classIndex];
    if (txnClass.retrySafety == RetrySafety::idempotent) return true;
    if (txnClass.retrySafety == RetrySafety::deduplicated &&
        txnClass.deduplicationScope == DeduplicationScope::global)
        return true;
    return txn.inFlight == 0 && !txn.mayHaveRunSince;
}

}  // namespace granitereel
