// Work for the fleet and who owns it: a duty that every front can name from its view, and for kinds that are
// harmful twice a lease. Free of I/O and clocks. docs/owners-design.md names the ways weighed.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "leases.hpp"

namespace granitereel::owners {

class Owners final : private Leases::Outlet {
public:
    class Outlet {
    public:
        virtual ~Outlet() = default;
        virtual void send(int member, const Talk& talk) = 0;
        virtual void log(const std::string& line) = 0;
        virtual void changed(Key key, bool held) = 0;
    };
    // What this front sees of the tier, asked whenever it is needed.
    struct View {
        std::function<std::vector<int>()> here;  // this front among them, until it leaves
        std::function<bool()> most;              // whether it sees more than half
    };

    Owners(int me, std::uint32_t birth, const Electors& electors, const Terms& terms, std::uint64_t floor,
           std::uint64_t seed, Nanoseconds now, View view, Outlet& outlet);

    // Work that needs one owner, from now on: while the duty for it is this front's, it tries to hold the
    // lease.
    void need(Key key, const std::string& name);
    void needless(Nanoseconds now, Key key);
    // How long what was given out under a key may still be used; asked when the key is given back.
    std::function<Nanoseconds(Key)> givenOutFor = [](Key) { return Nanoseconds(0); };

    // Who would do it, by this front's view; -1: nobody is seen.
    int duty(Key key) const;
    std::optional<Hold> holds(Nanoseconds now, Key key) const { return leases_.holds(now, key); }
    Fence& fence() { return fence_; }
    // What was seen of owners' acts, by key.
    const std::map<Key, Fence::Seen>& seen() const { return fence_.all(); }
    const Leases& leases() const { return leases_; }
    const Elector* elector() const { return elector_.get(); }

    void heard(Nanoseconds now, int from, std::uint32_t birth, const Talk& talk);
    void tick(Nanoseconds now);
    Nanoseconds next() const;
    void leave(Nanoseconds now);
    void slept(Nanoseconds now) { leases_.slept(now); }
    // Gives back a key by hand, and does not ask for it again within that time.
    void yieldKey(Nanoseconds now, Key key, Nanoseconds restFor);

private:
    void send(int member, const Talk& talk) override;
    void log(const std::string& line) override { out_.log(line); }
    void changed(Key key, bool held) override { out_.changed(key, held); }
    void settleOwn();
    void askForTerms();

    Outlet& out_;
    const int me_;
    const std::uint32_t birth_;
    const View view_;
    std::unique_ptr<Elector> elector_;  // null where this front grants nothing
    Leases leases_;
    Fence fence_;
    std::map<Key, std::string> needed_;
    std::map<Key, Nanoseconds> restsUntil_;
    std::deque<Talk> own_;  // to this front itself
    Nanoseconds now_ = 0, nextLook_ = 0, nextTerms_ = 0;
    const Nanoseconds termsUntil_;  // it asks others for the highest term that they know, until then
    const Electors electors_;
    std::minstd_rand chance_;
    bool leaving_ = false;
};

}  // namespace granitereel::owners
