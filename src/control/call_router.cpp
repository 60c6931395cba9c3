#include "control/call_router.hpp"

#include <optional>
#include <utility>

#include "configuration/configuration.hpp"

namespace granitereel::control {

void CallRouter::answer(std::uint64_t callId, CallOutcome kind, std::string body) {
    openCalls_.erase(callId);
    host_.toCaller({callId, kind, std::move(body), {}});
}

void CallRouter::call(std::uint64_t callId, const std::string& method, const std::vector<std::string>& path,
                      const std::string& body, Nanoseconds now) {
    const std::string resource = path.empty() ? "" : path[0];
    const std::string route = method + " " + resource + (path.size() > 1 ? "/ID" : "");
    const bool isKnown = resource == "config" || resource == "stores" || resource == "state";
    if (host_.leaving() && isKnown && resource != "state") return answer(callId, CallOutcome::shuttingDown);
    openCalls_[callId] = {"/" + resource + (path.size() > 1 ? "/" + path[1] : ""), now + maxAnswerTime};
    if (path.size() <= 2) {
        if (route == "PUT stores/ID") return putStore(callId, path[1], body, now);
        if (route == "DELETE stores/ID")
            return runUnderLease(
                callId,
                [this, callId, id = path[1]](Nanoseconds startedAt, Nanoseconds deadline) {
                    stores_.deregisterStore(callId, id, deadline, startedAt);
                },
                now);
        if (route == "PUT config") return putConfiguration(callId, body, now);
        if (route == "GET config")
            return runUnderLease(
                callId,
                [this, callId](Nanoseconds startedAt, Nanoseconds deadline) {
                    operators_.get(callId, startedAt, deadline);
                },
                now);
        if (route == "GET state") return answer(callId, CallOutcome::accepted, host_.stateText(now));
    }
    answer(callId, isKnown ? CallOutcome::methodNotAllowed : CallOutcome::notFound);
}

// An invalid body is rejected at once, as every member would; everything else waits for the lease.
void CallRouter::putStore(std::uint64_t callId, const std::string& id, const std::string& body,
                          Nanoseconds now) {
    StoreRegistration registration;
    try {
        registration = StoreRegistration::fromJson(id, body);
    } catch (const Json::exception&) {
        return answer(callId, CallOutcome::invalid, R"({"fault":"not a store's call"})");
    }
    runUnderLease(
        callId,
        [this, callId, registration](Nanoseconds startedAt, Nanoseconds deadline) {
            stores_.registerStore(callId, registration, deadline, startedAt);
        },
        now);
}

void CallRouter::putConfiguration(std::uint64_t callId, const std::string& body, Nanoseconds now) {
    Json proposed;
    try {
        configuration::parse(body);
        proposed = Json::parse(body);
    } catch (const configuration::InvalidConfiguration& error) {
        return answer(callId, CallOutcome::invalid, Json{{"fault", error.what()}}.dump());
    }
    if (host_.diskRefuses()) return answer(callId, CallOutcome::notReady);
    runUnderLease(
        callId,
        [this, callId, proposed = std::move(proposed)](Nanoseconds startedAt, Nanoseconds deadline) {
            operators_.put(callId, proposed, startedAt, deadline);
        },
        now);
}

void CallRouter::runUnderLease(std::uint64_t callId, std::function<void(Nanoseconds, Nanoseconds)> run,
                               Nanoseconds now) {
    const OpenCall& open = openCalls_.at(callId);
    if (host_.leased(now)) return run(now, open.deadline);
    waiting_.add(
        callId,
        [run = std::move(run), deadline = open.deadline](Nanoseconds startedAt) { run(startedAt, deadline); },
        now);
}

// A call that failed for lack of a majority is redirected to a member that has one, if one is known.
void CallRouter::answerOrRedirect(std::uint64_t callId, CallOutcome kind, std::string body, Nanoseconds now) {
    const bool retryable = kind == CallOutcome::noMajority || kind == CallOutcome::notReady;
    if (!retryable) return answer(callId, kind, std::move(body));
    const std::optional<std::string> member = host_.leased(now) ? std::nullopt : contacts_.longestLease(now);
    if (!member) return answer(callId, kind);
    host_.toCaller({callId, CallOutcome::redirected, {}, "http://" + *member + openCalls_[callId].path});
    openCalls_.erase(callId);
}

void CallRouter::runWaitingCalls(Nanoseconds now) {
    if (host_.leased(now))
        for (const CallsAwaitingLease::Call& each : waiting_.takeAll()) each.run(now);
    for (const CallsAwaitingLease::Call& each : waiting_.takeExpired(now))
        answerOrRedirect(each.number, CallOutcome::noMajority, {}, now);
}

}  // namespace granitereel::control
