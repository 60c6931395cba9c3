#include "board/gossip.hpp"

namespace granitereel::board {

void Gossip::join(int link) {
    Json records = Json::array();
    for (const auto& [name, record] : board_.all()) records.push_back(told(name, record));
    links_.insert(link);
    send_(link, {{"k", "news"}, {"r", std::move(records)}});
}

bool Gossip::put(const std::string& name, Record record, int from) {
    const Record* known = board_.find(name);
    const Record before = known ? *known : Record();
    if (!board_.put(name, std::move(record))) return false;
    const Record& stands = *board_.find(name);
    onNews_(name, stands);
    tell(name, stands, before.version, links_.empty() ? Json() : shorter(before.body, stands.body), from);
    return true;
}

void Gossip::tell(const std::string& name, const Record& stands, const Version& before, const Json& patch,
                  int from) {
    Json record = patch.is_null() ? told(name, stands)
                                  : Json{{"n", name},
                                         {"v", {stands.version.major, stands.version.minor}},
                                         {"f", {before.major, before.minor}},
                                         {"p", patch}};
    const Json message{{"k", "news"}, {"r", Json::array({std::move(record)})}};
    for (const int link : links_)
        if (link != from) send_(link, message);
}

void Gossip::heard(int link, const Json& message) {
    if (message.at("k") == "whole?") {
        const std::string name = message.at("n");
        const Record* known = board_.find(name);
        if (known) send_(link, {{"k", "news"}, {"r", Json::array({told(name, *known)})}});
        return;
    }
    if (message.at("k") != "news") return;
    for (const Json& each : message.at("r")) {
        if (!each.contains("p")) {
            auto [name, record] = board::heard(each);
            put(name, std::move(record), link);
            continue;
        }
        const std::string name = each.at("n");
        const Version to{each.at("v").at(0), each.at("v").at(1)},
            before{each.at("f").at(0), each.at("f").at(1)};
        const Record* known = board_.find(name);
        if (known && known->version >= to) continue;
        if (!known || known->version != before) {
            send_(link, {{"k", "whole?"}, {"n", name}});
            continue;
        }
        board_.put(name, {to, known->body.patch(each.at("p"))});
        const Record& stands = *board_.find(name);
        onNews_(name, stands);
        tell(name, stands, before, each.at("p"), link);
    }
}

void Gossip::own(const std::string& name, const Json& body) {
    const Record* stands = board_.find(name);
    if (stands && stands->body == body) return;
    put(name, {{stands ? stands->version.major + 1 : 1, 0}, body});
}

}  // namespace granitereel::board
