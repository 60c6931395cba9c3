// Whether the end of one of LevelDB's logs is a write that a loss of power tore, or damage to what was
// synced.
//
// LevelDB's published log format (doc/log_format.md): blocks of 32 KiB; in them records of a checksum
// (masked CRC-32C of type and data, 4 bytes), a length (2 bytes), a type (full, first, middle, last) and the
// data. Each write here is synced before the next is begun, so that only the last record can be unsynced:
// what is bad there and followed by nothing sound is a torn write, and no more than that is missing.
#pragma once

#include <cstddef>
#include <string_view>

namespace granitereel::control {

enum class TailState {
    intact,   // every record is sound
    torn,     // the last write is incomplete: cut off behind `sound`, the log is whole
    corrupt,  // a bad record stands before a sound one: something that was synced is gone
};

struct LogTail {
    TailState tail = TailState::intact;
    std::size_t validBytes = 0;  // bytes up to the end of the last sound record before the first bad one
};

LogTail inspectLog(std::string_view log);

}  // namespace granitereel::control
