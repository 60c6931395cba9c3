// An outlet of the decision module that does nothing: tests and measurements override what they look at.
#pragma once

#include <optional>
#include <string>

#include "front.hpp"

namespace granitereel::standins {

struct SilentOutlet : Outlet {
    void launch(const std::string&, const std::string&, Nanos) override {}
    void nack(const std::string&, Nanos) override {}
    void writeOff(const std::string&) override {}
    void cancel(const std::string&, int) override {}
    void probe(const std::string&) override {}
    void hangUp(const std::string&) override {}
    void followList(bool) override {}
    void askList() override {}
    void tell(std::optional<int>, const std::string&) override {}
    void wake(Nanos, std::int64_t) override {}
    void log(const std::string&) override {}
};

}  // namespace granitereel::standins
