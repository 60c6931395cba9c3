#include "control/messages.hpp"

namespace granitereel::control {

namespace {
Json voterSetMessage(const char* kind, const VoterSet& voterSet) {
    return {{"k", kind}, {"e", voterSet.epoch}, {"c", voterSet.voters}};
}

VoterSet voterSetJson(const Json& message) {
    return {message.at("e").get<std::uint64_t>(), message.at("c").get<std::set<std::string>>()};
}
}  // namespace

Json Hello::toJson() const {
    Json message{{"k", kind},
                 {"kind", sender},
                 {"member", member},
                 {"station", station},
                 {"incarnation", incarnation}};
    if (!district.empty()) message["district"] = district;
    if (voterSet) {
        message["epoch"] = voterSet->epoch;
        message["voters"] = voterSet->voters;
    }
    return message;
}

Hello Hello::fromJson(const Json& message) {
    Hello hello;
    message.at("kind").get_to(hello.sender);
    hello.station = message.value("station", "");
    hello.district = message.value("district", "");
    hello.member = message.value("member", "");
    if (hello.sender == memberSender) message.at("incarnation").get_to(hello.incarnation);
    if (message.value("epoch", std::uint64_t(0)) > 0)
        hello.voterSet = {message.at("epoch").get<std::uint64_t>(),
                          message.at("voters").get<std::set<std::string>>()};
    return hello;
}

Json CurrentVoterSet::toJson() const {
    return voterSetMessage(kind, voterSet);
}

CurrentVoterSet CurrentVoterSet::fromJson(const Json& message) {
    return {voterSetJson(message)};
}

Json StateRequest::toJson() const {
    Json message = voterSetMessage(kind, voterSet);
    if (!onlyRegister.empty()) message["only"] = onlyRegister;
    return message;
}

StateRequest StateRequest::fromJson(const Json& message) {
    return {voterSetJson(message), message.value("only", "")};
}

Json StateReply::toJson() const {
    Json all = Json::object();
    for (const auto& [name, slot] : slots) all[name] = slotToJson(slot);
    return {{"k", kind}, {"e", epoch}, {"slots", std::move(all)}};
}

StateReply StateReply::fromJson(const Json& message) {
    StateReply reply;
    message.at("e").get_to(reply.epoch);
    for (const auto& [name, slot] : message.at("slots").items()) reply.slots[name] = slotFromJson(slot);
    return reply;
}

}  // namespace granitereel::control
