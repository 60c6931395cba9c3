#include "transport/link.hpp"

namespace granitereel::transport {

namespace {
// Above the largest configuration that an operator may send, which goes in one message.
constexpr std::size_t longestLine = 32 * 1024 * 1024;
}  // namespace

std::string lineOf(const nlohmann::json& message) {
    return message.dump() + "\n";
}

std::size_t Link::send(const Json& message) {
    const std::string line = lineOf(message);
    stream_->send(line);
    return line.size();
}

void Link::start(OnMessage onMessage, OnEnd onEnd) {
    // The stream lives as long as the handler runs; the link may not, so nothing of it is held here.
    const std::weak_ptr<Stream> weak = stream_;
    const auto ended = std::make_shared<OnEnd>(std::move(onEnd));
    auto end = [ended] {
        if (auto told = std::exchange(*ended, nullptr)) told();
    };
    stream_->start(
        [onMessage = std::move(onMessage), end, weak](std::string_view all) -> std::size_t {
            std::size_t used = 0;
            for (std::size_t cut; (cut = all.find('\n', used)) != all.npos; used = cut + 1) {
                const auto message =
                    nlohmann::json::parse(all.begin() + used, all.begin() + cut, nullptr, false);
                const auto stream = weak.lock();
                if (!stream || !stream->open()) return all.size();
                bool sound = message.is_object();
                if (sound) try {
                        onMessage(message);
                    } catch (const nlohmann::json::exception&) {
                        sound = false;
                    }
                if (!sound) {
                    stream->close();
                    end();
                    return all.size();
                }
            }
            if (all.size() - used > longestLine) {
                if (const auto stream = weak.lock()) stream->close();
                end();
                return all.size();
            }
            return used;
        },
        [end](bool) { end(); });
}

}  // namespace granitereel::transport
