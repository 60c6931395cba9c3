#include "control/disk_writer.hpp"

#include <utility>

namespace granitereel::control {

DiskWriter::DiskWriter(std::unique_ptr<Disk> disk, Report report, std::chrono::milliseconds retryDelay)
    : disk_(std::move(disk)),
      report_(std::move(report)),
      retryDelay_(retryDelay),
      thread_([this] { run(); }) {}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    condition_.notify_all();
    thread_.join();
}

void DiskWriter::submit(const DiskRecords& records, std::uint64_t ticket) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [name, body] : records) pending_[name] = body;
        pendingTicket_ = ticket;
    }
    condition_.notify_one();
}

bool DiskWriter::stop(std::chrono::milliseconds timeout) {
    std::unique_lock<std::mutex> lock(mutex_);
    stopping_ = true;
    condition_.notify_all();
    return condition_.wait_for(lock, timeout, [this] { return ended_; });
}

void DiskWriter::run() {
    bool stateLost = false;
    while (!stateLost && takeBatch()) stateLost = !writeBatch() && !reopenAndRetry();
    const std::lock_guard<std::mutex> lock(mutex_);
    ended_ = true;
    condition_.notify_all();
}

bool DiskWriter::takeBatch() {
    std::unique_lock<std::mutex> lock(mutex_);
    condition_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
    if (stopping_) return false;
    batch_ = std::exchange(pending_, {});
    batchTicket_ = pendingTicket_;
    return true;
}

bool DiskWriter::writeBatch() {
    try {
        disk_->write(batch_);
    } catch (const DiskError& error) {
        report_({DiskReport::Event::writeFailed, batchTicket_, error.what()});
        return false;
    }
    report_({DiskReport::Event::durable, batchTicket_, ""});
    return true;
}

bool DiskWriter::reopenAndRetry() {
    while (waitBeforeRetry()) {
        try {
            disk_->reopen();
        } catch (const DiskError& error) {
            if (error.fault() == DiskFault::ioError) continue;
            report_({DiskReport::Event::lost, batchTicket_, error.what()});
            return false;
        }
        if (writeBatch()) return true;
    }
    return false;
}

bool DiskWriter::waitBeforeRetry() {
    std::unique_lock<std::mutex> lock(mutex_);
    return !condition_.wait_for(lock, retryDelay_, [this] { return stopping_; });
}

}  // namespace granitereel::control
