#include "control/register.hpp"

#include <algorithm>

#include "gossip/record_table.hpp"

namespace granitereel::control {

namespace {
Slot slotFromLegacyJson(const Json& json) {
    const Ballot promised{json.at("pr"), {json.at("pb"), "", 0}};
    const Ballot accepted{json.at("ar"), {json.at("ab"), "", 0}};
    return {promised, accepted, json.at("v")};
}
}  // namespace

Json slotToJson(const Slot& slot) {
    Json json = {
        {"promised", toJson(slot.promised)}, {"accepted", toJson(slot.accepted)}, {"value", slot.value}};
    if (slot.learned) json["learned"] = true;
    return json;
}

Slot slotFromJson(const Json& json) {
    if (json.contains("pr")) return slotFromLegacyJson(json);
    return {ballotFromJson(json.at("promised")), ballotFromJson(json.at("accepted")), json.at("value"),
            json.value("learned", false)};
}

Acceptor::Outcome Acceptor::handle(const VoteRequest& request) {
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
    if (slot.accepted != request.knownAccepted) outcome.reply.value = slot.value;
    return outcome;
}

Acceptor::Outcome Acceptor::accept(Slot& slot, const VoteRequest& request) {
    Outcome outcome;
    outcome.reply.kind = VoteKind::refused;
    if (request.ballot < slot.promised) return outcome;
    Json value = request.value;
    if (request.patch && slot.accepted == request.ballot) {
        value = slot.value;  // already accepted; the reply was lost
    } else if (request.patch && slot.accepted == request.patchBase) {
        value = slot.value.patch(*request.patch);
    } else if (request.patch) {
        outcome.reply.kind = VoteKind::needsFullValue;
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

bool Acceptor::mergeRecovered(const std::string& name, const Slot& other) {
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

void Proposer::begin(RegisterChange change, Nanoseconds now, Nanoseconds deadline) {
    const std::uint64_t changeId = nextChangeId_++;
    RunningChange& running = runningChanges_[changeId];
    running.change = std::move(change);
    running.deadline = deadline;
    prepare(changeId, running, now);
}

void Proposer::prepare(std::uint64_t changeId, RunningChange& running, Nanoseconds now) {
    // Starts above the ballot promised on the own disk, so that rounds of earlier processes are not tried
    // again.
    highestRound_ = std::max(highestRound_, localSlot_(running.change.name).promised.round) + 1;
    running.ballot = {highestRound_, self_};
    running.highestAccepted = {};
    running.currentValue = running.newValue = running.patch = nullptr;
    running.accepting = running.backingOff = false;
    running.replies.clear();
    running.promises.clear();
    running.requested.clear();
    running.lacksPatchBase.clear();
    sendRequests(changeId, running, now);
}

void Proposer::sendRequest(std::uint64_t changeId, RunningChange& running, const std::string& voter) {
    if (!linkedVoters_.count(voter)) return;  // linkUp() sends it
    running.requested.insert(voter);
    VoteRequest request;
    request.phase = running.accepting ? VotePhase::accept : VotePhase::prepare;
    request.name = running.change.name;
    request.attempt = changeId;
    request.ballot = running.ballot;
    request.voterSet = voterSet_;
    if (running.accepting) {
        // A voter that holds the base of the new value is sent only the patch, where that is shorter. So is
        // a voter whose promise has not arrived yet: it most likely holds the base, and replies
        // needsFullValue if not.
        const auto promise = running.promises.find(voter);
        const bool mayHoldBase =
            promise == running.promises.end() || promise->second == running.highestAccepted;
        request.patchBase = running.highestAccepted;
        if (mayHoldBase && !running.patch.is_null() && !running.lacksPatchBase.count(voter))
            request.patch = running.patch;
        else
            request.value = running.newValue;
    } else {
        request.knownAccepted = localSlot_(running.change.name).accepted;
    }
    requests_.push_back({voter, request.toJson()});
}

// Sends the request of the current phase to every voter that has neither replied nor been asked on a live
// link.
void Proposer::sendRequests(std::uint64_t changeId, RunningChange& running, Nanoseconds now) {
    running.sentAt = now;
    for (const std::string& voter : voterSet_.voters)
        if (!running.replies.count(voter) && !running.requested.count(voter))
            sendRequest(changeId, running, voter);
}

void Proposer::linkUp(const std::string& voter) {
    linkedVoters_.insert(voter);
    if (!voterSet_.voters.count(voter)) return;
    for (auto& [changeId, running] : runningChanges_)
        if (!running.backingOff && !running.replies.count(voter)) sendRequest(changeId, running, voter);
}

void Proposer::linkDown(const std::string& voter) {
    linkedVoters_.erase(voter);
}

void Proposer::handleReply(const std::string& from, const Json& message, Nanoseconds now) {
    const VoteReply reply = VoteReply::fromJson(message);
    const auto found = runningChanges_.find(reply.attempt);
    if (found == runningChanges_.end() || !voterSet_.voters.count(from)) return;
    const std::uint64_t changeId = found->first;
    RunningChange& running = found->second;
    if (now >= running.deadline) return;  // tick() ends the change
    if (reply.kind == VoteKind::refused) return handleRefusal(running, reply.ballot, now);
    if (running.backingOff || reply.ballot != running.ballot) return;
    switch (reply.kind) {
        case VoteKind::promised:
            if (!running.accepting) handlePromise(changeId, running, from, reply, now);
            return;
        case VoteKind::accepted:
            if (!running.accepting) return;
            running.replies[from] = {};
            return advance(changeId, running, now);
        case VoteKind::needsFullValue:
            if (!running.accepting) return;
            running.lacksPatchBase.insert(from);
            return sendRequest(changeId, running, from);
        case VoteKind::abstains:
            running.requested.erase(from);
            return;
        case VoteKind::refused:
            return;
    }
}

// The voter has promised a higher ballot: the next attempt goes above it. (It returns its own ballot if it
// accepted another value under it; another round resolves that.)
void Proposer::handleRefusal(RunningChange& running, const Ballot& promised, Nanoseconds now) {
    highestRound_ = std::max(highestRound_, promised.round);
    if (running.backingOff || promised < running.ballot) return;
    // Backs off after a conflict. The delay grows with the measured round-trip time and has a part that
    // depends on the member and round, so that one of the competing proposers gets through.
    running.backingOff = true;
    running.conflicts = std::min(running.conflicts + 1, 6);
    const Nanoseconds round = std::min(now - running.sentAt, milliseconds(200)) + milliseconds(4);
    const std::string seed = self_.member + std::to_string(running.ballot.round);
    const auto jitter = static_cast<Nanoseconds>(std::hash<std::string>()(seed) % 64);
    running.resumeAt = now + round * running.conflicts * (32 + jitter) / 32;
}

void Proposer::handlePromise(std::uint64_t changeId, RunningChange& running, const std::string& from,
                             const VoteReply& reply, Nanoseconds now) {
    if (running.highestAccepted < reply.accepted) {
        const Slot& local = localSlot_(running.change.name);
        // The voter omits the value it believes this member to hold; ask again if that slot has changed
        // since.
        if (!reply.value && local.accepted != reply.accepted) return sendRequest(changeId, running, from);
        running.currentValue = reply.value ? *reply.value : local.value;
        running.highestAccepted = reply.accepted;
    }
    running.replies[from] = {reply.accepted, reply.learned};
    advance(changeId, running, now);
}

// A value that a majority has accepted under one ballot is chosen and can be read without writing. Slots
// copied by a recovery are no votes and do not count: they could make a value look chosen that is not.
bool Proposer::isAlreadyChosen(const RunningChange& running) const {
    const auto supporters =
        std::count_if(running.replies.begin(), running.replies.end(), [&](const auto& each) {
            return each.second.accepted == running.highestAccepted && !each.second.learned;
        });
    return static_cast<std::size_t>(supporters) >= voterSet_.majority();
}

void Proposer::advance(std::uint64_t changeId, RunningChange& running, Nanoseconds now) {
    if (running.replies.size() < voterSet_.majority()) return;
    if (running.accepting) return finish(changeId, running.newValue);
    Json value = running.change.apply(running.currentValue);
    if (!running.change.forceAccept && value == running.currentValue && isAlreadyChosen(running))
        return finish(changeId, std::move(value));
    running.newValue = std::move(value);
    running.accepting = true;
    for (const auto& [voter, reply] : running.replies) running.promises[voter] = reply.accepted;
    running.replies.clear();
    running.requested.clear();
    running.patch = gossip::patchIfSmaller(running.currentValue, running.newValue);
    sendRequests(changeId, running, now);
}

void Proposer::setVoters(VoterSet voterSet, Nanoseconds now) {
    if (voterSet.epoch <= voterSet_.epoch) return;
    voterSet_ = std::move(voterSet);
    for (auto& [changeId, running] : runningChanges_) prepare(changeId, running, now);
}

void Proposer::handleDiskLoss(const std::string& voter, Nanoseconds now) {
    for (auto& [changeId, running] : runningChanges_) {
        if (running.backingOff) continue;
        // A promise lost with the disk no longer excludes lower ballots: the ballot is abandoned.
        if (running.promises.count(voter))
            prepare(changeId, running, now);
        else if (running.replies.erase(voter))
            sendRequest(changeId, running, voter);
    }
}

void Proposer::tick(Nanoseconds now) {
    std::vector<std::uint64_t> expired;
    for (auto& [changeId, running] : runningChanges_) {
        if (now >= running.deadline)
            expired.push_back(changeId);
        else if (running.backingOff && now >= running.resumeAt)
            prepare(changeId, running, now);
        else if (!running.backingOff && now - running.sentAt >= abstentionRetryInterval)
            sendRequests(changeId, running, now);
    }
    for (const std::uint64_t changeId : expired) {
        const RunningChange& running = runningChanges_.at(changeId);
        std::string text =
            running.change.name + ": no majority; " + (running.accepting ? "accepted by" : "promised by");
        for (const auto& [voter, reply] : running.replies) text += " " + voter;
        text += " of";
        for (const std::string& voter : voterSet_.voters) text += " " + voter;
        if (running.backingOff) text += ", conflict at round " + std::to_string(highestRound_);
        failures_.push_back(std::move(text));
        finish(changeId, std::nullopt);
    }
}

void Proposer::finish(std::uint64_t changeId, std::optional<Json> value) {
    const auto found = runningChanges_.find(changeId);
    auto done = std::move(found->second.change.done);
    runningChanges_.erase(found);
    done(std::move(value));
}

}  // namespace granitereel::control
