// Which change of the voters comes next, from who votes, who is in reach and who could vote. A pure function:
// free of I/O, clocks, chance and state.
//
// Its measure is the slack of a core: by how many the voters in reach exceed a majority. No change lowers it
// below what the tolerance asks for; while a voter is absent, none does even if the newcomer dies as soon as
// it votes.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace granitereel::control {

// What one member sees of the core at one moment.
struct VoterView {
    std::set<std::string> voters;
    std::set<std::string> departing;    // voters in reach that have said that they leave
    std::set<std::string> unreachable;  // voters out of reach, for however short
    std::set<std::string> absent;       // of these: for longer than the short bound, or after saying so
    // Of these: for longer than the long bound, or after saying so.
    std::set<std::string> longAbsent;
    std::vector<std::string>
        candidates;  // members in reach without a vote, in the order in which they get one
    // Fewer voters than this are never left, but in the middle of a replacement.
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

// The fewest voters whose majorities bear the loss of so many machines; a core of fewer than three bears
// none.
std::size_t minVotersFor(int tolerance);

}  // namespace granitereel::control
