// The settings file of a machine (TOML), which a process of the system reads at its start. Unknown fields are
// ignored. A required field that is missing or has another type is an error that names the field; a file that
// is not valid TOML is one with line and column.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace granitereel::settings {

// Why the file is rejected, as a text for the operator.
struct InvalidSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Settings {
    std::string station, ip, district;
    std::vector<std::string> seeds;   // addresses of members of control, three at most
    int firstPort = 0, lastPort = 0;  // ports for the traffic between the system's own processes
    std::string proxyListenAddress, readinessListenAddress, controlListenAddress;  // empty: not served here
    std::string dataPath;                                                          // empty: no disk
    bool firstBoot = false;
    std::map<std::string, std::string> territoryByDistrict;
    int memoryLimit_MB = 64, maxFileHandles = 1024;
    // drain_ms: a store that winds down serves for this long; syncIn_ms: the least time between two losses.
    int heartbeatInterval_ms = 1000, shutdownGrace_ms = 5000, drain_ms = 5000, contact_ms = 4000,
        syncIn_ms = 4000;
    int toleratedMachineLosses = 1;  // machines that may be lost at once
    std::string platformAddress;     // empty: none
    bool promotionsEnabled = false;  // whether this system is in charge of promotions
    // Whether the platform rejects a fencing token lower than one it has seen. Assumed not to where the file
    // does not say so: relying on a check that nobody makes would let a former owner's late promotion
    // through.
    bool platformChecksFencingToken = false;
    // The platform requires that the ownership of a failover does not change within this; 0: not stated.
    int lease_ms = 0;
};

// Throws InvalidSettings.
Settings read(const std::string& path);
// The path in GRANITEREEL_BOOT, or the platform's default.
std::string defaultPath();

}  // namespace granitereel::settings
