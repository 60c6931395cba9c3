#include "fleet.hpp"

#include <spdlog/spdlog.h>

#include <boost/json.hpp>

#include "program.hpp"
#include "wire/discovery.hpp"

namespace granitereel {

namespace {

namespace json = boost::json;

// The decisions as the seeking of primaries knows them.
class Finder final : public owners::Seeker::Finder {
public:
    explicit Finder(AsyncRouter& desk) : desk_(desk) {}
    void look(int group) override { desk_.searchForOthers(group); }
    void hint(const std::string& store) override { desk_.primaryHinted(store); }
    std::optional<std::string> primary(int group) const override { return desk_.primaryOf(group); }

private:
    AsyncRouter& desk_;
};

// A guest with the decisions beside it, so that both live equally long: what it asks is made before it.
template <class Asked>
struct With {
    Asked asked;
};
struct SeekGuest final : private With<Finder>, public owners::SeekClerk {
    SeekGuest(tier::Members& members, Nanoseconds now, AsyncRouter& desk)
        : With{Finder(desk)}, owners::SeekClerk(members, now, asked) {}
};

// The decisions as the warm-up of cold stores knows them.
class Till final : public owners::Warmer::Till {
public:
    explicit Till(AsyncRouter& desk) : desk_(desk) {}
    std::vector<owners::Warmer::Cold> cold() override {
        std::vector<owners::Warmer::Cold> all;
        for (ColdStore& each : desk_.coldStores())
            all.push_back({std::move(each.id), each.startedAt, each.workShare});
        return all;
    }
    void cede(const std::string& store, double part) override { desk_.offerCredit(store, part); }
    void lend(const std::string& store, Nanoseconds work, Nanoseconds until) override {
        desk_.grantCredit(store, double(work), until);
    }

private:
    AsyncRouter& desk_;
};

struct WarmGuest final : private With<Till>, public owners::WarmClerk {
    WarmGuest(tier::Members& members, owners::Clerk& leases, const owners::Warmer::Pace& pace,
              Nanoseconds now, AsyncRouter& desk, std::function<void(const std::string&)> log)
        : With{Till(desk)}, owners::WarmClerk(members, leases, pace, now, asked, std::move(log)) {}
};

owners::Electors electorsOf(const fittings::Owners& owners, int fronts) {
    if (owners.electors_size() == 0) return owners::Electors::first(fronts);
    owners::Electors electors;
    const auto take = [fronts](const auto& from, std::vector<int>& to) {
        for (const std::uint32_t each : from) {
            if (each >= static_cast<std::uint32_t>(fronts))
                throw Misread("electors: there is no front " + std::to_string(each) + " among " +
                              std::to_string(fronts));
            to.push_back(static_cast<int>(each));
        }
        std::sort(to.begin(), to.end());
    };
    take(owners.electors(), electors.now);
    take(owners.electors_before(), electors.before);
    return electors;
}

void hostOwners(tier::Post& post, const Clock& clock, const Station& station, const fittings::Owners& owners,
                AsyncRouter& desk) {
    const Nanoseconds now = clock.now();
    owners::Terms terms;
    terms.lease = milliseconds(owners.lease_ms());
    terms.margin = milliseconds(owners.margin_ms());
    terms.spread = milliseconds(owners.spread_seconds() * 1000);
    // The seconds of the wall clock: no term is below, see Leases.
    const auto floor = static_cast<std::uint64_t>(now / 1'000'000'000);
    auto clerk = std::make_unique<owners::Clerk>(
        post.members(), electorsOf(owners, post.members().count()), terms, floor, station.seed, now,
        [](const std::string& line) { spdlog::info("owners: {}", line); });
    owners::Clerk& leases = *clerk;
    post.host(std::move(clerk));
    owners::SeekClerk* seeks = nullptr;
    if (owners.seek_primaries()) {
        auto guest = std::make_unique<SeekGuest>(post.members(), now, desk);
        seeks = guest.get();
        post.host(std::move(guest));
        desk.onSearchingProxies = [seeks, &clock](int group) { return seeks->seekers(clock.now(), group); };
    }
    owners::Warmer* warmer = nullptr;
    if (owners.warm_stores()) {
        owners::Warmer::Pace pace;
        pace.ceded = milliseconds(owners.cede_ms());
        pace.share = 1 - double(owners.assured_percent()) / 100;
        auto guest =
            std::make_unique<WarmGuest>(post.members(), leases, pace, now, desk,
                                        [](const std::string& line) { spdlog::info("warm: {}", line); });
        warmer = &guest->warmer();
        post.host(std::move(guest));
        desk.onCreditExhausted = [warmer, &clock, &post](const std::string& store, double work, double gain,
                                                         Nanoseconds until) {
            warmer->scarce(clock.now(), store, {static_cast<Nanoseconds>(work), gain, until});
            post.stir();
        };
    }
    post.shows = [&leases, seeks, warmer, &clock, &desk](json::object& line) {
        const Nanoseconds at = clock.now();
        const owners::Owners& shown = leases.owners();
        json::array held;
        for (const owners::Key key : shown.leases().held(at)) {
            const auto hold = *shown.holds(at, key);
            held.push_back(json::object{{"key", shown.leases().nameOf(key)},
                                        {"term", hold.term},
                                        {"owner", line["me"]},
                                        {"left_ms", (hold.end - at) / milliseconds(1)},
                                        {"mine", true}});
        }
        if (warmer) {
            const auto& told = warmer->told();
            line["warm"] = json::object{{"ceded", told.ceded},
                                        {"wants", told.wants},
                                        {"lent", told.lent},
                                        {"got", told.got},
                                        {"refused", told.refused}};
            for (const auto& [key, seen] : shown.seen())
                if (const std::string store = warmer->storeOf(key);
                    !store.empty() && seen.owner != line["me"])
                    held.push_back(
                        json::object{{"key", "warm/" + store},
                                     {"term", seen.term},
                                     {"owner", seen.owner},
                                     {"left_ms", std::max<Nanoseconds>(0, seen.end - at) / milliseconds(1)},
                                     {"mine", false}});
        }
        line["leases"] = held;
        json::object duties;
        if (seeks)
            for (const int group : desk.groups())
                duties["seek/" + std::to_string(group)] = seeks->seeker().duty(group);
        line["duties"] = duties;
        line["elector"] = shown.elector() != nullptr;
    };
}

}  // namespace

std::vector<asio::ip::udp::endpoint> peersOf(const Station& station) {
    std::vector<asio::ip::udp::endpoint> peers;
    try {
        for (const std::string& each : station.peers) {
            const tcp::endpoint at = endpointOf(each);
            peers.emplace_back(at.address(), at.port());
        }
    } catch (const std::invalid_argument& fault) {
        throw Misread(std::string("peers: ") + fault.what());
    }
    return peers;
}

std::unique_ptr<tier::Post> fleetOf(asio::any_io_executor on, const Clock& clock, const Station& station,
                                    const fittings::Fittings& fittings, AsyncRouter& desk) {
    if (!fittings.has_tier() || !fittings.tier().on()) return nullptr;
    const RoutingConfig& charter = station.opening.charter;
    if (!station.opening.mayTell || station.peers.empty() || station.peerListen.empty()) {
        spdlog::info("tier: off, the settings allow no telling");
        return nullptr;
    }
    tier::Place place;
    place.peers = peersOf(station);
    try {
        const tcp::endpoint listen = endpointOf(station.peerListen);
        place.listen = {listen.address(), listen.port()};
    } catch (const std::invalid_argument& fault) {
        throw Misread(std::string("peer_listen: ") + fault.what());
    }
    if (charter.proxyIndex < 0 || static_cast<std::size_t>(charter.proxyIndex) >= place.peers.size())
        throw Misread("peers: no place for front " + std::to_string(charter.proxyIndex));
    const fittings::Tier& tier = fittings.tier();
    place.name = tier.name();
    place.me = charter.proxyIndex;
    place.seed = station.seed;
    place.pace.round = milliseconds(tier.round_ms());
    place.pace.answer = milliseconds(tier.answer_ms());
    place.pace.goodFor = milliseconds(tier.good_for_ms());
    place.pace.unconfirmed = static_cast<int>(tier.unconfirmed());
    place.settled = std::max(1, charter.proxyCount);
    // As the program ends: the longest cut-off, of 3 s at most, half a second more, and as much again for
    // what may be late on its way.
    place.longestEnd = std::min(longestCutOff(charter), milliseconds(3000)) + milliseconds(1000);
    auto post = std::make_unique<tier::Post>(on, clock, std::move(place),
                                             [&desk](int fronts) { desk.setProxyCount(fronts); });
    if (fittings.has_owners() && fittings.owners().on())
        hostOwners(*post, clock, station, fittings.owners(), desk);
    return post;
}

}  // namespace granitereel
