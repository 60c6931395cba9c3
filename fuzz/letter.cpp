// Whatever comes from another front: read as it is, then as the body of a sound frame, and handed to a front
// that knows eight others. It must neither fail nor say anything that does not fit a datagram.
#include "tier/letter.hpp"

#include <cstdlib>

using namespace granitereel;

namespace {

struct Mouth final : tier::Outlet {
    void send(int member, const tier::Said& what) override {
        const std::string bytes = tier::write(what, "t", 0, member);
        if (tier::read(bytes, "t", 0, member).flaw != tier::Flaw::none) std::abort();
    }
    void log(const std::string&) override {}
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    (void)tier::read(bytes, "t", 1, 0);
    if (size > tier::longestLetter - 8) return 0;
    const tier::Letter letter = tier::read(tier::frame(bytes, "t", 1, 0), "t", 1, 0);
    if (letter.flaw != tier::Flaw::none) return 0;
    Mouth mouth;
    tier::Members members(0, 70, 5, 1, {}, milliseconds(1'000'000), mouth);
    for (int i = 1; i <= 3; ++i) {
        members.heard(milliseconds(1'000'000 + i * 400), i, letter.said);
        members.tick(milliseconds(1'000'100 + i * 400));
    }
    return 0;
}
