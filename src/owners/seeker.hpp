// Who looks for a primary that was lost: by duty one front of the tier looks at full pace, and tells the
// others that miss it where it is. What it tells is a hint where to look, never leave to write. Harmless if
// two do it; so a front that gets no answer looks for itself, as one without a tier. Free of I/O and clocks.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "duties.hpp"
#include "nanoseconds.hpp"

namespace granitereel::owners {

// What fronts say to each other of primaries.
struct Seek {
    struct Found {
        int group = 0;
        std::string store;
        bool operator==(const Found&) const = default;
    };
    std::vector<int> wants;    // groups whose primary the sender misses
    std::vector<int> looking;  // groups for which the sender looks
    std::vector<Found> found;
    bool operator==(const Seek&) const = default;
};

class Seeker {
public:
    // The front's own decisions.
    class Finder {
    public:
        virtual ~Finder() = default;
        // Looks now, at full pace.
        virtual void look(int group) = 0;
        // Where to look next.
        virtual void hint(const std::string& store) = 0;
        // The primary, where it is known and answers.
        virtual std::optional<std::string> primary(int group) const = 0;
    };
    struct View {
        std::function<std::vector<int>()> here;
        std::function<bool()> most;
    };

    Seeker(int me, View view, std::function<void(int member, const Seek&)> send, Finder& finder)
        : me_(me), view_(std::move(view)), send_(std::move(send)), finder_(finder) {}

    // The front misses a group's primary. 1: it looks for all; 0: another does, and is asked; none: it looks
    // as one without a tier, since it sees too little of its own or the other does not answer.
    std::optional<int> seekers(Nanoseconds now, int group);
    void heard(Nanoseconds now, int from, const Seek& seek);
    void tick(Nanoseconds now);
    Nanoseconds next() const;
    int duty(int group) const;
    // Those asked for since the start, and those found for others.
    std::uint64_t asked() const { return asked_; }
    std::uint64_t told() const { return told_; }

private:
    struct Missed {
        int owner = -1;
        Nanoseconds asked = 0, answered = 0;
        Nanoseconds restsUntil = 0;  // not asked again before, as it has answered
    };
    struct Sought {
        std::map<int, Nanoseconds> askers;  // until when each is told
    };
    bool tell(Nanoseconds now, int group);

    const int me_;
    const View view_;
    const std::function<void(int, const Seek&)> send_;
    Finder& finder_;
    std::map<int, Missed> missed_;  // by group
    std::map<int, Sought> sought_;
    Nanoseconds now_ = 0;
    std::uint64_t asked_ = 0, told_ = 0;
};

}  // namespace granitereel::owners
