// Who is on record of a lead: replicas that come, that are young, that leave and are released, and the
// addresses at which their logs pass on.
#include <algorithm>

#include "control/succession.hpp"

namespace granitereel::control {

namespace {
// A store that has left ends within this: it waits no longer for its call's answer.
constexpr Nanoseconds endsWithin = milliseconds(1000);
// How often it is looked whether those that stay have what one that left had.
constexpr Nanoseconds releaseAgain = milliseconds(500);
// How often it is looked which replicas are young.
constexpr Nanoseconds noteAgain = milliseconds(1000);
// Of this many released replicas it is kept where their logs pass on; beyond, their heirs are young.
constexpr std::size_t vacatedMost = 16;
}  // namespace

std::string Succession::addressOf(const std::string& store, const Lead& lead) const {
    if (const Json* body = record(store)) return body->value("address", "");
    const auto told = lead.addresses.find(store);
    return told != lead.addresses.end() ? told->second : "";
}

// A store that crashed may be back at its address, with its log, under another name, and its record under the
// former one stands. Of two names at the lead's address either may be the present one; both mean the lead's
// own log.
bool Succession::isOrWas(const std::string& store, const Lead& lead) const {
    if (store == lead.store) return true;
    const Json* body = record(lead.store);
    const std::string address = addressOf(store, lead);
    return body && !address.empty() && body->value("address", "") == address;
}

std::map<std::string, std::string> Succession::addressesOf(const std::set<std::string>& stores,
                                                           const Lead& before) const {
    std::map<std::string, std::string> all;
    for (const std::string& store : stores)
        if (record(store) || before.addresses.count(store)) all[store] = addressOf(store, before);
    return all;
}

bool Succession::gone(const std::string& store) const {
    const gossip::Record* found = means_.recordTable().find("store/" + store);
    return found && found->body.is_null();
}

// Who belongs to the service is kept with the lead, as after a loss only that tells who must be heard. One
// that the registry lacks may only not have called yet; one that left may have the only copy of a commit:
// both stay, until release().
void Succession::updateReplicas(const Lead& lead, Nanoseconds now) {
    std::set<std::string> replicas = lead.replicas;
    for (const std::string& store : listed()) replicas.insert(store);
    std::erase_if(replicas, [&](const std::string& store) { return isOrWas(store, lead); });
    const YoungReplicas young = youngOf(replicas, lead, now);
    if (replicas != lead.replicas || young != lead.young || addressesOf(replicas, lead) != lead.addresses)
        return writeReplicas(lead, replicas, young);
    if (std::any_of(replicas.begin(), replicas.end(), [&](const auto& each) { return gone(each); }))
        askForRelease(lead, now);
    else
        goneSince_ = 0;
}

// Whether the log of a replica that is not young has passed on to the store: it is at its address.
bool Succession::hasLogOfKnown(const std::string& store, const Lead& lead) const {
    const std::string address = addressOf(store, lead);
    if (address.empty()) return false;
    if (lead.vacated.count(address)) return true;
    return std::any_of(lead.replicas.begin(), lead.replicas.end(), [&](const std::string& known) {
        return !lead.young.count(known) && addressOf(known, lead) == address;
    });
}

// An address that another service's store has taken passes no log of this one on any more.
std::set<std::string> Succession::vacatedBehind(const Lead& lead,
                                                const std::set<std::string>& replicas) const {
    std::set<std::string> vacated = lead.vacated;
    for (const std::string& store : lead.replicas)
        if (!replicas.count(store) && !lead.young.count(store)) vacated.insert(addressOf(store, lead));
    vacated.erase("");
    means_.recordTable().forEachWithPrefix("store/", [&](const std::string&, const gossip::Record& r) {
        if (r.body.is_object()) vacated.erase(r.body.value("address", ""));
    });
    while (vacated.size() > vacatedMost) vacated.erase(vacated.begin());
    return vacated;
}

// Each member counts for how long replicas have been on record, so that the next owner knows it, too.
void Succession::noteYoung(Nanoseconds now) {
    if (now - notedAt_ < noteAgain) return;
    notedAt_ = now;
    const gossip::Record* found = means_.recordTable().find("lead/" + service_);
    const bool any = found && found->body.is_object() && found->body.contains("young");
    ages_.note(any ? found->body["young"].get<YoungReplicas>() : YoungReplicas(), now);
}

// Of the replicas to be on record next those that are young, with their ages.
YoungReplicas Succession::youngOf(const std::set<std::string>& replicas, const Lead& lead,
                                  Nanoseconds now) const {
    YoungReplicas young;
    for (const std::string& store : replicas) {
        const bool isNew = !lead.replicas.count(store);
        if (isNew ? hasLogOfKnown(store, lead) : !lead.young.count(store)) continue;
        const unsigned age = isNew ? 0 : std::max(lead.young.at(store), ages_.age(store, now));
        if (age < ReplicaAges::grownUp) young[store] = age;
    }
    return young;
}

void Succession::writeReplicas(const Lead& lead, std::set<std::string> replicas, YoungReplicas young) {
    Lead next = lead;
    next.young = std::move(young);
    next.vacated = vacatedBehind(lead, replicas);
    next.addresses = addressesOf(replicas, lead);
    next.replicas = std::move(replicas);
    ++next.seq;
    changing_ = true;
    means_.change(service_, lead.seq, next, [this](auto) { changing_ = false; });
}

// A replica that left counts for the synchronous ones until it has ended, and takes its log along. When it
// has ended, the primary is asked how far it is, then the replicas that stay.
void Succession::askForRelease(const Lead& lead, Nanoseconds now) {
    if (goneSince_ == 0) goneSince_ = now;
    if (now - goneSince_ < endsWithin || now - askedAt_ < releaseAgain) return;
    askedAt_ = now;
    rows_.clear();
    ask(lead.store, Statement::status, "STATUS", now);
}

// What the primary has is on as many of those that stay as are synchronous: those that left are released.
void Succession::rowForRelease(const Ask& asked, const StoreRow& row, Nanoseconds now) {
    const auto lead = known();
    if (!lead || !lead->steady || changing_ || asked.what != Statement::status) return;
    std::set<std::string> staying;
    for (const std::string& store : lead->replicas)
        if (!gone(store)) staying.insert(store);
    if (asked.store == lead->store) {
        if (!row.primary || row.term != lead->term) return;
        rows_[lead->store] = row;
        for (const std::string& store : staying) ask(store, Statement::status, "STATUS", now);
        return;
    }
    const auto primary = rows_.find(lead->store);
    if (primary == rows_.end() || !staying.count(asked.store)) return;
    rows_[asked.store] = row;
    const auto sync = static_cast<std::size_t>(std::max(0, means_.syncReplicas(service_)));
    const auto have =
        static_cast<std::size_t>(std::count_if(rows_.begin(), rows_.end(), [&](const auto& each) {
            return each.first != lead->store && !(each.second.received < primary->second.received);
        }));
    if (have < std::max<std::size_t>(1, std::min(sync, staying.size()))) return;
    rows_.clear();
    goneSince_ = 0;
    writeReplicas(*lead, staying, youngOf(staying, *lead, now));
}

}  // namespace granitereel::control
