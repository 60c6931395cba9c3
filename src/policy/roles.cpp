// Which stores there are, and which one leads each group.
#include "policy/shared.hpp"

namespace granitereel {

void Front::tendList() {
    if (!charter_.mustAsk || now_ < askAt_) return;
    askAt_ = now_ + askEvery_;
    out_.followList(true);
}

void Front::listEntry(const std::string& id, int groupNo, int zone, Standing standing, Nanos started,
                      bool primary) {
    std::erase_if(unseen_, [&](Store* s) { return s->id == id; });
    Group& group = groups_[groupNo];
    auto& slot = stores_[id];
    if (!slot) {
        slot = std::make_unique<Store>();
        slot->id = id;
        slot->group = groupNo;
        slot->zone = zone;
        slot->started = started;
        // What all fronts together keep out at a store before they have seen it work: about what a store of a
        // few cores answers well within most goal times.
        slot->window = 24.0 / fronts_;
        group.members.push_back(slot.get());
        std::sort(group.members.begin(), group.members.end(), [](auto* a, auto* b) { return a->id < b->id; });
        group.redeal = true;
    }
    Store& store = *slot;
    store.goneAt = 0;
    if (started > store.started) {  // it has started again: cold, and perhaps no longer the primary
        store.started = started;
        store.suspectSince = store.awaySince = 0;
    }
    if (standing != store.standing) standDown(store, standing);
    const bool newlyNamed = primary && !store.listedAsPrimary && standing == Standing::up;
    if (newlyNamed && !group.primary && !store.toldReplica) setPrimary(group, &store);
    store.listedAsPrimary = primary;
}

void Front::listFailed() {
    // Half a second to a second and a half, by chance, as fronts that failed together shan't call together.
    askAt_ = std::min(askAt_, now_ + millis(500 + chance_() % 1000));
}

void Front::standDown(Store& store, Standing standing) {
    if (standing == Standing::removed) store.goneAt = now_;
    if (standing == Standing::removed && charter_.onlyDrainingBinds && store.standing == Standing::up) return;
    store.standing = standing;
    watch(store);
    Group& group = groups_[store.group];
    group.redeal = true;
    if (group.primary == &store && standing != Standing::up) setPrimary(group, nullptr);
}

// Positions are times, so a report that says 'primary' tells when it was made. Of two statements the later
// one holds.
void Front::tellRole(Store& store, Role role, Nanos asOf, bool byAnswer) {
    store.roleHeard = now_;
    if (asOf < store.roleAsOf) return;
    // A primary that hands over turns writes away but still calls itself one to reads; and no store that lost
    // the role has it back within a second.
    if (role == Role::primary && store.lostRole && asOf < store.lostRole + millis(1000)) return;
    if (byAnswer) store.toldReplica = role == Role::replica;
    store.role = role;
    store.roleAsOf = asOf;
    Group& group = groups_[store.group];
    if (role == Role::replica && group.primary == &store) {
        store.lostRole = now_;
        setPrimary(group, nullptr);
    }
    if (role == Role::primary && group.primary != &store && store.standing == Standing::up &&
        (!group.primary || group.primary->roleAsOf < asOf))
        setPrimary(group, &store);
}

void Front::seekPrimary(Group& group) {
    if (!probeTellsRole_ || group.members.empty()) return;
    if (now_ - group.seekersAt >= 10 * beat_) {
        group.seekersAt = now_;
        group.seekers = out_.seekers(group.members.front()->group);
    }
    // Five looks a second: a switch takes seconds. A look costs each member a probe, so that of many fronts
    // all together send the group some 300 probes a second, not each member so many (fleet days: herd and
    // join, two seeds each, a tenth to a third fewer probes).
    const auto members = Nanos(group.members.size());
    const int seekers = group.seekers.value_or(fronts_);
    if (seekers == 0 || now_ - group.soughtAt < std::max(10 * beat_, seekers * members * millis(3))) return;
    group.soughtAt = now_;
    for (Store* store : group.members) probe(*store);
}

// For all fronts that miss it, so not paced by their number.
void Front::look(int groupNo) {
    const auto found = groups_.find(groupNo);
    if (found == groups_.end() || !probeTellsRole_ || now_ - found->second.soughtAt < 10 * beat_) return;
    found->second.soughtAt = now_;
    for (Store* store : found->second.members) probe(*store);
}

// A hint where to look, never leave to write: what the store itself says counts.
void Front::hinted(const std::string& id) {
    Store* store = find(id);
    if (!store || !probeTellsRole_ || groups_[store->group].primary == store) return;
    probe(*store);
}

Store* Front::pickForWrite(Group& group, const Transaction& transaction) {
    if (!group.primary || !wellEnough(*group.primary)) seekPrimary(group);
    if (group.primary) {
        if (!wellEnough(*group.primary)) return nullptr;
        return hasRoom(*group.primary, transaction) ? group.primary : nullptr;
    }
    // Unknown: members in order, past each that has said within the last second that it is none. The last
    // launch is kept for the primary.
    if (transaction.launches + 1 >= charter_.launchLimit) return nullptr;
    for (Store* store : group.members) {
        if (store->standing != Standing::up || !wellEnough(*store) || !hasRoom(*store, transaction)) continue;
        if (store->role == Role::replica && now_ - store->roleHeard < millis(1000)) continue;
        return store;
    }
    return nullptr;
}

}  // namespace granitereel
