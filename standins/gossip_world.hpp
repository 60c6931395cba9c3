// Boards over links in virtual time: each direction of a link is first in, first out, and is counted in
// bytes. What is under way is lost with its link. At each message the promise of gossip.hpp is checked.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gossip/record_replicator.hpp"

namespace granitereel::standins {

struct GossipWorld {
    using Versions = std::map<std::string, gossip::Version>;
    struct Packet {
        gossip::Json message;
        Versions held;  // by the sender, when it was sent
    };
    struct Wire {
        int from = 0, to = 0, linkAtReceiver = 0;
        std::deque<Packet> packets;
    };
    struct Node {
        std::unique_ptr<gossip::RecordReplicator> gossip;
        bool inContact = true;
    };

    std::map<int, Node> nodes;
    std::map<int, Wire> wires;  // by the sender's link
    std::map<int, gossip::Side> sides;
    std::size_t bytes = 0, messages = 0, largest = 0;
    int brokenPromises = 0;
    Nanoseconds now = milliseconds(1'000'000);
    int lastLink = 0;

    void start(int node) {
        nodes[node].gossip = std::make_unique<gossip::RecordReplicator>(
            [this, node](int link, gossip::Json message) { sent(node, link, std::move(message)); },
            [](auto&, auto&) {});
        nodes[node].gossip->advance(now, nodes[node].inContact);
    }
    gossip::RecordReplicator& at(int node) { return *nodes.at(node).gossip; }

    static Versions versionsOf(const gossip::RecordTable& recordTable) {
        Versions all;
        for (const auto& [name, record] : recordTable.all()) all[name] = record.version;
        return all;
    }
    void sent(int node, int link, gossip::Json message) {
        const auto wire = wires.find(link);
        if (wire == wires.end()) return;
        const std::size_t size = message.dump().size() + 1;
        bytes += size;
        ++messages;
        largest = std::max(largest, size);
        wire->second.packets.push_back({std::move(message), versionsOf(at(node).recordTable())});
    }
    // Returns the dialler's link.
    int connect(int dialler, int acceptor, bool named = false) {
        const int a = ++lastLink, b = ++lastLink;
        wires[a] = {dialler, acceptor, b, {}};
        wires[b] = {acceptor, dialler, a, {}};
        sides[a] = gossip::Side::dialler;
        sides[b] = gossip::Side::acceptor;
        at(acceptor).addLink(b, gossip::Side::acceptor, named ? std::to_string(dialler) : "");
        at(dialler).addLink(a, gossip::Side::dialler, named ? std::to_string(acceptor) : "");
        return a;
    }
    void cut(int link) {
        const Wire wire = wires.at(link);
        const int other = wire.linkAtReceiver;
        wires.erase(link);
        wires.erase(other);
        if (nodes[wire.from].gossip) at(wire.from).removeLink(link);
        if (nodes[wire.to].gossip) at(wire.to).removeLink(other);
    }
    void kill(int node) {
        std::vector<int> ends;
        for (const auto& [link, wire] : wires)
            if (wire.from == node) ends.push_back(link);
        for (const int link : ends) cut(link);
        nodes[node].gossip.reset();
    }
    std::vector<int> ready() const {
        std::vector<int> links;
        for (const auto& [link, wire] : wires)
            if (!wire.packets.empty()) links.push_back(link);
        return links;
    }
    // One message arrives; the promise is that a dialler whose exchange is complete has all that its peer
    // held when it sent this.
    void deliver(int link) {
        Wire& wire = wires.at(link);
        const Packet packet = std::move(wire.packets.front());
        wire.packets.pop_front();
        const int receiver = wire.to, receiverLink = wire.linkAtReceiver;
        at(receiver).receive(receiverLink, packet.message);
        if (sides.at(receiverLink) != gossip::Side::dialler || !at(receiver).isComplete(receiverLink)) return;
        const Versions mine = versionsOf(at(receiver).recordTable());
        for (const auto& [name, version] : packet.held) {
            const auto known = mine.find(name);
            brokenPromises += known == mine.end() || known->second < version;
        }
    }
    void settle() {
        for (auto links = ready(); !links.empty(); links = ready()) deliver(links.front());
    }
    void pass(Nanoseconds time) {
        for (const Nanoseconds until = now + time; now < until;) {
            now = std::min(until, now + milliseconds(1'000));
            for (auto& [name, node] : nodes)
                if (node.gossip) node.gossip->advance(now, node.inContact);
            settle();
        }
    }
    bool equal(int one, int other) {
        return versionsOf(at(one).recordTable()) == versionsOf(at(other).recordTable());
    }
    void resetCounts() { bytes = messages = largest = 0; }
};

}  // namespace granitereel::standins
