#include "members.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace granitereel::tier {

namespace {

// Of facts with the same incarnation the one of the higher state holds.
bool newer(const Fact& a, const Fact& b) {
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

// Bytes of a number as protobuf writes it.
int widthOf(std::uint32_t number) {
    int bytes = 1;
    while (number >>= 7) ++bytes;
    return bytes;
}

// Clocks of two machines drift by less than a hundredth against each other; twice that is allowed for.
constexpr Nanoseconds drift(Nanoseconds over) {
    return over / 50;
}
// Ages are told apart this well: some times what datagrams are delayed. Of two processes that started so
// close together the one is taken for the successor whose forerunner has not spoken since; else births
// decide.
constexpr Nanoseconds sameStart = milliseconds(100);
// Doubt counts up to this; waits are then five times as long (Lifeguard's multiplier goes to 8).
constexpr int mostDoubt = 8;
// Helpers asked for one member, as SWIM proposes.
constexpr int helpers = 3;
// So many accusers make a verdict that others believe; a tier with fewer needs all it has.
constexpr int enoughAccusers = 3;
// A verdict on a front that is alive shall be rarer than this for each suspicion that comes to its end.
constexpr double mostError = 1e-6;

}  // namespace

const char* nameOf(State state) {
    static constexpr const char* names[] = {"here", "suspect", "gone", "leaving"};
    return names[static_cast<int>(state)];
}

const char* nameOf(Sight sight) {
    static constexpr const char* names[] = {"alone", "few", "most", "whole"};
    return names[static_cast<int>(sight)];
}

int loadOf(const Fact& fact) {
    return widthOf(static_cast<std::uint32_t>(fact.member) << 2) + widthOf(fact.incarnation) +
           widthOf(static_cast<std::uint32_t>(fact.by + 1));
}

int loadOf(const Block& block) {
    // Its number, the states four to a byte, the incarnations, and three heads of two bytes.
    int bytes = 8 + static_cast<int>(block.states.size() + 3) / 4;
    for (const std::uint32_t each : block.incarnations) bytes += widthOf(each);
    return bytes;
}

Members::Members(int me, int count, std::uint32_t birth, std::uint64_t seed, const Pace& pace,
                 Nanoseconds now, Outlet& outlet)
    : out_(outlet),
      pace_(pace),
      me_(me),
      birth_(birth),
      started_(now),
      chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483647)),
      now_(now) {
    chance_.discard(2);
    lastProbe_ =
        chance_() % 4096;  // short on the wire; an answer to an elder process's probe meets nothing here
    // Not all of a tier that starts together shall speak at the same moment.
    nextRound_ = now + static_cast<Nanoseconds>(chance_() % 1000) * pace_.round / 4000;
    nextSpread_ = nextCalls_ = nextRound_;
    lastAnswer_ = now - milliseconds(60'000);
    sightSince_ = now;
    resize(now, count);
    Member& self = at(me_);
    self.state = State::here;
    self.incarnation = 1;
    self.by = me_;
    self.birth = birth_;
    mark(me_);
    if (count == 1) sight_ = Sight::whole;
}

void Members::resize(Nanoseconds now, int count) {
    now_ = now;
    const int before = this->count();
    auto beyond = [&](int number) { return number >= count; };
    std::erase_if(rumours_, beyond);
    std::erase_if(suspects_, beyond);
    std::erase_if(pending_, [&](const auto& each) { return beyond(each.second.member); });
    members_.resize(static_cast<std::size_t>(count));
    for (int i = before; i < count; ++i) at(i).since = now;
    blocks_.assign(static_cast<std::size_t>((count + blockSize - 1) / blockSize), 0);
    for (int block = 0; block < static_cast<int>(blocks_.size()); ++block) mark(block * blockSize);
    turn_.clear();
}

// ---- what is known --------------------------------------------------------------------------------

Fact Members::factOf(int number) const {
    const Member& m = member(number);
    const bool accused = m.state == State::suspect || m.state == State::gone;
    return {number, m.state, m.incarnation, accused ? (m.rumourBy >= 0 ? m.rumourBy : m.by) : -1};
}

bool Members::present(int number) const {
    const State state = member(number).state;
    return number != me_ && (state == State::here || state == State::suspect);
}

std::vector<int> Members::in(State state) const {
    std::vector<int> found;
    for (int i = 0; i < count(); ++i)
        if (member(i).state == state) found.push_back(i);
    return found;
}

void Members::mark(int number) {
    const int block = number / blockSize, end = std::min(count(), (block + 1) * blockSize);
    std::uint32_t sum = 0;
    for (int i = block * blockSize; i < end; ++i) {
        const Member& m = member(i);
        if (m.incarnation == 0) continue;
        const std::uint32_t words[] = {static_cast<std::uint32_t>(i), m.incarnation,
                                       static_cast<std::uint32_t>(m.state)};
        sum ^= XXH32(words, sizeof words, 0);
    }
    blocks_[static_cast<std::size_t>(block)] = sum;
}

std::uint32_t Members::digest() const {
    const auto whole = XXH32(blocks_.data(), blocks_.size() * sizeof blocks_[0], members_.size());
    return whole == 0 ? 1 : whole;  // 0 stands for none
}

void Members::change(int number, State state, std::uint32_t incarnation, int by, const std::string& why) {
    Member& m = at(number);
    const bool wasSuspect = m.state == State::suspect;
    const State before = m.state;
    m.state = state;
    m.incarnation = incarnation;
    m.by = by;
    m.rumourBy = -1;
    if (before != state || state == State::suspect) m.since = now_;
    if (wasSuspect && state != State::suspect) std::erase(suspects_, number);
    if (state != State::suspect) m.accusers.clear();
    mark(number);
    rumour(number);
    if (before != state)
        out_.log("front " + std::to_string(number) + " is " + nameOf(state) + ", was " + nameOf(before) +
                 ", incarnation " + std::to_string(incarnation) + ": " + why);
}

void Members::rumour(int number) {
    // A front that nobody answers keeps its opinions to itself: it is more likely cut off than all others
    // are.
    const bool cutOff =
        number != me_ && sight_ == Sight::alone && count() > 2 && now_ - started_ > 4 * pace_.round;
    Member& m = at(number);
    if (cutOff || m.incarnation == 0) return;
    if (m.sends < 0) rumours_.push_back(number);
    m.sends = 0;
}

int Members::rumourLimit() const {
    // Four times the decades of the tier's size: with a twentieth lost, one member in thousands misses a
    // fact, and learns it by digests.
    const int limit = 4 * static_cast<int>(std::ceil(std::log10(double(count()) + 1)));
    // Where much has changed at once, blocks say it in a fifth of the bytes: rumours only start it off.
    const int many = static_cast<int>(rumours_.size());
    return std::max(2, std::min(limit, limit * 16 / std::max(1, many)));
}

void Members::learn(const Fact& fact, int teller) {
    if (fact.member < 0 || fact.member >= count() || fact.incarnation == 0) return;
    if (fact.member == me_) return learnOfMyself(fact, teller);
    Member& m = at(fact.member);
    const std::string told = "told by " + std::to_string(teller);
    if (!newer(fact, factOf(fact.member))) {
        if (m.state == State::suspect && fact.incarnation == m.incarnation &&
            (fact.state == State::suspect || fact.state == State::gone))
            confirm(fact.member, fact.by);
        return;
    }
    if (fact.state == State::here || fact.state == State::leaving)
        return change(fact.member, fact.state, fact.incarnation, teller,
                      teller == fact.member ? "by its own word" : told);
    // Nothing was known against it: whoever comes new believes what is said of those gone long ago.
    if (m.incarnation == 0 && fact.state == State::gone)
        return change(fact.member, State::gone, fact.incarnation, teller, told);
    // A verdict of one alone is an accusation like any other, until enough have brought it.
    accuse(fact.member, fact.incarnation, fact.by);
    if (fact.state == State::gone && static_cast<int>(m.accusers.size()) >= neededAccusers())
        condemn(fact.member, fact.by);
}

// What others say of this front, from before it started or while it was not heard: it goes above.
void Members::learnOfMyself(const Fact& fact, int teller) {
    Member& self = at(me_);
    const bool accused = fact.state == State::suspect || fact.state == State::gone ||
                         (fact.state == State::leaving && !leaving_);
    if (fact.incarnation < self.incarnation || (fact.incarnation == self.incarnation && !accused)) return;
    // At the end of all numbers nothing can be said any more; 2^32 restarts and refutations don't come about.
    if (fact.incarnation == UINT32_MAX) return;
    const std::string before = std::to_string(self.incarnation);
    self.incarnation = fact.incarnation + 1;
    mark(me_);
    rumour(me_);
    out_.log("this front goes from incarnation " + before + " to " + std::to_string(self.incarnation) + ": " +
             std::to_string(teller) + " held it for " + nameOf(fact.state) + " at " +
             std::to_string(fact.incarnation));
}

int Members::neededAccusers() const {
    int here = 0;
    for (int i = 0; i < count(); ++i) here += member(i).state == State::here;
    return std::clamp(here, 1, enoughAccusers);
}

void Members::accuse(int number, std::uint32_t incarnation, int by) {
    Member& m = at(number);
    if (m.state == State::suspect && m.incarnation == incarnation) return confirm(number, by);
    change(number, State::suspect, incarnation, by,
           by == me_ ? std::string("it did not answer") : "accused by " + std::to_string(by));
    m.accusers = {by};
    m.lastCalls = 0;
    std::erase(suspects_, number);
    suspects_.push_back(number);
    setVerdictTime(m);
}

void Members::confirm(int number, int by) {
    Member& m = at(number);
    if (std::find(m.accusers.begin(), m.accusers.end(), by) != m.accusers.end()) return;
    if (m.accusers.size() >= static_cast<std::size_t>(enoughAccusers) + 1) return;
    m.accusers.push_back(by);
    m.rumourBy = by;
    rumour(number);  // that there is one more accuser is news, too
    if (m.lastCalls == 0) setVerdictTime(m);
}

// The more accusers, the sooner (Lifeguard); the longer, the more this front doubts itself.
void Members::setVerdictTime(Member& m) {
    int there = 1;
    for (int i = 0; i < count(); ++i) there += present(i);
    // Four rounds for each decade of the tier: in each round a fact reaches some times as many members.
    const double least = 4 * std::max(1.0, std::log10(double(there))) * double(pace_.round);
    const int others = std::min(enoughAccusers, there - 2);  // who might confirm it
    double span = least;
    if (others >= 1) {
        const double most = pace_.unconfirmed * least;
        const double confirmed = std::log(double(m.accusers.size())) / std::log(double(others) + 1);
        span = std::max(least, most - (most - least) * confirmed);
    }
    m.verdictAt = m.since + static_cast<Nanoseconds>(span * (4 + doubt_) / 4);
}

void Members::condemn(int number, int by) {
    change(number, State::gone, member(number).incarnation, by,
           by == me_ ? "it answered none of " + std::to_string(member(number).lastCalls) + " last calls"
                     : "the verdict of " + std::to_string(by) + " and others");
}

// ---- who speaks -----------------------------------------------------------------------------------

// Whether the datagram is of the process that speaks for that member now, and lately sent. A process is known
// by its birth; its age by its own clock, taken from the time of arrival, says when it started, and how much
// later than others of it this datagram is.
bool Members::knows(int from, const Said& said) {
    Member& m = at(from);
    const Nanoseconds born = now_ - said.age;
    if (m.birth == 0) {
        m.birth = said.birth;
        m.born = born;
    } else if (said.birth == m.birth) {
        m.born = std::min(m.born + drift(now_ - std::max(m.heard, m.firstHeard)), born);
        if (born - m.born > pace_.goodFor) {
            // Held on the way; or its clock stood still while its machine slept, and all it says is as late.
            if (m.elderSeen == 0 || m.elderBirth != said.birth) {
                m.elderBirth = said.birth;
                m.elderSeen = now_;
                m.elderBorn = born;
            }
            m.elderBorn = std::min(m.elderBorn, born);
            if (now_ - m.elderSeen < 2 * pace_.goodFor || born - m.elderBorn > pace_.goodFor) return false;
            m.born = born;
        }
        if (m.elderBirth == m.birth) m.elderBirth = 0, m.elderSeen = 0;
    } else if (said.birth == m.elderBirth) {
        if (born - m.elderBorn > pace_.goodFor) return false;  // held since before its end
        m.elderBorn = std::min(m.elderBorn, born);
        // Those let go together, after being held, come at one time: two apart show that it lives.
        if (m.elderSeen == 0) m.elderSeen = now_;
        if (now_ - m.elderSeen < pace_.round / 2) return false;
        if (now_ - m.toldOff >= pace_.round) {
            m.toldOff = now_;
            if (!std::exchange(m.elderTold, true))
                out_.log("two processes speak as front " + std::to_string(from) + ", births " +
                         std::to_string(m.birth) + " and " + std::to_string(m.elderBirth) +
                         ": the younger is heard");
            Said told;
            told.twins = Twins{m.birth, m.elderBirth, now_ - m.born};
            say(from, std::move(told));
        }
        return false;
    } else if (born > m.born + sameStart ||
               (born > m.born - sameStart && (m.heard <= born || said.birth > m.birth))) {
        m.elderBirth = m.birth;
        m.elderBorn = m.born;
        m.elderSeen = 0;
        m.elderTold = false;
        m.birth = said.birth;
        m.born = born;
        m.nthIn = 0;
        m.firstHeard = now_;
        // The process that was known is over, or has to be: the new one shall go above its incarnation.
        const bool known = std::exchange(m.spoken, 0) >= said.incarnation;
        if (known && m.state != State::gone && m.state != State::leaving)
            change(from, State::gone, m.incarnation, me_, "it has started again");
    } else {
        m.elderBirth = said.birth;
        m.elderBorn = born;
        m.elderSeen = 0;
        m.elderTold = false;
        return false;
    }
    return true;
}

void Members::noteLoss(Member& m, std::uint32_t nth) {
    if (nth > m.nthIn) {
        // A longer gap is a cut, not loss.
        if (m.nthIn > 0) lost_ += std::min(nth - m.nthIn - 1, 4u);
        came_ += 1;
        m.nthIn = nth;
    } else {
        lost_ = std::max(0.0, lost_ - 1);  // it came late, and was counted as lost
    }
    // The last hundred or so: loss changes within tens of seconds.
    if (came_ + lost_ > 128) came_ /= 2, lost_ /= 2;
}

double Members::lossSeen(Nanoseconds) const {
    return lost_ / (lost_ + came_ + 1);
}

bool Members::heard(Nanoseconds now, int from, const Said& said) {
    if (from < 0 || from >= count() || from == me_) return false;
    if (now > next() + pace_.round / 2) tick(now);  // it was stalled, and has to know that first
    now_ = now;
    if (said.twins && said.birth != 0 && !silenced_) {
        const Twins& twins = *said.twins;
        if (twins.younger == birth_ && twins.elder != birth_ && !at(me_).elderTold) {
            at(me_).elderTold = true;
            out_.log("an older process of this front's name, birth " + std::to_string(twins.elder) +
                     ", speaks too: told by " + std::to_string(from));
        }
        const bool older = now - started_ > twins.youngerAge + sameStart ||
                           (now - started_ > twins.youngerAge - sameStart && twins.younger > birth_);
        if (twins.elder == birth_ && twins.younger != birth_ && older) {
            silenced_ = true;
            pending_.clear();
            rumours_.clear();
            out_.log("a younger process of this front's name, birth " + std::to_string(twins.younger) +
                     ", speaks for it: told by " + std::to_string(from) + ", this one is silent from now on");
            judgeSight();
            return true;
        }
    }
    if (silenced_ || said.birth == 0 || !knows(from, said)) return false;
    Member& m = at(from);
    if (m.firstHeard == 0) m.firstHeard = now;
    m.heard = lastHeard_ = now;
    m.members = said.members;
    ++heardInRound_;
    m.spoken = std::max(m.spoken, said.incarnation);
    noteLoss(m, said.nth);
    learn({from, State::here, said.incarnation, -1}, from);
    for (const Fact& fact : said.facts) learn(fact, from);
    if (said.answer) {
        const auto found = pending_.find(said.answer);
        if (found != pending_.end() &&
            (found->second.member == from || (said.about >= 0 && said.about == found->second.member))) {
            lastAnswer_ = now;
            auto next = std::move(found->second.next);
            pending_.erase(found);
            next(!said.silent);
        }
    }
    if (said.probe && said.about < 0) {
        Said answer;
        answer.answer = said.probe;
        say(from, std::move(answer));
    } else if (said.probe && said.about < count() && said.about != me_) {
        probe(said.about, pace_.answer, [this, from, number = said.probe, about = said.about](bool answered) {
            Said answer;
            answer.answer = number;
            answer.about = about;
            answer.silent = !answered;
            say(from, std::move(answer));
        });
    } else if (m.state != State::here && m.state != State::leaving && now - m.toldOff >= pace_.round) {
        // It speaks, and is held for suspect or gone: it has to know.
        m.toldOff = now;
        say(from, {});
    }
    if (!said.blockDigests.empty()) answerDigests(from, said);
    if (!said.blocks.empty()) {
        std::vector<Fact> back;
        for (const Block& block : said.blocks) {
            for (std::size_t i = 0; i < block.states.size() && i < block.incarnations.size(); ++i) {
                const Fact told{block.number * blockSize + static_cast<int>(i), block.states[i],
                                block.incarnations[i], -1};
                if (told.member < 0 || told.member >= count()) continue;
                learn(told, from);
                const Fact mine = factOf(told.member);
                if (newer(mine, told)) back.push_back(mine);
            }
        }
        for (std::size_t from0 = 0; from0 < back.size();) {
            Said more;
            for (int load = 0; from0 < back.size() && load + loadOf(back[from0]) <= mostLoad; ++from0) {
                load += loadOf(back[from0]);
                more.facts.push_back(back[from0]);
            }
            say(from, std::move(more));
        }
    }
    if (said.digest && said.digest != digest()) compare(from);
    judgeSight();
    if (said.further) out_.received(from, said.birth, m.born + said.age, *said.further);
    return true;
}

// ---- what is sent ---------------------------------------------------------------------------------

void Members::say(int to, Said said) {
    if (silenced_ || to < 0 || to >= count() || to == me_) return;
    Member& m = at(to);
    said.birth = birth_;
    said.incarnation = incarnation();
    said.age = now_ - started_;
    said.members = count();
    said.nth = ++m.nthOut;
    // One of the two sides of an exchange is enough to notice that views differ.
    if (said.probe && said.about < 0) said.digest = digest();
    int room = mostLoad - static_cast<int>(said.blockDigests.size() * 2);
    for (const Block& block : said.blocks) room -= loadOf(block);
    for (const Fact& fact : said.facts) room -= loadOf(fact);
    if (said.further) room -= static_cast<int>(said.further->bytes.size()) + 8;
    fill(said, to, room);
    out_.send(to, said);
}

bool Members::tell(Nanoseconds now, int to, Further further) {
    if (silenced_ || to < 0 || to >= count() || to == me_ || further.bytes.size() > mostFurther) return false;
    now_ = now;
    Said said;
    said.further = std::move(further);
    say(to, std::move(said));
    return true;
}

// Facts ride along: first what the receiver should know of itself, then rumours, the least told first.
void Members::fill(Said& said, int to, int room) {
    const Member& m = member(to);
    if (m.incarnation > 0 && m.state != State::here) {
        const Fact fact = factOf(to);
        if (loadOf(fact) <= room) {
            said.facts.push_back(fact);
            room -= loadOf(fact);
        }
    }
    if (rumours_.empty()) return;
    std::stable_sort(rumours_.begin(), rumours_.end(),
                     [this](int a, int b) { return member(a).sends < member(b).sends; });
    for (const int number : rumours_) {
        if (number == to) continue;
        const Fact fact = factOf(number);
        if (loadOf(fact) > room) break;
        room -= loadOf(fact);
        said.facts.push_back(fact);
        ++at(number).sends;
    }
    std::erase_if(rumours_, [this, limit = rumourLimit()](int number) {
        if (member(number).sends < limit) return false;
        at(number).sends = -1;
        return true;
    });
}

void Members::compare(int from) {
    if (now_ < nextCompare_) return;
    nextCompare_ = now_ + pace_.round;
    Said said;
    for (const std::uint32_t block : blocks_)
        said.blockDigests.push_back(static_cast<std::uint16_t>(block ^ block >> 16));
    say(from, std::move(said));
}

void Members::answerDigests(int from, const Said& said) {
    std::vector<int> differing;
    const std::size_t common = std::min(blocks_.size(), said.blockDigests.size());
    for (std::size_t i = 0; i < common; ++i)
        if (said.blockDigests[i] != static_cast<std::uint16_t>(blocks_[i] ^ blocks_[i] >> 16))
            differing.push_back(static_cast<int>(i));
    if (differing.empty()) return;
    std::rotate(differing.begin(), differing.begin() + chance_() % differing.size(), differing.end());
    // Four datagrams at most: what is left is found again in the next round.
    std::size_t i = 0;
    for (int datagrams = 0; datagrams < 4 && i < differing.size(); ++datagrams) {
        Said blocks;
        for (int load = 0; i < differing.size(); ++i) {
            Block block;
            block.number = differing[i];
            const int end = std::min(count(), (block.number + 1) * blockSize);
            for (int number = block.number * blockSize; number < end; ++number) {
                block.states.push_back(member(number).state);
                block.incarnations.push_back(member(number).incarnation);
            }
            if (load > 0 && load + loadOf(block) > mostLoad) break;
            load += loadOf(block);
            blocks.blocks.push_back(std::move(block));
        }
        say(from, std::move(blocks));
    }
}

void Members::spread() {
    // Two at a time, four times a round: a fact is everywhere within a few rounds; nothing while all is
    // known.
    for (int i = 0; i < 2 && !rumours_.empty(); ++i) {
        const int to = pick([this](int number) { return present(number); });
        if (to < 0) return;
        say(to, {});
    }
}

void Members::leave(Nanoseconds now) {
    now_ = now;
    if (std::exchange(leaving_, true) || silenced_) return;
    Member& self = at(me_);
    self.state = State::leaving;
    self.since = now;
    mark(me_);
    rumour(me_);
    out_.log("this front leaves");
    // Sixteen hear it from itself; a larger tier by rumour, within a round or two.
    std::vector<int> others;
    for (int i = 0; i < count(); ++i)
        if (present(i)) others.push_back(i);
    std::shuffle(others.begin(), others.end(), chance_);
    if (others.size() > 16) others.resize(16);
    const Fact mine = factOf(me_);
    for (const int to : others) {
        Said said;
        said.facts.push_back(mine);
        say(to, std::move(said));
    }
}

// ---- probes ---------------------------------------------------------------------------------------

int Members::pick(const std::function<bool(int)>& admits) {
    int chosen = -1;
    std::uint32_t seen = 0;
    for (int i = 0; i < count(); ++i)
        if (admits(i) && chance_() % ++seen == 0) chosen = i;
    return chosen;
}

void Members::probe(int number, Nanoseconds within, std::function<void(bool)> next, bool twice) {
    if (++lastProbe_ == 0) ++lastProbe_;
    pending_.insert_or_assign(lastProbe_,
                              Pending{number, now_ + within, twice ? now_ + within / 2 : 0, std::move(next)});
    Said said;
    said.probe = lastProbe_;
    say(number, std::move(said));
}

void Members::probeRound() {
    nextRound_ = now_ + pace_.round;
    // Nothing heard at all since the last round: this front may be the one that is cut off.
    if (heardInRound_ == 0 && count() > 2 && sight_ != Sight::alone) doubt(1);
    heardInRound_ = 0;
    const bool anyGone =
        std::any_of(members_.begin(), members_.end(), [](const Member& m) { return m.state == State::gone; });
    // Those gone are called now and then: one that is back may have nobody who knows it, and a cut may heal.
    if (anyGone && sight_ == Sight::alone)
        callTheGone(3);
    else if (anyGone && chance_() % 2 == 0)
        callTheGone(1);
    for (std::size_t tries = 0; tries <= static_cast<std::size_t>(count()); ++tries) {
        if (turn_.empty()) {
            for (int i = 0; i < count(); ++i)
                if (i != me_) turn_.push_back(i);
            std::shuffle(turn_.begin(), turn_.end(), chance_);
        }
        if (turn_.empty()) return;
        const int number = turn_.back();
        turn_.pop_back();
        if (!present(number)) continue;
        // Sent again at half the wait: two datagrams, where a lost one would call for helpers and their
        // dozen.
        return probe(
            number, patience(),
            [this, number](bool answered) {
                if (answered)
                    doubt_ = std::max(0, doubt_ - 1);
                else
                    askHelpers(number);
            },
            true);
    }
}

void Members::askHelpers(int number) {
    if (number >= count() || !present(number)) return;
    struct Round {
        int open = 0;
        bool answered = false, spoke = false;
    };
    auto round = std::make_shared<Round>();
    const Nanoseconds rest = (pace_.round - pace_.answer) * (2 + doubt_) / 2;
    std::vector<int> asked{number};  // once more itself, beside the helpers
    for (int i = 0; i < helpers; ++i) {
        const int helper = pick([&](int each) {
            return each != me_ && member(each).state == State::here &&
                   std::find(asked.begin(), asked.end(), each) == asked.end();
        });
        if (helper >= 0) asked.push_back(helper);
    }
    round->open = static_cast<int>(asked.size());
    for (const int each : asked) {
        if (++lastProbe_ == 0) ++lastProbe_;
        const bool itself = each == number;
        pending_.insert_or_assign(
            lastProbe_, Pending{each, now_ + rest, 0, [this, round, number, sent = now_](bool answered) {
                                    round->answered |= answered;
                                    // A helper that says "no answer" shows that this front hears.
                                    round->spoke |= answered || lastAnswer_ == now_;
                                    if (--round->open == 0 && !round->answered &&
                                        (number >= count() || member(number).heard < sent))
                                        failed(number, round->spoke || lastHeard_ > sent);
                                }});
        Said said;
        said.probe = lastProbe_;
        if (!itself) said.about = number;
        say(each, std::move(said));
    }
}

void Members::failed(int number, bool hearsOthers) {
    if (number >= count() || !present(number)) return;
    if (!hearsOthers) doubt(1);
    if (member(number).state == State::here)
        accuse(number, member(number).incarnation, me_);
    else
        confirm(number, me_);
}

void Members::callTheGone(int many) {
    // Those who left have said so, and are not called.
    for (int i = 0; i < many; ++i) {
        const int number =
            pick([this](int each) { return each != me_ && member(each).state == State::gone; });
        if (number < 0) return;
        probe(number, patience(), [](bool) {});
    }
}

// So many calls that all of them are lost, where the loss seen here holds both ways, about never.
int Members::callsNeeded() const {
    const double through = (1 - lossSeen(now_)) * (1 - lossSeen(now_));
    const double failing = std::clamp(1 - through, 0.05, 0.9);
    return std::clamp(static_cast<int>(std::ceil(std::log(mostError) / std::log(failing))), 4, 64);
}

// A suspicion has stood its time. Before the verdict the front calls the member itself, several times.
void Members::lastCalls() {
    for (const int number : std::vector<int>(suspects_)) {
        Member& m = at(number);
        if (m.state != State::suspect || m.verdictAt > now_) continue;
        if (m.lastCalls == 0) m.calledSince = now_ - pace_.round;
        if (m.heard > m.calledSince) {
            // It lives, and has been told; its answer to that is on the way.
            m.verdictAt = now_ + 2 * pace_.round;
            m.lastCalls = 0;
        } else if (m.lastCalls >= callsNeeded()) {
            condemn(number, me_);
        } else {
            ++m.lastCalls;
            m.verdictAt = now_ + patience();
            probe(number, patience(), [](bool) {});
        }
    }
}

// ---- the front itself -----------------------------------------------------------------------------

void Members::doubt(int by) {
    doubt_ = std::min(mostDoubt, doubt_ + by);
}

Sight Members::sight(Nanoseconds now) const {
    if (count() == 1) return Sight::whole;
    if (silenced_) return Sight::alone;
    // To hear is not enough: four rounds in which nobody answers, the first of which may be lost by chance.
    if (now - lastAnswer_ > 4 * pace_.round * (4 + doubt_) / 4) return Sight::alone;
    int here = 1;
    for (int i = 0; i < count(); ++i) here += i != me_ && member(i).state == State::here;
    if (here == count()) return Sight::whole;
    if (2 * here > count()) return Sight::most;
    return here > 1 ? Sight::few : Sight::alone;
}

void Members::judgeSight() {
    const Sight seen = sight(now_);
    if (seen == sight_) return;
    const char* why = silenced_                                                      ? "silenced"
                      : seen == Sight::alone && now_ - lastAnswer_ > 4 * pace_.round ? "nobody answers"
                                                                                     : "by who is here";
    out_.log(std::string("sees ") + nameOf(seen) + " of the tier, was " + nameOf(sight_) + ": " + why + ", " +
             std::to_string(in(State::here).size()) + " of " + std::to_string(count()));
    sight_ = seen;
    sightSince_ = now_;
}

Nanoseconds Members::next() const {
    if (silenced_ || count() == 1) return now_ + milliseconds(3'600'000);
    Nanoseconds when = std::min(nextRound_, now_ + pace_.round);
    if (!rumours_.empty()) when = std::min(when, nextSpread_);
    for (const auto& [number, pending] : pending_)
        when = std::min(when, pending.againAt ? pending.againAt : pending.until);
    for (const int number : suspects_) when = std::min(when, member(number).verdictAt);
    return std::max(when, now_);
}

void Members::tick(Nanoseconds now) {
    if (silenced_ || count() == 1) return;
    const Nanoseconds late = now - next();
    now_ = now;
    if (late > pace_.round / 2) {
        // It was stalled: what it waited for may have come and gone. It accuses nobody for that time, and
        // doubts itself for some rounds more.
        doubt(1 + static_cast<int>(std::min<Nanoseconds>(late / pace_.round, mostDoubt)));
        out_.log("this front was stalled for " + std::to_string(late / milliseconds(1)) + " ms");
        pending_.clear();
        for (const int number : suspects_) {
            at(number).verdictAt += late;
            at(number).lastCalls = 0;
        }
        nextRound_ = nextSpread_ = now;
    }
    for (auto& [number, pending] : pending_) {
        if (pending.againAt == 0 || pending.againAt > now) continue;
        pending.againAt = 0;
        Said said;
        said.probe = number;
        say(pending.member, std::move(said));
    }
    std::vector<std::function<void(bool)>> over;
    std::erase_if(pending_, [&](auto& each) {
        if (each.second.until > now) return false;
        over.push_back(std::move(each.second.next));
        return true;
    });
    for (const auto& next : over) next(false);
    lastCalls();
    if (now >= nextRound_) probeRound();
    if (now >= nextSpread_) {
        nextSpread_ = now + pace_.round / 4;
        spread();
    }
    judgeSight();
}

}  // namespace granitereel::tier
