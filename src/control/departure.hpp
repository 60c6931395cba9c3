// A member that was told to end hands over first: its duties pass on, calls are sent elsewhere, each voter in
// reach acknowledges all that was sent to it before, and its vote goes where another is there for it. Then,
// or once the bound has passed, it may end. Free of I/O, clocks and chance.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "control/outputs.hpp"
#include "nanoseconds.hpp"

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

class Departure {
public:
    using Send = std::function<void(const std::string& voter, Json message)>;

    // `within`: it ends by then, whatever is left.
    void begin(Nanoseconds within, Nanoseconds now);
    bool begun() const { return begun_; }
    bool over() const { return over_; }
    void heard(const std::string& voter, const FlushReply& reply);
    // `handedOver`: no call is in hand, and the vote has gone or stays. What was sent until then is flushed
    // to the voters in reach; where there is more to hand over after all, it is flushed again.
    void proceed(bool handedOver, const std::set<std::string>& votersInReach, const Send& send,
                 Nanoseconds now);

private:
    bool begun_ = false, over_ = false;
    bool flushing_ = false;
    std::set<std::string> flushed_;
    std::uint64_t number_ = 0, firstNumber_ = 0;  // of the questions; firstNumber_: of this flush
    Nanoseconds until_ = 0, askedAt_ = 0;
};

}  // namespace granitereel::control
