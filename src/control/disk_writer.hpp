// Writes the records of a member to disk on a separate thread, so that a disk that hangs, is slow or fails
// blocks nothing else. One write at a time; all records that are pending go into the next write, with one
// sync.
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
        writeFailed,  // a write failed; it is retried until it is synced
        lost,         // synced data is not provably intact: nothing more is written
    };
    Event event = Event::durable;
    std::uint64_t ticket = 0;
    std::string cause;  // of a failure
};

class DiskWriter {
public:
    // Called on the writer's thread.
    using Report = std::function<void(DiskReport)>;
    // Delay before the state is reopened after a failed write.
    static constexpr std::chrono::milliseconds defaultRetryDelay{250};

    DiskWriter(std::unique_ptr<Disk> disk, Report report,
               std::chrono::milliseconds retryDelay = defaultRetryDelay);
    ~DiskWriter();

    // Queues the records up to and including this ticket. Does not block.
    void submit(const DiskRecords& records, std::uint64_t ticket);
    // Pending records are dropped. Returns whether the thread ended in time; if not, the disk hangs and the
    // process can only exit without running destructors.
    bool stop(std::chrono::milliseconds timeout);

private:
    void run();
    bool takeBatch();   // false: stopping
    bool writeBatch();  // false: the write failed
    // Reopens the state until the batch is written; false: state lost, or stopping.
    bool reopenAndRetry();
    bool waitBeforeRetry();  // false: stopping

    const std::unique_ptr<Disk> disk_;
    const Report report_;
    const std::chrono::milliseconds retryDelay_;
    std::mutex mutex_;
    std::condition_variable condition_;
    DiskRecords pending_;
    std::uint64_t pendingTicket_ = 0;
    bool stopping_ = false, ended_ = false;
    DiskRecords batch_;  // used by the thread only: being written, kept until it is synced
    std::uint64_t batchTicket_ = 0;
    std::thread thread_;
};

}  // namespace granitereel::control
