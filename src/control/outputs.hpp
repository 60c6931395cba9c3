// Actions requested by the state machines of control, in order. Outputs that depend on a write are sent
// only once all earlier writes are synced (DurabilityGate); all others are sent at once, whatever the state
// of the disk.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "nanoseconds.hpp"

namespace granitereel::control {

using Json = nlohmann::json;

// How a call ended. `httpReplyFor` maps it to the HTTP reply.
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

// When an output is sent: at once, or when all earlier writes are synced.
enum class Release { now, onceDurable };

struct ToLink {
    int link = 0;
    Json message;
    Release release = Release::now;
};
// The reply of this member's vote to its own proposer: returned to ControlMember::handleDurableVote when
// all earlier writes are synced. Counted earlier, the own vote could be lost in a crash.
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
    std::string body;      // JSON; empty: the text of httpReplyFor
    std::string location;  // redirect target, with CallOutcome::redirected
};
// Default of `notAfter`: the time after which a call must not be sent, as its preconditions (lease, term)
// may no longer hold.
constexpr Nanoseconds noDeadline = std::numeric_limits<Nanoseconds>::max();
// A control statement for a store: STATUS, PAUSE term, RESUME or STEPDOWN term. Sent once, over its own
// connection.
struct ToStore {
    std::uint64_t requestId = 0;
    std::string store, service, address, text;
    int within_ms = 0;
    Nanoseconds notAfter = noDeadline;
};
// POST /promotions. Sent once, over its own connection.
struct ToPlatform {
    std::uint64_t requestId = 0;
    std::string service, store, holder;
    std::uint64_t fence = 0;
    int within_ms = 0;
    Nanoseconds notAfter = noDeadline;
};
// A log line.
struct ToLog {
    std::string line;
};
using Output = std::variant<ToLink, ToSelf, ToDisk, ToCaller, ToStore, ToPlatform, ToLog>;
using Outputs = std::vector<Output>;

}  // namespace granitereel::control
