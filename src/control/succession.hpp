// Who leads a service, and how the lead passes on: planned, from a primary that winds down, or after a
// primary's death. One member of the core owns this duty for a service at a time; the register of the lead
// carries the fencing token. Free of I/O, clocks and chance. docs/control-safety/promotion.md has the
// argument for why nothing acknowledged is lost and why a late or frozen owner changes nothing.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/lead.hpp"
#include "control/outputs.hpp"
#include "control/replica_ages.hpp"
#include "gossip/record_table.hpp"
#include "mark.hpp"
#include "nanoseconds.hpp"
#include "store_row.hpp"

namespace granitereel::control {

// Over the spans that promotion measures, the steady clocks of two machines differ by less than this.
constexpr Nanoseconds driftOfClocks = milliseconds(50);

// What the platform promises of its promotions, from the settings' guarantees.
struct PlatformGuarantees {
    bool fenceChecked = false;  // it refuses a fence lower than one it has seen
    Nanoseconds lease = 0;      // holders must not take turns within this; 0: nothing said
};

// How a call of POST /promotions ended.
enum class PromotionAnswer {
    accepted,     // the store leads soon, or leads already
    conflict,     // the fence is too low, or the store is not running
    unavailable,  // the platform refused for now: too many calls, or a fault of its own
    silent,       // no whole answer in time: it may have been carried out
    notSent,      // its deadline had passed before it could leave
};
// The status of the HTTP answer; `transport::noAnswer` and `transport::notSent` where there was none.
PromotionAnswer promotionAnswerOf(int status);

// What a majority read of the lead's register showed.
enum class Confirmation {
    stands,    // the lead is as expected, and this member holds its lease
    replaced,  // another value stands
    unknown,   // no majority in time, or no lease
};

class Succession {
public:
    // What it needs of the member: the lead's register and the numbers of asks.
    struct Means {
        virtual ~Means() = default;
        virtual Outputs& outputs() = 0;
        virtual std::uint64_t nextAsk(Succession& asker) = 0;
        // Compare-and-set on `seq`. `done` gets the new value only if this very call wrote it.
        virtual void change(const std::string& service, std::uint64_t ifSeq, Lead to,
                            std::function<void(std::optional<Lead>)> done) = 0;
        // A majority read begun now; `done` is also told the time.
        virtual void confirm(const std::string& service, const Lead& expected,
                             std::function<void(Confirmation, Nanoseconds now)> done) = 0;
        virtual const gossip::RecordTable& recordTable() const = 0;
        virtual int syncReplicas(const std::string& service) const = 0;
    };

    // `lease`: how long a front may believe what it was told of the lead without asking again, with the drift
    // of clocks.
    Succession(std::string self, std::string service, Nanoseconds lease, Means& means,
               PlatformGuarantees platform = {});

    // Whether this member is the one that ought to act now.
    void own(bool mine, Nanoseconds now);
    void tick(Nanoseconds now);
    // A front can't reach the store, or hears nothing from it.
    void suspected(const std::string& store, Nanoseconds now);
    void answered(std::uint64_t ask, std::optional<StoreRow> row, Nanoseconds now);
    void promoted(std::uint64_t ask, PromotionAnswer answer, Nanoseconds now);
    // For the page of states.
    const char* phase() const;

    // How long after the start of a confirmation a call that rests on it may leave. A statement that leaves
    // then is over before a later owner, who waits `lease` from its own write on, counts any replica as
    // paused.
    Nanoseconds confirmedFor() const;
    // How long after its own write this owner waits before it calls the platform.
    Nanoseconds waitsBeforePromotion() const;

private:
    enum class Phase { idle, founding, checking, guarding, pausing, promoting, rising, settling };
    enum class Statement { status, pause, resume };
    struct Ask {
        std::string store;
        Statement what;
        Nanoseconds at = 0;
    };
    std::optional<Lead> known() const;
    std::vector<std::string> listed() const;  // stores of the service that may still be there
    std::vector<std::string> others() const;  // replicas on record and listed ones
    const Json* record(const std::string& store) const;
    bool accepting(const std::string& store) const;
    // By its record, else by the lead's; empty: not known.
    std::string addressOf(const std::string& store, const Lead& lead) const;
    // Whether it is the lead, or another name at the lead's address.
    bool isOrWas(const std::string& store, const Lead& lead) const;
    void to(Phase phase, Nanoseconds now);
    void ask(const std::string& store, Statement what, const std::string& text, Nanoseconds now);
    void beginAttempt();
    void abandon(const std::string& why, Nanoseconds now);
    bool confirmed(Nanoseconds now) const { return confirmedAt_ && now - *confirmedAt_ < confirmedFor(); }
    void confirm(const Lead& lead, Nanoseconds now);
    void confirmationEnded(Confirmation confirmation, Nanoseconds begun, Nanoseconds now);

