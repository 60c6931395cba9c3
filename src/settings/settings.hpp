// What a process of the system is told at its start: the settings file of its machine (TOML). Fields that are
// not known are passed over; a field that is needed and is missing or of another type is an error with its
// name and, where the file can't be read as TOML, its line and column.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace granitereel::settings {

// What is wrong with the file, fit to be shown to an operator.
struct InvalidSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Settings {
    std::string station, ip, district;
    std::vector<std::string> seeds;                          // control addresses, three at most
    int firstPort = 0, lastPort = 0;                         // free for the system's own talk
    std::string frontAddress, readyAddress, controlAddress;  // empty: not served here
    std::string dataPath;                                    // empty: no disk
    bool firstBoot = false;
    std::map<std::string, std::string> territoryOf;  // of each district
    int ramMb = 64, fileHandles = 1024;
    int beatInterval_ms = 1000, grace_ms = 5000, drain_ms = 5000, contact_ms = 4000, syncIn_ms = 4000;
    int tolerance = 1;      // machines that may be lost at once
    std::string platform;   // address; empty: none
    bool promotes = false;  // whether promotions are the system's to make
    // Whether the platform refuses a fence lower than one it has seen; unsaid counts as no.
    bool fenceChecked = false;
    int lease_ms = 0;  // holders of a duty must not take turns within this; 0: nothing said
};

// Throws InvalidSettings.
Settings read(const std::string& path);
// The path in GRANITEREEL_BOOT, or the platform's usual one.
std::string usualPath();

}  // namespace granitereel::settings
