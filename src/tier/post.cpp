#include "post.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <ctime>
#include <stdexcept>

namespace granitereel::tier {

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

std::map<udp::endpoint, int> numbersOf(const std::vector<udp::endpoint>& peers) {
    std::map<udp::endpoint, int> numbers;
    for (std::size_t i = 0; i < peers.size(); ++i)
        if (!numbers.emplace(peers[i], static_cast<int>(i)).second)
            throw std::invalid_argument("peers: " + peers[i].address().to_string() + ":" +
                                        std::to_string(peers[i].port()) + " stands there twice");
    return numbers;
}

// A birth is drawn by the seed, which is new with each start, and the time: either alone would do.
std::uint32_t birthOf(std::uint64_t seed, Nanoseconds now) {
    std::seed_seq sequence{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32),
                           static_cast<std::uint32_t>(now), static_cast<std::uint32_t>(now >> 32)};
    std::uint32_t drawn[1];
    sequence.generate(drawn, drawn + 1);
    return drawn[0] == 0 ? 1 : drawn[0];
}

}  // namespace

Post::Post(asio::any_io_executor on, const Clock& clock, Place place, std::function<void(int)> present)
    : clock_(clock),
      place_(std::move(place)),
      socket_(on),
      alarm_(on),
      numbers_(numbersOf(place_.peers)),
      otherVersion_(place_.peers.size()),
      present_(std::move(present)),
      counted_(place_.settled),
      parts_(place_.settled, place_.longestEnd),
      members_(place_.me, static_cast<int>(place_.peers.size()), birthOf(place_.seed, clock.now()),
               place_.seed, place_.pace, clock.now(), *this) {
    boost::system::error_code fault;
    socket_.open(udp::v4(), fault);
    if (!fault) socket_.bind(place_.listen, fault);
    if (!fault) socket_.non_blocking(true, fault);
    if (fault)
        throw std::runtime_error("peer_listen " + place_.listen.address().to_string() + ":" +
                                 std::to_string(place_.listen.port()) + ": " + fault.message());
}

void Post::log(const std::string& line) {
    spdlog::info("tier: {}", line);
}

void Post::received(int from, std::uint32_t birth, Nanoseconds sent, const Further& further) {
    for (const auto& guest : guests_)
        if (guest->kind() == further.kind) guest->received(clock_.now(), from, birth, sent, further.bytes);
}

Nanoseconds Post::next() const {
    Nanoseconds when = members_.next();
    for (const auto& guest : guests_) when = std::min(when, guest->next());
    return when;
}

