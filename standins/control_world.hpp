// Members of control in virtual time: disks that forget, links that delay and cut, processes that die at a
// write.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/member.hpp"

namespace granitereel::standins {

using namespace granitereel::control;

// Members of control over links in virtual time. Each has a disk; a crash takes what is under way, a wipe the
// disk.
struct ControlWorld {
    struct Member {
        settings::Settings settings;
        std::map<std::string, Json> disk;
        std::unique_ptr<ControlMember> control;
        int incarnation = 0;
        std::map<std::string, int> dialled;
        std::map<std::uint64_t, std::pair<Kind, std::string>> answers;
        std::map<std::uint64_t, std::string> locations;  // where callers were sent on to
        int writesLeft = 1 << 30;                        // it dies behind so many writes
    };
    struct Packet {
        Nanos at;
        std::string from, to;
        int linkTo;
        Json message;
        std::uint64_t epoch;
    };
    std::map<std::string, Member> members;
    std::map<int, std::pair<std::string, int>> wires;  // link -> the other end
    std::map<std::string, std::uint64_t> lives;
    std::set<std::pair<std::string, std::string>> cut;
    std::set<std::pair<std::string, std::string>> mute;  // from, to: what is sent this way is lost
    std::vector<Packet> packets;
    std::mt19937 chance;
    Nanos now = millis(1'000'000);
    int lastLink = 0;
    std::uint64_t lastCall = 0;

    explicit ControlWorld(int seeds, int more, unsigned seed) : chance(seed) {
        std::vector<std::string> seedList;
        for (int i = 0; i < seeds + more; ++i) {
            const std::string name = address(i);
            if (i < std::min(seeds, 3)) seedList.push_back(name);
        }
        for (int i = 0; i < seeds + more; ++i) {
            Member& m = members[address(i)];
            m.settings.station = "control-" + std::to_string(i);
            m.settings.controlAddress = address(i);
            m.settings.seeds = seedList;
            m.settings.firstBoot = true;
            m.settings.promotes = false;
            start(address(i));
        }
    }
    static std::string address(int i) { return "10.0.0." + std::to_string(i + 1) + ":80"; }
    void start(const std::string& name) {
        Member& m = members[name];
        if (!m.disk.count("incarnation")) m.disk["incarnation"] = std::to_string(++m.incarnation);
        m.control = std::make_unique<ControlMember>(m.settings, m.disk["incarnation"], m.disk, now);
        ++lives[name];
        carry(name);
    }
    void kill(const std::string& name, bool wipe = false) {
        Member& m = members[name];
        m.control.reset();
        ++lives[name];
        m.writesLeft = 1 << 30;
        for (auto it = wires.begin(); it != wires.end();) {
            if (it->second.first != name) {
                ++it;
                continue;
            }
            // The other side hears of the end.
            const int link = it->first;
            it = wires.erase(it);
            for (auto& [other, o] : members)
                if (o.control && ends[link] == other) {
                    o.control->linkDown(link, now);
                    for (auto& [to, no] : o.dialled)
                        if (no == link) no = 0;
                }
        }
        m.dialled.clear();
        if (wipe) m.disk.clear(), m.settings.firstBoot = false;
    }
    std::map<int, std::string> ends;
    void connect(const std::string& from, const std::string& to) {
        const int a = ++lastLink, b = ++lastLink;
        wires[a] = {to, b};
        wires[b] = {from, a};
        ends[a] = from;
        ends[b] = to;
        members[from].dialled[to] = a;
        members[to].control->linkUp(b, "", now);
        members[from].control->linkUp(a, to, now);
        carry(to);
        carry(from);
    }
    bool reach(const std::string& a, const std::string& b) {
        return !cut.count({a, b}) && !cut.count({b, a});
    }
    void carry(const std::string& name) {
        Member& m = members[name];
        if (!m.control) return;
        for (Output& each : m.control->takeOutputs()) {
            if (auto* disk = std::get_if<ToDisk>(&each)) {
                if (m.writesLeft-- <= 0) return kill(name);
                m.disk[disk->name] = disk->body;
            } else if (auto* out = std::get_if<ToLink>(&each)) {
                const auto wire = wires.find(out->link);
                if (wire == wires.end()) continue;
                const auto& [to, link] = wire->second;
                if (!reach(name, to) || mute.count({name, to})) continue;
                packets.push_back(
                    {now + millis(1) + Nanos(chance() % 3'000'000), name, to, link, out->message, lives[to]});
                // A link keeps its order.
                for (const Packet& p : packets)
                    if (p.linkTo == link) packets.back().at = std::max(packets.back().at, p.at + 1);
            } else if (auto* answer = std::get_if<ToCaller>(&each)) {
                m.answers[answer->call] = {answer->kind, answer->body};
                m.locations[answer->call] = answer->location;
            }
        }
    }
    void step() {
        now += millis(1);
        for (bool any = true; any;) {
            any = false;
            std::size_t best = packets.size();
            for (std::size_t i = 0; i < packets.size(); ++i)
                if (packets[i].at <= now && (best == packets.size() || packets[i].at < packets[best].at))
                    best = i;
            if (best == packets.size()) break;
            const Packet p = packets[best];
            packets.erase(packets.begin() + static_cast<std::ptrdiff_t>(best));
            any = true;
            Member& to = members[p.to];
            if (!to.control || lives[p.to] != p.epoch || !wires.count(p.linkTo) || !reach(p.from, p.to))
                continue;
            to.control->heard(p.linkTo, p.message, now);
            carry(p.to);
        }
        if (now / millis(1) % 50) return;
        for (auto& [name, m] : members) {
            if (!m.control) continue;
            for (const std::string& to : m.control->toDial()) {
                const auto other = members.find(to);
                if (other != members.end() && other->second.control && !m.dialled[to] && reach(name, to))
                    connect(name, to);
                if (!m.control) break;
            }
            if (!m.control) continue;
            m.control->tick(now);
            carry(name);
        }
    }
    void run(Nanos time) {
        for (const Nanos until = now + time; now < until;) step();
    }
    std::uint64_t put(const std::string& at, std::uint64_t edition, const std::string& mark) {
        const std::uint64_t call = ++lastCall;
        members[at].control->call(call, "PUT", {"config"},
                                  Json{{"edition", edition},
                                       {"itineraries", Json::array()},
                                       {"depots", Json::array()},
                                       {"mark", mark}}
                                      .dump(),
                                  now);
        carry(at);
        return call;
    }
    std::optional<Json> get(const std::string& at) {
        const std::uint64_t call = ++lastCall;
        members[at].control->call(call, "GET", {"config"}, "", now);
        carry(at);
        for (int i = 0; i < 2000 && !members[at].answers.count(call); ++i) step();
        if (!members[at].answers.count(call) || members[at].answers[call].first != Kind::taken)
            return std::nullopt;
        return Json::parse(members[at].answers[call].second);
    }
    bool taken(const std::string& at, std::uint64_t call) {
        return members[at].answers.count(call) && members[at].answers[call].first == Kind::taken;
    }
};

}  // namespace granitereel::standins
