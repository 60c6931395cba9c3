#include "owners.hpp"

#include <algorithm>
#include <utility>

namespace granitereel::owners {

Owners::Owners(int me, std::uint32_t birth, const Electors& electors, const Terms& terms, std::uint64_t floor,
               std::uint64_t seed, Nanoseconds now, View view, Outlet& outlet)
    : out_(outlet),
      me_(me),
      birth_(birth),
      view_(std::move(view)),
      leases_(me, electors, terms, floor, seed, now, *this),
      now_(now),
      termsUntil_(now + terms.lease),
      electors_(electors),
      chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483647)) {
    const auto has = [me](const std::vector<int>& list) {
        return std::find(list.begin(), list.end(), me) != list.end();
    };
    if (has(electors.now) || has(electors.before))
        elector_ = std::make_unique<Elector>(now, terms.lease, electors.digest());
}

void Owners::need(Key key, const std::string& name) {
    needed_[key] = name;
    nextLook_ = 0;
}

void Owners::needless(Nanoseconds now, Key key) {
    now_ = now;
    needed_.erase(key);
    restsUntil_.erase(key);
    leases_.drop(now, key, givenOutFor(key));
    settleOwn();
}

void Owners::yieldKey(Nanoseconds now, Key key, Nanoseconds restFor) {
    now_ = now;
    restsUntil_[key] = now + restFor;
    leases_.drop(now, key, givenOutFor(key));
    settleOwn();
}

int Owners::duty(Key key) const {
    return dutyOf(key, view_.here());
}

void Owners::send(int member, const Talk& talk) {
    if (member == me_)
        own_.push_back(talk);
    else
        out_.send(member, talk);
}

// What this front asks of itself as an elector is settled here, after whatever asked it.
void Owners::settleOwn() {
    while (!own_.empty()) {
        const Talk talk = std::move(own_.front());
        own_.pop_front();
        if (!talk.number || !elector_) continue;
        leases_.heard(now_, me_, elector_->heard(now_, me_, birth_, talk));
    }
}

void Owners::heard(Nanoseconds now, int from, std::uint32_t birth, const Talk& talk) {
    now_ = now;
    leases_.learnTerm(talk.highest);
    if (talk.number && elector_) {
        elector_->learn(now, leases_.highest());
        out_.send(from, elector_->heard(now, from, birth, talk));
    } else if (talk.number) {
        Talk answer;
        answer.answers = talk.number;
        answer.highest = leases_.highest();
        out_.send(from, answer);
    } else if (elector_) {
        elector_->learn(now, talk.highest);
    }
    if (talk.answers) leases_.heard(now, from, talk);
    // Freed for this front: it need not wait for its next look.
    for (const Key key : talk.handed)
        if (needed_.count(key) && !leaving_ && !restsUntil_.count(key)) leases_.want(key, needed_[key]);
    if (!talk.handed.empty()) leases_.tick(now);
    settleOwn();
}

void Owners::tick(Nanoseconds now) {
    now_ = now;
    std::erase_if(restsUntil_, [now](const auto& each) { return each.second <= now; });
    if (now >= nextLook_ && !leaving_) {
        // The view changes now and then: ten looks a second find that soon enough.
        nextLook_ = now + milliseconds(100);
        const bool most = view_.most();
        const std::vector<int> here = view_.here();
        for (const auto& [key, name] : needed_) {
            if (restsUntil_.count(key)) continue;
            const bool mine = most && dutyOf(key, here) == me_;
            if (mine)
                leases_.want(key, name);
            else if (leases_.wants(key) && !leases_.holds(now, key))
                leases_.drop(now, key);
        }
    }
    if (now < termsUntil_ && now >= nextTerms_ && (elector_ || !needed_.empty())) askForTerms();
    leases_.tick(now);
    if (!leaving_)
        leases_.spread(
            now, [this](Key key) { return view_.most() ? duty(key) : me_; }, givenOutFor);
    settleOwn();
}

// A front that starts knows of no term: it asks the electors and some others while it could not grant or hold
// anything yet. What nobody of these knows any more is guarded by the floor alone.
void Owners::askForTerms() {
    nextTerms_ = now_ + (termsUntil_ - now_) / 3 + milliseconds(1);
    std::vector<int> asked = electors_.now, others = view_.here();
    asked.insert(asked.end(), electors_.before.begin(), electors_.before.end());
    std::shuffle(others.begin(), others.end(), chance_);
    others.resize(std::min<std::size_t>(others.size(), 8));
    asked.insert(asked.end(), others.begin(), others.end());
    std::sort(asked.begin(), asked.end());
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    Talk talk;
    talk.number = 1;  // answers to it tell a term, and meet no question
    talk.electors = electors_.digest();
    talk.highest = leases_.highest();
    for (const int each : asked)
        if (each != me_) out_.send(each, talk);
}

Nanoseconds Owners::next() const {
    if (leaving_) return now_ + milliseconds(1000);
    if (now_ < termsUntil_ && elector_ && needed_.empty())
        return std::max(nextTerms_, now_ + milliseconds(1));
    return needed_.empty() ? now_ + milliseconds(1000)
                           : std::min(leases_.next(), std::max(nextLook_, now_ + milliseconds(1)));
}

void Owners::leave(Nanoseconds now) {
    now_ = now;
    if (std::exchange(leaving_, true)) return;
    std::vector<int> others = view_.here();
    std::erase(others, me_);
    leases_.leave(
        now, [&](Key key) { return dutyOf(key, others); }, givenOutFor);
    settleOwn();
}

}  // namespace granitereel::owners
