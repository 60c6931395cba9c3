#include "proxy/lead_evidence.hpp"

#include <algorithm>

namespace granitereel::proxy {

void LeadEvidence::recorded(std::uint64_t term, std::optional<LogPosition> retained) {
    retained_ = retained;
    if (term == term_) return;
    term_ = term;
    settledUntil_ = 0;
}

void LeadEvidence::settledUntil(Nanos until) {
    settledUntil_ = std::max(settledUntil_, until);
}

WriteFate LeadEvidence::fateOf(const AcknowledgedWrite& write) const {
    if (write.term == term_) return settled(write.answeredAt) ? WriteFate::kept : WriteFate::open;
    if (write.term > term_) return WriteFate::open;  // the record of that term is still to come
    // Only of the term right before is it known what the lead has.
    const bool has = write.position && retained_ && retained_->term == write.position->term &&
                     *write.position <= *retained_;
    return has ? WriteFate::kept : WriteFate::unknown;
}

}  // namespace granitereel::proxy
