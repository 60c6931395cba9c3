// Decides the next change of voters from the voters, the reachable members and the candidates. A pure
// function: free of I/O, clocks, randomness and state.
//
// The measure is the slack of a voter set: by how many the reachable voters exceed a majority. No change
// lowers it below what the tolerance requires; while a voter is absent, none does even if the new voter
// fails as soon as it votes.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace granitereel::control {

// The voter set as one member sees it at one moment.
struct VoterView {
    std::set<std::string> voters;
    std::set<std::string> departing;    // reachable voters that announced their shutdown
    std::set<std::string> unreachable;  // unreachable voters, for however short
    std::set<std::string> absent;       // of these: beyond the short timeout, or after an announced shutdown
    // Of these: beyond the long timeout, or after an announced shutdown.
    std::set<std::string> longAbsent;
    std::vector<std::string>
        candidates;  // reachable members without a vote, in the order in which they get one
    // The voter set never has fewer members than this, except in the middle of a replacement.
    std::size_t minVoters = 3;
};

struct VoterChange {
    enum class Kind { add, removeAbsent, removeDeparting };
    Kind kind = Kind::add;
    std::string member;
    bool operator==(const VoterChange&) const = default;
};

std::optional<VoterChange> nextVoterChange(const VoterView& view);
std::set<std::string> votersAfter(const std::set<std::string>& voters, const VoterChange& change);

// The smallest number of voters whose majority survives the loss of `tolerance` machines. At least three:
// fewer tolerate no loss.
std::size_t minVotersFor(int tolerance);

}  // namespace granitereel::control
