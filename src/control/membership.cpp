#include "control/membership.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
// A change of voters that takes longer is abandoned and decided anew.
constexpr Nanoseconds changeTimeout = milliseconds(3000);
// Links deliver or close, but a voter may have had no vote yet when the survey reached it.
constexpr Nanoseconds surveyRetryInterval = milliseconds(300);
// After a change that failed, or that the other voters contradicted, no other is tried for this long.
constexpr Nanoseconds retryDelayAfterFailure = milliseconds(1000);
}  // namespace

ReachabilityTimeouts timeoutsFor(int syncIn_ms) {
    ReachabilityTimeouts timeouts;
    timeouts.absentAfter = milliseconds(std::clamp(syncIn_ms / 4, 500, 2000));
    timeouts.startGracePeriod = 3 * timeouts.absentAfter;
    return timeouts;
}

MemberStatus MemberStatus::fromJson(const Json& body) {
    if (!body.is_object()) return {};
    return {body.value("leaving", false), body.value("recovering", false)};
}

Json SurveyRequest::toJson() const {
    return {{"k", "census?"}, {"epoch", epoch}, {"voters", voters}, {"absent", absent}};
}

SurveyRequest SurveyRequest::fromJson(const Json& message) {
    return {message.at("epoch").get<std::uint64_t>(), message.at("voters").get<std::set<std::string>>(),
            message.at("absent").get<std::string>()};
}

Json SurveyReply::toJson() const {
    return {{"k", "census"}, {"epoch", epoch}, {"registers", registers}, {"hears_absent", reachesAbsent}};
}

SurveyReply SurveyReply::fromJson(const Json& message) {
    return {message.at("epoch").get<std::uint64_t>(), message.at("registers").get<std::set<std::string>>(),
            message.at("hears_absent").get<bool>()};
}

Membership::Membership(std::string self, const settings::Settings& settings, Host& host, Nanoseconds now)
    : self_(std::move(self)),
      timeouts_(timeoutsFor(settings.syncIn_ms)),
      minVoters_(minVotersFor(settings.toleratedMachineLosses)),
      host_(host),
      startedAt_(now) {}

void Membership::adopt(const VoterSet& voterSet, Nanoseconds now) {
    voterSet_ = voterSet;
    adoptedAt_ = now;
    pendingChange_.reset();
    neededChange_.reset();
}

bool Membership::isLeaving(const std::string& member) const {
    const auto found = statuses_.find(member);
    return found != statuses_.end() && found->second.leaving;
}

bool Membership::isReachable(const std::string& member, Nanoseconds now) const {
    if (member == self_) return true;
    const auto found = lastContact_.find(member);
    return found != lastContact_.end() && now - found->second <= timeouts_.maxSilence &&
           host_.linkedTo(member);
}

bool Membership::absentFor(const std::string& voter, Nanoseconds bound, Nanoseconds now) const {
    const auto since = unreachableSince_.find(voter);
    if (since == unreachableSince_.end() || isReachable(voter, now)) return false;
    // After a restart of all members they return one by one.
    if (!lastContact_.count(voter) && !isLeaving(voter) && now - startedAt_ < timeouts_.startGracePeriod)
        return false;
    return now - since->second >= bound;
}

void Membership::updateReachability(Nanoseconds now) {
    for (const std::string& voter : voterSet_.voters) {
        if (isReachable(voter, now))
            unreachableSince_.erase(voter);
        else
            unreachableSince_.try_emplace(voter, now);
    }
    std::erase_if(reachableSince_, [&](const auto& each) { return !isReachable(each.first, now); });
    for (const auto& [member, time] : lastContact_)
        if (isReachable(member, now)) reachableSince_.try_emplace(member, now);
}

VoterView Membership::view(Nanoseconds now, CandidateFilter filter) const {
    VoterView view;
    view.voters = voterSet_.voters;
    view.minVoters = minVoters_;
    for (const std::string& voter : voterSet_.voters) {
        if (isReachable(voter, now)) {
            if (isLeaving(voter)) view.departing.insert(voter);
            continue;
        }
        view.unreachable.insert(voter);
        if (absentFor(voter, isLeaving(voter) ? 0 : timeouts_.absentAfter, now)) view.absent.insert(voter);
        if (absentFor(voter, isLeaving(voter) ? 0 : timeouts_.longAbsentAfter, now))
            view.longAbsent.insert(voter);
    }
    std::vector<std::pair<Nanoseconds, std::string>> byReachableSince;
    for (const auto& [member, since] : reachableSince_) {
        if (voterSet_.voters.count(member) || !isReachable(member, now)) continue;
        const auto status = statuses_.find(member);
        const bool known = status != statuses_.end();
        if (known && status->second.leaving) continue;
        // A recovering member cannot vote yet. A shutdown waits for it; a change of voters does not.
        if (known && status->second.recovering && filter == CandidateFilter::stable) continue;
        if (filter == CandidateFilter::all || now - since >= timeouts_.candidateDelay)
            byReachableSince.emplace_back(since, member);
    }
    std::sort(byReachableSince.begin(), byReachableSince.end());
    for (auto& [since, member] : byReachableSince) view.candidates.push_back(std::move(member));
    return view;
}

