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
// A few hundred registers of some KB: small buffers keep memory and the time to open small.
constexpr std::size_t writeBufferBytes = 1 << 20;
constexpr int openFiles = 64;

// A disk that refuses says so by an I/O error; everything else is about what the files hold.
void require(const leveldb::Status& status) {
    if (status.ok()) return;
    throw DiskError(status.IsIOError() ? DiskFault::refuses : DiskFault::lost, status.ToString());
}

bool isLog(const std::string& name) {
    return name.ends_with(".log");
}
}  // namespace

DiskBackend machineDisk() {
    return {leveldb::Env::Default(), syncFolder};
}

Disk::Disk(std::string folder, DiskBackend backend, DrawIncarnation draw)
    : folder_(std::move(folder)),
      env_(*backend.env, std::move(backend.syncFolder), folder_ + "/state", folder_ + "/logs"),
      draw_(std::move(draw)) {
    makeFolder();
    bool promised = true;  // whether a vote may have been given on what stood here
    try {
        const std::optional<Identity> identity = readIdentity();
        promised = identity ? identity->ready || identity->afterLoss : stateFolderHoldsFiles();
        if (identity && identity->ready) {
            identity_ = *identity;
            openExisting();
            return;
        }
    } catch (const DiskError& error) {
        if (error.fault() == DiskFault::refuses) throw;
    }
    identity_ = {false, promised, draw_()};
    create();
}

Disk::~Disk() = default;

void Disk::makeFolder() {
    if (!env_.FileExists(folder_)) require(env_.CreateDir(folder_));
}

std::optional<Disk::Identity> Disk::readIdentity() {
    if (!env_.FileExists(identityPath())) return std::nullopt;
    std::string text;
    require(leveldb::ReadFileToString(&env_, identityPath(), &text));
    try {
        const auto body = nlohmann::json::parse(text);
        return Identity{body.at("ready"), body.at("after_loss"), body.at("incarnation")};
    } catch (const nlohmann::json::exception& error) {
        throw DiskError(DiskFault::lost, error.what());
    }
}

void Disk::writeIdentity() {
    const nlohmann::json body{{"ready", identity_.ready},
                              {"after_loss", identity_.afterLoss},
                              {"incarnation", identity_.incarnation}};
    require(replaceFile(env_, identityPath(), body.dump()));
}

bool Disk::stateFolderHoldsFiles() {
    std::vector<std::string> names;
    if (!env_.FileExists(statePath())) return false;
    require(env_.GetChildren(statePath(), &names));
    return std::any_of(names.begin(), names.end(),
                       [](const auto& name) { return name != "." && name != ".."; });
}

// The new identity is durable, as one being made, before the old state goes: whatever dies between finds that
// a state was lost here. It is ready only behind a state that holds its name.
void Disk::create() {
    db_.reset();
    writeIdentity();
    removeState();
    if (!env_.FileExists(statePath())) require(env_.CreateDir(statePath()));
    open(true);
    DiskRecords whose{{std::string(incarnationRecord), identity_.incarnation}};
    if (identity_.afterLoss) whose[std::string(afterLossRecord)] = true;
    write(whose);
    identity_.ready = true;
    writeIdentity();
}

void Disk::removeState() {
    std::vector<std::string> names;
    if (!env_.FileExists(statePath())) return;
    require(env_.GetChildren(statePath(), &names));
    env_.forget();
    for (const std::string& name : names)
        if (name != "." && name != "..") require(env_.RemoveFile(statePath() + "/" + name));
}

void Disk::openExisting() {
    require(env_.require());
    cutTornTails();
    open(false);
    const DiskRecords records = all();
    const auto found = records.find(std::string(incarnationRecord));
    if (found == records.end() || found->second != identity_.incarnation)
        throw DiskError(DiskFault::lost, "the state is not that of its identity");
}

// LevelDB takes a torn write for damage, unless it is a mere cut. What was not synced was promised to nobody.
void Disk::cutTornTails() {
    std::vector<std::string> names;
    require(env_.GetChildren(statePath(), &names));
    for (const std::string& name : names)
        if (isLog(name)) cutTornTail(statePath() + "/" + name);
    std::string current;
    require(leveldb::ReadFileToString(&env_, statePath() + "/CURRENT", &current));
    if (current.empty() || current.back() != '\n') throw DiskError(DiskFault::lost, "CURRENT is not whole");
    current.pop_back();
    cutTornTail(statePath() + "/" + current);
}

void Disk::cutTornTail(const std::string& path) {
    std::string content;
    require(leveldb::ReadFileToString(&env_, path, &content));
    const LogTail found = inspectLog(content);
    if (found.tail == Tail::damaged) throw DiskError(DiskFault::lost, path + " is damaged");
    if (found.tail == Tail::torn) require(replaceFile(env_, path, content.substr(0, found.sound)));
}

void Disk::open(bool make) {
    leveldb::Options options;
    options.env = &env_;
    options.info_log = logger_.get();
    options.create_if_missing = make;
    options.error_if_exists = make;
    options.paranoid_checks = true;
    options.write_buffer_size = writeBufferBytes;
    options.max_open_files = openFiles;
    options.compression = leveldb::kNoCompression;
    leveldb::DB* opened = nullptr;
    require(leveldb::DB::Open(options, statePath(), &opened));
    db_.reset(opened);
}

DiskRecords Disk::all() const {
    leveldb::ReadOptions checked;
    checked.verify_checksums = true;
    DiskRecords found;
    const std::unique_ptr<leveldb::Iterator> at(db_->NewIterator(checked));
    for (at->SeekToFirst(); at->Valid(); at->Next()) {
        auto body = nlohmann::json::parse(at->value().ToString(), nullptr, false);
        if (body.is_discarded()) throw DiskError(DiskFault::lost, at->key().ToString() + " is not JSON");
        found[at->key().ToString()] = std::move(body);
    }
    require(at->status());
    return found;
}

void Disk::write(const DiskRecords& records) {
    if (!db_) throw DiskError(DiskFault::refuses, "not open");
    leveldb::WriteBatch batch;
    for (const auto& [name, body] : records) batch.Put(name, body.dump());
    leveldb::WriteOptions synced;
    synced.sync = true;
    const leveldb::Status status = db_->Write(synced, &batch);
    // Whatever the cause, the store is opened again before it is trusted: that tells whether it is lost.
    if (!status.ok()) throw DiskError(DiskFault::refuses, status.ToString());
}

// LevelDB keeps the error of a write and takes nothing more; the cause may be over.
void Disk::reopen() {
    db_.reset();
    openExisting();
}

}  // namespace granitereel::control
