// Who leads a service, and how the lead passes on: planned, from a primary that winds down, or after a
// primary's death. One member of the core owns this duty for a service at a time; the register of the lead
// carries the fence. Free of I/O, clocks and chance. docs/system.md has the argument for why nothing
// acknowledged is lost.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "board/board.hpp"
#include "control/outputs.hpp"
#include "mark.hpp"
#include "nanos.hpp"

namespace granitereel::control {

// What a store says of itself: "role term position-received term-held lag-ms busy connections".
struct StoreRow {
    bool primary = false;
    std::uint64_t term = 0;
    Mark received;
    std::uint64_t held = 0;  // the newest term it was paused or told to step down at
};
std::optional<StoreRow> readRow(const std::string& fields);

// What the register "lead/SERVICE" holds.
struct Lead {
    std::string store;
    std::uint64_t term = 0, seq = 0, fence = 0;
    std::string holder;   // the member that owns the duty
    bool steady = false;  // no promotion may be under way
    std::set<std::string> replicas;
};
Json written(const Lead& lead);
std::optional<Lead> readLead(const Json& body);

class Succession {
public:
    // What it needs of the member: a change of the lead's register by compare and set on `seq`, and the
    // numbers of asks.
    struct Means {
        virtual ~Means() = default;
        virtual Outputs& outputs() = 0;
        virtual std::uint64_t nextAsk(Succession& asker) = 0;
        virtual void change(const std::string& service, std::uint64_t ifSeq, Lead to,
                            std::function<void(std::optional<Lead>)> done) = 0;
        virtual const board::Board& board() const = 0;
        virtual int syncReplicas(const std::string& service) const = 0;
    };

    // `lease`: how long a front may believe what it was told of the lead without asking again.
    Succession(std::string self, std::string service, Nanos lease, Means& means);

    // Whether this member is the one that ought to act now.
    void own(bool mine, Nanos now);
    void tick(Nanos now);
    // A front can't reach the store, or hears nothing from it.
    void suspected(const std::string& store, Nanos now);
    void answered(std::uint64_t ask, std::optional<StoreRow> row, Nanos now);
    void promoted(std::uint64_t ask, int status, Nanos now);
    // For the page of states.
    const char* phase() const;

private:
    enum class Phase { idle, founding, checking, guarding, pausing, promoting, rising, settling };
    struct Ask {
        std::string store;
        enum { status, pause, resume, promote } what;
    };
    std::optional<Lead> known() const;
    std::vector<std::string> listed() const;  // stores of the service that may still be there
    const Json* record(const std::string& store) const;
    bool accepting(const std::string& store) const;
    void to(Phase phase, Nanos now);
    void ask(const std::string& store, int what, const std::string& text, int within_ms, Nanos now);
    void found(Nanos now);
    void guard(Nanos now, bool planned);
    void pauseAll(Nanos now);
    void weigh(Nanos now);
    void promote(const std::string& target, Nanos now);
    void settle(const std::string& store, std::uint64_t term, Nanos now);
    void standDown(Nanos now);
    void log(const std::string& line);

    const std::string self_, service_;
    const Nanos lease_;
    Means& means_;
    Phase phase_ = Phase::idle;
    Nanos since_ = 0, guardedAt_ = 0, quietUntil_ = 0, askedAt_ = 0;
    bool mine_ = false, planned_ = false, changing_ = false, deadHeard_ = false;
    int misses_ = 0, refusals_ = 0;
    Lead lead_;
    std::uint64_t pauseTerm_ = 0;
    std::string target_;
    std::map<std::string, StoreRow> rows_;
    std::set<std::string> paused_, refused_;  // refused_: answered a PAUSE with none of its rows
    std::map<std::uint64_t, Ask> asks_;
};

}  // namespace granitereel::control
