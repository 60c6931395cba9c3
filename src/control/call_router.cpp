#include "control/call_router.hpp"

#include <optional>
#include <utility>

#include "configuration/configuration.hpp"

namespace granitereel::control {

void CallRouter::answer(std::uint64_t call, CallOutcome kind, std::string body) {
    open_.erase(call);
    means_.toCaller({call, kind, std::move(body), {}});
}

void CallRouter::call(std::uint64_t call, const std::string& method, const std::vector<std::string>& path,
                      const std::string& body, Nanoseconds now) {
    const std::string place = path.empty() ? "" : path[0];
    const std::string what = method + " " + place + (path.size() > 1 ? "/ID" : "");
    const bool known = place == "config" || place == "stores" || place == "state";
    if (means_.leaving() && known && place != "state") return answer(call, CallOutcome::shuttingDown);
    open_[call] = {"/" + place + (path.size() > 1 ? "/" + path[1] : ""), now + answeredWithin};
    if (path.size() <= 2) {
        if (what == "PUT stores/ID") return storeCalled(call, path[1], body, now);
        if (what == "DELETE stores/ID")
            return whenLeased(
                call,
                [this, call, id = path[1]](Nanoseconds then, Nanoseconds until) {
                    stores_.left(call, id, until, then);
                },
                now);
        if (what == "PUT config") return configSent(call, body, now);
        if (what == "GET config")
            return whenLeased(
                call,
                [this, call](Nanoseconds then, Nanoseconds until) { operators_.get(call, then, until); },
                now);
        if (what == "GET state") return answer(call, CallOutcome::accepted, means_.stateText(now));
    }
    answer(call, known ? CallOutcome::methodNotAllowed : CallOutcome::notFound);
}

// What is invalid is so for any member; all else waits for contact with a majority.
void CallRouter::storeCalled(std::uint64_t call, const std::string& id, const std::string& body,
                             Nanoseconds now) {
    StoreCall said;
    try {
        said = StoreCall::fromJson(id, body);
    } catch (const Json::exception&) {
        return answer(call, CallOutcome::invalid, R"({"fault":"not a store's call"})");
    }
    whenLeased(
        call,
        [this, call, said](Nanoseconds then, Nanoseconds until) { stores_.called(call, said, until, then); },
        now);
}

void CallRouter::configSent(std::uint64_t call, const std::string& body, Nanoseconds now) {
    Json sent;
    try {
        configuration::parse(body);
        sent = Json::parse(body);
    } catch (const configuration::InvalidConfiguration& fault) {
        return answer(call, CallOutcome::invalid, Json{{"fault", fault.what()}}.dump());
    }
    if (means_.diskRefuses()) return answer(call, CallOutcome::notReady);
    whenLeased(
        call,
        [this, call, sent = std::move(sent)](Nanoseconds then, Nanoseconds until) {
            operators_.put(call, sent, then, until);
        },
        now);
}

void CallRouter::whenLeased(std::uint64_t call, std::function<void(Nanoseconds, Nanoseconds)> run,
                            Nanoseconds now) {
    const OpenCall& open = open_.at(call);
    if (means_.leased(now)) return run(now, open.until);
    waiting_.add(
        call, [run = std::move(run), until = open.until](Nanoseconds then) { run(then, until); }, now);
}

// What failed for want of a majority is sent on to a member that has one, where one is known.
void CallRouter::answerOrSendOn(std::uint64_t call, CallOutcome kind, std::string body, Nanoseconds now) {
    const bool failed = kind == CallOutcome::noMajority || kind == CallOutcome::notReady;
    if (!failed) return answer(call, kind, std::move(body));
    const std::optional<std::string> member = means_.leased(now) ? std::nullopt : contacts_.longestLease(now);
    if (!member) return answer(call, kind);
    means_.toCaller({call, CallOutcome::redirected, {}, "http://" + *member + open_[call].path});
    open_.erase(call);
}

void CallRouter::serveWaiting(Nanoseconds now) {
    if (means_.leased(now))
        for (const CallsAwaitingLease::Call& each : waiting_.takeAll()) each.run(now);
    for (const CallsAwaitingLease::Call& each : waiting_.takeExpired(now))
        answerOrSendOn(each.number, CallOutcome::noMajority, {}, now);
}

}  // namespace granitereel::control
