// A message link between processes of the system: JSON objects, one per line, over a stream. A line that is
// not a JSON object, or that its handler finds malformed, ends the link: no message is accepted in part.
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

    // `onEnd` may destroy the link; `onMessage` must not, but may have it destroyed after it has returned.
    void start(OnMessage onMessage, OnEnd onEnd);
    // Returns the number of bytes on the wire.
    std::size_t send(const Json& message);
    // Sends a message that is serialized already, as one that goes to many links.
    void sendLine(std::string_view line) { stream_->send(line); }
    std::size_t unsentBytes() const { return stream_->unsentBytes(); }
    void finish() { stream_->finish(); }

private:
    std::shared_ptr<Stream> stream_;
};

std::string serializeLine(const nlohmann::json& message);

}  // namespace granitereel::transport
