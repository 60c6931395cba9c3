#include "agent/parent_order.hpp"

#include <xxhash.h>

#include <algorithm>

namespace granitereel::agent {

namespace {
// How many agents hang on a member of control of their district, how many hold a link out of a district
// without one, and how many hang on an agent: a child costs its parent some 30 us five times a second, and 1
// KB/s.
constexpr std::size_t rootsOfMember = 16, rootsAlone = 4, childrenMost = 4;

struct Known {
    std::string ip, name;
};

std::uint64_t weight(const std::string& who, const std::string& what) {
    const std::string both = who + '\n' + what;
    return XXH64(both.data(), both.size(), 0);
}

std::string ipOf(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

void orderBy(std::vector<Known>& some, const std::string& by) {
    std::sort(some.begin(), some.end(), [&](const Known& one, const Known& other) {
        return weight(one.name, by) > weight(other.name, by);
    });
}

// The first few hang on the district's members, or on some elsewhere; each further one on the agent that its
// place in the order says, else, should that be gone, on that one's own parents.
std::vector<std::string> agentsAbove(const std::vector<Known>& agents, const std::string& ip,
                                     std::size_t roots) {
    const auto self =
        std::find_if(agents.begin(), agents.end(), [&](const Known& each) { return each.ip == ip; });
    std::vector<std::string> above;
    if (self == agents.end()) return above;
    for (auto place = static_cast<std::size_t>(self - agents.begin()); place >= roots;) {
        place = (place - roots) / childrenMost;
        above.push_back(agents[place].ip);
    }
    return above;
}
}  // namespace

std::vector<std::string> parentsInOrder(const gossip::Board& board, const settings::Settings& settings) {
    std::vector<Known> members, farMembers, agents;
    board.under("member/", [&](const std::string& name, const gossip::Record& record) {
        if (!record.body.is_object()) return;
        const bool near = record.body.value("district", "") == settings.district;
        (near ? members : farMembers).push_back({record.body.value("ip", ""), name});
    });
    board.under("front/", [&](const std::string& name, const gossip::Record& record) {
        if (record.body.is_object() && record.body.value("district", "") == settings.district)
            agents.push_back({record.body.value("ip", ""), name});
    });
    orderBy(members, settings.station);
    orderBy(farMembers, settings.station);
    orderBy(agents, settings.district);  // all of a district agree on its tree
    const std::size_t roots = members.empty() ? rootsAlone : rootsOfMember * members.size();
    std::vector<std::string> all = agentsAbove(agents, settings.ip, roots);
    for (const Known& each : members) all.push_back(each.ip);
    for (const Known& each : farMembers) all.push_back(each.ip);
    for (const std::string& seed : settings.seeds)
        if (std::find(all.begin(), all.end(), ipOf(seed)) == all.end()) all.push_back(ipOf(seed));
    return all;
}

}  // namespace granitereel::agent
