#include "control/voter_policy.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
using Kind = VoterChange::Kind;

// An even number needs the majority of the next odd one: a voter that is away only costs, and one more voter
// costs nothing even if it dies.
std::optional<VoterChange> changeOfEvenVoterCount(const VoterView& view) {
    const bool mayRemoveOne = view.voters.size() > view.minVoters;
    if (mayRemoveOne && !view.absent.empty()) return VoterChange{Kind::removeAbsent, *view.absent.begin()};
    if (mayRemoveOne && !view.departing.empty())
        return VoterChange{Kind::removeDeparting, *view.departing.begin()};
    if (!view.candidates.empty()) return VoterChange{Kind::add, view.candidates.front()};
    return std::nullopt;
}

// A core without two that are gone needs one voter fewer for a majority. They are given up where one
// of them said that it leaves or has been away for long; the other goes next, as the number is even then.
std::optional<VoterChange> removeOneOfTwo(const VoterView& view) {
    const bool mayRemoveTwo = view.voters.size() >= view.minVoters + 2;
    if (!mayRemoveTwo || view.absent.size() + view.departing.size() < 2) return std::nullopt;
    if (!view.longAbsent.empty()) return VoterChange{Kind::removeAbsent, *view.longAbsent.begin()};
    if (view.departing.empty()) return std::nullopt;
    if (!view.absent.empty()) return VoterChange{Kind::removeAbsent, *view.absent.begin()};
    return VoterChange{Kind::removeDeparting, *view.departing.begin()};
}

// At an odd number a voter is exchanged, or two are added, or two that are away are given up.
std::optional<VoterChange> changeOfOddVoterCount(const VoterView& view) {
    if (!view.candidates.empty()) {
        // The one that is away goes first: the majority stays as large, and does not need the newcomer.
        if (!view.absent.empty()) return VoterChange{Kind::removeAbsent, *view.absent.begin()};
        // One that still serves goes last: until then its vote bears the loss of another.
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
