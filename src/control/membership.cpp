#include "control/membership.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
// A change of voters that has not come through by then is given up, and judged anew.
constexpr Nanoseconds reformWithin = milliseconds(3000);
// Links carry what is sent or end; a voter may have had no vote yet when it was asked.
constexpr Nanoseconds askAgain = milliseconds(300);
// After a change that the other voters did not bear out, or that failed, no other is tried for this long.
constexpr Nanoseconds pauseAfterFailure = milliseconds(1000);
}  // namespace

MembershipTimes timesFor(int syncIn_ms) {
    MembershipTimes times;
    times.absent = milliseconds(std::clamp(syncIn_ms / 4, 500, 2000));
    times.afterStart = 3 * times.absent;
    return times;
}

MemberStanding MemberStanding::fromJson(const Json& body) {
    if (!body.is_object()) return {};
    return {body.value("leaving", false), body.value("recovering", false)};
}

Json CensusRequest::toJson() const {
    return {{"k", "census?"}, {"epoch", epoch}, {"voters", voters}, {"absent", absent}};
}

CensusRequest CensusRequest::fromJson(const Json& message) {
    return {message.at("epoch").get<std::uint64_t>(), message.at("voters").get<std::set<std::string>>(),
            message.at("absent").get<std::string>()};
}

Json CensusReply::toJson() const {
    return {{"k", "census"}, {"epoch", epoch}, {"registers", registers}, {"hears_absent", hearsAbsent}};
}

CensusReply CensusReply::fromJson(const Json& message) {
    return {message.at("epoch").get<std::uint64_t>(), message.at("registers").get<std::set<std::string>>(),
            message.at("hears_absent").get<bool>()};
}

Membership::Membership(std::string self, const settings::Settings& settings, Means& means, Nanoseconds now)
    : self_(std::move(self)),
      times_(timesFor(settings.syncIn_ms)),
      fewestVoters_(fewestVotersFor(settings.toleratedMachineLosses)),
      means_(means),
      startedAt_(now) {}

void Membership::adopted(const Core& core, Nanoseconds now) {
    core_ = core;
    adoptedAt_ = now;
    reform_.reset();
    needed_.reset();
}

bool Membership::leaves(const std::string& member) const {
    const auto at = standing_.find(member);
    return at != standing_.end() && at->second.leaving;
}

bool Membership::inReach(const std::string& member, Nanoseconds now) const {
    if (member == self_) return true;
    const auto at = lastHeard_.find(member);
    return at != lastHeard_.end() && now - at->second <= times_.silence && means_.linkedTo(member);
}

bool Membership::absentFor(const std::string& voter, Nanoseconds bound, Nanoseconds now) const {
    const auto since = awaySince_.find(voter);
    if (since == awaySince_.end() || inReach(voter, now)) return false;
    // After a restart of all, members return one after the other.
    if (!lastHeard_.count(voter) && !leaves(voter) && now - startedAt_ < times_.afterStart) return false;
    return now - since->second >= bound;
}

void Membership::observe(Nanoseconds now) {
    for (const std::string& voter : core_.voters) {
        if (inReach(voter, now))
            awaySince_.erase(voter);
        else
            awaySince_.try_emplace(voter, now);
    }
    std::erase_if(presentSince_, [&](const auto& each) { return !inReach(each.first, now); });
    for (const auto& [member, at] : lastHeard_)
        if (inReach(member, now)) presentSince_.try_emplace(member, now);
}

VoterView Membership::view(Nanoseconds now, Newcomers newcomers) const {
    VoterView view;
    view.voters = core_.voters;
    view.fewestVoters = fewestVoters_;
    for (const std::string& voter : core_.voters) {
        if (inReach(voter, now)) {
            if (leaves(voter)) view.departing.insert(voter);
            continue;
        }
        view.unreachable.insert(voter);
        if (absentFor(voter, leaves(voter) ? 0 : times_.absent, now)) view.absent.insert(voter);
        if (absentFor(voter, leaves(voter) ? 0 : times_.absentForGood, now)) view.absentForGood.insert(voter);
    }
    std::vector<std::pair<Nanoseconds, std::string>> bySince;
    for (const auto& [member, since] : presentSince_) {
        if (core_.voters.count(member) || !inReach(member, now)) continue;
        const auto standing = standing_.find(member);
        const bool known = standing != standing_.end();
        if (known && standing->second.leaving) continue;
        // It reads the state before it may vote: who leaves waits for it, who changes the voters does not.
        if (known && standing->second.recovering && newcomers == Newcomers::settled) continue;
        if (newcomers == Newcomers::all || now - since >= times_.settle) bySince.emplace_back(since, member);
    }
    std::sort(bySince.begin(), bySince.end());
    for (auto& [since, member] : bySince) view.candidates.push_back(std::move(member));
    return view;
}

