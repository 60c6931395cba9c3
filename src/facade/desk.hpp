// The decisions as the network sees them. A transaction is taken, its next step is picked, the ending of a
// launch is reported; timers and errands come by tick. Nothing here decides anything.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <queue>
#include <set>
#include <variant>

#include "front.hpp"
#include "memory/clock.hpp"

namespace granitereel {

namespace asio = boost::asio;

// The steps of a transaction: one launch after another, then one final answer.
struct Launched {
    std::string store;
    Nanos until = 0;
};
struct Nacked {
    Nanos comeBackAfter = 0;
};
struct WrittenOff {};
struct Over {};  // delivered, or its client is gone
using Step = std::variant<Launched, Nacked, WrittenOff, Over>;

// The errands, not tied to a transaction.
struct ProbeStore {
    std::string store;
};
struct HangUp {
    std::string store;
};
struct FollowList {};
struct AskList {};
using Errand = std::variant<ProbeStore, HangUp, FollowList, AskList>;

// What a store's report says, as far as it is of use.
struct Report {
    std::optional<Nanos> position;
    std::optional<bool> primary;
};

// How a launch ended, and what was heard with it.
struct Result {
    Ending how = Ending::unsent;
    Role role = Role::unknown;
    std::optional<Nanos> position;
    std::optional<Report> report;
};

// A transaction in hand. Whoever holds the ticket picks its steps until the last.
class Ticket {
public:
    // Called when the launch under way is to be given up; at once if that has been said already.
    void onCallBack(std::function<void()> giveUp) {
        callBack_ = std::move(giveUp);
        if (calledBack_ && callBack_) callBack_();
    }
    Nanos cutOff() const { return cutOff_; }
    const std::string& id() const { return id_; }

private:
    friend class Desk;
    explicit Ticket(asio::any_io_executor on) : bell_(on) {}
    std::string id_, store_;
    Nanos cutOff_ = 0, sent_ = 0;
    int launches_ = 0;
    bool calledBack_ = false;
    std::function<void()> callBack_;
    void callBack() {
        calledBack_ = true;
        if (callBack_) callBack_();
    }
    std::deque<Step> steps_;
    asio::steady_timer bell_;
};

class Desk final : private Outlet {
public:
    Desk(asio::any_io_executor on, const Clock& clock, const Charter& charter, std::uint64_t seed);
    ~Desk() override = default;

    // Null if one of this id is in hand already, or its group is unknown.
    std::shared_ptr<Ticket> take(const std::string& id, int lane, const std::string& user, Nanos patience,
                                 int group, std::optional<Nanos> mustSee);
    asio::awaitable<Step> pick(Ticket& ticket);
    // Whether the launch picked last may still go, if connecting has taken a while since.
    bool mayStillGo(const Ticket& ticket);
    void report(Ticket& ticket, const Result& result);
    // The client is gone.
    void lapse(Ticket& ticket);
    // The front ends: every transaction in hand gets its final answer now.
    void giveUpAll();
    std::size_t inHand() const { return tickets_.size(); }

    void listBegins(bool whole);
    void listEntry(const std::string& store, int group, int zone, Standing standing, Nanos started,
                   bool primary);
    void listEnds();
    void listFailed();
    // Among how many fronts this one counts itself.
    void present(int fronts) { front_.present(fronts); }
    // How many fronts look for a group's primary, as Outlet::seekers says; empty: none is known.
    std::function<std::optional<int>(int group)> seeker;
    // A cold store's credit is spent here, as Outlet::scarce says; empty: nobody lends any.
    std::function<void(const std::string& store, double work, double gain, Nanos until)> borrower;
    std::vector<ColdStore> coldStores() { return front().coldStores(); }
    void cede(const std::string& store, double part) { front().cede(store, part); }
    void lend(const std::string& store, double work, Nanos until) { front().lend(store, work, until); }
    void look(int group) { front().look(group); }
    void hinted(const std::string& store) { front().hinted(store); }
    std::optional<std::string> primaryOf(int group) { return front().primaryOf(group); }
    const std::set<int>& groups() const { return groups_; }
    bool knows(const std::string& store) const { return front_.knows(store); }
    void probed(const std::string& store, Ending how, const std::optional<Report>& report);
    void shookHands(const std::string& store, Nanos work) { front().shookHands(store, work); }

    // Runs due timers; returns once there are errands.
    asio::awaitable<std::vector<Errand>> tick();

private:
    void launch(const std::string& id, const std::string& store, Nanos within) override;
    void nack(const std::string& id, Nanos comeBackAfter) override;
    void writeOff(const std::string& id) override;
    void cancel(const std::string& id, int launchNo) override;
    void probe(const std::string& store) override { add(ProbeStore{store}); }
    void hangUp(const std::string& store) override { add(HangUp{store}); }
    void followList(bool on) override {
        if (on) add(FollowList{});
    }
    void askList() override { add(AskList{}); }
    void tell(std::optional<int>, const std::string&) override {}  // the decisions tell other fronts nothing
    void wake(Nanos when, std::int64_t handle) override;
    void log(const std::string& line) override;
    std::optional<int> seekers(int group) override {
        return seeker ? seeker(group) : std::optional<int>();
    }

    void scarce(const std::string& store, double work, double gain, Nanos until) override {
        if (borrower) borrower(store, work, gain, until);
    }

    Front& front();
    void add(Errand errand);
    void give(const std::string& id, Step step);
    void end(Ticket& ticket);

    asio::any_io_executor on_;
    const Clock& clock_;
    std::map<std::string, std::shared_ptr<Ticket>, std::less<>> tickets_;
    std::set<int> groups_;
    std::vector<Errand> errands_;
    using Timer = std::pair<Nanos, std::int64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    asio::steady_timer alarm_;
    Front front_;  // last: it calls the outlet from its constructor on
};

}  // namespace granitereel
