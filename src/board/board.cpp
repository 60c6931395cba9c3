#include "board/board.hpp"

namespace granitereel::board {

bool Board::put(const std::string& name, Record record) {
    auto [at, fresh] = records_.try_emplace(name);
    if (!fresh && record.version <= at->second.version) return false;
    at->second = std::move(record);
    return true;
}

const Record* Board::find(const std::string& name) const {
    const auto at = records_.find(name);
    return at == records_.end() ? nullptr : &at->second;
}

Json shorter(const Json& was, const Json& now) {
    if (!was.is_object() || !now.is_object()) return nullptr;
    const std::size_t whole = now.dump().size();
    if (whole < 1024) return nullptr;
    Json patch = Json::diff(was, now);
    return patch.dump().size() < whole / 2 ? patch : Json();
}

Json told(const std::string& name, const Record& record) {
    return {{"n", name}, {"v", {record.version.major, record.version.minor}}, {"b", record.body}};
}

std::pair<std::string, Record> heard(const Json& said) {
    const Json& version = said.at("v");
    return {said.at("n").get<std::string>(),
            {{version.at(0).get<std::uint64_t>(), version.at(1).get<std::uint64_t>()}, said.at("b")}};
}

}  // namespace granitereel::board
