#include "control/log_tail.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace granitereel::control {

namespace {
constexpr std::size_t blockBytes = 32 * 1024, headerBytes = 7, checksumBytes = 4;
enum RecordType : unsigned { full = 1, first = 2, middle = 3, last = 4 };

constexpr std::array<std::uint32_t, 256> crcTable() {
    constexpr std::uint32_t castagnoliReversed = 0x82f63b78;
    std::array<std::uint32_t, 256> table{};
    for (std::uint32_t byte = 0; byte < table.size(); ++byte) {
        std::uint32_t remainder = byte;
        for (int bit = 0; bit < 8; ++bit)
            remainder = (remainder >> 1) ^ (remainder & 1 ? castagnoliReversed : 0);
        table[byte] = remainder;
    }
    return table;
}

std::uint32_t crc32c(std::string_view bytes) {
    static constexpr auto table = crcTable();
    std::uint32_t crc = ~std::uint32_t(0);
    for (const char byte : bytes) crc = (crc >> 8) ^ table[(crc ^ static_cast<unsigned char>(byte)) & 0xff];
    return ~crc;
}

// The format masks its checksums, since data may itself hold checksums.
std::uint32_t masked(std::uint32_t crc) {
    constexpr std::uint32_t maskDelta = 0xa282ead8;
    return ((crc >> 15) | (crc << 17)) + maskDelta;
}

std::uint32_t littleEndian(std::string_view bytes) {
    std::uint32_t number = 0;
    for (std::size_t i = bytes.size(); i-- > 0;)
        number = (number << 8) | static_cast<unsigned char>(bytes[i]);
    return number;
}

struct Record {
    bool valid = false;
    unsigned type = 0;
    std::size_t end = 0;  // where the next one would begin, as its length has it
};

// The next place where a record may begin: the last bytes of a block are too few for a header.
std::size_t recordStart(std::size_t at) {
    const std::size_t left = blockBytes - at % blockBytes;
    return left < headerBytes ? at + left : at;
}

Record recordAt(std::string_view log, std::size_t at) {
    Record record;
    if (at + headerBytes > log.size()) return record;
    const std::size_t length = littleEndian(log.substr(at + checksumBytes, 2));
    record.type = static_cast<unsigned char>(log[at + headerBytes - 1]);
    record.end = at + headerBytes + length;
    if (record.type < full || record.type > last) return record;
    if (at % blockBytes + headerBytes + length > blockBytes || record.end > log.size()) return record;
    const std::string_view typeAndData = log.substr(at + headerBytes - 1, length + 1);
    record.valid = masked(crc32c(typeAndData)) == littleEndian(log.substr(at, checksumBytes));
    return record;
}

// Whether a further write's first record stands somewhere behind a bad one.
bool hasLaterWrite(std::string_view log, std::size_t badRecordAt) {
    std::size_t block = badRecordAt - badRecordAt % blockBytes;
    // Within the bad record's block only its length tells where the next one is.
    std::size_t at = recordAt(log, badRecordAt).end;
    if (at <= badRecordAt || at > block + blockBytes) at = block + blockBytes;
    while (at < log.size()) {
        at = recordStart(at);
        const Record record = recordAt(log, at);
        if (record.valid && (record.type == full || record.type == first)) return true;
        at = record.valid ? record.end : at - at % blockBytes + blockBytes;
    }
    return false;
}
}  // namespace

LogTail inspectLog(std::string_view log) {
    LogTail result;
    bool insideWrite = false;  // between a write's first record and its last
    for (std::size_t at = recordStart(0); at < log.size(); at = recordStart(at)) {
        const Record record = recordAt(log, at);
        const bool startsWrite = record.type == full || record.type == first;
        if (!record.valid || startsWrite == insideWrite) {
            result.tail = hasLaterWrite(log, at) ? TailState::corrupt : TailState::torn;
            return result;
        }
        at = record.end;
        insideWrite = record.type == first || record.type == middle;
        if (!insideWrite) result.validBytes = at;
    }
    result.tail = insideWrite || result.validBytes < log.size() ? TailState::torn : TailState::intact;
    return result;
}

}  // namespace granitereel::control
