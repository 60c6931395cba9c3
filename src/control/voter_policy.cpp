#include "control/voter_policy.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
using Kind = VoterChange::Kind;

// An even number of voters needs the same majority as the next odd number: removing an absent voter costs
// nothing, and adding one costs nothing even if it fails.
std::optional<VoterChange> changeOfEvenVoterCount(const VoterView& view) {
    const bool mayRemoveOne = view.voters.size() > view.minVoters;
    if (mayRemoveOne && !view.absent.empty()) return VoterChange{Kind::removeAbsent, *view.absent.begin()};
    if (mayRemoveOne && !view.departing.empty())
        return VoterChange{Kind::removeDeparting, *view.departing.begin()};
    if (!view.candidates.empty()) return VoterChange{Kind::add, view.candidates.front()};
    return std::nullopt;
}

// Removing two voters that are gone lowers the majority by one. They are removed if one of them announced
// its shutdown or has been away for long; the other follows next, as the number is even then.
std::optional<VoterChange> removeOneOfTwo(const VoterView& view) {
    const bool mayRemoveTwo = view.voters.size() >= view.minVoters + 2;
    if (!mayRemoveTwo || view.absent.size() + view.departing.size() < 2) return std::nullopt;
    if (!view.longAbsent.empty()) return VoterChange{Kind::removeAbsent, *view.longAbsent.begin()};
    if (view.departing.empty()) return std::nullopt;
    if (!view.absent.empty()) return VoterChange{Kind::removeAbsent, *view.absent.begin()};
    return VoterChange{Kind::removeDeparting, *view.departing.begin()};
}

// With an odd number of voters, one is replaced, two are added, or two that are gone are removed.
std::optional<VoterChange> changeOfOddVoterCount(const VoterView& view) {
    if (!view.candidates.empty()) {
        // The absent voter is removed first: the majority stays the same and does not depend on the new
        // voter.
        if (!view.absent.empty()) return VoterChange{Kind::removeAbsent, *view.absent.begin()};
        // A departing voter is removed last: until then its vote covers the loss of another.
        if (!view.departing.empty()) return VoterChange{Kind::add, view.candidates.front()};
        if (view.candidates.size() >= 2 && view.unreachable.empty())
            return VoterChange{Kind::add, view.candidates.front()};
        return std::nullopt;
    }
    return removeOneOfTwo(view);
}
}  // namespace

std::optional<VoterChange> nextVoterChange(const VoterView& view) {
    return view.voters.size() % 2 == 0 ? changeOfEvenVoterCount(view) : changeOfOddVoterCount(view);
}

std::set<std::string> votersAfter(const std::set<std::string>& voters, const VoterChange& change) {
    std::set<std::string> after = voters;
    if (change.kind == Kind::add)
        after.insert(change.member);
    else
        after.erase(change.member);
    return after;
}

std::size_t minVotersFor(int tolerance) {
    return static_cast<std::size_t>(2 * std::max(tolerance, 1) + 1);
}

}  // namespace granitereel::control
