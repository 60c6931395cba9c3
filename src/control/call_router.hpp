// Calls over HTTP at a member of control: which part answers a call, when it may (only while the member holds
// a lease from a majority), by when, and where a caller is sent on to that this member can't serve. Free of
// I/O, clocks and chance.
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
    // What is needed of the member.
    struct Host {
        virtual ~Host() = default;
        virtual bool leased(Nanoseconds now) const = 0;
        // Whether the member was told to end, and takes no more calls.
        virtual bool leaving() const = 0;
        // Whether the member's disk takes no bytes.
        virtual bool diskRefuses() const = 0;
        // The body of GET /state.
        virtual std::string stateText(Nanoseconds now) const = 0;
        virtual void toCaller(ToCaller answer) = 0;
    };
    CallRouter(Host& host, StoreRegistry& stores, OperatorCalls& operators)
        : host_(host), stores_(stores), operators_(operators) {}

    // A call: the path by segments. Every call is answered once, within `answeredWithin` and a tick.
    void call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
              const std::string& body, Nanoseconds now);
    // The final answer, or the way to a member that has a majority where this one hasn't.
    void answerOrRedirect(std::uint64_t call, CallOutcome kind, std::string body, Nanoseconds now);
    // Runs what waited for the lease, and ends what waited for too long.
    void runWaitingCalls(Nanoseconds now);
    // Whether no call is under way.
    bool idle() const { return openCalls_.empty(); }
    RedirectHints& contacts() { return contacts_; }

    // Callers wait a second; with a tick of 50 ms and the way this is within it.
    static constexpr Nanoseconds maxAnswerTime = milliseconds(850);

private:
    struct OpenCall {
        std::string path;          // as it was called
        Nanoseconds deadline = 0;  // the latest moment of its answer
    };
    void answer(std::uint64_t call, CallOutcome kind, std::string body = {});
    void putStore(std::uint64_t call, const std::string& id, const std::string& body, Nanoseconds now);
    void putConfiguration(std::uint64_t call, const std::string& body, Nanoseconds now);
    void runUnderLease(std::uint64_t call, std::function<void(Nanoseconds now, Nanoseconds deadline)> run,
                       Nanoseconds now);

    Host& host_;
    StoreRegistry& stores_;
    OperatorCalls& operators_;
    RedirectHints contacts_;
    CallsAwaitingLease waiting_;
    std::map<std::uint64_t, OpenCall> openCalls_;
};

}  // namespace granitereel::control
