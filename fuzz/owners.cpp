// Whatever stands in a further part of a sound datagram, for leases, seeking and warm-ups: read, and handed
// to a front that wants a key, grants keys and lends for a cold store. It must neither fail nor say what does
// not fit a datagram.
#include <cstdlib>

#include "owners/clerk.hpp"
#include "owners/letter.hpp"
#include "tier/letter.hpp"

using namespace granitereel;
using namespace granitereel::owners;

namespace {

struct Mouth final : tier::Outlet {
    void send(int member, const tier::Said& what) override {
        if (tier::read(tier::write(what, "t", 0, member), "t", 0, member).flaw != tier::Flaw::none)
            std::abort();
    }
    void log(const std::string&) override {}
};

struct Till final : Warmer::Till {
    std::vector<Warmer::Cold> cold() override { return {{"s", milliseconds(900'000), 0.01}}; }
    void cede(const std::string&, double by) override {
        if (by < 0) std::abort();
    }
    void lend(const std::string&, Nanoseconds work, Nanoseconds) override {
        if (work < 0) std::abort();
    }
};

struct Finder final : Seeker::Finder {
    void look(int) override {}
    void hint(const std::string&) override {}
    std::optional<std::string> primary(int) const override { return "p"; }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 1 || size > tier::mostFurther) return 0;
    const std::string body(reinterpret_cast<const char*>(data + 1), size - 1);
    Nanoseconds now = milliseconds(1'000'000);
    Mouth mouth;
    tier::Members members(0, 3, 5, 1, {}, now, mouth);
    Clerk leases(
        members, Electors::first(3), {}, 1000, 1, now, [](const std::string&) {},
        Owners::View{[] {
                         return std::vector<int>{0, 1, 2};
                     },
                     [] { return true; }});
    leases.owners().need(keyOf("k"), "k");
    Till till;
    Finder finder;
    WarmClerk warm(members, leases, {}, now, till, [](const std::string&) {});
    SeekClerk seeks(members, now, finder);
    tier::Guest* const all[] = {&leases, &seeks, &warm};
    for (int round = 0; round < 8; ++round) {
        for (tier::Guest* each : all) each->tick(now);
        all[data[0] % 3]->received(now, 1 + round % 2, 9, now, body);
        now += milliseconds(700);
    }
    // What is read is written alike.
    if (const auto talk = read(body)) {
        const auto again = read(write(*talk));
        if (!again || !(*again == *talk)) std::abort();
    }
    if (const auto read = readWarm(body)) {
        const auto again = readWarm(write(*read));
        if (!again || !(*again == *read)) std::abort();
    }
    return 0;
}
