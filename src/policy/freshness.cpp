// Which replica may serve a read, and when one is probed for its position.
#include "policy/shared.hpp"

namespace granitereel {

bool Router::isFreshEnough(const Store& store, const Transaction& txn) const {
    const TransactionClass& txnClass = classes_[txn.classIndex];
    switch (txnClass.consistency) {
        case Consistency::eventual:
            return true;
        case Consistency::bounded:
            // A millisecond of margin for rounding on the wire.
            return store.position >= now_ - txnClass.maxStaleness + milliseconds(1);
        case Consistency::session:
            return txn.minPosition == 0 || store.position >= txn.minPosition;
        default:
            return false;
    }
}

// Whether a replica that applies the log as fast as it comes would be fresh enough by the end of its wait.
// One of unknown position may: the store itself refuses what it can't serve.
bool Router::mayCatchUp(const Store& store, const Transaction& txn) const {
    const TransactionClass& txnClass = classes_[txn.classIndex];
    const Nanoseconds lag = store.positionUpdatedAt - store.position;
    const Nanoseconds needed =
        txnClass.consistency == Consistency::bounded ? now_ - txnClass.maxStaleness : txn.minPosition;
    return store.position < 0 || now_ + config_.catchUpTimeout - lag >= needed;
}

bool Router::mayReadPrimary(const Store& store) const {
    return store.state == StoreState::up && !store.saysReplica;
}

// A replica is probed when its known position is older than half the bound. One that lags is not probed again
// before it can have caught up by some part: a quarter of its lag, two seconds at most, keeps probes few
// where all lag.
bool Router::probeIsDue(const Store& store) const {
    if (now_ - store.position <= probeAge_) return false;
    const Nanoseconds lag = std::min((store.positionUpdatedAt - store.position) / 4, milliseconds(2000));
    return now_ - std::max(store.positionUpdatedAt, store.probedAt) > std::max(probeAge_, lag);
}

}  // namespace granitereel
