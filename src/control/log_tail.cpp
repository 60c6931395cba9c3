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

// The format masks checksums because the data may itself contain checksums.
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
    std::size_t end = 0;  // offset of the next record according to the length field
};

// The next offset at which a record may start: the last bytes of a block are too few for a header.
std::size_t recordStart(std::size_t offset) {
    const std::size_t left = blockBytes - offset % blockBytes;
    return left < headerBytes ? offset + left : offset;
}

Record recordAt(std::string_view log, std::size_t offset) {
    Record record;
    if (offset + headerBytes > log.size()) return record;
    const std::size_t length = littleEndian(log.substr(offset + checksumBytes, 2));
    record.type = static_cast<unsigned char>(log[offset + headerBytes - 1]);
    record.end = offset + headerBytes + length;
    if (record.type < full || record.type > last) return record;
    if (offset % blockBytes + headerBytes + length > blockBytes || record.end > log.size()) return record;
    const std::string_view typeAndData = log.substr(offset + headerBytes - 1, length + 1);
    record.valid = masked(crc32c(typeAndData)) == littleEndian(log.substr(offset, checksumBytes));
    return record;
}

// Whether the first record of a later write follows the invalid record.
bool hasLaterWrite(std::string_view log, std::size_t badOffset) {
    std::size_t block = badOffset - badOffset % blockBytes;
    // Within the block of the invalid record only its length field tells where the next record starts.
    std::size_t offset = recordAt(log, badOffset).end;
    if (offset <= badOffset || offset > block + blockBytes) offset = block + blockBytes;
    while (offset < log.size()) {
        offset = recordStart(offset);
        const Record record = recordAt(log, offset);
        if (record.valid && (record.type == full || record.type == first)) return true;
        offset = record.valid ? record.end : offset - offset % blockBytes + blockBytes;
    }
    return false;
}
}  // namespace

LogTail inspectLog(std::string_view log) {
    LogTail result;
    bool insideWrite = false;  // between the first and the last record of a write
    for (std::size_t offset = recordStart(0); offset < log.size(); offset = recordStart(offset)) {
        const Record record = recordAt(log, offset);
        const bool startsWrite = record.type == full || record.type == first;
        if (!record.valid || startsWrite == insideWrite) {
            result.tail = hasLaterWrite(log, offset) ? TailState::corrupt : TailState::torn;
            return result;
        }
        offset = record.end;
        insideWrite = record.type == first || record.type == middle;
        if (!insideWrite) result.validBytes = offset;
    }
    result.tail = insideWrite || result.validBytes < log.size() ? TailState::torn : TailState::intact;
    return result;
}

}  // namespace granitereel::control
