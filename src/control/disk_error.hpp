// What can be wrong with a member's disk.
#pragma once

#include <stdexcept>
#include <string>

namespace granitereel::control {

enum class DiskFault {
    ioError,  // it takes or gives no bytes now, and may later; what was synced stands
    lost,     // what was synced can't be shown to stand
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
