// What the system's processes say to each other: JSON objects, a line each, over a stream. A line that is no
// JSON object ends the link: it is believed whole or not at all.
#pragma once

#include <nlohmann/json.hpp>

#include "transport/stream.hpp"

namespace granitereel::transport {

class Link {
public:
    using Json = nlohmann::json;
    using OnMessage = std::function<void(const Json&)>;
    using OnEnd = std::function<void()>;

    explicit Link(std::shared_ptr<Stream> stream) : stream_(std::move(stream)) {}
    ~Link() { stream_->close(); }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    // The handlers may destroy the link only by way of `onEnd` or later than within `onMessage`.
    void start(OnMessage onMessage, OnEnd onEnd);
    // Returns its bytes on the wire.
    std::size_t send(const Json& message);
    // As it is on the wire; for what goes to many.
    void sendLine(std::string_view line) { stream_->send(line); }
    std::size_t unsent() const { return stream_->unsent(); }
    void finish() { stream_->finish(); }

private:
    std::shared_ptr<Stream> stream_;
};

std::string lineOf(const nlohmann::json& message);

}  // namespace granitereel::transport
