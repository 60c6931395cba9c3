#include "control/vote.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace granitereel::control {

namespace {
constexpr std::array<std::pair<const char*, VoteKind>, 5> replyKinds{
    {{"promised", VoteKind::promised},
     {"accepted", VoteKind::accepted},
     {"refused", VoteKind::refused},
     {"needs_whole", VoteKind::needsFullValue},
     {"abstains", VoteKind::abstains}}};

const char* nameOf(VoteKind kind) {
    const auto found = std::find_if(replyKinds.begin(), replyKinds.end(),
                                    [&](const auto& each) { return each.second == kind; });
    return found->first;
}
}  // namespace

bool isVoteRequest(const std::string& kind) {
    return kind == "prepare" || kind == "accept";
}

bool isVoteReply(const std::string& kind) {
    return std::any_of(replyKinds.begin(), replyKinds.end(),
                       [&](const auto& each) { return kind == each.first; });
}

Json VoteRequest::toJson() const {
    Json message = {{"k", phase == VotePhase::prepare ? "prepare" : "accept"},
                    {"name", name},
                    {"attempt", attempt},
                    {"ballot", control::toJson(ballot)},
                    {"epoch", voterSet.epoch},
                    {"voters", voterSet.voters}};
    if (phase == VotePhase::prepare) {
        message["held"] = control::toJson(knownAccepted);
    } else if (patch) {
        message["base"] = control::toJson(patchBase);
        message["patch"] = *patch;
    } else {
        message["value"] = value;
    }
    return message;
}

VoteRequest VoteRequest::fromJson(const Json& message) {
    VoteRequest request;
    request.phase = message.at("k") == "prepare" ? VotePhase::prepare : VotePhase::accept;
    request.name = message.at("name");
    request.attempt = message.at("attempt");
    request.ballot = ballotFromJson(message.at("ballot"));
    request.voterSet = {message.at("epoch"), message.at("voters").get<std::set<std::string>>()};
    if (request.phase == VotePhase::prepare) {
        request.knownAccepted = ballotFromJson(message.at("held"));
    } else if (message.contains("patch")) {
        request.patchBase = ballotFromJson(message.at("base"));
        request.patch = message.at("patch");
    } else {
        request.value = message.at("value");
    }
    return request;
}

Json VoteReply::toJson() const {
    Json message = {{"k", nameOf(kind)}, {"attempt", attempt}, {"ballot", control::toJson(ballot)}};
    if (kind != VoteKind::promised) return message;
    message["accepted"] = control::toJson(accepted);
    if (learned) message["learned"] = true;
    if (value) message["value"] = *value;
    return message;
}

VoteReply VoteReply::fromJson(const Json& message) {
    VoteReply reply;
    const std::string kind = message.at("k");
    for (const auto& [name, each] : replyKinds)
        if (kind == name) reply.kind = each;
    reply.attempt = message.at("attempt");
    reply.ballot = ballotFromJson(message.at("ballot"));
    if (reply.kind != VoteKind::promised) return reply;
    reply.accepted = ballotFromJson(message.at("accepted"));
    reply.learned = message.value("learned", false);
    if (message.contains("value")) reply.value = message.at("value");
    return reply;
}

}  // namespace granitereel::control
