// Which replica may serve a read, and when one is asked how far it is.
#include "policy/shared.hpp"

namespace granitereel {

bool Front::freshEnough(const Store& store, const Transaction& transaction) const {
    const Lane& lane = lanes_[transaction.lane];
    switch (lane.need) {
        case Need::any:
            return true;
        case Need::bounded:
            // A millisecond is kept against rounding on the way.
            return store.position >= now_ - lane.bound + millis(1);
        case Need::session:
            return transaction.mustSee == 0 || store.position >= transaction.mustSee;
        default:
            return false;
    }
}

// Whether a replica that applies the log as fast as it comes would meet the need by the end of its wait. One
// that was never asked may: what does not hold, the store itself says.
bool Front::mayCatchUp(const Store& store, const Transaction& transaction) const {
    const Lane& lane = lanes_[transaction.lane];
    const Nanos lag = store.positionTold - store.position;
    const Nanos need = lane.need == Need::bounded ? now_ - lane.bound : transaction.mustSee;
    return store.position < 0 || now_ + charter_.catchUpWait - lag >= need;
}

bool Front::mayReadPrimary(const Store& store) const {
    return store.standing == Standing::up && !store.toldReplica;
}

// A replica is asked when its known position is older than half the bound and no answer has renewed it. One
// that lags is not asked again before it can have caught up by some part: a quarter of its lag, two seconds
// at most, keeps probes few where the log is slow everywhere.
bool Front::probeIsDue(const Store& store) const {
    if (now_ - store.position <= probeAge_) return false;
    const Nanos lag = std::min((store.positionTold - store.position) / 4, millis(2000));
    return now_ - std::max(store.positionTold, store.probedAt) > std::max(probeAge_, lag);
}

}  // namespace granitereel