// The steady clock stands still while the machine sleeps, and the one since boot goes on (clock_gettime(2)).
// Leases are counted on the former: what was held over a sleep can't be trusted.
void Post::noticeSleep() {
    timespec boot{}, steady{};
    if (guests_.empty() || ::clock_gettime(CLOCK_BOOTTIME, &boot) != 0 ||
        ::clock_gettime(CLOCK_MONOTONIC, &steady) != 0)
        return;
    const Nanoseconds slept =
        (boot.tv_sec - steady.tv_sec) * Nanoseconds(1'000'000'000) + (boot.tv_nsec - steady.tv_nsec);
    // The two are read one after the other, some microseconds apart or as long as this thread was put aside.
    if (sleptFor_ != 0 && slept > sleptFor_ + milliseconds(100)) {
        spdlog::warn("tier: the machine slept for {} ms", (slept - sleptFor_) / milliseconds(1));
        for (const auto& guest : guests_) guest->slept(clock_.now());
    }
    sleptFor_ = sleptFor_ == 0 ? slept : std::max(sleptFor_, slept);
}

void Post::send(int member, const Said& what) {
    const std::string bytes = write(what, place_.name, place_.me, member);
    boost::system::error_code fault;
    // A full buffer, an unreachable net: the datagram is lost like any other on the way.
    socket_.send_to(asio::buffer(bytes), place_.peers[static_cast<std::size_t>(member)], 0, fault);
    if (fault) {
        ++unsent_;
        return;
    }
    ++sent_;
    sentBytes_ += bytes.size();
}

void Post::sort(const udp::endpoint& from, std::string_view bytes) {
    const auto found = numbers_.find(from);
    if (found == numbers_.end() || found->second == place_.me) {
        ++stranger_;
        return;
    }
    const Letter letter = read(bytes, place_.name, found->second, place_.me);
    switch (letter.flaw) {
        case Flaw::tooShort:
            ++short_;
            return;
        case Flaw::checksum:
            ++checksum_;
            return;
        case Flaw::version:
            ++version_;
            if (!otherVersion_[static_cast<std::size_t>(found->second)])
                spdlog::warn("tier: front {} speaks a version that is not read here", found->second);
            otherVersion_[static_cast<std::size_t>(found->second)] = true;
            return;
        case Flaw::form:
            ++form_;
            return;
        case Flaw::none:
            break;
    }
    if (members_.heard(clock_.now(), found->second, letter.said)) {
        ++heard_;
        heardBytes_ += bytes.size();
    } else {
        ++late_;
    }
    alarm_.cancel();  // what comes next may come sooner now
}

// What is decided elsewhere by the number of fronts follows the view.
void Post::count() {
    const Nanoseconds now = clock_.now();
    const int counted = parts_.count(now, members_);
    if (std::string waits = parts_.waitsFor(now, members_); waits != waits_) {
        waits_ = std::move(waits);
        if (!waits_.empty()) spdlog::info("tier: its part waits for more: {}", waits_);
    }
    if (counted == counted_) return;
    spdlog::info("tier: its part is one of {}, was one of {}", counted, counted_);
    counted_ = counted;
    present_(counted);
}

asio::awaitable<void> Post::receive() {
    // One byte more than may come: what fills it is too long, and fails the length.
    std::array<char, longestLetter + 1> bytes;
    udp::endpoint from;
    for (;;) {
        const auto [fault, n] = co_await socket_.async_receive_from(asio::buffer(bytes), from, quietly);
        if (fault == asio::error::operation_aborted) co_return;
        if (!fault) sort(from, {bytes.data(), n});
    }
}

asio::awaitable<void> Post::watch() {
    for (;;) {
        alarm_.expires_at(clock_.at(next()));
        co_await alarm_.async_wait(quietly);
        noticeSleep();
        if (clock_.now() >= members_.next()) members_.tick(clock_.now());
        for (const auto& guest : guests_)
            if (clock_.now() >= guest->next()) guest->tick(clock_.now());
        count();
    }
}

void Post::leave() {
    for (const auto& guest : guests_) guest->leave(clock_.now());
    members_.leave(clock_.now());
    alarm_.cancel();
}

void Post::takePeers(std::vector<udp::endpoint> peers) {
    if (static_cast<std::size_t>(place_.me) >= peers.size())
        throw std::invalid_argument("peers: no place for front " + std::to_string(place_.me));
    numbers_ = numbersOf(peers);
    if (peers.size() != place_.peers.size())
        spdlog::info("tier: {} fronts, were {}", peers.size(), place_.peers.size());
    parts_.listed(clock_.now(), members_, static_cast<int>(peers.size()));
    place_.peers = std::move(peers);
    otherVersion_.resize(place_.peers.size());
    members_.resize(clock_.now(), static_cast<int>(place_.peers.size()));
    alarm_.cancel();
}

std::string Post::seen() const {
    namespace json = boost::json;
    const auto numbers = [this](State state) {
        json::array list;
        for (const int each : members_.in(state)) list.push_back(each);
        return list;
    };
    json::object line;
    line["me"] = place_.me;
    line["incarnation"] = members_.incarnation();
    line["sight"] = nameOf(members_.sight(clock_.now()));
    line["here"] = numbers(State::here);
    line["suspect"] = numbers(State::suspect);
    line["gone"] = numbers(State::gone);
    line["leaving"] = numbers(State::leaving);
    line["digest"] = fmt::format("{:08x}", members_.digest());
    line["sent"] = sent_;
    line["heard"] = heard_;
    line["dropped"] = json::object{{"short", short_},     {"checksum", checksum_}, {"stranger", stranger_},
                                   {"version", version_}, {"form", form_},         {"late", late_}};
    line["counted"] = counted_;
    line["sent_bytes"] = sentBytes_;
    line["heard_bytes"] = heardBytes_;
    line["unsent"] = unsent_;
    line["doubt"] = members_.doubt();
    line["loss"] = members_.lossSeen(clock_.now());
    line["silenced"] = members_.silenced();
    if (shows) shows(line);
    return json::serialize(line);
}

}  // namespace granitereel::tier
