#include "control/disk.hpp"

#include <leveldb/db.h>

#include <stdexcept>

namespace granitereel::control {

Disk::Disk(const std::string& folder) {
    leveldb::Options options;
    options.create_if_missing = true;
    // Some hundred registers of some KB: small buffers, so that memory and the time to open stay small.
    options.write_buffer_size = 1 << 20;
    options.max_open_files = 64;
    options.compression = leveldb::kNoCompression;
    leveldb::DB* opened = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, folder + "/state", &opened);
    if (!status.ok()) {
        // What was synced is in its files all the same.
        status = leveldb::RepairDB(folder + "/state", options);
        if (status.ok()) status = leveldb::DB::Open(options, folder + "/state", &opened);
    }
    if (!status.ok()) throw std::runtime_error("state on disk: " + status.ToString());
    db_.reset(opened);
}

Disk::~Disk() = default;

std::map<std::string, nlohmann::json> Disk::all() const {
    std::map<std::string, nlohmann::json> found;
    const std::unique_ptr<leveldb::Iterator> at(db_->NewIterator(leveldb::ReadOptions()));
    for (at->SeekToFirst(); at->Valid(); at->Next())
        found[at->key().ToString()] = nlohmann::json::parse(at->value().ToString());
    if (!at->status().ok()) throw std::runtime_error("state on disk: " + at->status().ToString());
    return found;
}

void Disk::write(const std::string& name, const nlohmann::json& body) {
    leveldb::WriteOptions synced;
    synced.sync = true;
    const leveldb::Status status = db_->Put(synced, name, body.dump());
    if (!status.ok()) throw std::runtime_error("state on disk: " + status.ToString());
}

}  // namespace granitereel::control
