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
    Change change;
    change.name = "config";
    change.change = [sent, verdict](const Json& was) {
        EditionLog editions = EditionLog::fromJson(was);
        *verdict = editions.offer(sent);
        return editions.toJson();
    };
    change.done = [this, call, sent, verdict](std::optional<Json> stands) {
        if (!stands) return means_.answerOperator(call, Kind::noMajority, {});
        means_.configurationStands(*stands);
        const std::string edition = sent.at("edition").dump();
        if (*verdict == OrderVerdict::conflict) {
            means_.log("configuration " + edition + " refused: another body was taken under its number");
            return means_.answerOperator(call, Kind::conflict, conflictText(sent).dump());
        }
        means_.log("configuration " + edition + " acknowledged");
        means_.answerOperator(call, Kind::taken, "{}");
    };
    means_.beginChange(std::move(change), now, until);
}

void OperatorCalls::get(std::uint64_t call, Nanoseconds now, Nanoseconds until) {
    Change change;
    change.name = "config";
    change.change = [](const Json& was) { return was; };
    change.done = [this, call](std::optional<Json> stands) {
        if (!stands) return means_.answerOperator(call, Kind::noMajority, {});
        if (stands->is_null()) return means_.answerOperator(call, Kind::notFound, {});
        means_.configurationStands(*stands);
        means_.answerOperator(call, Kind::taken, EditionLog::fromJson(*stands).configuration().dump());
    };
    means_.beginChange(std::move(change), now, until);
}

}  // namespace granitereel::control
