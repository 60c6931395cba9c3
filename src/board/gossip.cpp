#include "board/gossip.hpp"

namespace granitereel::board {

void Gossip::join(int link) {
    Json records = Json::array();
    for (const auto& [name, record] : board_.all()) records.push_back(told(name, record));
    links_.insert(link);
    send_(link, {{"k", "news"}, {"r", std::move(records)}});
}

bool Gossip::put(const std::string& name, Record record, int from) {
    if (!board_.put(name, std::move(record))) return false;
    const Record& stands = *board_.find(name);
    onNews_(name, stands);
    const Json message{{"k", "news"}, {"r", Json::array({told(name, stands)})}};
    for (const int link : links_)
        if (link != from) send_(link, message);
    return true;
}

void Gossip::heard(int link, const Json& message) {
    for (const Json& each : message.at("r")) {
        auto [name, record] = board::heard(each);
        put(name, std::move(record), link);
    }
}

void Gossip::own(const std::string& name, const Json& body) {
    const Record* stands = board_.find(name);
    if (stands && stands->body == body) return;
    put(name, {{stands ? stands->version.major + 1 : 1, 0}, body});
}

}  // namespace granitereel::board
