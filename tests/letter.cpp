// Datagrams between fronts: what is written is read again, and nothing else is believed.
#undef NDEBUG
#include "tier/letter.hpp"

#include <rapidcheck.h>

#include <cassert>
#include <cstdlib>

#include "tier/tier.pb.h"

using namespace granitereel;
using tier::Flaw;

namespace {

tier::Said anything() {
    tier::Said said;
    said.birth = *rc::gen::inRange<std::uint32_t>(1, UINT32_MAX);
    said.incarnation = *rc::gen::arbitrary<std::uint32_t>();
    said.age = milliseconds(*rc::gen::inRange<std::int64_t>(0, 1ll << 40));
    said.members = *rc::gen::inRange(1, 1001);
    said.nth = *rc::gen::arbitrary<std::uint32_t>();
    said.digest = *rc::gen::arbitrary<std::uint32_t>();
    said.probe = *rc::gen::arbitrary<std::uint32_t>();
    said.answer = *rc::gen::arbitrary<std::uint32_t>();
    said.about = *rc::gen::inRange(-1, 1000);
    said.silent = *rc::gen::arbitrary<bool>();
    int room = tier::mostLoad;
    for (int i = *rc::gen::inRange(0, 40); i > 0; --i) {
        const tier::Fact fact{*rc::gen::inRange(0, 1000), static_cast<tier::State>(*rc::gen::inRange(0, 4)),
                              *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::inRange(-1, 1000)};
        if ((room -= tier::loadOf(fact)) < 0) break;
        said.facts.push_back(fact);
    }
    return said;
}

void readsWhatIsWritten() {
    const bool held = rc::check("what is written is read, whatever it is", [] {
        const tier::Said said = anything();
        const std::string bytes = write(said, "bookings", 3, 200);
        RC_ASSERT(bytes.size() <= tier::longestLetter);
        const tier::Letter letter = tier::read(bytes, "bookings", 3, 200);
        RC_ASSERT(letter.flaw == Flaw::none);
        RC_ASSERT(letter.said == said);
    });
    assert(held);
}

// A whole view at 1,000 members passes in blocks, each datagram within the bound.
void carriesBlocks() {
    tier::Said said;
    said.birth = 1;
    said.members = 1000;
    tier::Block block;
    block.number = 31;
    for (int i = 0; i < tier::blockSize; ++i) {
        block.states.push_back(static_cast<tier::State>(i % 4));
        block.incarnations.push_back(i % 2 ? UINT32_MAX : static_cast<std::uint32_t>(i));
    }
    said.blocks = {block};
    assert(tier::loadOf(block) <= tier::mostLoad);
    assert(tier::read(tier::write(said, "", 0, 1), "", 0, 1).said == said);
    said.blocks.clear();
    said.blockDigests.assign(32, 0xfffe);
    assert(tier::read(tier::write(said, "", 0, 1), "", 0, 1).said == said);
}

void believesNothingElse() {
    tier::Said said;
    said.birth = 77;
    said.members = 9;
    said.incarnation = 4;
    said.probe = 5;
    said.facts = {{2, tier::State::suspect, 3, 1}};
    const std::string bytes = write(said, "a", 1, 2);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        assert(tier::read(std::string_view(bytes).substr(0, n), "a", 1, 2).flaw == Flaw::tooShort);
    assert(tier::read(bytes + "x", "a", 1, 2).flaw == Flaw::tooShort);
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string flipped = bytes;
        flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ 1 << bit % 8);
        const tier::Letter letter = tier::read(flipped, "a", 1, 2);
        assert(letter.flaw != Flaw::none && letter.said == tier::Said());
    }
    // Another tier's, another sender's, another receiver's.
    assert(tier::read(bytes, "b", 1, 2).flaw == Flaw::checksum);
    assert(tier::read(bytes, "a", 0, 2).flaw == Flaw::checksum);
    assert(tier::read(bytes, "a", 1, 3).flaw == Flaw::checksum);
}

// Versions one apart read each other while the newer says that the older may; fields that are new are passed
// over.
void readsItsNeighbours() {
    tier::wire::Letter letter;
    letter.set_birth(3);
    letter.set_members(2);
    std::string body = letter.SerializeAsString();
    body += std::string("\xa2\x06\x03new", 6);  // a field 100 that does not exist yet
    assert(tier::read(tier::frame(body, "a", 0, 1, 2, 1), "a", 0, 1).flaw == Flaw::none);
    assert(tier::read(tier::frame(body, "a", 0, 1, 2, 2), "a", 0, 1).flaw == Flaw::version);
    assert(tier::read(tier::frame(body, "a", 0, 1, 0, 0), "a", 0, 1).flaw == Flaw::version);
    assert(tier::read(tier::frame("no letter", "a", 0, 1), "a", 0, 1).flaw == Flaw::form);
    letter.set_birth(0);
    assert(tier::read(tier::frame(letter.SerializeAsString(), "a", 0, 1), "a", 0, 1).flaw == Flaw::form);
}

}  // namespace

int main() {
    ::setenv("RC_PARAMS", "seed=20261201 max_success=300", 0);
    readsWhatIsWritten();
    carriesBlocks();
    believesNothingElse();
    readsItsNeighbours();
}