    void tickIdle(Nanoseconds now);
    void tickPausing(Nanoseconds now);
    void tickPromoting(Nanoseconds now);
    void tickRising(Nanoseconds now);
    void tickSettling(Nanoseconds now);
    void updateReplicas(const Lead& lead, Nanoseconds now);
    void writeReplicas(const Lead& lead, std::set<std::string> replicas, YoungReplicas young);
    std::map<std::string, std::string> addressesOf(const std::set<std::string>& stores,
                                                   const Lead& before) const;
    bool gone(const std::string& store) const;
    void askForRelease(const Lead& lead, Nanoseconds now);
    void rowForRelease(const Ask& asked, const StoreRow& row, Nanoseconds now);
    bool heard(const std::string& store) const;
    void found(Nanoseconds now);
    void founded(const Ask& asked, const std::optional<StoreRow>& row, Nanoseconds now);
    void checked(const Ask& asked, const std::optional<StoreRow>& row, Nanoseconds now);
    void guard(Nanoseconds now, bool planned);
    bool chooseTarget();
    void askAll(Nanoseconds now);
    void pauseReplicas(Nanoseconds now);
    void pause(const std::string& store, Nanoseconds now);
    void rowWhilePausing(const Ask& asked, const std::optional<StoreRow>& row, Nanoseconds now);
    void rowOfOldPrimary(const Ask& asked, const StoreRow& row, Nanoseconds now);
    bool leadsOn(const Ask& asked) const;
    void leadUnderAnotherName(const Ask& asked, Nanoseconds now);
    void verify(Nanoseconds now);
    bool enoughHeard() const;
    bool oneLongOnRecordHeard() const;
    bool hasLogOfKnown(const std::string& store, const Lead& lead) const;
    std::set<std::string> vacatedBehind(const Lead& lead, const std::set<std::string>& replicas) const;
    void noteYoung(Nanoseconds now);
    YoungReplicas youngOf(const std::set<std::string>& replicas, const Lead& lead, Nanoseconds now) const;
    std::string furthest() const;
    std::string whatIsMissing() const;
    void weigh(Nanoseconds now);
    void post(Nanoseconds now);
    void settle(const std::string& store, std::uint64_t term, Nanoseconds now);
    void standDown(Nanoseconds now);
    void becomeSteady(Lead next, Nanoseconds now);
    void resume(Nanoseconds now);
    void resumeReplicas(const Lead& lead, Nanoseconds now);
    void log(const std::string& line);

    const std::string self_, service_;
    const Nanoseconds lease_;
    const PlatformGuarantees platform_;
    Means& means_;
    Phase phase_ = Phase::idle;
    Nanoseconds since_ = 0, guardedAt_ = 0, quietUntil_ = 0, askedAt_ = 0;
    bool mine_ = false, planned_ = false, changing_ = false;
    Lead lead_;

    // Grows with each beginning anew: what was asked in an earlier attempt is answered in vain.
    std::uint64_t attempt_ = 0;
    std::map<std::uint64_t, Ask> asks_;
    bool confirming_ = false;
    std::optional<Nanoseconds> confirmedAt_;  // when the last confirmation of `lead_` began
    std::uint64_t ownFence_ = 0;              // the last one that this life wrote
    bool predecessor_ = false;  // someone else may have called the platform under the fence before
    bool tookOver_ = false;     // the lead was unsteady already: a promotion may be under way

    std::uint64_t pauseTerm_ = 0;
    std::string target_;
    Nanoseconds verifyingSince_ = 0;  // 0: the wait is not over
    std::map<std::string, StoreRow> rows_;
    std::optional<Mark> leadHas_;   // planned: of the lead's row, asked for behind the wait
    std::set<std::string> paused_;  // answered a PAUSE of this verification
    Nanoseconds pausesOverAt_ = 0;  // by then every PAUSE of ours has arrived, or never will

    std::uint64_t posting_ = 0, postAttempt_ = 0;  // the call to the platform under way; 0: none
    Nanoseconds postedAt_ = 0;
    bool posted_ = false;  // in this attempt
    Mark targetHas_;       // of the target's row that the call rested on

    ReplicaAges ages_;
    Nanoseconds notedAt_ = 0;
    Nanoseconds goneSince_ = 0;  // since when a replica on record is known to have left; 0: none has
    std::set<std::string> toResume_, resumed_;  // resumed_: under resumedFence_, by this life
    std::uint64_t resumedFence_ = 0;
    Nanoseconds resumedAt_ = 0, resumeAfter_, resumeUntilAskedFrom_ = 0;
};

}  // namespace granitereel::control
