#include "transport/store_call.hpp"

namespace granitereel::transport {

namespace {
struct Call : std::enable_shared_from_this<Call> {
    explicit Call(asio::io_context& loop) : timer(loop) {}
    void end(std::optional<std::string> result) {
        timer.cancel();
        if (const auto ended = std::move(stream)) ended->finish();
        if (auto callback = std::exchange(done, nullptr)) callback(std::move(result));
    }
    std::size_t receive(std::string_view bytes) {
        std::size_t consumed = 0;
        for (std::size_t lineEnd; done && (lineEnd = bytes.find("\r\n", consumed)) != bytes.npos;
             consumed = lineEnd + 2) {
            const std::string_view line = bytes.substr(consumed, lineEnd - consumed);
            if (!greeted) {
                if (!line.starts_with("READY ") || !maySend()) end({});
                greeted = true;
                if (done) stream->send("QUERY - " + text + "\r\n");
            } else if (line.starts_with("ROW ")) {
                row = line.substr(4);
            } else if (line.starts_with("READY ")) {
                stream->send("BYE\r\n");
                end(std::move(row));
            } else if (line.starts_with("ERROR ")) {
                row.reset();
            }
        }
        return done ? consumed : bytes.size();
    }
    std::shared_ptr<Stream> stream;
    asio::steady_timer timer;
    std::string text;
    std::optional<std::string> row;
    std::function<void(std::optional<std::string>)> done;
    std::function<bool()> maySend;
    bool greeted = false;
};
}  // namespace

void storeCall(asio::io_context& loop, const tcp::endpoint& endpoint, const std::string& service,
               const std::string& storeId, const std::string& text, int timeout_ms,
               std::function<void(std::optional<std::string>)> done, std::function<bool()> maySend) {
    auto call = std::make_shared<Call>(loop);
    call->text = text;
    call->done = std::move(done);
    call->maySend = std::move(maySend);
    call->timer.expires_after(std::chrono::milliseconds(timeout_ms));
    // The timer's handler is the only owner of the call: it lives until it has ended, or the loop is
    // destroyed.
    call->timer.async_wait([call](boost::system::error_code stopped) {
        if (stopped) return;
        if (call->stream) call->stream->close();
        call->end({});
    });
    const std::weak_ptr<Call> weak = call;
    call->stream = Stream::connect(loop, endpoint, timeout_ms, [weak, service, storeId] {
        if (const auto self = weak.lock(); self && self->stream)
            self->stream->send("GREET " + service + " control " + storeId + "\r\n");
    });
    call->stream->start(
        [weak](std::string_view bytes) {
            const auto self = weak.lock();
            return self ? self->receive(bytes) : bytes.size();
        },
        [weak](bool) {
            if (const auto self = weak.lock()) self->end({});
        });
}

}  // namespace granitereel::transport
