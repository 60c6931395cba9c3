#include "store_row.hpp"

#include <sstream>

namespace granitereel {

std::optional<StoreRow> readRow(const std::string& fields) {
    std::istringstream in(fields);
    std::string role, position;
    StoreRow row;
    if (!(in >> role >> row.term >> position >> row.held)) return {};
    row.primary = role == "head_office";
    if (!row.primary && role != "branch_office") return {};
    if (const auto mark = readMark(position)) row.received = *mark;
    return row;
}

}  // namespace granitereel
