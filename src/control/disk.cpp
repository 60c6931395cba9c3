#include "control/disk.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "control/disk_records.hpp"
#include "control/log_tail.hpp"

namespace granitereel::control {

namespace {
// The state is a few hundred registers of a few KB: small buffers keep memory use and opening time low.
constexpr std::size_t writeBufferBytes = 1 << 20;
constexpr int maxOpenFiles = 64;

// LevelDB reports a failing disk as an I/O error; every other error is about the content of the files.
void throwIfFailed(const leveldb::Status& status) {
    if (status.ok()) return;
    throw DiskError(status.IsIOError() ? DiskFault::ioError : DiskFault::lost, status.ToString());
}

bool isLogFile(const std::string& name) {
    return name.ends_with(".log");
}
}  // namespace

DiskBackend systemDisk() {
    return {leveldb::Env::Default(), syncDirectory};
}

Disk::Disk(std::string directory, DiskBackend backend, GenerateIncarnation generate)
    : directory_(std::move(directory)),
      env_(*backend.env, std::move(backend.syncDirectory), directory_ + "/state", directory_ + "/logs"),
      generateIncarnation_(std::move(generate)) {
    createDirectory();
    bool mayHaveVoted = true;  // whether a vote may have been given on the state found here
    try {
        const std::optional<Identity> identity = readIdentity();
        mayHaveVoted = identity ? identity->ready || identity->stateWasLost : stateDirectoryHasFiles();
        if (identity && identity->ready) {
            identity_ = *identity;
            openExisting();
            return;
        }
    } catch (const DiskError& error) {
        if (error.fault() == DiskFault::ioError) throw;
    }
    identity_ = {false, mayHaveVoted, generateIncarnation_()};
    createState();
}

Disk::~Disk() = default;

void Disk::createDirectory() {
    if (!env_.FileExists(directory_)) throwIfFailed(env_.CreateDir(directory_));
}

std::optional<Disk::Identity> Disk::readIdentity() {
    if (!env_.FileExists(identityPath())) return std::nullopt;
    std::string text;
    throwIfFailed(leveldb::ReadFileToString(&env_, identityPath(), &text));
    try {
        const auto body = nlohmann::json::parse(text);
        return Identity{body.at("ready"), body.at("after_loss"), body.at("incarnation")};
    } catch (const nlohmann::json::exception& error) {
        throw DiskError(DiskFault::lost, error.what());
    }
}

void Disk::writeIdentity() {
    const nlohmann::json body{{"ready", identity_.ready},
                              {"after_loss", identity_.stateWasLost},
                              {"incarnation", identity_.incarnation}};
    throwIfFailed(replaceFile(env_, identityPath(), body.dump()));
}

bool Disk::stateDirectoryHasFiles() {
    std::vector<std::string> names;
    if (!env_.FileExists(statePath())) return false;
    throwIfFailed(env_.GetChildren(statePath(), &names));
    return std::any_of(names.begin(), names.end(),
                       [](const auto& name) { return name != "." && name != ".."; });
}

// The new identity is written durably, marked as not ready, before the old state is removed: after a crash
// in between the next start still sees that a state was lost. It becomes ready only once the state holds
// the same incarnation.
void Disk::createState() {
    db_.reset();
    writeIdentity();
    removeState();
    if (!env_.FileExists(statePath())) throwIfFailed(env_.CreateDir(statePath()));
    open(true);
    DiskRecords identityRecords{{std::string(incarnationRecord), identity_.incarnation}};
    if (identity_.stateWasLost) identityRecords[std::string(afterLossRecord)] = true;
    write(identityRecords);
    identity_.ready = true;
    writeIdentity();
}

void Disk::removeState() {
    std::vector<std::string> names;
    if (!env_.FileExists(statePath())) return;
    throwIfFailed(env_.GetChildren(statePath(), &names));
    env_.clearList();
    for (const std::string& name : names)
        if (name != "." && name != "..") throwIfFailed(env_.RemoveFile(statePath() + "/" + name));
}

void Disk::openExisting() {
    throwIfFailed(env_.verifyListedLogs());
    truncateTornTails();
    open(false);
    const DiskRecords records = readAll();
    const auto found = records.find(std::string(incarnationRecord));
    if (found == records.end() || found->second != identity_.incarnation)
        throw DiskError(DiskFault::lost, "the state belongs to another incarnation");
}

// LevelDB treats a torn write as corruption unless the file just ends early. Truncating it is safe: nothing
// unsynced was ever acknowledged.
void Disk::truncateTornTails() {
    std::vector<std::string> names;
    throwIfFailed(env_.GetChildren(statePath(), &names));
    for (const std::string& name : names)
        if (isLogFile(name)) truncateTornTail(statePath() + "/" + name);
    std::string current;
    throwIfFailed(leveldb::ReadFileToString(&env_, statePath() + "/CURRENT", &current));
    if (current.empty() || current.back() != '\n') throw DiskError(DiskFault::lost, "CURRENT is truncated");
    current.pop_back();
    truncateTornTail(statePath() + "/" + current);
}

void Disk::truncateTornTail(const std::string& path) {
    std::string content;
    throwIfFailed(leveldb::ReadFileToString(&env_, path, &content));
    const LogTail found = inspectLog(content);
    if (found.tail == TailState::corrupt) throw DiskError(DiskFault::lost, path + " is corrupt");
    if (found.tail == TailState::torn)
        throwIfFailed(replaceFile(env_, path, content.substr(0, found.validBytes)));
}

void Disk::open(bool createNew) {
    leveldb::Options options;
    options.env = &env_;
    options.info_log = logger_.get();
    options.create_if_missing = createNew;
    options.error_if_exists = createNew;
    options.paranoid_checks = true;
    options.write_buffer_size = writeBufferBytes;
    options.max_open_files = maxOpenFiles;
    options.compression = leveldb::kNoCompression;
    leveldb::DB* opened = nullptr;
    throwIfFailed(leveldb::DB::Open(options, statePath(), &opened));
    db_.reset(opened);
}

DiskRecords Disk::readAll() const {
    leveldb::ReadOptions readOptions;
    readOptions.verify_checksums = true;
    DiskRecords records;
    const std::unique_ptr<leveldb::Iterator> iterator(db_->NewIterator(readOptions));
    for (iterator->SeekToFirst(); iterator->Valid(); iterator->Next()) {
        auto body = nlohmann::json::parse(iterator->value().ToString(), nullptr, false);
        if (body.is_discarded())
            throw DiskError(DiskFault::lost, iterator->key().ToString() + " is not JSON");
        records[iterator->key().ToString()] = std::move(body);
    }
    throwIfFailed(iterator->status());
    return records;
}

void Disk::write(const DiskRecords& records) {
    if (!db_) throw DiskError(DiskFault::ioError, "not open");
    leveldb::WriteBatch batch;
    for (const auto& [name, body] : records) batch.Put(name, body.dump());
    leveldb::WriteOptions writeOptions;
    writeOptions.sync = true;
    const leveldb::Status status = db_->Write(writeOptions, &batch);
    // Whatever the cause, the database is reopened before it is trusted again; that shows whether data was
    // lost.
    if (!status.ok()) throw DiskError(DiskFault::ioError, status.ToString());
}

// LevelDB keeps a write error and rejects all further writes, even after the cause is gone.
void Disk::reopen() {
    db_.reset();
    openExisting();
}

}  // namespace granitereel::control
