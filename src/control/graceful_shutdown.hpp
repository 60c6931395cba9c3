// A member that was told to end hands over first: its duties pass on, calls are sent elsewhere, each voter in
// reach acknowledges all that was sent to it before, and its vote goes where another is there for it. Then,
// or once the bound has passed, it may end. Free of I/O, clocks and chance.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "control/outputs.hpp"
#include "nanos.hpp"

namespace granitereel::control {

// Links keep their order: the answer shows that all that was sent before the question has been taken in.
struct FlushRequest {
    std::uint64_t number = 0;
    Json toJson() const;
    static FlushRequest fromJson(const Json& message);  // throws nlohmann::json::exception
};
struct FlushReply {
    std::uint64_t number = 0;
    Json toJson() const;
    static FlushReply fromJson(const Json& message);  // throws nlohmann::json::exception
};

class GracefulShutdown {
public:
    using Send = std::function<void(const std::string& voter, Json message)>;

    // `within`: it ends by then, whatever is left.
    void begin(Nanos timeout, Nanos now);
    bool started() const { return started_; }
    bool finished() const { return finished_; }
    void handleReply(const std::string& voter, const FlushReply& reply);
    // `handedOver`: no call is in hand, and the vote has gone or stays. What was sent until then is flushed
    // to the voters in reach; where there is more to hand over after all, it is flushed again.
    void proceed(bool handedOver, const std::set<std::string>& votersInReach, const Send& send, Nanos now);

private:
    bool started_ = false, finished_ = false;
    bool flushing_ = false;
    std::set<std::string> flushed_;
    std::uint64_t lastRequestNumber_ = 0,
                  firstFlushNumber_ = 0;  // of the questions; firstNumber_: of this flush
    Nanos deadline_ = 0, lastRequestAt_ = 0;
};

}  // namespace granitereel::control
