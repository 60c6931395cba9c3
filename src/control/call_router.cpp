#include "control/call_router.hpp"

#include <optional>
#include <utility>

#include "configuration/configuration.hpp"

namespace granitereel::control {

void CallRouter::answer(std::uint64_t call, CallOutcome kind, std::string body) {
    openCalls_.erase(call);
    host_.toCaller({call, kind, std::move(body), {}});
}

void CallRouter::call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                      const std::string& body, Nanoseconds now) {
    const std::string resource = path.empty() ? "" : path[0];
    const std::string route = method + " " + resource + (path.size() > 1 ? "/ID" : "");
    const bool isKnown = resource == "config" || resource == "stores" || resource == "state";
    if (host_.leaving() && isKnown && resource != "state") return answer(call, CallOutcome::shuttingDown);
    openCalls_[call] = {"/" + resource + (path.size() > 1 ? "/" + path[1] : ""), now + maxAnswerTime};
    if (path.size() <= 2) {
        if (route == "PUT stores/ID") return putStore(call, path[1], body, now);
        if (route == "DELETE stores/ID")
            return runUnderLease(
                call,
                [this, call, id = path[1]](Nanoseconds startedAt, Nanoseconds deadline) {
                    stores_.deregisterStore(call, id, deadline, startedAt);
                },
                now);
        if (route == "PUT config") return putConfiguration(call, body, now);
        if (route == "GET config")
            return runUnderLease(
                call,
                [this, call](Nanoseconds startedAt, Nanoseconds deadline) {
                    operators_.get(call, startedAt, deadline);
                },
                now);
        if (route == "GET state") return answer(call, CallOutcome::accepted, host_.stateText(now));
    }
    answer(call, isKnown ? CallOutcome::methodNotAllowed : CallOutcome::notFound);
}

// What is invalid is so for any member; all else waits for contact with a majority.
void CallRouter::putStore(std::uint64_t call, const std::string& id, const std::string& body,
                          Nanoseconds now) {
    StoreRegistration registration;
    try {
        registration = StoreRegistration::fromJson(id, body);
    } catch (const Json::exception&) {
        return answer(call, CallOutcome::invalid, R"({"fault":"not a store's call"})");
    }
    runUnderLease(
        call,
        [this, call, registration](Nanoseconds startedAt, Nanoseconds deadline) {
            stores_.registerStore(call, registration, deadline, startedAt);
        },
        now);
}

void CallRouter::putConfiguration(std::uint64_t call, const std::string& body, Nanoseconds now) {
    Json proposed;
    try {
        configuration::parse(body);
        proposed = Json::parse(body);
    } catch (const configuration::InvalidConfiguration& error) {
        return answer(call, CallOutcome::invalid, Json{{"fault", error.what()}}.dump());
    }
    if (host_.diskRefuses()) return answer(call, CallOutcome::notReady);
    runUnderLease(
        call,
        [this, call, proposed = std::move(proposed)](Nanoseconds startedAt, Nanoseconds deadline) {
            operators_.put(call, proposed, startedAt, deadline);
        },
        now);
}

void CallRouter::runUnderLease(std::uint64_t call, std::function<void(Nanoseconds, Nanoseconds)> run,
                               Nanoseconds now) {
    const OpenCall& open = openCalls_.at(call);
    if (host_.leased(now)) return run(now, open.deadline);
    waiting_.add(
        call,
        [run = std::move(run), deadline = open.deadline](Nanoseconds startedAt) { run(startedAt, deadline); },
        now);
}

// What failed for want of a majority is sent on to a member that has one, where one is known.
void CallRouter::answerOrRedirect(std::uint64_t call, CallOutcome kind, std::string body, Nanoseconds now) {
    const bool retryable = kind == CallOutcome::noMajority || kind == CallOutcome::notReady;
    if (!retryable) return answer(call, kind, std::move(body));
    const std::optional<std::string> member = host_.leased(now) ? std::nullopt : contacts_.longestLease(now);
    if (!member) return answer(call, kind);
    host_.toCaller({call, CallOutcome::redirected, {}, "http://" + *member + openCalls_[call].path});
    openCalls_.erase(call);
}

void CallRouter::runWaitingCalls(Nanoseconds now) {
    if (host_.leased(now))
        for (const CallsAwaitingLease::Call& each : waiting_.takeAll()) each.run(now);
    for (const CallsAwaitingLease::Call& each : waiting_.takeExpired(now))
        answerOrRedirect(each.number, CallOutcome::noMajority, {}, now);
}

}  // namespace granitereel::control
