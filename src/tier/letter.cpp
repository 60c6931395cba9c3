#include "letter.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <stdexcept>

#include "tier/tier.pb.h"

namespace granitereel::tier {

namespace {

constexpr std::size_t head = 8, sumAt = 4;

std::uint32_t sumOf(std::string_view bytes, std::string_view tier, int from, int to) {
    const std::array<std::uint32_t, 2> way{static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(to)};
    const std::uint32_t seed = XXH32(way.data(), sizeof way, XXH32(tier.data(), tier.size(), 0));
    return XXH32(bytes.data() + head, bytes.size() - head, XXH32(bytes.data(), sumAt, seed));
}

std::uint32_t number(std::string_view bytes, std::size_t at, std::size_t width) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < width; ++i)
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << 8 * i;
    return value;
}

void put(std::string& bytes, std::size_t at, std::uint32_t value, std::size_t width) {
    for (std::size_t i = 0; i < width; ++i) bytes[at + i] = static_cast<char>(value >> 8 * i);
}

// Numbers of members and lists of peers are far below this everywhere.
constexpr std::uint32_t mostMembers = 1 << 16;

// Whether a Letter says what can be; then it is taken over.
bool take(const wire::Letter& letter, Said& said) {
    if (letter.birth() == 0 || letter.members() == 0 || letter.members() > mostMembers ||
        letter.about() > mostMembers || letter.further().kind() > mostMembers ||
        letter.age_ms() > static_cast<std::uint64_t>(INT64_MAX / milliseconds(1)) ||
        letter.facts_size() % 3 != 0 || letter.block_digests().size() % 2 != 0)
        return false;
    said.birth = letter.birth();
    said.incarnation = letter.incarnation();
    said.age = milliseconds(static_cast<std::int64_t>(letter.age_ms()));
    said.members = static_cast<int>(letter.members());
    said.nth = letter.nth();
    said.digest = letter.digest();
    said.probe = letter.probe();
    said.answer = letter.answer();
    said.about = static_cast<int>(letter.about()) - 1;
    said.silent = letter.silent();
    if (letter.has_twins()) {
        const auto& twins = letter.twins();
        if (twins.younger_age_ms() > static_cast<std::uint64_t>(INT64_MAX / milliseconds(1))) return false;
        said.twins = Twins{twins.younger(), twins.elder(),
                           milliseconds(static_cast<std::int64_t>(twins.younger_age_ms()))};
    }
    for (int i = 0; i < letter.facts_size(); i += 3) {
        const std::uint32_t who = letter.facts(i), by = letter.facts(i + 2);
        if (who / 4 >= mostMembers || by > mostMembers) return false;
        said.facts.push_back({static_cast<int>(who / 4), static_cast<State>(who % 4), letter.facts(i + 1),
                              static_cast<int>(by) - 1});
    }
    for (std::size_t i = 0; i < letter.block_digests().size(); i += 2)
        said.blockDigests.push_back(static_cast<std::uint16_t>(number(letter.block_digests(), i, 2)));
    for (const wire::Block& from : letter.blocks()) {
        if (from.number() > mostMembers / blockSize || from.size() > blockSize ||
            from.states().size() != (from.size() + 3) / 4 ||
            from.incarnations_size() != static_cast<int>(from.size()))
            return false;
        Block block;
        block.number = static_cast<int>(from.number());
        for (std::uint32_t i = 0; i < from.size(); ++i) {
            block.states.push_back(
                static_cast<State>(static_cast<unsigned char>(from.states()[i / 4]) >> i % 4 * 2 & 3));
            block.incarnations.push_back(from.incarnations(static_cast<int>(i)));
        }
        said.blocks.push_back(std::move(block));
    }
    if (letter.has_further())
        said.further = Further{static_cast<int>(letter.further().kind()), letter.further().body()};
    return true;
}

}  // namespace

std::string write(const Said& said, std::string_view tier, int from, int to) {
    wire::Letter letter;
    letter.set_birth(said.birth);
    letter.set_incarnation(said.incarnation);
    letter.set_age_ms(static_cast<std::uint64_t>(said.age / milliseconds(1)));
    letter.set_members(static_cast<std::uint32_t>(said.members));
    letter.set_nth(said.nth);
    letter.set_digest(said.digest);
    letter.set_probe(said.probe);
    letter.set_answer(said.answer);
    letter.set_about(static_cast<std::uint32_t>(said.about + 1));
    letter.set_silent(said.silent);
    if (said.twins) {
        letter.mutable_twins()->set_younger(said.twins->younger);
        letter.mutable_twins()->set_elder(said.twins->elder);
        letter.mutable_twins()->set_younger_age_ms(
            static_cast<std::uint64_t>(said.twins->youngerAge / milliseconds(1)));
    }
    for (const Fact& fact : said.facts) {
        letter.add_facts(static_cast<std::uint32_t>(fact.member) * 4 +
                         static_cast<std::uint32_t>(fact.state));
        letter.add_facts(fact.incarnation);
        letter.add_facts(static_cast<std::uint32_t>(fact.by + 1));
    }
    for (const std::uint16_t digest : said.blockDigests) {
        letter.mutable_block_digests()->push_back(static_cast<char>(digest));
        letter.mutable_block_digests()->push_back(static_cast<char>(digest >> 8));
    }
    for (const Block& block : said.blocks) {
        wire::Block* to_ = letter.add_blocks();
        to_->set_number(static_cast<std::uint32_t>(block.number));
        to_->set_size(static_cast<std::uint32_t>(block.states.size()));
        std::string states((block.states.size() + 3) / 4, '\0');
        for (std::size_t i = 0; i < block.states.size(); ++i)
            states[i / 4] = static_cast<char>(states[i / 4] | static_cast<int>(block.states[i]) << i % 4 * 2);
        to_->set_states(states);
        for (const std::uint32_t each : block.incarnations) to_->add_incarnations(each);
    }
    if (said.further) {
        letter.mutable_further()->set_kind(static_cast<std::uint32_t>(said.further->kind));
        letter.mutable_further()->set_body(said.further->bytes);
    }
    return frame(letter.SerializeAsString(), tier, from, to);
}

std::string frame(std::string_view body, std::string_view tier, int from, int to, std::uint8_t version,
                  std::uint8_t oldest) {
    std::string bytes(head, '\0');
    bytes += body;
    if (bytes.size() > longestLetter) throw std::length_error("a datagram between fronts of over 256 bytes");
    put(bytes, 0, static_cast<std::uint32_t>(bytes.size()), 2);
    put(bytes, 2, version, 1);
    put(bytes, 3, oldest, 1);
    put(bytes, sumAt, sumOf(bytes, tier, from, to), 4);
    return bytes;
}

Letter read(std::string_view bytes, std::string_view tier, int from, int to) {
    Letter letter;
    const auto flawed = [&](Flaw flaw) {
        letter.said = {};
        letter.flaw = flaw;
        return letter;
    };
    if (bytes.size() < head || bytes.size() != number(bytes, 0, 2)) return flawed(Flaw::tooShort);
    if (number(bytes, sumAt, 4) != sumOf(bytes, tier, from, to)) return flawed(Flaw::checksum);
    if (number(bytes, 3, 1) > letterVersion || number(bytes, 2, 1) < oldestReader)
        return flawed(Flaw::version);
    wire::Letter parsed;
    if (!parsed.ParseFromArray(bytes.data() + head, static_cast<int>(bytes.size() - head)) ||
        !take(parsed, letter.said))
        return flawed(Flaw::form);
    return letter;
}

}  // namespace granitereel::tier
