#include "control/unsettled_leads.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
const std::string leadPrefix = "lead/";

std::uint64_t sequenceOn(const gossip::RecordTable& recordTable, const std::string& service) {
    const gossip::Record* record = recordTable.find(leadPrefix + service);
    return record ? record->version.major : 0;
}
}  // namespace

void UnsettledLeads::holds(const std::string& name, const Json& value) {
    if (!name.starts_with(leadPrefix)) return;
    const std::string service = name.substr(leadPrefix.size());
    const auto lead = readLead(value);
    if (lead)
        held_[service] = {lead->seq, lead->steady};
    else
        held_.erase(service);
}

void UnsettledLeads::told(const LeadMarks& marks, Nanoseconds now) {
    std::erase_if(told_, [&](const auto& each) { return each.second.until <= now; });
    for (const auto& [service, sequence] : marks) {
        Told& told = told_[service];
        told.sequence = std::max(told.sequence, sequence);
        told.until = now + LeaseRounds::leaseTime;
    }
}

LeadMarks UnsettledLeads::own(const gossip::RecordTable& recordTable) const {
    LeadMarks marks;
    for (const auto& [service, held] : held_)
        if (!held.steady || held.sequence > sequenceOn(recordTable, service)) marks[service] = held.sequence;
    return marks;
}

LeadMarks UnsettledLeads::all(const gossip::RecordTable& recordTable, Nanoseconds now) const {
    LeadMarks marks = own(recordTable);
    for (const auto& [service, told] : told_) {
        if (told.until <= now || told.sequence <= sequenceOn(recordTable, service)) continue;
        std::uint64_t& mark = marks[service];
        mark = std::max(mark, told.sequence);
    }
    return marks;
}

}  // namespace granitereel::control
