#include "control/lead.hpp"

namespace granitereel::control {

Json written(const Lead& lead) {
    Json body = {{"store", lead.store},       {"term", lead.term},          {"seq", lead.seq},
                 {"fence", lead.fence},       {"holder", lead.holder},      {"steady", lead.steady},
                 {"replicas", lead.replicas}, {"addresses", lead.addresses}};
    if (!lead.young.empty()) body["young"] = lead.young;
    if (!lead.vacated.empty()) body["vacated"] = lead.vacated;
    if (lead.retained) body["retained"] = granitereel::written(*lead.retained);
    return body;
}

std::optional<Lead> readLead(const Json& body) {
    if (!body.is_object()) return {};
    Lead lead;
    lead.store = body.at("store");
    lead.term = body.at("term");
    lead.seq = body.at("seq");
    lead.fence = body.at("fence");
    lead.holder = body.at("holder");
    lead.steady = body.at("steady");
    lead.replicas = body.at("replicas").get<std::set<std::string>>();
    if (body.contains("addresses"))  // none in what was written before they were kept
        lead.addresses = body["addresses"].get<std::map<std::string, std::string>>();
    lead.young = body.value("young", YoungReplicas());
    lead.vacated = body.value("vacated", std::set<std::string>());
    lead.retained = readMark(body.value("retained", ""));
    return lead;
}

}  // namespace granitereel::control
