#include "control/durability_gate.hpp"

namespace granitereel::control {

namespace {
bool dependsOnWrites(const Output& output) {
    if (const auto* out = std::get_if<ToLink>(&output)) return out->release == Release::onceDurable;
    return std::holds_alternative<ToSelf>(output);
}
}  // namespace

std::uint64_t DurabilityGate::recordWrite(Nanoseconds now) {
    unsyncedWrites_.emplace(++lastTicket_, now);
    return lastTicket_;
}

bool DurabilityGate::hold(Output& output) {
    if (unsyncedWrites_.empty() || !dependsOnWrites(output)) return false;
    held_.push_back({lastTicket_, std::move(output)});
    return true;
}

Outputs DurabilityGate::release(std::uint64_t ticket) {
    unsyncedWrites_.erase(unsyncedWrites_.begin(), unsyncedWrites_.upper_bound(ticket));
    Outputs released;
    while (!held_.empty() && held_.front().afterTicket <= ticket) {
        released.push_back(std::move(held_.front().output));
        held_.pop_front();
    }
    return released;
}

}  // namespace granitereel::control
