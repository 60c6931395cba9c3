#include "control/primary_record.hpp"

namespace granitereel::control {

Json serializePrimaryRecord(const PrimaryRecord& primary) {
    Json body = {{"store", primary.store},       {"term", primary.term},
                 {"seq", primary.sequence},      {"fence", primary.fencingToken},
                 {"holder", primary.owner},      {"steady", primary.settled},
                 {"replicas", primary.replicas}, {"addresses", primary.addresses}};
    if (!primary.recentReplicas.empty()) body["young"] = primary.recentReplicas;
    if (!primary.vacatedAddresses.empty()) body["vacated"] = primary.vacatedAddresses;
    if (primary.retained) body["retained"] = granitereel::toString(*primary.retained);
    return body;
}

std::optional<PrimaryRecord> parsePrimaryRecord(const Json& body) {
    if (!body.is_object()) return {};
    PrimaryRecord primary;
    primary.store = body.at("store");
    primary.term = body.at("term");
    primary.sequence = body.at("seq");
    primary.fencingToken = body.at("fence");
    primary.owner = body.at("holder");
    primary.settled = body.at("steady");
    primary.replicas = body.at("replicas").get<std::set<std::string>>();
    if (body.contains("addresses"))  // absent in records of earlier versions
        primary.addresses = body["addresses"].get<std::map<std::string, std::string>>();
    primary.recentReplicas = body.value("young", RecentReplicas());
    primary.vacatedAddresses = body.value("vacated", std::set<std::string>());
    primary.retained = parseLogPosition(body.value("retained", ""));
    return primary;
}

}  // namespace granitereel::control
