#include "control/register.hpp"

#include <algorithm>

#include "board/board.hpp"

namespace granitereel::control {

Json written(const Slot& slot) {
    return {{"pr", slot.promised.round},
            {"pb", slot.promised.by},
            {"ar", slot.accepted.round},
            {"ab", slot.accepted.by},
            {"v", slot.value}};
}

Slot readSlot(const Json& text) {
    return {{text.at("pr"), text.at("pb")}, {text.at("ar"), text.at("ab")}, text.at("v")};
}

bool Acceptor::promise(const std::string& name, const Ballot& ballot) {
    Slot& slot = slots_[name];
    if (ballot < slot.promised) return false;
    slot.promised = ballot;
    return true;
}

bool Acceptor::accept(const std::string& name, const Ballot& ballot, const Json& value) {
    Slot& slot = slots_[name];
    if (ballot < slot.promised) return false;
    slot.promised = slot.accepted = ballot;
    slot.value = value;
    return true;
}

bool Acceptor::merge(const std::string& name, const Slot& other) {
    Slot& slot = slots_[name];
    bool changed = false;
    if (slot.promised < other.promised) slot.promised = other.promised, changed = true;
    if (slot.accepted < other.accepted) {
        slot.accepted = other.accepted;
        slot.value = other.value;
        changed = true;
    }
    return changed;
}

void Proposer::begin(Change change, Nanos now, Nanos until) {
    const std::uint64_t no = nextNo_++;
    Running& running = running_[no];
    running.change = std::move(change);
    running.until = until;
    prepare(no, running, now);
}

void Proposer::prepare(std::uint64_t no, Running& running, Nanos now) {
    running.ballot = {++highestRound_, self_};
    running.best = {};
    running.was = running.value = running.patch = nullptr;
    running.promised.clear();
    running.accepting = running.paused = false;
    running.answered.clear();
    askAll(no, running, now);
}

void Proposer::ask(std::uint64_t no, Running& running, const std::string& voter) {
    Json message = {{"k", running.accepting ? "accept" : "prepare"},
                    {"n", running.change.name},
                    {"r", running.ballot.round},
                    {"b", running.ballot.by},
                    {"t", no},
                    {"e", core_.epoch},
                    {"c", core_.voters}};
    if (running.accepting) {
        // Who holds what the value was made from is told what changed, where that is shorter.
        const auto held = running.promised.find(voter);
        if (!running.patch.is_null() && held != running.promised.end() && held->second == running.best) {
            message["p"] = running.patch;
            message["pr"] = running.best.round;
            message["pb"] = running.best.by;
            running.promised.erase(held);  // if it is asked again, the whole
        } else {
            message["v"] = running.value;
        }
    } else {
        const Slot& held = held_(running.change.name);
        message["hr"] = held.accepted.round;
        message["hb"] = held.accepted.by;
    }
    said_.push_back({voter, std::move(message)});
}

// The present round's question, to all who have not answered it.
void Proposer::askAll(std::uint64_t no, Running& running, Nanos now) {
    running.sentAt = now;
    for (const std::string& voter : core_.voters)
        if (!running.answered.count(voter)) ask(no, running, voter);
}

void Proposer::reached(const std::string& voter) {
    if (!core_.voters.count(voter)) return;
    for (auto& [no, running] : running_)
        if (!running.paused && !running.answered.count(voter)) ask(no, running, voter);
}

void Proposer::heard(const std::string& from, const Json& answer, Nanos now) {
    const auto found = running_.find(answer.at("t").get<std::uint64_t>());
    const Ballot ballot{answer.at("r"), answer.at("b")};
    const std::string kind = answer.at("k");
    if (found == running_.end() || !core_.voters.count(from)) return;
    Running& running = found->second;
    if (kind == "refused") {
        // `r`, `b`: what it has promised; so the next try is above it.
        highestRound_ = std::max(highestRound_, ballot.round);
        if (running.paused || ballot <= running.ballot) return;
        // Two at once: the pause grows with how long a round takes here, and by a part that their names make
        // differ, so that one of them gets through.
        running.paused = true;
        running.clashes = std::min(running.clashes + 1, 6);
        const Nanos round = std::min(now - running.sentAt, millis(200)) + millis(4);
        const auto part =
            static_cast<Nanos>(std::hash<std::string>()(self_ + std::to_string(running.ballot.round)) % 64);
        running.resumeAt = now + round * running.clashes * (32 + part) / 32;
        return;
    }
    if (running.paused || ballot != running.ballot || (kind == "accepted") != running.accepting) return;
    Ballot held;
    if (!running.accepting) {
        held = {answer.at("ar"), answer.at("ab")};
        if (running.best < held) {
            // What it does not send is what this member held when it asked.
            if (!answer.contains("av") && held_(running.change.name).accepted != held)
                return ask(found->first, running, from);
            running.was = answer.contains("av") ? answer["av"] : held_(running.change.name).value;
            running.best = held;
        }
    }
    running.answered[from] = held;
    proceed(found->first, running, now);
}

void Proposer::proceed(std::uint64_t no, Running& running, Nanos now) {
    const std::size_t majority = core_.majority();
    if (running.answered.size() < majority) return;
    if (running.accepting) return end(no, running.value);
    Json value = running.change.change(running.was);
    // What a majority holds under one ballot is chosen already: nothing need be written to read it.
    const auto same = std::count_if(running.answered.begin(), running.answered.end(),
                                    [&](const auto& each) { return each.second == running.best; });
    if (!running.change.anew && value == running.was && static_cast<std::size_t>(same) >= majority)
        return end(no, std::move(value));
    running.value = std::move(value);
    running.accepting = true;
    running.promised = std::exchange(running.answered, {});
    running.patch = board::shorter(running.was, running.value);
    askAll(no, running, now);
}

void Proposer::core(Core core, Nanos now) {
    if (core.epoch <= core_.epoch) return;
    core_ = std::move(core);
    for (auto& [no, running] : running_) prepare(no, running, now);
}

void Proposer::forgets(const std::string& voter) {
    for (auto& [no, running] : running_) running.answered.erase(voter);
}

void Proposer::tick(Nanos now) {
    std::vector<std::uint64_t> over;
    for (auto& [no, running] : running_) {
        if (now >= running.until)
            over.push_back(no);
        else if (running.paused && now >= running.resumeAt)
            prepare(no, running, now);
        else if (!running.paused && now - running.sentAt >= again)
            askAll(no, running, now);
    }
    for (const std::uint64_t no : over) {
        const Running& running = running_.at(no);
        std::string text =
            running.change.name + ": no majority; " + (running.accepting ? "accepted by" : "promised by");
        for (const auto& [voter, held] : running.answered) text += " " + voter;
        text += " of";
        for (const std::string& voter : core_.voters) text += " " + voter;
        if (running.paused) text += ", clashing at round " + std::to_string(highestRound_);
        failures_.push_back(std::move(text));
        end(no, std::nullopt);
    }
}

void Proposer::end(std::uint64_t no, std::optional<Json> value) {
    const auto found = running_.find(no);
    auto done = std::move(found->second.change.done);
    running_.erase(found);
    done(std::move(value));
}

}  // namespace granitereel::control
