// Graceful shutdown of a member: its failover ownership passes to others, calls are redirected, every
// reachable voter acknowledges all earlier messages, and its vote is given up if another member can take
// it. The process may end then, or when the timeout has passed. Free of I/O, clocks and randomness.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "control/outputs.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

// Links are ordered: the reply proves that everything sent before the request was processed.
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

    // `timeout`: the shutdown finishes by then, even if it is incomplete.
    void begin(Nanoseconds timeout, Nanoseconds now);
    bool started() const { return started_; }
    bool finished() const { return finished_; }
    void handleReply(const std::string& voter, const FlushReply& reply);
    // `handedOver`: no call is in progress, and the vote has moved or will stay. Everything sent until then
    // is flushed to the reachable voters; if more work appears afterwards, the flush starts again.
    void proceed(bool handedOver, const std::set<std::string>& reachableVoters, const Send& send,
                 Nanoseconds now);

private:
    bool started_ = false, finished_ = false;
    bool flushing_ = false;
    std::set<std::string> flushed_;
    // `firstFlushNumber_`: the first request of the current flush.
    std::uint64_t lastRequestNumber_ = 0, firstFlushNumber_ = 0;
    Nanoseconds deadline_ = 0, lastRequestAt_ = 0;
};

}  // namespace granitereel::control
