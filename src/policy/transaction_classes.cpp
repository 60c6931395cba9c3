// Derives the parameters of all other decisions from the operators' settings. Read this file first.
#include "policy/shared.hpp"

namespace granitereel {

Router::Router(const RoutingConfig& config, std::uint64_t seed, Nanoseconds now, RouterOutput& output)
    : output_(output),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483647)),
      now_(now),
      config_(config) {
    random_.discard(2);  // else similar seeds begin alike
    classes_ = config.classes;
    classWork_.resize(classes_.size());
    usualTimeouts_.resize(classes_.size());
    setProxyCount(config.proxyCount);
    probesTellRole_ = config.probesAllowed && config.reportsIncludeRole;
    tick_ = std::max<Nanoseconds>(config.tick, milliseconds(1));
    // A warming store gets at most this multiple of what its share of the warm stores' work would be. As no
    // store does more than it can, 0.7 leaves room for variance and handshakes; beyond 2 it would only queue.
    warmUpFactor_ = std::min(2.0, 0.7 * config.overloadMultiple);
    // Clients that honor Retry-After are asked to wait a tenth of the longest time they would honor.
    retryAfter_ = config.clientsHonorRetryAfter ? config.maxRetryAfter / 10 : 0;
    // The list is requested again after 0.7 of its maximum age; else of ten seconds, as a pushed list is
    // seldom later.
    listRefreshInterval_ = (config.listMaxAge > 0 ? config.listMaxAge : milliseconds(10'000)) * 7 / 10;
    deriveClassParameters();
    nextListRefresh_ = now_;
    output_.wakeAt(now_, 0);
}

void Router::deriveClassParameters() {
    // Premium covers the read classes of the highest value per second of target latency (step 2 of the
    // design): a class that may take long can use what the others leave.
    auto valuePerTime = [](const TransactionClass& txnClass) {
        return txnClass.value / double(std::max<Nanoseconds>(txnClass.targetLatency, 1));
    };
    double highest = 0;
    Nanoseconds tightestBound = 0;
    for (const TransactionClass& txnClass : classes_) {
        if (txnClass.consistency == Consistency::write || txnClass.consistency == Consistency::strong)
            continue;
        highest = std::max(highest, valuePerTime(txnClass));
        if (txnClass.consistency == Consistency::bounded)
            tightestBound =
                tightestBound == 0 ? txnClass.maxStaleness : std::min(tightestBound, txnClass.maxStaleness);
    }
    for (TransactionClass& txnClass : classes_) txnClass.premium = valuePerTime(txnClass) >= highest;
    // The interval of the periodic tasks: a tenth of the shortest target latency, 20 ms at most. The first
    // trial of an unhealthy store comes soon, as most faults are short; the interval doubles with each.
    period_ = milliseconds(20);
    for (const TransactionClass& txnClass : classes_)
        period_ = std::max(tick_, std::min(period_, txnClass.targetLatency / 10));
    firstTrial_ = period_ * 25 / 2;
    // Half the tightest bound; without a bounded-staleness class, 250 ms for session reads.
    probeAge_ = tightestBound > 0 ? tightestBound / 2 : milliseconds(250);
}

// Windows that have been learnt are kept.
void Router::setProxyCount(int proxies) {
    proxyCount_ = std::max(1, proxies);
    // Growth and reduction of a window balance where it is in proportion to the root of this step. With the
    // square of the proxy's share, all proxies together keep the same number in flight; twice the share was
    // best.
    windowStep_ = 4.0 / (proxyCount_ * proxyCount_);
}

}  // namespace granitereel
