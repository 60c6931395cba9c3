// Registers under every order of a few messages.
#include <gtest/gtest.h>

#include <algorithm>

#include "control/member.hpp"

namespace {
using namespace granitereel;
using namespace granitereel::control;

// Three acceptors and two proposers that change one register at once. `order` says, step by step, which of
// the messages under way is delivered; what is left is lost.
struct Duel {
    std::map<std::string, Acceptor> acceptors{{"a", {}}, {"b", {}}, {"c", {}}};
    std::vector<std::unique_ptr<Proposer>> proposers;
    std::vector<std::optional<Json>> ended{std::nullopt, std::nullopt};
    struct Message {
        int proposer;
        std::string voter;
        Json body;
    };
    std::vector<Message> under;

    Duel() {
        for (int i = 0; i < 2; ++i) {
            const std::string self = i == 0 ? "a" : "b";
            proposers.push_back(std::make_unique<Proposer>(
                ProposerId{self, "1", 1},
                [this, self](const std::string& name) -> const Slot& { return acceptors[self].slot(name); }));
            for (const auto& [voter, acceptor] : acceptors) proposers[i]->linkUp(voter);
            proposers[i]->setVoters({1, {"a", "b", "c"}}, 1);
            // Both send a body under edition 7: one of them may be taken, and only one.
            proposers[i]->begin({"config",
                                 [i](const Json& was) {
                                     if (was.is_object() && was.at("edition") >= 7) return was;
                                     return Json{{"edition", 7}, {"body", i}};
                                 },
                                 [this, i](std::optional<Json> stands) { ended[i] = stands; }},
                                1, milliseconds(1'000'000));
            collect(i);
        }
    }
    void collect(int i) {
        for (auto& [to, message] : proposers[i]->takeRequests()) under.push_back({i, to, message});
    }
    void deliver(std::size_t which, Nanoseconds now) {
        const Message m = under[which];
        under.erase(under.begin() + static_cast<std::ptrdiff_t>(which));
        Acceptor& acceptor = acceptors[m.voter];
        const Json reply = acceptor.handle(VoteRequest::fromJson(m.body)).reply.toJson();
        proposers[m.proposer]->handleReply(m.voter, reply, now);
        proposers[m.proposer]->tick(now +
                                    milliseconds(300));  // a pause after a clash is over at the next step
        collect(m.proposer);
    }
    // What a majority without this member reads afterwards.
    Json readWithout(const std::string& out) {
        Slot best;
        for (auto& [name, acceptor] : acceptors)
            if (name != out && best.accepted < acceptor.slot("config").accepted)
                best = acceptor.slot("config");
        return best.value;
    }
};

TEST(Register, TakesOneBodyUnderANumberInEveryOrder) {
    int orders = 0, acknowledged = 0;
    std::vector<std::size_t> order;
    // Depth first: after each prefix all messages that are left are lost, and what was acknowledged must be
    // read.
    auto explore = [&](auto& self, std::size_t depth) -> void {
        Duel duel;
        Nanoseconds now = milliseconds(1);
        for (const std::size_t which : order) duel.deliver(which, now += milliseconds(400));
        ++orders;
        for (const auto& ended : duel.ended) {
            if (!ended) continue;
            ++acknowledged;
            for (const char* out : {"a", "b", "c"})
                ASSERT_EQ(duel.readWithout(out), *ended) << testing::PrintToString(order);
        }
        if (depth == 0) return;
        const std::size_t choices = std::min<std::size_t>(duel.under.size(), 6);
        for (std::size_t i = 0; i < choices; ++i) {
            order.push_back(i);
            self(self, depth - 1);
            order.pop_back();
            if (testing::Test::HasFatalFailure()) return;
        }
    };
#ifdef __SANITIZE_ADDRESS__  // thirty times as slow: one message less
    explore(explore, 5);
    EXPECT_GT(orders, 5'000);
#else
    explore(explore, 7);
    EXPECT_GT(orders, 30'000);
    EXPECT_GT(acknowledged, 100);
#endif
}
}  // namespace
