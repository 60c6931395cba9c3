// Routes a control member's HTTP calls to their handlers, runs them only while the member holds a lease from
// a majority, limits how long they wait, and redirects callers that this member can't serve. Deterministic:
// no I/O, clocks or randomness.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/call_redirects.hpp"
#include "control/operator_calls.hpp"
#include "control/outputs.hpp"
#include "control/store_registry.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

class CallRouter {
public:
    // Interface to the owning member.
    struct Host {
        virtual ~Host() = default;
        virtual bool leased(Nanoseconds now) const = 0;
        // Whether the member is shutting down and accepts no more calls.
        virtual bool leaving() const = 0;
        // Whether the member's disk rejects writes.
        virtual bool diskRefuses() const = 0;
        // The body of GET /state.
        virtual std::string stateText(Nanoseconds now) const = 0;
        virtual void toCaller(ToCaller answer) = 0;
    };
    CallRouter(Host& host, StoreRegistry& stores, OperatorCalls& operators)
        : host_(host), stores_(stores), operators_(operators) {}

    // `path`: by segments. Every call is answered exactly once, within `maxAnswerTime` plus one tick.
    void call(std::uint64_t callId, const std::string& method, const std::vector<std::string>& path,
              const std::string& body, Nanoseconds now);
    // Sends the final answer, or a redirect to a member that has a majority if this one has none.
    void answerOrRedirect(std::uint64_t callId, CallOutcome kind, std::string body, Nanoseconds now);
    // Runs the calls that waited for the lease, and fails those that waited too long.
    void runWaitingCalls(Nanoseconds now);
    // Whether no call is in progress.
    bool idle() const { return openCalls_.empty(); }
    RedirectHints& contacts() { return contacts_; }

    // Callers time out after 1 s; this leaves room for a tick of 50 ms and the network.
    static constexpr Nanoseconds maxAnswerTime = milliseconds(850);

private:
    struct OpenCall {
        std::string path;          // as requested
        Nanoseconds deadline = 0;  // latest time of the answer
    };
    void answer(std::uint64_t callId, CallOutcome kind, std::string body = {});
    void putStore(std::uint64_t callId, const std::string& id, const std::string& body, Nanoseconds now);
    void putConfiguration(std::uint64_t callId, const std::string& body, Nanoseconds now);
    void runUnderLease(std::uint64_t callId, std::function<void(Nanoseconds now, Nanoseconds deadline)> run,
                       Nanoseconds now);

    Host& host_;
    StoreRegistry& stores_;
    OperatorCalls& operators_;
    RedirectHints contacts_;
    CallsAwaitingLease waiting_;
    std::map<std::uint64_t, OpenCall> openCalls_;
};

}  // namespace granitereel::control
