// Writes a member's records to its disk on a thread of its own, so that a disk that hangs, is slow or refuses
// stops nothing else. One write at a time; all records that wait go into the next one, with one sync.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "control/disk.hpp"

namespace granitereel::control {

struct DiskReport {
    enum class Event {
        durable,      // every record up to `ticket` is synced
        writeFailed,  // a write failed; it is tried again until it is synced
        lost,         // what was synced before can't be shown to stand: nothing more is written
    };
    Event event = Event::durable;
    std::uint64_t ticket = 0;
    std::string cause;  // of a failure
};

class DiskWriter {
public:
    // Called on the writer's thread.
    using Report = std::function<void(DiskReport)>;
    // How long after a refusal the state is opened again.
    static constexpr std::chrono::milliseconds defaultRetryDelay{250};

    DiskWriter(std::unique_ptr<Disk> disk, Report report,
               std::chrono::milliseconds retryDelay = defaultRetryDelay);
    ~DiskWriter();

    // Records up to and with the one of this ticket. Does not wait.
    void submit(const DiskRecords& records, std::uint64_t ticket);
    // What waits is not written any more. Returns whether the thread ended in time; where it didn't, since
    // the disk hangs, the process can only be ended without its destructors.
    bool stop(std::chrono::milliseconds timeout);

private:
    void run();
    bool takeBatch();   // false: told to stop
    bool writeBatch();  // false: refused, or told to stop
    // Opens the state again until it takes the batch; false: lost, or told to stop.
    bool reopenAndRetry();
    bool waitBeforeRetry();  // false: told to stop

    const std::unique_ptr<Disk> disk_;
    const Report report_;
    const std::chrono::milliseconds retryDelay_;
    std::mutex mutex_;
    std::condition_variable condition_;
    DiskRecords pending_;
    std::uint64_t pendingTicket_ = 0;
    bool stopping_ = false, ended_ = false;
    DiskRecords batch_;  // the thread's own: being written, kept until it is synced
    std::uint64_t batchTicket_ = 0;
    std::thread thread_;
};

}  // namespace granitereel::control
