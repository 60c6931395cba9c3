// What the state machines of control want done, in this order: what is written is on disk before anything
// behind it is sent or answered.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "nanos.hpp"

namespace granitereel::control {

using Json = nlohmann::json;

// How a call ended. The table in answers.cpp turns each into what its caller is told.
enum class Kind { taken, notSound, notFound, notAllowed, tooLarge, noMajority, unready };
struct Reply {
    int status = 200;
    const char* text = "";
};
Reply replyOf(Kind kind);

struct ToLink {
    int link = 0;
    Json message;
};
struct ToDisk {
    std::string name;
    Json body;
};
struct ToCaller {
    std::uint64_t call = 0;
    Kind kind = Kind::taken;
    std::string body;  // JSON; empty: what the table says
};
// A call that must not leave later than at this time, as what it rests on may no longer stand then.
constexpr Nanos anyTime = std::numeric_limits<Nanos>::max();
// A statement of control's own at a store: STATUS, PAUSE term, RESUME or STEPDOWN term. Sent once, over a
// connection of its own.
struct ToStore {
    std::uint64_t ask = 0;
    std::string store, service, address, text;
    int within_ms = 0;
    Nanos notAfter = anyTime;
};
// POST /promotions. Sent once, over a connection of its own.
struct ToPlatform {
    std::uint64_t ask = 0;
    std::string service, store, holder;
    std::uint64_t fence = 0;
    int within_ms = 0;
    Nanos notAfter = anyTime;
};
// A change of state worth a line in the log.
struct ToLog {
    std::string line;
};
using Output = std::variant<ToLink, ToDisk, ToCaller, ToStore, ToPlatform, ToLog>;
using Outputs = std::vector<Output>;

}  // namespace granitereel::control
