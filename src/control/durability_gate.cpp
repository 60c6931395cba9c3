#include "control/durability_gate.hpp"

namespace granitereel::control {

namespace {
bool dependsOnWrites(const Output& output) {
    if (const auto* out = std::get_if<ToLink>(&output)) return out->release == Release::onceDurable;
    return std::holds_alternative<ToSelf>(output);
}
}  // namespace

std::uint64_t DurabilityGate::written(Nanoseconds now) {
    waiting_.emplace(++last_, now);
    return last_;
}

bool DurabilityGate::holds(Output& output) {
    if (waiting_.empty() || !dependsOnWrites(output)) return false;
    held_.push_back({last_, std::move(output)});
    return true;
}

Outputs DurabilityGate::durable(std::uint64_t ticket) {
    waiting_.erase(waiting_.begin(), waiting_.upper_bound(ticket));
    Outputs released;
    while (!held_.empty() && held_.front().after <= ticket) {
        released.push_back(std::move(held_.front().output));
        held_.pop_front();
    }
    return released;
}

}  // namespace granitereel::control
