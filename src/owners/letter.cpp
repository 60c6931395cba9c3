#include "letter.hpp"

#include <algorithm>

#include "owners/owners.pb.h"

namespace granitereel::owners {

namespace {

std::uint32_t wireTime(Nanoseconds time) {
    return static_cast<std::uint32_t>(time <= 0 ? 0 : (time + milliseconds(1) - 1) / milliseconds(1));
}
// No lease, silence or hold is longer than an hour.
constexpr std::uint32_t longest = 3'600'000;

}  // namespace

std::string write(const Talk& talk) {
    wire::Talk to;
    to.set_electors(talk.electors);
    to.set_highest(talk.highest);
    to.set_number(talk.number);
    to.set_lease_ms(wireTime(talk.lease));
    for (const Ask& ask : talk.asks) {
        wire::Ask* each = to.add_asks();
        each->set_key(ask.key);
        each->set_term(ask.term);
    }
    to.set_renews(talk.renews);
    to.set_held(talk.held);
    for (const Release& release : talk.releases) {
        wire::Release* each = to.add_releases();
        each->set_key(release.key);
        each->set_term(release.term);
        each->set_hold_ms(wireTime(release.hold));
    }
    to.set_answers(talk.answers);
    for (const Reply& reply : talk.replies) {
        wire::Reply* each = to.add_replies();
        each->set_key(reply.key);
        each->set_granted(reply.granted);
        each->set_term(reply.term);
        each->set_owner(static_cast<std::uint32_t>(reply.owner + 1));
        each->set_busy_ms(wireTime(reply.busy));
    }
    to.set_same(talk.same);
    to.set_silent_ms(wireTime(talk.silent));
    to.set_other_list(talk.otherList);
    for (const Key key : talk.handed) to.add_handed(key);
    return to.SerializeAsString();
}

std::string write(const Seek& seek) {
    wire::Seek to;
    for (const int group : seek.wants) to.add_wants(static_cast<std::uint32_t>(group));
    for (const int group : seek.looking) to.add_looking(static_cast<std::uint32_t>(group));
    for (const Seek::Found& each : seek.found) {
        wire::Found* found = to.add_found();
        found->set_group(static_cast<std::uint32_t>(each.group));
        found->set_store(each.store);
    }
    return to.SerializeAsString();
}

std::optional<Seek> readSeek(const std::string& bytes) {
    wire::Seek from;
    if (!from.ParseFromString(bytes)) return {};
    // Groups are numbered up to this in lists.
    constexpr std::uint32_t most = 1'000'000'000;
    const auto sound = [](const auto& groups) {
        return std::all_of(groups.begin(), groups.end(), [](std::uint32_t group) { return group <= most; });
    };
    if (!sound(from.wants()) || !sound(from.looking())) return {};
    Seek seek;
    seek.wants.assign(from.wants().begin(), from.wants().end());
    seek.looking.assign(from.looking().begin(), from.looking().end());
    for (const wire::Found& each : from.found()) {
        if (each.group() > most) return {};
        seek.found.push_back({static_cast<int>(each.group()), each.store()});
    }
    return seek;
}

std::optional<Talk> read(const std::string& bytes) {
    wire::Talk from;
    if (!from.ParseFromString(bytes) || from.lease_ms() > longest || from.silent_ms() > longest) return {};
    Talk talk;
    talk.electors = from.electors();
    talk.highest = from.highest();
    talk.number = from.number();
    talk.lease = milliseconds(from.lease_ms());
    for (const wire::Ask& each : from.asks()) talk.asks.push_back({each.key(), each.term()});
    talk.renews = from.renews();
    talk.held = from.held();
    for (const wire::Release& each : from.releases()) {
        if (each.hold_ms() > longest) return {};
        talk.releases.push_back({each.key(), each.term(), milliseconds(each.hold_ms())});
    }
    talk.answers = from.answers();
    for (const wire::Reply& each : from.replies()) {
        if (each.busy_ms() > longest || each.owner() > 1 << 16) return {};
        talk.replies.push_back({each.key(), each.granted(), each.term(), static_cast<int>(each.owner()) - 1,
                                milliseconds(each.busy_ms())});
    }
    talk.same = from.same();
    talk.silent = milliseconds(from.silent_ms());
    talk.otherList = from.other_list();
    talk.handed.assign(from.handed().begin(), from.handed().end());
    return talk;
}

namespace {
// Work as it travels: whole microseconds, rounded up.
std::uint32_t wireWork(Nanoseconds work) {
    return static_cast<std::uint32_t>(work <= 0 ? 0 : std::min<Nanoseconds>((work + 999) / 1000, UINT32_MAX));
}
// No transaction works for longer than this.
constexpr std::uint32_t mostWork = 600'000'000;
constexpr std::uint64_t latestStart = INT64_MAX / 1'000'000;
}  // namespace

std::string write(const Warm& warm) {
    wire::Warm to;
    for (const Warm::Open& each : warm.opens) {
        wire::Open* open = to.add_opens();
        open->set_key(each.key);
        open->set_term(each.term);
        open->set_left_ms(wireTime(each.left));
        open->set_call(each.call);
    }
    for (const Warm::Cession& each : warm.cessions) {
        wire::Cession* cession = to.add_cessions();
        cession->set_key(each.key);
        cession->set_number(each.number);
        cession->set_start_ms(static_cast<std::uint64_t>(each.start / milliseconds(1)));
        cession->set_part(each.part);
        cession->set_time_ms(wireTime(each.time));
    }
    for (const Warm::Want& each : warm.wants) {
        wire::Want* want = to.add_wants();
        want->set_key(each.key);
        want->set_term(each.term);
        want->set_work_us(wireWork(each.work));
        want->set_gain(each.gain);
        want->set_wait_ms(wireTime(std::min(each.wait, milliseconds(longest))));
    }
    for (const Warm::Slice& each : warm.slices) {
        wire::Slice* slice = to.add_slices();
        slice->set_key(each.key);
        slice->set_term(each.term);
        slice->set_start_ms(static_cast<std::uint64_t>(each.start / milliseconds(1)));
        slice->set_work_us(wireWork(each.work));
        slice->set_left_ms(wireTime(each.left));
    }
    for (const Warm::Other& each : warm.others) {
        wire::Other* other = to.add_others();
        other->set_key(each.key);
        other->set_owner(static_cast<std::uint32_t>(each.owner + 1));
    }
    for (const Warm::Return& each : warm.returns) {
        wire::Return* given = to.add_returns();
        given->set_key(each.key);
        given->set_number(each.number);
    }
    return to.SerializeAsString();
}

std::optional<Warm> readWarm(const std::string& bytes) {
    wire::Warm from;
    if (!from.ParseFromString(bytes)) return {};
    Warm warm;
    for (const wire::Open& each : from.opens()) {
        if (each.left_ms() > longest) return {};
        warm.opens.push_back({each.key(), each.term(), milliseconds(each.left_ms()), each.call()});
    }
    for (const wire::Cession& each : from.cessions()) {
        // A part of more than a thousand cores is nobody's.
        if (each.start_ms() > latestStart || each.time_ms() > longest || each.part() > 1'000'000'000)
            return {};
        warm.cessions.push_back({each.key(), each.number(),
                                 milliseconds(static_cast<std::int64_t>(each.start_ms())), each.part(),
                                 milliseconds(each.time_ms())});
    }
    for (const wire::Want& each : from.wants()) {
        if (each.work_us() > mostWork || each.wait_ms() > longest || !(each.gain() >= 0)) return {};
        warm.wants.push_back({each.key(), each.term(), Nanoseconds(each.work_us()) * 1000, each.gain(),
                              milliseconds(each.wait_ms())});
    }
    for (const wire::Slice& each : from.slices()) {
        if (each.start_ms() > latestStart || each.work_us() > mostWork || each.left_ms() > longest) return {};
        warm.slices.push_back({each.key(), each.term(),
                               milliseconds(static_cast<std::int64_t>(each.start_ms())),
                               Nanoseconds(each.work_us()) * 1000, milliseconds(each.left_ms())});
    }
    for (const wire::Other& each : from.others()) {
        if (each.owner() > 1 << 16) return {};
        warm.others.push_back({each.key(), static_cast<int>(each.owner()) - 1});
    }
    for (const wire::Return& each : from.returns()) warm.returns.push_back({each.key(), each.number()});
    return warm;
}

}  // namespace granitereel::owners
