#include "agent/parent_order.hpp"

#include <xxhash.h>

#include <algorithm>

namespace granitereel::agent {

namespace {
// How many agents have a member of control of their district as their parent, how many hold a link out of a
// district without a member, and how many have one agent as their parent: a child costs its parent some 30 us
// five times a second, and 1 KB/s.
constexpr std::size_t maxChildrenOfMember = 16, maxLinksOutOfDistrict = 4, maxChildrenOfAgent = 4;

struct Peer {
    std::string ip, name;
};

std::uint64_t weight(const std::string& name, const std::string& key) {
    const std::string both = name + '\n' + key;
    return XXH64(both.data(), both.size(), 0);
}

std::string ipOf(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

// Rendezvous hashing: a pseudo-random order that depends on `key` alone; adding or removing a peer does not
// reorder the others.
void sortByHash(std::vector<Peer>& peers, const std::string& key) {
    std::sort(peers.begin(), peers.end(), [&](const Peer& one, const Peer& other) {
        return weight(one.name, key) > weight(other.name, key);
    });
}

// The agents above this one in the tree, nearest first. The first `roots` agents have none: they are linked
// to members. Each further one has the agent that follows from its index as its parent and, should that one
// be gone, the parent of that one.
std::vector<std::string> agentsAbove(const std::vector<Peer>& agents, const std::string& ip,
                                     std::size_t roots) {
    const auto self =
        std::find_if(agents.begin(), agents.end(), [&](const Peer& each) { return each.ip == ip; });
    std::vector<std::string> above;
    if (self == agents.end()) return above;
    for (auto index = static_cast<std::size_t>(self - agents.begin()); index >= roots;) {
        index = (index - roots) / maxChildrenOfAgent;
        above.push_back(agents[index].ip);
    }
    return above;
}
}  // namespace

std::vector<std::string> rankParents(const gossip::RecordTable& recordTable,
                                     const settings::Settings& settings) {
    std::vector<Peer> members, remoteMembers, agents;
    recordTable.forEachWithPrefix("member/", [&](const std::string& name, const gossip::Record& record) {
        if (!record.body.is_object()) return;
        const bool local = record.body.value("district", "") == settings.district;
        (local ? members : remoteMembers).push_back({record.body.value("ip", ""), name});
    });
    recordTable.forEachWithPrefix("front/", [&](const std::string& name, const gossip::Record& record) {
        if (record.body.is_object() && record.body.value("district", "") == settings.district)
            agents.push_back({record.body.value("ip", ""), name});
    });
    sortByHash(members, settings.station);
    sortByHash(remoteMembers, settings.station);
    sortByHash(agents, settings.district);  // the same for all agents of the district
    const std::size_t roots = members.empty() ? maxLinksOutOfDistrict : maxChildrenOfMember * members.size();
    std::vector<std::string> parents = agentsAbove(agents, settings.ip, roots);
    for (const Peer& each : members) parents.push_back(each.ip);
    for (const Peer& each : remoteMembers) parents.push_back(each.ip);
    for (const std::string& seed : settings.seeds)
        if (std::find(parents.begin(), parents.end(), ipOf(seed)) == parents.end())
            parents.push_back(ipOf(seed));
    return parents;
}

}  // namespace granitereel::agent
