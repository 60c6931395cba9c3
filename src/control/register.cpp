#include "control/register.hpp"

#include <algorithm>

#include "gossip/record_table.hpp"

namespace granitereel::control {

namespace {
Slot readEarlierSlot(const Json& text) {
    const Ballot promised{text.at("pr"), {text.at("pb"), "", 0}};
    const Ballot accepted{text.at("ar"), {text.at("ab"), "", 0}};
    return {promised, accepted, text.at("v")};
}
}  // namespace

Json written(const Slot& slot) {
    Json text = {
        {"promised", toJson(slot.promised)}, {"accepted", toJson(slot.accepted)}, {"value", slot.value}};
    if (slot.learned) text["learned"] = true;
    return text;
}

Slot readSlot(const Json& text) {
    if (text.contains("pr")) return readEarlierSlot(text);
    return {ballotFromJson(text.at("promised")), ballotFromJson(text.at("accepted")), text.at("value"),
            text.value("learned", false)};
}

Acceptor::Outcome Acceptor::answer(const VoteRequest& request) {
    Slot& slot = slots_[request.name];
    Outcome outcome = request.phase == VotePhase::prepare ? promise(slot, request) : accept(slot, request);
    outcome.reply.attempt = request.attempt;
    outcome.reply.ballot = outcome.reply.kind == VoteKind::refused ? slot.promised : request.ballot;
    return outcome;
}

Acceptor::Outcome Acceptor::promise(Slot& slot, const VoteRequest& request) {
    Outcome outcome;
    if (request.ballot < slot.promised) {
        outcome.reply.kind = VoteKind::refused;
        return outcome;
    }
    outcome.changed = slot.promised != request.ballot;
    slot.promised = request.ballot;
    outcome.reply.kind = VoteKind::promised;
    outcome.reply.accepted = slot.accepted;
    outcome.reply.learned = slot.learned;
    if (slot.accepted != request.held) outcome.reply.value = slot.value;
    return outcome;
}

Acceptor::Outcome Acceptor::accept(Slot& slot, const VoteRequest& request) {
    Outcome outcome;
    outcome.reply.kind = VoteKind::refused;
    if (request.ballot < slot.promised) return outcome;
    Json value = request.value;
    if (request.patch && slot.accepted == request.ballot) {
        value = slot.value;  // taken before; the answer was lost
    } else if (request.patch && slot.accepted == request.base) {
        value = slot.value.patch(*request.patch);
    } else if (request.patch) {
        outcome.reply.kind = VoteKind::needsWhole;
        return outcome;
    }
    if (slot.accepted == request.ballot && slot.value != value) {
        outcome.conflict = true;
        return outcome;
    }
    outcome.changed = slot.accepted != request.ballot || slot.learned;
    slot = {request.ballot, request.ballot, std::move(value), false};
    outcome.reply.kind = VoteKind::accepted;
    return outcome;
}

bool Acceptor::merge(const std::string& name, const Slot& other) {
    Slot& slot = slots_[name];
    bool changed = false;
    if (slot.promised < other.promised) slot.promised = other.promised, changed = true;
    if (slot.accepted < other.accepted) {
        slot.accepted = other.accepted;
        slot.value = other.value;
        slot.learned = true;
        changed = true;
    }
    return changed;
}

void Proposer::begin(Change change, Nanoseconds now, Nanoseconds until) {
    const std::uint64_t no = nextNo_++;
    Running& running = running_[no];
    running.change = std::move(change);
    running.until = until;
    prepare(no, running, now);
}

void Proposer::prepare(std::uint64_t no, Running& running, Nanoseconds now) {
    // Above what this member's own disk has promised: another life's rounds are not tried again.
    highestRound_ = std::max(highestRound_, held_(running.change.name).promised.round) + 1;
    running.ballot = {highestRound_, self_};
    running.best = {};
    running.was = running.value = running.patch = nullptr;
    running.accepting = running.paused = false;
    running.answered.clear();
    running.promisers.clear();
    running.asked.clear();
    running.lacksBase.clear();
    askAll(no, running, now);
}

void Proposer::ask(std::uint64_t no, Running& running, const std::string& voter) {
    if (!linked_.count(voter)) return;  // reached() asks
    running.asked.insert(voter);
    VoteRequest request;
    request.phase = running.accepting ? VotePhase::accept : VotePhase::prepare;
    request.name = running.change.name;
    request.attempt = no;
    request.ballot = running.ballot;
    request.core = core_;
    if (running.accepting) {
        // Who holds what the value was made from is told what changed, where that is shorter. So is one whose
        // promise has not come yet: it most likely does, and says so where not.
        const auto promiser = running.promisers.find(voter);
        const bool holdsBase = promiser == running.promisers.end() || promiser->second == running.best;
        request.base = running.best;
        if (holdsBase && !running.patch.is_null() && !running.lacksBase.count(voter))
            request.patch = running.patch;
        else
            request.value = running.value;
    } else {
        request.held = held_(running.change.name).accepted;
    }
    said_.push_back({voter, request.toJson()});
}

// The present phase's question, to all who have not answered it and to whom it does not stand.
void Proposer::askAll(std::uint64_t no, Running& running, Nanoseconds now) {
    running.sentAt = now;
    for (const std::string& voter : core_.voters)
        if (!running.answered.count(voter) && !running.asked.count(voter)) ask(no, running, voter);
}

void Proposer::reached(const std::string& voter) {
    linked_.insert(voter);
    if (!core_.voters.count(voter)) return;
    for (auto& [no, running] : running_)
        if (!running.paused && !running.answered.count(voter)) ask(no, running, voter);
}

void Proposer::lost(const std::string& voter) {
    linked_.erase(voter);
}

void Proposer::heard(const std::string& from, const Json& answer, Nanoseconds now) {
    const VoteReply reply = VoteReply::fromJson(answer);
    const auto found = running_.find(reply.attempt);
    if (found == running_.end() || !core_.voters.count(from)) return;
    const std::uint64_t no = found->first;
    Running& running = found->second;
    if (now >= running.until) return;  // tick() ends it
    if (reply.kind == VoteKind::refused) return refused(running, reply.ballot, now);
    if (running.paused || reply.ballot != running.ballot) return;
    switch (reply.kind) {
        case VoteKind::promised:
            if (!running.accepting) promised(no, running, from, reply, now);
            return;
        case VoteKind::accepted:
            if (!running.accepting) return;
            running.answered[from] = {};
            return proceed(no, running, now);
        case VoteKind::needsWhole:
            if (!running.accepting) return;
            running.lacksBase.insert(from);
            return ask(no, running, from);
        case VoteKind::abstains:
            running.asked.erase(from);
            return;
        case VoteKind::refused:
            return;
    }
}

// The voter has promised another ballot: the next try is above it. (Its own ballot comes back from a voter
// that has accepted another value under it; a further round mends that.)
void Proposer::refused(Running& running, const Ballot& promised, Nanoseconds now) {
    highestRound_ = std::max(highestRound_, promised.round);
    if (running.paused || promised < running.ballot) return;
    // Two at once: the pause grows with how long a round takes here, and by a part that their names make
    // differ, so that one of them gets through.
    running.paused = true;
    running.clashes = std::min(running.clashes + 1, 6);
    const Nanoseconds round = std::min(now - running.sentAt, milliseconds(200)) + milliseconds(4);
    const std::string chance = self_.member + std::to_string(running.ballot.round);
    const auto part = static_cast<Nanoseconds>(std::hash<std::string>()(chance) % 64);
    running.resumeAt = now + round * running.clashes * (32 + part) / 32;
}

void Proposer::promised(std::uint64_t no, Running& running, const std::string& from, const VoteReply& reply,
                        Nanoseconds now) {
    if (running.best < reply.accepted) {
        const Slot& own = held_(running.change.name);
        // What it does not send is what this member held when it asked.
        if (!reply.value && own.accepted != reply.accepted) return ask(no, running, from);
        running.was = reply.value ? *reply.value : own.value;
        running.best = reply.accepted;
    }
    running.answered[from] = {reply.accepted, reply.learned};
    proceed(no, running, now);
}

// What a majority has accepted under one ballot is chosen: nothing need be written to read it.
bool Proposer::chosenAlready(const Running& running) const {
    const auto same = std::count_if(running.answered.begin(), running.answered.end(), [&](const auto& each) {
        return each.second.accepted == running.best && !each.second.learned;
    });
    return static_cast<std::size_t>(same) >= core_.majority();
}

void Proposer::proceed(std::uint64_t no, Running& running, Nanoseconds now) {
    if (running.answered.size() < core_.majority()) return;
    if (running.accepting) return end(no, running.value);
    Json value = running.change.change(running.was);
    if (!running.change.anew && value == running.was && chosenAlready(running))
        return end(no, std::move(value));
    running.value = std::move(value);
    running.accepting = true;
    for (const auto& [voter, answer] : running.answered) running.promisers[voter] = answer.accepted;
    running.answered.clear();
    running.asked.clear();
    running.patch = gossip::patchIfSmaller(running.was, running.value);
    askAll(no, running, now);
}

void Proposer::core(Core core, Nanoseconds now) {
    if (core.epoch <= core_.epoch) return;
    core_ = std::move(core);
    for (auto& [no, running] : running_) prepare(no, running, now);
}

void Proposer::forgets(const std::string& voter, Nanoseconds now) {
    for (auto& [no, running] : running_) {
        if (running.paused) continue;
        // A promise that its disk has forgotten binds nobody: the ballot is given up.
        if (running.promisers.count(voter))
            prepare(no, running, now);
        else if (running.answered.erase(voter))
            ask(no, running, voter);
    }
}

void Proposer::tick(Nanoseconds now) {
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
