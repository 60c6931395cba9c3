#include "pace.hpp"

#include <algorithm>
#include <cmath>

namespace granitereel::tls {

namespace {

// A purse holds what comes in within a tenth of a second: few statements notice a pause of a share of that.
constexpr Nanoseconds purseTime = milliseconds(100);
// The first handshake is taken to cost a millisecond, as a full one with P-256 does on an old core.
constexpr double firstCost = 1e6;
// A store that can't be trusted is asked again after a second, each further time after twice as long, up to a
// minute: somebody has to mend it, and each attempt costs both sides a full handshake.
constexpr Nanoseconds firstSpare = milliseconds(1000), longestSpare = milliseconds(60'000);
// Renewals leave half of the purse to those that wait for an answer.
constexpr double keptFromRenewals = 0.5;

}  // namespace

Pace::Pace(const Terms& terms, Nanoseconds now) : terms_(terms), filledAt_(now), usual_(firstCost) {
    purse_ = terms.share * double(purseTime);
}

void Pace::refill(Nanoseconds now) {
    purse_ = std::min(purse_ + terms_.share * double(std::max<Nanoseconds>(0, now - filledAt_)),
                      terms_.share * double(purseTime));
    filledAt_ = std::max(filledAt_, now);
}

bool Pace::spares(const std::string& store, Nanoseconds now) const {
    const auto found = stores_.find(store);
    return found != stores_.end() && now < found->second.sparedUntil;
}

Pace::Turn Pace::asks(const std::string& store, For what, Nanoseconds started, Nanoseconds now) {
    refill(now);
    const Turn turn = ++last_;
    askers_[turn] = {store, what, started, 0, false};
    queue_.emplace(what, turn);
    ++stores_[store].waiting;
    return turn;
}

// The first in order whose store may take one more. It guards against reconnect storms. It may hurt where
// handshakes are all the front has to do: the processor then idles for the rest of the time.
std::optional<Pace::Turn> Pace::next(Nanoseconds now) {
    refill(now);
    lookAt_.reset();
    if (queue_.empty() || underWay_ >= terms_.atOnce) return {};
    for (const auto& [what, turn] : queue_) {
        const double needed = what == For::renewal ? keptFromRenewals * terms_.share * double(purseTime) : 0;
        if (purse_ < needed) {
            // Those behind it need as much or more.
            lookAt_ = now + static_cast<Nanoseconds>(std::ceil((needed - purse_) / terms_.share)) + 1;
            return {};
        }
        Asker& asker = askers_.at(turn);
        Store& store = stores_.at(asker.store);
        const bool cold = asker.started > 0 && now - asker.started < terms_.coldTime;
        if (store.underWay >= (cold ? 1 : terms_.perStore)) continue;
        asker.begun = true;
        asker.expected = static_cast<Nanoseconds>(usual_);
        purse_ -= double(asker.expected);
        ++underWay_;
        ++store.underWay;
        --store.waiting;
        const Turn chosen = turn;
        queue_.erase({what, turn});
        return chosen;
    }
    return {};
}

void Pace::leaves(Turn turn) {
    const auto found = askers_.find(turn);
    if (found == askers_.end()) return;
    const Asker asker = found->second;
    askers_.erase(found);
    Store& store = stores_.at(asker.store);
    if (asker.begun) {
        --underWay_;
        --store.underWay;
    } else {
        queue_.erase({asker.what, turn});
        --store.waiting;
    }
    forget(asker.store, filledAt_);
}

void Pace::ended(Turn turn, End how, Nanoseconds cost, Nanoseconds now) {
    refill(now);
    const auto found = askers_.find(turn);
    if (found == askers_.end()) return;
    // What it was taken to cost is put right. Cheap resumed ones and dear full ones are learnt as one mean,
    // as which it will be is not known before.
    purse_ += double(found->second.expected - cost);
    usual_ += 0.1 * (double(cost) - usual_);
    Store& store = stores_.at(found->second.store);
    if (how == End::untrusted) {
        const Nanoseconds pause = firstSpare << std::min(store.untrusted++, 6);
        store.sparedUntil = now + std::min(pause, longestSpare);
    } else if (how != End::broken) {
        store.untrusted = 0;
        store.sparedUntil = 0;
    }
    leaves(turn);
}

// A store is kept in mind only while something of it matters, as fleets are replaced in time.
void Pace::forget(const std::string& id, Nanoseconds now) {
    const auto found = stores_.find(id);
    const Store& store = found->second;
    if (store.underWay == 0 && store.waiting == 0 && store.untrusted == 0) stores_.erase(found);
    // Those that were never trusted again go once in a while.
    if (stores_.size() > 1000)
        std::erase_if(stores_, [&](const auto& each) {
            return each.second.underWay == 0 && each.second.waiting == 0 &&
                   now > each.second.sparedUntil + longestSpare;
        });
}

std::optional<std::string> Renewal::next(const std::map<std::string, Nanoseconds>& old,
                                         std::size_t connections, Nanoseconds now) {
    if (!on_) return {};
    if (old.empty()) {
        if (underWay_.empty()) on_ = false;
        return {};
    }
    // Two at once, or as many as are needed to be through in half of the time that there is.
    const double left = std::max(1.0, double(began_ + within_ / 2 - now));
    const double needed = std::ceil(double(connections) * usual_ / left);
    if (double(underWay_.size()) >= std::max(2.0, std::min(needed, 64.0))) return {};
    // The store used last first: its next statement comes soonest. One at a time to each.
    const std::string* best = nullptr;
    Nanoseconds used = 0;
    for (const auto& [store, at] : old)
        if (!underWay_.count(store) && (!best || at > used)) best = &store, used = at;
    if (!best) return {};
    underWay_.insert(*best);
    return *best;
}

void Renewal::ended(const std::string& store, Nanoseconds took) {
    underWay_.erase(store);
    usual_ += 0.1 * (double(took) - usual_);
}

}  // namespace granitereel::tls
