#include "control/ballot.hpp"

namespace granitereel::control {

Json toJson(const Ballot& ballot) {
    if (ballot.round == 0) return nullptr;
    return {{"round", ballot.round},
            {"member", ballot.proposer.member},
            {"incarnation", ballot.proposer.incarnation},
            {"life", ballot.proposer.life}};
}

Ballot ballotFromJson(const Json& text) {
    if (text.is_null()) return {};
    return {text.at("round"), {text.at("member"), text.at("incarnation"), text.at("life")}};
}

std::uint64_t nextLife(const std::map<std::string, Json>& disk) {
    const auto last = disk.find(lifeKey);
    return last == disk.end() ? 1 : last->second.get<std::uint64_t>() + 1;
}

}  // namespace granitereel::control
