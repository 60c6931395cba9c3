#include "store_status.hpp"

#include <sstream>

namespace granitereel {

std::optional<StoreStatus> parseStoreStatus(const std::string& fields) {
    std::istringstream stream(fields);
    std::string role, position;
    StoreStatus status;
    if (!(stream >> role >> status.term >> position >> status.fencedTerm)) return {};
    status.primary = role == "head_office";
    if (!status.primary && role != "branch_office") return {};
    if (const auto received = parseLogPosition(position)) status.receivedPosition = *received;
    return status;
}

}  // namespace granitereel
