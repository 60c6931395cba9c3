#include "control/call_router.hpp"

#include <optional>
#include <utility>

#include "configuration/configuration.hpp"

namespace granitereel::control {

void CallRouter::answer(std::uint64_t call, Kind kind, std::string body) {
    openCalls_.erase(call);
    host_.toCaller({call, kind, std::move(body), {}});
}

void CallRouter::call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                      const std::string& body, Nanos now) {
    const std::string resource = path.empty() ? "" : path[0];
    const std::string route = method + " " + resource + (path.size() > 1 ? "/ID" : "");
    const bool isKnown = resource == "config" || resource == "stores" || resource == "state";
    if (host_.leaving() && isKnown && resource != "state") return answer(call, Kind::leaving);
    openCalls_[call] = {"/" + resource + (path.size() > 1 ? "/" + path[1] : ""), now + maxAnswerTime};
    if (path.size() <= 2) {
        if (route == "PUT stores/ID") return putStore(call, path[1], body, now);
        if (route == "DELETE stores/ID")
            return runUnderLease(
                call,
                [this, call, id = path[1]](Nanos startedAt, Nanos deadline) {
                    stores_.deregisterStore(call, id, deadline, startedAt);
                },
                now);
        if (route == "PUT config") return putConfiguration(call, body, now);
        if (route == "GET config")
            return runUnderLease(
                call,
                [this, call](Nanos startedAt, Nanos deadline) { operators_.get(call, startedAt, deadline); },
                now);
        if (route == "GET state") return answer(call, Kind::taken, host_.stateText(now));
    }
    answer(call, isKnown ? Kind::notAllowed : Kind::notFound);
}

// What is invalid is so for any member; all else waits for contact with a majority.
void CallRouter::putStore(std::uint64_t call, const std::string& id, const std::string& body, Nanos now) {
    StoreRegistration registration;
    try {
        registration = StoreRegistration::fromJson(id, body);
    } catch (const Json::exception&) {
        return answer(call, Kind::notSound, R"({"fault":"not a store's call"})");
    }
    runUnderLease(
        call,
        [this, call, registration](Nanos startedAt, Nanos deadline) {
            stores_.registerStore(call, registration, deadline, startedAt);
        },
        now);
}

void CallRouter::putConfiguration(std::uint64_t call, const std::string& body, Nanos now) {
    Json proposed;
    try {
        configuration::read(body);
        proposed = Json::parse(body);
    } catch (const configuration::Invalid& error) {
        return answer(call, Kind::notSound, Json{{"fault", error.what()}}.dump());
    }
    if (host_.diskRefuses()) return answer(call, Kind::unready);
    runUnderLease(
        call,
        [this, call, proposed = std::move(proposed)](Nanos startedAt, Nanos deadline) {
            operators_.put(call, proposed, startedAt, deadline);
        },
        now);
}

void CallRouter::runUnderLease(std::uint64_t call, std::function<void(Nanos, Nanos)> run, Nanos now) {
    const OpenCall& open = openCalls_.at(call);
    if (host_.leased(now)) return run(now, open.deadline);
    waiting_.add(
        call, [run = std::move(run), deadline = open.deadline](Nanos startedAt) { run(startedAt, deadline); },
        now);
}

// What failed for want of a majority is sent on to a member that has one, where one is known.
void CallRouter::answerOrRedirect(std::uint64_t call, Kind kind, std::string body, Nanos now) {
    const bool retryable = kind == Kind::noMajority || kind == Kind::unready;
    if (!retryable) return answer(call, kind, std::move(body));
    const std::optional<std::string> member = host_.leased(now) ? std::nullopt : contacts_.best(now);
    if (!member) return answer(call, kind);
    host_.toCaller({call, Kind::elsewhere, {}, "http://" + *member + openCalls_[call].path});
    openCalls_.erase(call);
}

void CallRouter::runWaitingCalls(Nanos now) {
    if (host_.leased(now))
        for (const WaitingCalls::Call& each : waiting_.takeAll()) each.run(now);
    for (const WaitingCalls::Call& each : waiting_.takeOverdue(now))
        answerOrRedirect(each.number, Kind::noMajority, {}, now);
}

}  // namespace granitereel::control
