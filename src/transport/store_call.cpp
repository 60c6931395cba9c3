#include "transport/store_call.hpp"

namespace granitereel::transport {

namespace {
struct Call : std::enable_shared_from_this<Call> {
    explicit Call(asio::io_context& loop) : timer(loop) {}
    void end(std::optional<std::string> with) {
        timer.cancel();
        if (const auto used = std::move(stream)) used->finish();
        if (auto told = std::exchange(done, nullptr)) told(std::move(with));
    }
    std::size_t heard(std::string_view all) {
        std::size_t used = 0;
        for (std::size_t cut; done && (cut = all.find("\r\n", used)) != all.npos; used = cut + 2) {
            const std::string_view line = all.substr(used, cut - used);
            if (!greeted) {
                if (!line.starts_with("READY ") || !mayLeave()) end({});
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
        return done ? used : all.size();
    }
    std::shared_ptr<Stream> stream;
    asio::steady_timer timer;
    std::string text;
    std::optional<std::string> row;
    std::function<void(std::optional<std::string>)> done;
    std::function<bool()> mayLeave;
    bool greeted = false;
};
}  // namespace

void storeCall(asio::io_context& loop, const tcp::endpoint& where, const std::string& service,
               const std::string& storeId, const std::string& text, int within_ms,
               std::function<void(std::optional<std::string>)> done, std::function<bool()> mayLeave) {
    auto call = std::make_shared<Call>(loop);
    call->text = text;
    call->done = std::move(done);
    call->mayLeave = std::move(mayLeave);
    call->timer.expires_after(std::chrono::milliseconds(within_ms));
    // The timer alone keeps it: until it has ended, or the loop is gone.
    call->timer.async_wait([call](boost::system::error_code stopped) {
        if (stopped) return;
        if (call->stream) call->stream->close();
        call->end({});
    });
    const std::weak_ptr<Call> weak = call;
    call->stream = Stream::to(loop, where, within_ms, [weak, service, storeId] {
        if (const auto to = weak.lock(); to && to->stream)
            to->stream->send("GREET " + service + " control " + storeId + "\r\n");
    });
    call->stream->start(
        [weak](std::string_view all) {
            const auto to = weak.lock();
            return to ? to->heard(all) : all.size();
        },
        [weak](bool) {
            if (const auto to = weak.lock()) to->end({});
        });
}

}  // namespace granitereel::transport
