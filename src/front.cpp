// What the module keeps and hands on; nothing is decided here. The decisions stand in src/policy.
#include "front.hpp"

#include <algorithm>

#include "policy/shared.hpp"

namespace granitereel {

int Front::lane(const Lane& lane) {
    for (std::size_t i = 0; i < lanes_.size(); ++i)
        if (lanes_[i].name == lane.name) return static_cast<int>(i);
    lanes_.push_back(lane);
    laneTime_.emplace_back();
    usualPatience_.emplace_back();
    weighLanes();
    return static_cast<int>(lanes_.size()) - 1;
}

void Front::listBegins(bool whole) {
    unseen_.clear();
    if (whole)
        for (auto& [id, store] : stores_)
            if (store->standing != Standing::removed) unseen_.push_back(store.get());
}

void Front::listEnds() {
    for (Store* store : unseen_) standDown(*store, Standing::removed);
    unseen_.clear();
    for (auto& [no, group] : groups_)
        if (group.redeal) deal(group);
}

void Front::setPrimary(Group& group, Store* store) {
    if (group.primary == store) return;
    const Store* named = store ? store : group.primary;
    out_.log("group " + std::to_string(named->group) + (store ? ": primary is " : ": primary lost, was ") +
             named->id);
    group.primary = store;
    group.redeal = true;
}

void Front::leads(int groupNo, const std::string& id) {
    Group& group = groups_[groupNo];
    Store* store = find(id);
    for (Store* member : group.members) {
        member->role = member == store ? Role::primary : Role::replica;
        member->toldReplica = member != store;
    }
    setPrimary(group, store && store->standing == Standing::up ? store : nullptr);
}

std::optional<std::string> Front::primaryOf(int groupNo) const {
    const auto found = groups_.find(groupNo);
    if (found == groups_.end() || !found->second.primary || !wellEnough(*found->second.primary)) return {};
    return found->second.primary->id;
}

int Front::poolSize(const Group& group, Pool pool) const {
    return static_cast<int>(std::count_if(group.members.begin(), group.members.end(),
                                          [&](const Store* s) { return s->pool == pool; }));
}

void Front::tellPosition(Store& store, Nanos position) {
    store.position = std::max(store.position, position);
    store.positionTold = now_;
}

void Front::giveUp(const std::string& id) {
    if (Transaction* t = inHand(id)) finish(*t);
}

void Front::forget(Transaction& t) {
    if (t.held) std::erase(t.group->held, &t);
    if (t.out > 0 && charter_.mayCancel)
        for (Store* store : t.group->members)
            for (Launch& launch : store->out)
                if (!launch.cancelled && launch.transaction == t.id) {
                    launch.cancelled = true;
                    out_.cancel(launch.transaction, launch.number);
                }
    transactions_.erase(t.id);
}

// The answer of a streamed lane has begun: the client has it now, and no time binds it any more.
void Front::begun(const std::string& id) {
    if (Transaction* t = inHand(id)) t->goal = t->cutOff = std::numeric_limits<Nanos>::max();
}

void Front::lapsed(const std::string& id) {
    if (Transaction* t = inHand(id)) forget(*t);
}

void Front::reported(const std::string& id, std::optional<Nanos> position, std::optional<bool> primary) {
    Store* store = find(id);
    if (!store) return;
    if (position) tellPosition(*store, *position);
    if (primary && position) tellRole(*store, *primary ? Role::primary : Role::replica, *position, false);
}

void Front::lags(const std::string& id, Nanos position) {
    Store* store = find(id);
    if (!store) return;
    store->position = position;
    store->positionTold = now_;
}

// Has the round look at a store until it is quiet again.
void Front::watch(Store& store) {
    if (!std::exchange(store.watched, true)) watched_.push_back(&store);
}

// What it cost the store is taken to be what it cost here, and is booked to a cold one as work: a crowd of
// new connections alone could push it over.
void Front::shookHands(const std::string& id, Nanos work) {
    Store* store = find(id);
    if (store && coldShare(*store) < 1) store->coldCredit -= double(work);
}

}  // namespace granitereel
