#include "control/operator_calls.hpp"

#include <memory>

namespace granitereel::control {

namespace {
Json conflictText(const Json& sent) {
    return {{"kind", "edition_conflict"},
            {"edition", sent.at("edition")},
            {"fault", "another configuration was taken under this edition"}};
}
}  // namespace

void OperatorCalls::put(std::uint64_t call, const Json& sent, Nanoseconds now, Nanoseconds until) {
    // The last time that the register's value was seen decides: it is the one that was chosen.
    const auto verdict = std::make_shared<OrderVerdict>(OrderVerdict::older);
    RegisterChange change;
    change.name = "config";
    change.apply = [sent, verdict](const Json& was) {
        EditionLog editions = EditionLog::fromJson(was);
        *verdict = editions.offer(sent);
        return editions.toJson();
    };
    change.done = [this, call, sent, verdict](std::optional<Json> stands) {
        if (!stands) return means_.answerOperator(call, CallOutcome::noMajority, {});
        means_.configurationStands(*stands);
        const std::string edition = sent.at("edition").dump();
        if (*verdict == OrderVerdict::conflict) {
            means_.log("configuration " + edition + " refused: another body was taken under its number");
            return means_.answerOperator(call, CallOutcome::conflict, conflictText(sent).dump());
        }
        means_.log("configuration " + edition + " acknowledged");
        means_.answerOperator(call, CallOutcome::accepted, "{}");
    };
    means_.beginChange(std::move(change), now, until);
}

void OperatorCalls::get(std::uint64_t call, Nanoseconds now, Nanoseconds until) {
    RegisterChange change;
    change.name = "config";
    change.apply = [](const Json& was) { return was; };
    change.done = [this, call](std::optional<Json> stands) {
        if (!stands) return means_.answerOperator(call, CallOutcome::noMajority, {});
        if (stands->is_null()) return means_.answerOperator(call, CallOutcome::notFound, {});
        means_.configurationStands(*stands);
        means_.answerOperator(call, CallOutcome::accepted,
                              EditionLog::fromJson(*stands).configuration().dump());
    };
    means_.beginChange(std::move(change), now, until);
}

}  // namespace granitereel::control