// How many voters in reach come before this one: what any may do the first does, the next if it has not. One
// that leaves comes behind those that stay.
std::size_t Membership::rank(Nanoseconds now) const {
    return static_cast<std::size_t>(
        std::count_if(core_.voters.begin(), core_.voters.end(), [&](const std::string& voter) {
            return inReach(voter, now) && std::pair(leaves(voter), voter) < std::pair(leaves(self_), self_);
        }));
}

void Membership::tick(bool votes, Nanoseconds now) {
    observe(now);
    if (!votes || now < notBefore_) return;
    if (reform_) {
        if (now - reform_->since > reformWithin) return giveUp(now, "took too long");
        if (!reform_->accepting && now - reform_->askedAt >= askAgain) ask(now);
        return proceed(now);
    }
    const std::optional<VoterChange> change = nextVoterChange(view(now, Newcomers::settled));
    if (change != needed_) neededSince_ = now;
    needed_ = change;
    if (change && now - neededSince_ >= static_cast<Nanoseconds>(rank(now)) * times_.turn)
        begin(*change, now);
}

void Membership::begin(const VoterChange& change, Nanoseconds now) {
    Reform reform;
    reform.next = {core_.epoch + 1, votersAfter(core_.voters, change)};
    reform.change = change;
    reform.since = now;
    reform.number = ++lastReform_;
    reform.heard.insert(self_);
    reform.registers = means_.registersHeld();
    reform_ = std::move(reform);
    ask(now);
    proceed(now);
}

void Membership::ask(Nanoseconds now) {
    reform_->askedAt = now;
    const bool absent = reform_->change.kind == VoterChange::Kind::removeAbsent;
    const CensusRequest request{core_.epoch, core_.voters, absent ? reform_->change.member : ""};
    for (const std::string& voter : core_.voters)
        if (!reform_->heard.count(voter)) means_.sendToVoter(voter, request.toJson());
}

bool Membership::changing(Nanoseconds now) const {
    return reform_ || now - adoptedAt_ < askAgain;
}

CensusReply Membership::answer(const CensusRequest& request, Nanoseconds now) const {
    return {core_.epoch, means_.registersHeld(), !request.absent.empty() && inReach(request.absent, now)};
}

void Membership::heard(const std::string& voter, const CensusReply& reply, Nanoseconds now) {
    if (!reform_ || reply.epoch != core_.epoch || !core_.voters.count(voter)) return;
    reform_->heard.insert(voter);
    if (reply.hearsAbsent) reform_->hearing.insert(voter);
    reform_->registers.insert(reply.registers.begin(), reply.registers.end());
    proceed(now);
}

void Membership::proceed(Nanoseconds now) {
    if (reform_->accepting || reform_->heard.size() < core_.majority()) return;
    if (reform_->change.kind == VoterChange::Kind::removeAbsent) {
        if (inReach(reform_->change.member, now)) return giveUp(now, "it is in reach again");
        // A majority must miss it: one member's lost link, either way, takes no vote from another.
        if (reform_->heard.size() - reform_->hearing.size() < core_.majority()) return;
    }
    acceptAll();
}

// The next epoch's majorities meet those of the present one, not those before: what these have chosen is
// accepted anew first.
void Membership::acceptAll() {
    reform_->accepting = true;
    reform_->acceptancesLeft = reform_->registers.size();
    const std::uint64_t number = reform_->number;
    const std::set<std::string> registers = reform_->registers;
    if (registers.empty()) return write();
    for (const std::string& name : registers)
        means_.acceptAnew(name, [this, number](bool accepted) {
            if (!reform_ || reform_->number != number) return;
            if (!accepted) return reform_.reset();
            if (--reform_->acceptancesLeft == 0) write();
        });
}

void Membership::write() {
    if (std::exchange(reform_->writing, true)) return;
    const std::uint64_t number = reform_->number;
    means_.writeCore(reform_->next, [this, number] {
        if (reform_ && reform_->number == number) reform_.reset();
    });
}

void Membership::giveUp(Nanoseconds now, const std::string& cause) {
    means_.logMembership("change of voters given up at " + reform_->change.member + ": " + cause);
    reform_.reset();
    needed_.reset();
    notBefore_ = now + pauseAfterFailure;
}

}  // namespace granitereel::control
