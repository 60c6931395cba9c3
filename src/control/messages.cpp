#include "control/messages.hpp"

namespace granitereel::control {

namespace {
Json coreMessage(const char* kind, const Core& core) {
    return {{"k", kind}, {"e", core.epoch}, {"c", core.voters}};
}

Core coreOf(const Json& message) {
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
    if (core) {
        message["epoch"] = core->epoch;
        message["voters"] = core->voters;
    }
    return message;
}

Hello Hello::fromJson(const Json& message) {
    Hello hello;
    message.at("kind").get_to(hello.sender);
    hello.station = message.value("station", "");
    hello.district = message.value("district", "");
    hello.member = message.value("member", "");
    if (hello.sender == fromMember) message.at("incarnation").get_to(hello.incarnation);
    if (message.value("epoch", std::uint64_t(0)) > 0)
        hello.core = {message.at("epoch").get<std::uint64_t>(),
                      message.at("voters").get<std::set<std::string>>()};
    return hello;
}

Json PresentCore::toJson() const {
    return coreMessage(kind, core);
}

PresentCore PresentCore::fromJson(const Json& message) {
    return {coreOf(message)};
}

Json StateRequest::toJson() const {
    Json message = coreMessage(kind, core);
    if (!only.empty()) message["only"] = only;
    return message;
}

StateRequest StateRequest::fromJson(const Json& message) {
    return {coreOf(message), message.value("only", "")};
}

Json StateReply::toJson() const {
    Json all = Json::object();
    for (const auto& [name, slot] : slots) all[name] = written(slot);
    return {{"k", kind}, {"e", epoch}, {"slots", std::move(all)}};
}

StateReply StateReply::fromJson(const Json& message) {
    StateReply reply;
    message.at("e").get_to(reply.epoch);
    for (const auto& [name, slot] : message.at("slots").items()) reply.slots[name] = readSlot(slot);
    return reply;
}

}  // namespace granitereel::control
