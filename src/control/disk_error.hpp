// Errors of a member's disk.
#pragma once

#include <stdexcept>
#include <string>

namespace granitereel::control {

enum class DiskFault {
    ioError,  // reads or writes fail now and may succeed later; synced data is intact
    lost,     // synced data is not provably intact
};

class DiskError : public std::runtime_error {
public:
    DiskError(DiskFault fault, const std::string& cause)
        : std::runtime_error("state on disk: " + cause), fault_(fault) {}
    DiskFault fault() const { return fault_; }

private:
    DiskFault fault_;
};

}  // namespace granitereel::control
