// Which ways between the machines of a site are cut: a table in a file that the test maps for writing and the
// shim in each process for reading. Machines go by the last byte of their address.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace granitereel::standins {

class SwitchTable {
public:
    static constexpr std::size_t machinesMost = 256;

    // Maps the file; `owner` makes it. Without one nothing is ever cut.
    SwitchTable(const std::string& path, bool owner) {
        const int file =
            ::open(path.c_str(), owner ? O_RDWR | O_CREAT | O_CLOEXEC : O_RDONLY | O_CLOEXEC, 0600);
        if (file < 0) return;
        if (!owner || ::ftruncate(file, size) == 0) {
            void* mapped =
                ::mmap(nullptr, size, owner ? PROT_READ | PROT_WRITE : PROT_READ, MAP_SHARED, file, 0);
            if (mapped != MAP_FAILED) cells_ = static_cast<std::atomic<std::uint8_t>*>(mapped);
        }
        ::close(file);
    }
    ~SwitchTable() {
        if (cells_) ::munmap(cells_, size);
    }
    SwitchTable(const SwitchTable&) = delete;
    SwitchTable& operator=(const SwitchTable&) = delete;

    bool cut(int from, int to) const { return cells_ && cells_[at(from, to)].load() != 0; }
    void set(int from, int to, bool isCut) { cells_[at(from, to)] = isCut; }

private:
    static constexpr std::size_t size = machinesMost * machinesMost;
    static std::size_t at(int from, int to) {
        return static_cast<std::size_t>(from) * machinesMost + static_cast<std::size_t>(to);
    }
    std::atomic<std::uint8_t>* cells_ = nullptr;
};

}  // namespace granitereel::standins
