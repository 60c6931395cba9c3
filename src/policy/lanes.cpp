// What the operators lay down, turned into what the decisions go by. Read first.
#include "policy/shared.hpp"

namespace granitereel {

Front::Front(const Charter& charter, std::uint64_t seed, Nanos now, Outlet& outlet)
    : out_(outlet),
      chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483647)),
      now_(now),
      charter_(charter) {
    chance_.discard(2);  // else seeds that lie close together begin alike
    lanes_ = charter.lanes;
    laneTime_.resize(lanes_.size());
    usualPatience_.resize(lanes_.size());
    present(charter.fronts);
    probeTellsRole_ = charter.mayProbe && charter.reportsTellRole;
    tick_ = std::max<Nanos>(charter.tick, millis(1));
    // A cold store gets at most this multiple of what its share of the warm stores' work would be. As none
    // bears more than it can do, 0.7 leaves room for chance and handshakes; beyond 2 it would only queue.
    coldFactor_ = std::min(2.0, 0.7 * charter.fallMultiple);
    // Clients that heed advice are asked to stay away a tenth of the longest they would heed.
    advice_ = charter.adviceHeard ? charter.longestAdvice / 10 : 0;
    // The list is asked again after 0.7 of the time in which silence counts as having been told; where none
    // is stated, of ten seconds, as a list that comes by itself is seldom later.
    askEvery_ = (charter.askWithin > 0 ? charter.askWithin : millis(10'000)) * 7 / 10;
    weighLanes();
    askAt_ = now_;
    out_.wake(now_, 0);
}

void Front::weighLanes() {
    // Premium covers the read lanes of the highest worth (step 2 of the design): the gain for each second of
    // goal time, as a lane that may take long can do with what the others leave.
    auto worth = [](const Lane& lane) { return lane.gain / double(std::max<Nanos>(lane.goalTime, 1)); };
    double top = 0;
    Nanos bound = 0;
    for (const Lane& lane : lanes_) {
        if (lane.need == Need::write || lane.need == Need::fresh) continue;
        top = std::max(top, worth(lane));
        if (lane.need == Need::bounded) bound = bound == 0 ? lane.bound : std::min(bound, lane.bound);
    }
    for (Lane& lane : lanes_) lane.premium = worth(lane) >= top;
    // Between two rounds of the front's own clockwork: a tenth of the shortest goal time, 20 ms at most. The
    // first trial of a doubtful store comes soon, as most troubles are short; each later one after twice
    // that.
    beat_ = millis(20);
    for (const Lane& lane : lanes_) beat_ = std::max(tick_, std::min(beat_, lane.goalTime / 10));
    firstTrial_ = beat_ * 25 / 2;
    // Half the tightest bound; without a bounded lane, a quarter of a second for the sessions' sake.
    probeAge_ = bound > 0 ? bound / 2 : millis(250);
}

// Windows that have been learnt go on from where they are.
void Front::present(int fronts) {
    fronts_ = std::max(1, fronts);
    // Growth and shrinking of a window meet where it is in proportion to the root of this step. By the square
    // of the front's share, all fronts together keep out the same; twice the share was the best tried.
    step_ = 4.0 / (fronts_ * fronts_);
}

}  // namespace granitereel
