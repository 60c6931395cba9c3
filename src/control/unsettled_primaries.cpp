#include "control/unsettled_primaries.hpp"

#include <algorithm>

namespace granitereel::control {

namespace {
const std::string registerPrefix = "lead/";

std::uint64_t sequenceInRecords(const gossip::RecordTable& recordTable, const std::string& service) {
    const gossip::Record* record = recordTable.find(registerPrefix + service);
    return record ? record->version.major : 0;
}
}  // namespace

void UnsettledPrimaries::accepted(const std::string& name, const Json& value) {
    if (!name.starts_with(registerPrefix)) return;
    const std::string service = name.substr(registerPrefix.size());
    const auto primary = parsePrimaryRecord(value);
    if (primary)
        accepted_[service] = {primary->sequence, primary->settled};
    else
        accepted_.erase(service);
}

void UnsettledPrimaries::reported(const UnsettledSequences& sequences, Nanoseconds now) {
    std::erase_if(reported_, [&](const auto& each) { return each.second.expiresAt <= now; });
    for (const auto& [service, sequence] : sequences) {
        Reported& report = reported_[service];
        report.sequence = std::max(report.sequence, sequence);
        report.expiresAt = now + LeaseRounds::leaseDuration;
    }
}

UnsettledSequences UnsettledPrimaries::acceptedLocally(const gossip::RecordTable& recordTable) const {
    UnsettledSequences sequences;
    for (const auto& [service, latest] : accepted_)
        if (!latest.settled || latest.sequence > sequenceInRecords(recordTable, service))
            sequences[service] = latest.sequence;
    return sequences;
}

UnsettledSequences UnsettledPrimaries::all(const gossip::RecordTable& recordTable, Nanoseconds now) const {
    UnsettledSequences sequences = acceptedLocally(recordTable);
    for (const auto& [service, report] : reported_) {
        if (report.expiresAt <= now || report.sequence <= sequenceInRecords(recordTable, service)) continue;
        std::uint64_t& sequence = sequences[service];
        sequence = std::max(sequence, report.sequence);
    }
    return sequences;
}

}  // namespace granitereel::control
