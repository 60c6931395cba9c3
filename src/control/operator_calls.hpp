// Operator calls: writes a configuration to the register and reads it from there, both through a majority.
// Deterministic: no I/O, clocks or randomness.
#pragma once

#include <cstdint>
#include <string>

#include "control/configuration_revisions.hpp"
#include "control/outputs.hpp"
#include "control/register.hpp"
#include "nanoseconds.hpp"

namespace granitereel::control {

class OperatorCalls {
public:
    // Interface to the owning member.
    struct Host {
        virtual ~Host() = default;
        virtual void beginChange(RegisterChange change, Nanoseconds now, Nanoseconds deadline) = 0;
        // The register's value that was read or written by a majority.
        virtual void configurationChosen(const Json& value) = 0;
        virtual void answerOperator(std::uint64_t callId, CallOutcome kind, std::string body) = 0;
        virtual void log(std::string line) = 0;
    };
    explicit OperatorCalls(Host& host) : host_(host) {}

    // PUT /config with a validated body. Answered by `deadline`; without a majority the configuration may
    // have been applied or not, and the same body may be sent again to any member.
    void put(std::uint64_t callId, const Json& configuration, Nanoseconds now, Nanoseconds deadline);
    // GET /config.
    void get(std::uint64_t callId, Nanoseconds now, Nanoseconds deadline);

private:
    Host& host_;
};

}  // namespace granitereel::control
