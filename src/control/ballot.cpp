#include "control/ballot.hpp"

namespace granitereel::control {

Json toJson(const Ballot& ballot) {
    if (ballot.round == 0) return nullptr;
    return {{"round", ballot.round},
            {"member", ballot.proposer.member},
            {"incarnation", ballot.proposer.incarnation},
            {"life", ballot.proposer.processIncarnation}};
}

Ballot ballotFromJson(const Json& json) {
    if (json.is_null()) return {};
    return {json.at("round"), {json.at("member"), json.at("incarnation"), json.at("life")}};
}

std::uint64_t nextProcessIncarnation(const std::map<std::string, Json>& disk) {
    const auto last = disk.find(processIncarnationKey);
    return last == disk.end() ? 1 : last->second.get<std::uint64_t>() + 1;
}

}  // namespace granitereel::control
