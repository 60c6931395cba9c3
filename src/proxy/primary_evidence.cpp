#include "proxy/primary_evidence.hpp"

#include <algorithm>

namespace granitereel::proxy {

void PrimaryEvidence::updateRecord(std::uint64_t term, std::optional<LogPosition> retained) {
    retained_ = retained;
    if (term == term_) return;
    term_ = term;
    settledUntil_ = 0;
}

void PrimaryEvidence::extendSettled(Nanoseconds until) {
    settledUntil_ = std::max(settledUntil_, until);
}

WriteDurability PrimaryEvidence::durabilityOf(const AcknowledgedWrite& write) const {
    if (write.term == term_)
        return isSettled(write.answeredAt) ? WriteDurability::durable : WriteDurability::undecided;
    if (write.term > term_) return WriteDurability::undecided;  // the record of that term has not arrived yet
    // What the primary has retained is known only for the term right before its own.
    const bool retained = write.position && retained_ && retained_->term == write.position->term &&
                          *write.position <= *retained_;
    return retained ? WriteDurability::durable : WriteDurability::unknown;
}

}  // namespace granitereel::proxy
