#include "transport/link.hpp"

namespace granitereel::transport {

namespace {
// Above the largest configuration that an operator may send, which goes in one message.
constexpr std::size_t maxLineBytes = 32 * 1024 * 1024;
}  // namespace

std::string serializeLine(const nlohmann::json& message) {
    return message.dump() + "\n";
}

std::size_t Link::send(const Json& message) {
    const std::string line = serializeLine(message);
    stream_->send(line);
    return line.size();
}

void Link::start(OnMessage onMessage, OnEnd onEnd) {
    // The stream outlives its handler, but the link may not: the handler must not refer to any member of it.
    const std::weak_ptr<Stream> weak = stream_;
    const auto sharedOnEnd = std::make_shared<OnEnd>(std::move(onEnd));
    auto end = [sharedOnEnd] {
        if (auto callback = std::exchange(*sharedOnEnd, nullptr)) callback();
    };
    stream_->start(
        [onMessage = std::move(onMessage), end, weak](std::string_view bytes) -> std::size_t {
            std::size_t consumed = 0;
            for (std::size_t lineEnd; (lineEnd = bytes.find('\n', consumed)) != bytes.npos;
                 consumed = lineEnd + 1) {
                const auto message =
                    nlohmann::json::parse(bytes.begin() + consumed, bytes.begin() + lineEnd, nullptr, false);
                const auto stream = weak.lock();
                if (!stream || !stream->isOpen()) return bytes.size();
                bool valid = message.is_object();
                if (valid) try {
                        onMessage(message);
                    } catch (const nlohmann::json::exception&) {
                        valid = false;
                    }
                if (!valid) {
                    stream->close();
                    end();
                    return bytes.size();
                }
            }
            if (bytes.size() - consumed > maxLineBytes) {
                if (const auto stream = weak.lock()) stream->close();
                end();
                return bytes.size();
            }
            return consumed;
        },
        [end](bool) { end(); });
}

}  // namespace granitereel::transport
