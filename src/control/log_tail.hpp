// Tells whether the end of a LevelDB log is a write torn by power loss, or corruption of synced data.
//
// LevelDB's published log format (doc/log_format.md): blocks of 32 KiB, which contain records of a checksum
// (masked CRC-32C of type and data, 4 bytes), a length (2 bytes), a type (full, first, middle, last) and
// the data. Each write is synced here before the next one starts, so only the last record can be unsynced:
// an invalid record with nothing valid after it is a torn write, and nothing else is missing.
#pragma once

#include <cstddef>
#include <string_view>

namespace granitereel::control {

enum class TailState {
    intact,   // every record is valid
    torn,     // the last write is incomplete; truncated to `validBytes`, the log is intact
    corrupt,  // an invalid record is followed by a valid one: synced data is gone
};

struct LogTail {
    TailState tail = TailState::intact;
    std::size_t validBytes = 0;  // up to the end of the last valid record before the first invalid one
};

LogTail inspectLog(std::string_view log);

}  // namespace granitereel::control
