// The lease under which leads may be read plainly, as those hold it who got it from a process nearer to the
// core: the agent from its parent, the proxy from its agent. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "gossip/record_table.hpp"
#include "nanos.hpp"

namespace granitereel::gossip {

// For so long behind the end of its last lease a process may rest on what the records named then, where
// control makes up for what they lack since (docs/control-safety/promotion.md).
constexpr Nanos recordsRestedOnFor = millis(20'000);

// The version of the configuration on a board; 0: none.
std::uint64_t configurationVersion(const Board& board);

// What a receiver of leases checks at each one that counts.
constexpr const char* newsBeforeLease = "who gives a lease has told its configuration before";

// The question for the lease, from a process further from the core to one nearer to it.
struct LeaseRequest {
    static constexpr const char* kind = "lease?";
    std::uint64_t number = 0;
    nlohmann::json toJson() const { return {{"k", kind}, {"t", number}}; }
    static LeaseRequest fromJson(const nlohmann::json& message);  // throws nlohmann::json::exception
};

// What is left of the giver's lease, counted from when the question was sent, and what it knows to be
// unsettled: the sequence number from which a service's record is proof of its lead again, by service.
struct LeaseReply {
    static constexpr const char* kind = "lease";
    std::uint64_t number = 0;
    Nanos left = 0;  // in whole microseconds on the wire; 0 or less: none
    std::map<std::string, std::uint64_t> unsettled;
    // The version of the configuration that the giver held when it answered; 0: none. Who is complete towards
    // the giver holds it or a later one.
    std::uint64_t configuration = 0;
    nlohmann::json toJson() const;
    static LeaseReply fromJson(const nlohmann::json& message);  // throws nlohmann::json::exception
};

// Questions for the lease that are out on one link. An answer counts once, for its own question, and closes
// all earlier ones. Numbers go on over links, so that no answer of an earlier link matches.
class LeaseQuestions {
public:
    // The number of a question that is sent at `now`.
    std::uint64_t ask(Nanos now);
    // When the question was sent; none: it is not open.
    std::optional<Nanos> answered(std::uint64_t number);
    // The link is gone or another: no answer is awaited any more.
    void forget() { sentAt_.clear(); }

private:
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, Nanos> sentAt_;
};

// A lease and the services whose lead was known to be changing when it was given belong together: the voters
// of its round answered with them. So the time of one grant is never used with the list of another.
class HeldLease {
public:
    // The answer to a question sent at `asked`. `counts`: whether all is here that the giver held; else what
    // it says of unsettled leads is added, and its time does not count.
    void granted(Nanos asked, const LeaseReply& reply, bool counts);
    bool valid(Nanos now) const { return now < until_; }
    // Nanoseconds, at least 0.
    Nanos left(Nanos now) const { return until_ > now ? until_ - now : 0; }
    Nanos until() const { return until_; }
    // Whether the record of a service's lead with this sequence number is no longer in doubt.
    bool settles(const std::string& service, std::uint64_t sequence) const;
    const std::map<std::string, std::uint64_t>& unsettled() const { return unsettled_; }

private:
    Nanos until_ = 0;
    std::map<std::string, std::uint64_t> unsettled_;
};

}  // namespace granitereel::gossip
