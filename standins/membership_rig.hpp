// Members of control whose machines are replaced, told to end and cut off, in virtual time, with a checker on
// the calls: every acknowledged edition is seen by each read that begins later.
#pragma once

#include <string>
#include <vector>

#include "standins/control_world.hpp"

namespace granitereel::standins {

struct MembershipRig : ControlWorld {
    struct Put {
        std::string at;
        std::uint64_t call, edition;
    };
    std::vector<Put> puts;
    std::set<std::string> leaving, surveyRequesters;  // surveyRequesters: who has begun a change of voters
    std::uint64_t edition = 10, acknowledged = 0, readsChecked = 0;
    int tolerance, endedInOrder = 0;

    MembershipRig(int size, int bears, unsigned seed) : ControlWorld(3, size - 3, seed), tolerance(bears) {
        for (auto& [name, m] : members) {
            m.settings.toleratedMachineLosses = bears;
            kill(name, true);
            m.settings.firstBoot = true;
            m.incarnation = 0;
        }
        for (auto& [name, m] : members) start(name);
        play(milliseconds(2500));
    }

    // A machine at an address that was never used, with an empty disk.
    std::string comes(int i) {
        Member& m = members[address(i)];
        m.settings = members[address(0)].settings;
        m.settings.station = "control-" + std::to_string(i);
        m.settings.controlListenAddress = address(i);
        returns(address(i));
        return address(i);
    }
    // Starts with the settings of this moment.
    void returns(const std::string& name) {
        std::vector<std::string> seeds = alive();
        std::shuffle(seeds.begin(), seeds.end(), chance);
        if (seeds.size() > 3) seeds.resize(3);
        if (!seeds.empty()) members[name].settings.seeds = seeds;
        members[name].settings.firstBoot = false;
        start(name);
    }
    // SIGTERM: the process ends as soon as the member lets it.
    void leave(const std::string& name) {
        if (!members[name].control) return;
        members[name].control->shutDown(now);
        leaving.insert(name);
        carry(name);
        endLeaving();
    }
    void endLeaving() {
        for (auto it = leaving.begin(); it != leaving.end();) {
            const std::string name = *it;
            const Member& m = members[name];
            if (m.control && !m.control->shutdownComplete()) {
                ++it;
                continue;
            }
            endedInOrder += m.control != nullptr;
            if (m.control) kill(name);
            it = leaving.erase(it);
        }
    }
    void play(Nanoseconds time) {
        for (const Nanoseconds until = now + time; now < until;) {
            step();
            endLeaving();
            for (const Packet& packet : packets)
                if (packet.message.at("k") == "census?") surveyRequesters.insert(packet.from);
        }
    }
    // How long until the member has ended; within 10 s.
    Nanoseconds untilEnded(const std::string& name) {
        const Nanoseconds since = now;
        while (leaving.count(name) && now - since < milliseconds(10'000)) play(milliseconds(1));
        return now - since;
    }
    void cutOff(const std::string& name, bool back = false) {
        for (auto& [other, m] : members) {
            if (other == name) continue;
            if (back)
                cut.erase({other, name});
            else
                cut.insert({other, name});
        }
    }
    std::vector<std::string> alive() {
        std::vector<std::string> names;
        for (auto& [name, m] : members)
            if (m.control && !leaving.count(name)) names.push_back(name);
        return names;
    }
    Json stateOf(const std::string& name) { return members[name].control->state(now); }
    std::set<std::string> votersAt(const std::string& name) {
        return stateOf(name)["voters"].get<std::set<std::string>>();
    }
    std::uint64_t epochAt(const std::string& name) { return stateOf(name)["epoch"].get<std::uint64_t>(); }

    void send(const std::string& at) {
        ++edition;
        puts.push_back({at, put(at, edition, std::to_string(edition)), edition});
    }
    void note() {
        for (const Put& each : puts)
            if (taken(each.at, each.call)) acknowledged = std::max(acknowledged, each.edition);
    }
    // Whether a configuration sent to each living member in turn is taken within that time.
    bool takesWithin(Nanoseconds time) {
        for (const std::string& at : alive()) {
            send(at);
            const Put sent = puts.back();
            for (const Nanoseconds until = now + time; now < until && !taken(sent.at, sent.call);)
                play(milliseconds(1));
            if (!taken(sent.at, sent.call)) return false;
            note();
        }
        return true;
    }
    // Reads at a member: nothing (false), or what is acknowledged by now; throws where it is older.
    bool readsAt(const std::string& at) {
        note();
        const std::uint64_t before = acknowledged;
        if (!members[at].control) return false;
        const auto read = get(at);
        if (!read) return false;
        ++readsChecked;
        const auto seen = read->at("edition").get<std::uint64_t>();
        if (seen < before || read->at("mark") != std::to_string(seen))
            throw std::runtime_error("read " + read->dump() + " at " + at + " after " +
                                     std::to_string(before) + " was acknowledged");
        return true;
    }
};

}  // namespace granitereel::standins
