// An outlet of the decision module that does nothing: tests and measurements override what they look at.
#pragma once

#include <optional>
#include <string>

#include "router.hpp"

namespace granitereel::standins {

struct SilentOutlet : RouterOutput {
    void startAttempt(const std::string&, const std::string&, Nanoseconds) override {}
    void reject(const std::string&, Nanoseconds) override {}
    void reportIndeterminate(const std::string&) override {}
    void cancel(const std::string&, int) override {}
    void probe(const std::string&) override {}
    void closeIdleConnections(const std::string&) override {}
    void subscribeToList(bool) override {}
    void requestList() override {}
    void send(std::optional<int>, const std::string&) override {}
    void wakeAt(Nanoseconds, std::int64_t) override {}
    void log(const std::string&) override {}
};

}  // namespace granitereel::standins
