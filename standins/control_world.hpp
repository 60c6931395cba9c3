// Members of control in virtual time: disks that forget, are slow or refuse, links that delay and cut (one
// way too), processes that die at a write or are frozen.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/durability_gate.hpp"
#include "control/member.hpp"

namespace granitereel::standins {

using namespace granitereel::control;

// Members of control over links in virtual time. Each has a disk; a crash takes what is under way, a wipe the
// disk.
struct ControlWorld {
    struct Unsynced {
        std::uint64_t ticket;
        std::string name;
        Json body;
    };
    struct Member {
        settings::Settings settings;
        std::map<std::string, Json> disk;
        std::unique_ptr<ControlMember> control;
        int incarnation = 0;
        std::map<std::string, int> dialled;
        std::map<std::uint64_t, std::pair<CallOutcome, std::string>> answers;
        std::map<std::uint64_t, std::string> locations;  // where callers were sent on to
        int writesLeft = 1 << 30;                        // it dies behind so many writes
        int messagesLeft = 1 << 30;                      // it dies behind so many messages sent
        // The disk: how long a sync takes (0: at once), and whether it takes bytes.
        Nanoseconds syncTakes = 0;
        bool refuses = false;
        DurabilityGate gate;
        std::vector<Unsynced> unsynced;  // lost when it is killed
        std::size_t syncing = 0;         // how many of them, from the front, the sync under way covers
        Nanoseconds syncedAt = 0;        // when it ends
        int writes = 0, syncs = 0, storeAsks = 0;
        std::vector<std::string> log;
    };
    struct Packet {
        Nanoseconds at;
        std::string from, to;
        int linkTo;
        Json message;
        std::uint64_t epoch;
    };
    // What waits on one link for a cut to heal (TCP sends again) or for its receiver to wake.
    struct Stalled {
        std::vector<Packet> packets;
        Nanoseconds cutSince = 0;  // 0: not by a cut
    };
    // What is not acknowledged for so long ends its link, as the transport has it.
    static constexpr Nanoseconds linkSilence = milliseconds(1500);
    std::map<std::string, Member> members;
    std::map<int, std::pair<std::string, int>> wires;  // link -> the other end
    std::map<std::string, std::uint64_t> lives;
    std::set<std::pair<std::string, std::string>> cut;        // both ways
    std::set<std::pair<std::string, std::string>> cutOneWay;  // what the first sends to the second
    std::set<std::pair<std::string, std::string>> mute;  // from, to: lost this way, on a link that stands
    std::set<std::string> frozen;                        // hears and does nothing; its links stay
    std::map<std::string, std::size_t> bytesSent;        // by kind of message
    std::vector<Packet> packets;
    std::map<int, Stalled> stalled;
    std::vector<int> endsHeard;  // ends of links that are gone, to be told
    std::mt19937 chance;
    Nanoseconds now = milliseconds(1'000'000);
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
            m.settings.controlListenAddress = address(i);
            m.settings.seeds = seedList;
            m.settings.firstBoot = true;
            m.settings.promotionsEnabled = false;
            start(address(i));
        }
    }
    static std::string address(int i) { return "10.0.0." + std::to_string(i + 1) + ":80"; }
    void start(const std::string& name) {
        Member& m = members[name];
        if (!m.disk.count("incarnation")) m.disk["incarnation"] = std::to_string(++m.incarnation);
        m.disk[processIncarnationKey] = nextProcessIncarnation(m.disk);
        m.control = std::make_unique<ControlMember>(m.settings, m.disk["incarnation"], m.disk, now);
        ++lives[name];
        carry(name);
    }
    void kill(const std::string& name, bool wipe = false) {
        Member& m = members[name];
        m.control.reset();
        ++lives[name];
        m.writesLeft = m.messagesLeft = 1 << 30;
        m.gate = {};
        m.unsynced.clear();
        m.syncing = 0;
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
        return !cut.count({a, b}) && !cut.count({b, a}) && !cutOneWay.count({a, b});
    }
    // Both ends hear of it; what is under way is lost.
    void breakLink(int link) {
        stalled.erase(link);
        const auto wire = wires.find(link);
        if (wire == wires.end()) return;
        const int other = wire->second.second;
        for (const int end : {link, other}) {
            Member& m = members[ends[end]];
            wires.erase(end);
            for (auto& [to, no] : m.dialled)
                if (no == end) no = 0;
        }
        std::erase_if(packets, [&](const Packet& p) { return p.linkTo == link || p.linkTo == other; });
        stalled.erase(other);
        for (const int end : {link, other}) endsHeard.push_back(end);
    }
    // Those who are frozen hear of the end of a link when they wake.
    void hearEnds() {
        for (const int end : std::exchange(endsHeard, {})) {
            Member& m = members[ends[end]];
            if (frozen.count(ends[end])) {
                endsHeard.push_back(end);
            } else if (m.control) {
                m.control->linkDown(end, now);
                carry(ends[end]);
            }
        }
    }
    void carry(const std::string& name) {
        Member& m = members[name];
        while (m.control) {
            const Outputs outputs = m.control->takeOutputs();
            if (!outputs.empty())
                carryOut(name, outputs);
            else if (!sync(name))
                return;
        }
    }
    void carryOut(const std::string& name, Outputs outputs) {
        Member& m = members[name];
        for (Output& each : outputs) {
            if (auto* disk = std::get_if<ToDisk>(&each)) {
                m.unsynced.push_back({m.gate.recordWrite(now), disk->name, std::move(disk->body)});
                ++m.writes;
            } else if (!m.gate.hold(each)) {
                release(name, each);
                if (!m.control) return;
            }
        }
    }
    // One sync at a time; what waits meanwhile shares the next one. Returns whether one ended.
    bool sync(const std::string& name) {
        Member& m = members[name];
        if (m.refuses) return false;
        if (m.syncing == 0 && !m.unsynced.empty()) {
            m.syncing = m.unsynced.size();
            m.syncedAt = now + m.syncTakes;
            ++m.syncs;
        }
        if (m.syncing == 0 || now < m.syncedAt) return false;
        std::uint64_t ticket = 0;
        for (; m.syncing > 0; --m.syncing) {
            if (m.writesLeft-- <= 0) {
                kill(name);
                return false;
            }
            Unsynced& write = m.unsynced.front();
            m.disk[write.name] = std::move(write.body);
            ticket = write.ticket;
            m.unsynced.erase(m.unsynced.begin());
        }
        Outputs released = m.gate.release(ticket);
        for (Output& each : released) {
            release(name, each);
            if (!m.control) return false;
        }
        return true;
    }
    void release(const std::string& name, Output& each) {
        Member& m = members[name];
        if (auto* self = std::get_if<ToSelf>(&each)) {
            m.control->handleDurableVote(self->reply, now);
        } else if (auto* out = std::get_if<ToLink>(&each)) {
            const auto wire = wires.find(out->link);
            if (wire == wires.end()) return;
            const auto& [to, link] = wire->second;
            if (m.messagesLeft-- <= 0) return kill(name);
            if (mute.count({name, to})) return;
            bytesSent[out->message.value("k", "")] += out->message.dump().size();
            packets.push_back({now + milliseconds(1) + Nanoseconds(chance() % 3'000'000), name, to, link,
                               out->message, lives[to]});
            // A link keeps its order.
            for (const Packet& p : packets)
                if (p.linkTo == link) packets.back().at = std::max(packets.back().at, p.at + 1);
        } else if (auto* answer = std::get_if<ToCaller>(&each)) {
            m.answers[answer->call] = {answer->outcome, answer->body};
            m.locations[answer->call] = answer->location;
        } else if (auto* log = std::get_if<ToLog>(&each)) {
            m.log.push_back(log->line);
        } else if (std::holds_alternative<ToStore>(each)) {
            ++m.storeAsks;
        }
    }
    DiskHealth diskOf(const Member& m) const {
        if (m.refuses && !m.unsynced.empty()) return DiskHealth::refuses;
        return now - m.gate.oldestPendingWriteAt(now) >= slowSyncThreshold ? DiskHealth::slow
                                                                           : DiskHealth::ok;
    }
    bool stalls(const Packet& packet) {
        return stalled.count(packet.linkTo) || frozen.count(packet.to) || !reach(packet.from, packet.to);
    }
    void resume() {
        std::vector<int> broken;
        for (auto at = stalled.begin(); at != stalled.end();) {
            auto& [link, stall] = *at;
            const Packet& first = stall.packets.front();
            const bool isCut = !reach(first.from, first.to);
            if (isCut && stall.cutSince == 0) stall.cutSince = now;
            if (isCut && now - stall.cutSince > linkSilence) broken.push_back(link);
            if (!isCut) stall.cutSince = 0;
            if (isCut || frozen.count(first.to)) {
                ++at;
                continue;
            }
            Nanoseconds behind = now;
            for (Packet& packet : stall.packets) {
                packet.at = ++behind;
                packets.push_back(std::move(packet));
            }
            at = stalled.erase(at);
        }
        for (const int link : broken) breakLink(link);
        hearEnds();
    }
    void step() {
        now += milliseconds(1);
        resume();
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
            if (!to.control || lives[p.to] != p.epoch || !wires.count(p.linkTo)) continue;
            if (stalls(p)) {
                stalled[p.linkTo].packets.push_back(p);
                continue;
            }
            to.control->handleMessage(p.linkTo, p.message, now);
            carry(p.to);
        }
        for (auto& [name, m] : members)
            if (!frozen.count(name)) carry(name);
        if (now / milliseconds(1) % 50) return;
        for (auto& [name, m] : members) {
            if (!m.control || frozen.count(name)) continue;
            for (const std::string& to : m.control->membersToDial()) {
                const auto other = members.find(to);
                if (other != members.end() && other->second.control && !m.dialled[to] && reach(name, to) &&
                    reach(to, name) && !frozen.count(to))
                    connect(name, to);
                if (!m.control) break;
            }
            if (!m.control) continue;
            m.control->updateDiskHealth(diskOf(m), now);
            m.control->tick(now);
            carry(name);
        }
    }
    void run(Nanoseconds time) {
        for (const Nanoseconds until = now + time; now < until;) step();
    }
    std::uint64_t put(const std::string& at, std::uint64_t edition, const std::string& mark) {
        const std::uint64_t call = ++lastCall;
        members[at].control->handleCall(call, "PUT", {"config"},
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
        members[at].control->handleCall(call, "GET", {"config"}, "", now);
        carry(at);
        for (int i = 0; i < 2000 && !members[at].answers.count(call); ++i) step();
        if (!members[at].answers.count(call) || members[at].answers[call].first != CallOutcome::accepted)
            return std::nullopt;
        return Json::parse(members[at].answers[call].second);
    }
    bool taken(const std::string& at, std::uint64_t call) {
        return members[at].answers.count(call) && members[at].answers[call].first == CallOutcome::accepted;
    }
};

}  // namespace granitereel::standins
