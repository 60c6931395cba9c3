// What the state machines of control want done, in this order. What depends on a write leaves only once every
// write before it is synced (DurabilityGate); everything else leaves at once, whatever the disk does.
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
enum class CallOutcome {
    accepted,
    invalid,
    notFound,
    methodNotAllowed,
    conflict,
    tooLarge,
    redirected,
    noMajority,
    notReady,
    shuttingDown,
};
struct HttpReply {
    int status = 200;
    const char* text = "";
};
HttpReply httpReplyFor(CallOutcome outcome);

// When an output leaves: at once, or when all writes that stand before it are synced.
enum class Release { now, onceDurable };

struct ToLink {
    int link = 0;
    Json message;
    Release release = Release::now;
};
// The reply of this member's vote to its own proposer: handed back to ControlMember::voteStored when all
// writes that stand before it are synced.
struct ToSelf {
    Json reply;
};
struct ToDisk {
    std::string name;
    Json body;
};
struct ToCaller {
    std::uint64_t call = 0;
    CallOutcome outcome = CallOutcome::accepted;
    std::string body;      // JSON; empty: what the table says
    std::string location;  // where the caller is sent on to, with Kind::elsewhere
};
// A call that must not leave later than at this time, as what it rests on may no longer stand then.
constexpr Nanos noDeadline = std::numeric_limits<Nanos>::max();
// A statement of control's own at a store: STATUS, PAUSE term, RESUME or STEPDOWN term. Sent once, over a
// connection of its own.
struct ToStore {
    std::uint64_t requestId = 0;
    std::string store, service, address, text;
    int within_ms = 0;
    Nanos notAfter = noDeadline;
};
// POST /promotions. Sent once, over a connection of its own.
struct ToPlatform {
    std::uint64_t requestId = 0;
    std::string service, store, holder;
    std::uint64_t fence = 0;
    int within_ms = 0;
    Nanos notAfter = noDeadline;
};
// A change of state worth a line in the log.
struct ToLog {
    std::string line;
};
using Output = std::variant<ToLink, ToSelf, ToDisk, ToCaller, ToStore, ToPlatform, ToLog>;
using Outputs = std::vector<Output>;

}  // namespace granitereel::control