// Number of reachable voters that act before this one. Changes are left to the first of them; each further
// one acts if those before it have not. Members that are shutting down come last.
std::size_t Membership::turnOrder(Nanoseconds now) const {
    return static_cast<std::size_t>(
        std::count_if(voterSet_.voters.begin(), voterSet_.voters.end(), [&](const std::string& voter) {
            return isReachable(voter, now) &&
                   std::pair(isLeaving(voter), voter) < std::pair(isLeaving(self_), self_);
        }));
}

void Membership::tick(bool votes, Nanoseconds now) {
    updateReachability(now);
    if (!votes || now < noChangeBefore_) return;
    if (pendingChange_) {
        if (now - pendingChange_->startedAt > changeTimeout) return abandon(now, "timed out");
        if (!pendingChange_->reaccepting && now - pendingChange_->lastSurveyAt >= surveyRetryInterval)
            sendSurvey(now);
        return advance(now);
    }
    const std::optional<VoterChange> change = nextVoterChange(view(now, CandidateFilter::stable));
    if (change != neededChange_) neededSince_ = now;
    neededChange_ = change;
    if (change && now - neededSince_ >= static_cast<Nanoseconds>(turnOrder(now)) * timeouts_.turnLength)
        startChange(*change, now);
}

void Membership::startChange(const VoterChange& change, Nanoseconds now) {
    PendingChange pending;
    pending.next = {voterSet_.epoch + 1, votersAfter(voterSet_.voters, change)};
    pending.change = change;
    pending.startedAt = now;
    pending.number = ++lastChangeNumber_;
    pending.replied.insert(self_);
    pending.registers = host_.heldRegisters();
    pendingChange_ = std::move(pending);
    sendSurvey(now);
    advance(now);
}

void Membership::sendSurvey(Nanoseconds now) {
    pendingChange_->lastSurveyAt = now;
    const bool absent = pendingChange_->change.kind == VoterChange::Kind::removeAbsent;
    const SurveyRequest request{voterSet_.epoch, voterSet_.voters,
                                absent ? pendingChange_->change.member : ""};
    for (const std::string& voter : voterSet_.voters)
        if (!pendingChange_->replied.count(voter)) host_.sendToVoter(voter, request.toJson());
}

bool Membership::changeInProgress(Nanoseconds now) const {
    return pendingChange_ || now - adoptedAt_ < surveyRetryInterval;
}

SurveyReply Membership::answer(const SurveyRequest& request, Nanoseconds now) const {
    return {voterSet_.epoch, host_.heldRegisters(),
            !request.absent.empty() && isReachable(request.absent, now)};
}

void Membership::handleReply(const std::string& voter, const SurveyReply& reply, Nanoseconds now) {
    if (!pendingChange_ || reply.epoch != voterSet_.epoch || !voterSet_.voters.count(voter)) return;
    pendingChange_->replied.insert(voter);
    if (reply.reachesAbsent) pendingChange_->votersReachingAbsent.insert(voter);
    pendingChange_->registers.insert(reply.registers.begin(), reply.registers.end());
    advance(now);
}

void Membership::advance(Nanoseconds now) {
    if (pendingChange_->reaccepting || pendingChange_->replied.size() < voterSet_.majority()) return;
    if (pendingChange_->change.kind == VoterChange::Kind::removeAbsent) {
        if (isReachable(pendingChange_->change.member, now)) return abandon(now, "it is reachable again");
        // A majority must find the voter unreachable: a single broken link, in either direction, must not
        // remove a vote.
        if (pendingChange_->replied.size() - pendingChange_->votersReachingAbsent.size() <
            voterSet_.majority())
            return;
    }
    reacceptAll();
}

// Majorities of the next epoch intersect those of the current epoch, but not necessarily older ones. Values
// chosen earlier are therefore accepted again first; otherwise they could be lost with the next change.
void Membership::reacceptAll() {
    pendingChange_->reaccepting = true;
    pendingChange_->remainingReaccepts = pendingChange_->registers.size();
    const std::uint64_t number = pendingChange_->number;
    const std::set<std::string> registers = pendingChange_->registers;
    if (registers.empty()) return writeNextVoterSet();
    for (const std::string& name : registers)
        host_.reaccept(name, [this, number](bool accepted) {
            if (!pendingChange_ || pendingChange_->number != number) return;
            if (!accepted) return pendingChange_.reset();
            if (--pendingChange_->remainingReaccepts == 0) writeNextVoterSet();
        });
}

void Membership::writeNextVoterSet() {
    if (std::exchange(pendingChange_->writing, true)) return;
    const std::uint64_t number = pendingChange_->number;
    host_.writeVoterSet(pendingChange_->next, [this, number] {
        if (pendingChange_ && pendingChange_->number == number) pendingChange_.reset();
    });
}

void Membership::abandon(Nanoseconds now, const std::string& cause) {
    host_.logMembership("change of voters given up at " + pendingChange_->change.member + ": " + cause);
    pendingChange_.reset();
    neededChange_.reset();
    noChangeBefore_ = now + retryDelayAfterFailure;
}

}  // namespace granitereel::control
