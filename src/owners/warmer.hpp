// The warm-up of a cold store as work of one owner. What all fronts together may give such a store is cut
// into a part for each; most parts lie idle while a few are spent. So a front cedes most of its part, for a
// stated time, to whom it names for the owner of `warm/<store>`, first as it hears of the store, then when
// that one calls; the owner lends it in slices, each with term and end, to those with work waiting. What is
// lent is never more than what was ceded, and what is ceded its front leaves: whatever is lost, late or
// twice, and whoever else takes itself for the owner, the sum stays within the whole. Free of I/O and clocks.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "owners.hpp"

namespace granitereel::owners {

// What fronts say to each other of warm-ups. `start` is the store's, as lists tell it: what was meant for an
// earlier life of a store is void.
struct Warm {
    // The sender owns it under this term. With `call`: what the receiver can spare is wanted.
    struct Open {
        Key key = 0;
        std::uint64_t term = 0;
        Nanoseconds left = 0;  // of its lease, as it stands
        bool call = false;
        bool operator==(const Open&) const = default;
    };
    // For a time from its sending the sender earns less by this much, in millionths of a core, and cedes it
    // to nobody else. Numbered in its process for each key, from 1 on.
    struct Cession {
        Key key = 0;
        std::uint32_t number = 0;
        Nanoseconds start = 0;
        std::uint32_t part = 0;
        Nanoseconds time = 0;
        bool operator==(const Cession&) const = default;
    };
    // The sender has work waiting. With no term: it knows of no owner; with no work: it asks for that one
    // alone.
    struct Want {
        Key key = 0;
        std::uint64_t term = 0;
        Nanoseconds work = 0;
        float gain = 0;        // for a second of that work
        Nanoseconds wait = 0;  // it waits so much longer
        bool operator==(const Want&) const = default;
    };
    struct Slice {
        Key key = 0;
        std::uint64_t term = 0;
        Nanoseconds start = 0, work = 0;
        Nanoseconds left = 0;  // it may be used for so long from its sending
        bool operator==(const Slice&) const = default;
    };
    // The sender is not the owner; that one may be (-1: it knows of none).
    struct Other {
        Key key = 0;
        int owner = -1;
        bool operator==(const Other&) const = default;
    };
    // What the receiver has ceded by this number and before will not be lent any more.
    struct Return {
        Key key = 0;
        std::uint32_t number = 0;
        bool operator==(const Return&) const = default;
    };
    std::vector<Open> opens;
    std::vector<Cession> cessions;
    std::vector<Return> returns;
    std::vector<Want> wants;
    std::vector<Slice> slices;
    std::vector<Other> others;
    bool operator==(const Warm&) const = default;
};

class Warmer {
public:
    // A store that is up and cold. `part`: what the front may give it, as a share of any time, at the least.
    struct Cold {
        std::string store;
        Nanoseconds started = 0;
        double part = 0;
    };
    // The front's own decisions.
    class Till {
    public:
        virtual ~Till() = default;
        virtual std::vector<Cold> cold() = 0;
        // From now on it earns so much less there.
        virtual void cede(const std::string& store, double part) = 0;
        virtual void lend(const std::string& store, Nanoseconds work, Nanoseconds until) = 0;
    };
    struct View {
        std::function<std::vector<int>()> here;
        std::function<bool()> most;
    };
    struct Pace {
        Nanoseconds ceded =
            milliseconds(4000);  // a part is ceded for so long: an owner that dies is missed for no longer
        double share = 0.75;     // of its part that a front cedes; the rest is assured to it
    };

    Warmer(int me, Nanoseconds now, Owners& owners, View view, const Pace& pace, Till& till,
           std::function<void(int member, const Warm&)> send, std::function<void(const std::string&)> log);

    // A transaction waits here for credit at a cold store: its work, its gain for a second of that, and how
    // long.
    struct Wish {
        Nanoseconds work = 0;
        double gain = 0;
        Nanoseconds until = 0;
    };
    void scarce(Nanoseconds now, const std::string& store, const Wish& wish);
    // `sent`: by this front's clock, or no more than the shortest delay on that way later.
    void heard(Nanoseconds now, int from, std::uint32_t birth, Nanoseconds sent, const Warm& warm);
    void tick(Nanoseconds now);
    Nanoseconds next() const;
    // This front ends: who cedes to it may take it back. Before it gives back its leases.
    void leave(Nanoseconds now);
    // A lease has come or gone: to be looked at with the next tick.
    void stir() { nextLook_ = 0; }
    // How long what was lent under a key may still be used.
    Nanoseconds outFor(Key key) const;

    struct Told {
        std::uint64_t ceded = 0, lent = 0, got = 0, refused = 0, wants = 0;
    };
    const Told& told() const { return told_; }
    // The store behind a key; empty where it is none of this front's cold ones.
    std::string storeOf(Key key) const;

private:
    // One of this front's cold stores.
    struct Mine {
        std::string store;
        Nanoseconds started = 0;
        double part = 0;
        std::uint64_t term = 0;  // of the owner that it goes by; 0: none
        int owner = -1;
        int cededTo = -1;  // -1: to nobody; to itself where an earlier process of its name may have
        std::uint32_t number = 0;
        Nanoseconds cededUntil = 0;
        Nanoseconds askAt = 0;   // no sooner again
        int vain = 0;            // asks in a row that nobody answered
        Nanoseconds lacked = 0;  // when work last waited here
        int hint = -1;           // who may own it
    };
    struct Lender {
        double part = 0;
        Nanoseconds until = 0;
        std::uint32_t birth = 0, number = 0;  // a return holds for this one and those before
    };
    struct Waiting {
        int front;
        Nanoseconds work;
        double gain;
        Nanoseconds until;
    };
    // What was ceded to this front, and what comes of it while it owns the key.
    struct Pot {
        std::uint64_t term = 0;  // 0: not owned, nothing is saved up
        std::map<int, Lender> lenders;
        double amount = 0;
        Nanoseconds at = 0;
        std::vector<Waiting> queue;         // the highest gain first
        Nanoseconds lastEnd = 0;            // of what was lent
        std::map<int, Nanoseconds> called;  // fronts, each until when it is not called again
        Nanoseconds nextCall = 0;
        int calls = 0;  // of the last round
    };
    void look();
    void settle(Key key, Mine& mine);
    void begin(Key key, Mine& mine, Pot& pot, const Hold& hold);
    void end(Key key, Mine& mine, Pot& pot, const char* why);
    void giveBack(Key key, Pot& pot);
    void call(Key key, Pot& pot);
    void cede(Key key, Mine& mine, int to);
    void takeBack(Mine& mine);
    void gather(Pot& pot);
    void queue(Pot& pot, const Waiting& waiting);
    void lend(Key key, Pot& pot);
    void opened(int from, Nanoseconds sent, const Warm::Open& open);
    void ceded(int from, std::uint32_t birth, Nanoseconds sent, const Warm::Cession& cession);
    void returned(int from, const Warm::Return& given);
    void wanted(int from, const Warm::Want& want);
    void use(int from, Nanoseconds sent, const Warm::Slice& slice);
    Pot* owned(Key key);

    const int me_;
    Owners& owners_;
    const View view_;
    const Pace pace_;
    Till& till_;
    const std::function<void(int, const Warm&)> send_;
    const std::function<void(const std::string&)> log_;
    std::map<Key, Mine> mine_;
    std::map<Key, Pot> pots_;
    const Nanoseconds born_;
    Nanoseconds now_, nextLook_ = 0;
    bool leaving_ = false;
    Told told_;
};

}  // namespace granitereel::owners
