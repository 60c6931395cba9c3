#include "control/disk_writer.hpp"

#include <utility>

namespace granitereel::control {

DiskWriter::DiskWriter(std::unique_ptr<Disk> disk, Report report, std::chrono::milliseconds retry)
    : disk_(std::move(disk)), report_(std::move(report)), retry_(retry), thread_([this] { run(); }) {}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void DiskWriter::submit(const DiskRecords& records, std::uint64_t ticket) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [name, body] : records) waiting_[name] = body;
        waitingTicket_ = ticket;
    }
    changed_.notify_one();
}

bool DiskWriter::stop(std::chrono::milliseconds within) {
    std::unique_lock<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
    return changed_.wait_for(lock, within, [this] { return ended_; });
}

void DiskWriter::run() {
    bool lost = false;
    while (!lost && take()) lost = !attempt() && !retry();
    const std::lock_guard<std::mutex> lock(mutex_);
    ended_ = true;
    changed_.notify_all();
}

bool DiskWriter::take() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    if (stopping_) return false;
    batch_ = std::exchange(waiting_, {});
    batchTicket_ = waitingTicket_;
    return true;
}

bool DiskWriter::attempt() {
    try {
        disk_->write(batch_);
    } catch (const DiskError& error) {
        report_({DiskReport::Event::refuses, batchTicket_, error.what()});
        return false;
    }
    report_({DiskReport::Event::durable, batchTicket_, ""});
    return true;
}

bool DiskWriter::retry() {
    while (pause()) {
        try {
            disk_->reopen();
        } catch (const DiskError& error) {
            if (error.fault() == DiskFault::refuses) continue;
            report_({DiskReport::Event::lost, batchTicket_, error.what()});
            return false;
        }
        if (attempt()) return true;
    }
    return false;
}

bool DiskWriter::pause() {
    std::unique_lock<std::mutex> lock(mutex_);
    return !changed_.wait_for(lock, retry_, [this] { return stopping_; });
}

}  // namespace granitereel::control
