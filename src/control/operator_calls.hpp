// The operator's calls at a member: a configuration is put into and read from the register by a majority.
// Free of I/O, clocks and chance.
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
    // What is needed of the member.
    struct Host {
        virtual ~Host() = default;
        virtual void beginChange(RegisterChange change, Nanoseconds now, Nanoseconds deadline) = 0;
        // The register's value that was seen to stand.
        virtual void configurationChosen(const Json& value) = 0;
        virtual void answerOperator(std::uint64_t call, CallOutcome kind, std::string body) = 0;
        virtual void log(std::string line) = 0;
    };
    explicit OperatorCalls(Host& host) : host_(host) {}

    // PUT /config with a body that was found valid. By `until` it is answered, and the
    // configuration may stand or not where there was no majority; the same body may be sent again anywhere.
    void put(std::uint64_t call, const Json& configuration, Nanoseconds now, Nanoseconds deadline);
    // GET /config.
    void get(std::uint64_t call, Nanoseconds now, Nanoseconds deadline);

private:
    Host& host_;
};

}  // namespace granitereel::control
