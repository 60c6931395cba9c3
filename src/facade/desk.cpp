#include "desk.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace granitereel {

namespace {
constexpr auto quietly = asio::as_tuple(asio::use_awaitable);
}

Desk::Desk(asio::any_io_executor on, const Clock& clock, const Charter& charter, std::uint64_t seed)
    : on_(on), clock_(clock), alarm_(on), front_(charter, seed, clock.now(), *this) {}

Front& Desk::front() {
    front_.clock(clock_.now());
    return front_;
}

std::shared_ptr<Ticket> Desk::take(const std::string& id, int lane, const std::string& user, Nanos patience,
                                   int group, std::optional<Nanos> mustSee) {
    if (tickets_.count(id) || !groups_.count(group)) return nullptr;
    auto ticket = std::shared_ptr<Ticket>(new Ticket(on_));
    const Nanos now = clock_.now();
    ticket->id_ = id;
    ticket->cutOff_ = now + patience;
    tickets_[id] = ticket;
    front_.clock(now);
    // The module counts back from now; a commit told rounded up may lie a little ahead.
    std::optional<Nanos> sinceWrite;
    if (mustSee) sinceWrite = now - *mustSee;
    front_.take(id, lane, user, patience, group, sinceWrite);
    return ticket;
}

asio::awaitable<Step> Desk::pick(Ticket& ticket) {
    while (ticket.steps_.empty()) {
        ticket.bell_.expires_at(asio::steady_timer::time_point::max());
        co_await ticket.bell_.async_wait(quietly);
    }
    Step step = std::move(ticket.steps_.front());
    ticket.steps_.pop_front();
    if (!std::holds_alternative<Launched>(step)) end(ticket);
    co_return step;
}

bool Desk::mayStillGo(const Ticket& ticket) {
    return front().mayStillGo(ticket.id_, ticket.store_);
}

void Desk::report(Ticket& ticket, const Result& result) {
    ticket.callBack_ = nullptr;
    Front& to = front();
    if (result.report) to.reported(ticket.store_, result.report->position, result.report->primary);
    const bool delivered = result.how == Ending::delivered;
    // Over before the module hears of it, so that it gives no further step.
    if (delivered) ticket.steps_.emplace_back(Over{});
    to.ended(ticket.id_, ticket.launches_ - 1, ticket.store_, result.how, clock_.now() - ticket.sent_,
             result.role, result.position, delivered);
}

void Desk::lapse(Ticket& ticket) {
    const auto found = tickets_.find(ticket.id_);
    if (found == tickets_.end() || found->second.get() != &ticket) return;
    // A launch that was picked but not begun is dropped with the rest; its ending is told at once.
    const bool unpicked = !ticket.steps_.empty() && std::holds_alternative<Launched>(ticket.steps_.front());
    ticket.steps_.assign(1, Over{});
    ticket.bell_.cancel();
    Front& to = front();
    to.lapsed(ticket.id_);
    if (unpicked)
        to.ended(ticket.id_, ticket.launches_ - 1, ticket.store_, Ending::unsent, 0, Role::unknown, {}, true);
}

void Desk::giveUpAll() {
    const auto all = tickets_;
    for (const auto& [id, ticket] : all) {
        front().giveUp(id);
        ticket->callBack();  // nothing is waited for any more, whatever the module may call back otherwise
    }
}

void Desk::end(Ticket& ticket) {
    tickets_.erase(ticket.id_);
}

void Desk::listBegins(bool whole) {
    front().listBegins(whole);
}

void Desk::listEntry(const std::string& store, int group, int zone, Standing standing, Nanos started,
                     bool primary) {
    groups_.insert(group);
    front_.listEntry(store, group, zone, standing, started, primary);
}

void Desk::listEnds() {
    front_.listEnds();
}

void Desk::listFailed() {
    front().listFailed();
}

void Desk::probed(const std::string& store, Ending how, const std::optional<Report>& report) {
    Front& to = front();
    if (report) to.reported(store, report->position, report->primary);
    to.probed(store, how);
}

asio::awaitable<std::vector<Errand>> Desk::tick() {
    for (;;) {
        while (!timers_.empty() && timers_.top().first <= clock_.now()) {
            const std::int64_t handle = timers_.top().second;
            timers_.pop();
            front().woke(handle);
        }
        if (!errands_.empty()) co_return std::exchange(errands_, {});
        alarm_.expires_at(timers_.empty() ? asio::steady_timer::time_point::max()
                                          : clock_.at(timers_.top().first));
        co_await alarm_.async_wait(quietly);
    }
}

void Desk::launch(const std::string& id, const std::string& store, Nanos within) {
    auto found = tickets_.find(id);
    if (found == tickets_.end()) return;
    Ticket& ticket = *found->second;
    ticket.store_ = store;
    ticket.sent_ = clock_.now();
    ++ticket.launches_;
    ticket.calledBack_ = false;
    const Nanos until = within > 0 ? std::min(ticket.cutOff_, ticket.sent_ + within) : ticket.cutOff_;
    give(id, Launched{store, until});
}

void Desk::nack(const std::string& id, Nanos comeBackAfter) {
    give(id, Nacked{comeBackAfter});
}

void Desk::writeOff(const std::string& id) {
    give(id, WrittenOff{});
}

void Desk::cancel(const std::string& id, int) {
    // A transaction has one launch out at a time.
    auto found = tickets_.find(id);
    if (found != tickets_.end()) found->second->callBack();
}

void Desk::wake(Nanos when, std::int64_t handle) {
    timers_.emplace(when, handle);
    alarm_.cancel();
}

void Desk::log(const std::string& line) {
    spdlog::info("{}", line);
}

void Desk::add(Errand errand) {
    errands_.push_back(std::move(errand));
    alarm_.cancel();
}

void Desk::give(const std::string& id, Step step) {
    auto found = tickets_.find(id);
    if (found == tickets_.end()) return;
    found->second->steps_.push_back(std::move(step));
    found->second->bell_.cancel();
}

}  // namespace granitereel
