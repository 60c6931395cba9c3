#include "control/operator_calls.hpp"

#include <memory>

namespace granitereel::control {

namespace {
Json conflictBody(const Json& configuration) {
    return {{"kind", "edition_conflict"},
            {"edition", configuration.at("edition")},
            {"fault", "another configuration was taken under this edition"}};
}
}  // namespace

void OperatorCalls::put(std::uint64_t callId, const Json& configuration, Nanoseconds now,
                        Nanoseconds deadline) {
    // The function may run several times; the last run, on the value that was then chosen, decides the
    // outcome.
    const auto outcome = std::make_shared<RevisionOutcome>(RevisionOutcome::stale);
    RegisterChange change;
    change.name = "config";
    change.apply = [configuration, outcome](const Json& current) {
        ConfigurationRevisions revisions = ConfigurationRevisions::fromJson(current);
        *outcome = revisions.apply(configuration);
        return revisions.toJson();
    };
    change.done = [this, callId, configuration, outcome](std::optional<Json> chosen) {
        if (!chosen) return host_.answerOperator(callId, CallOutcome::noMajority, {});
        host_.configurationChosen(*chosen);
        const std::string revision = configuration.at("edition").dump();
        if (*outcome == RevisionOutcome::conflict) {
            host_.log("configuration " + revision + " rejected: another body was applied under this number");
            return host_.answerOperator(callId, CallOutcome::conflict, conflictBody(configuration).dump());
        }
        host_.log("configuration " + revision + " acknowledged");
        host_.answerOperator(callId, CallOutcome::accepted, "{}");
    };
    host_.beginChange(std::move(change), now, deadline);
}

void OperatorCalls::get(std::uint64_t callId, Nanoseconds now, Nanoseconds deadline) {
    RegisterChange change;
    change.name = "config";
    change.apply = [](const Json& current) { return current; };
    change.done = [this, callId](std::optional<Json> chosen) {
        if (!chosen) return host_.answerOperator(callId, CallOutcome::noMajority, {});
        if (chosen->is_null()) return host_.answerOperator(callId, CallOutcome::notFound, {});
        host_.configurationChosen(*chosen);
        host_.answerOperator(callId, CallOutcome::accepted,
                             ConfigurationRevisions::fromJson(*chosen).configuration().dump());
    };
    host_.beginChange(std::move(change), now, deadline);
}

}  // namespace granitereel::control
