#include "standins/faulty_disk.hpp"

#include <algorithm>
#include <cstring>

namespace granitereel::standins {

using leveldb::Status;

namespace {
constexpr std::size_t sectorBytes = 512;

class Writer : public leveldb::WritableFile {
public:
    Writer(FaultyDisk& disk, std::shared_ptr<FaultyDisk::Content> content, int life)
        : disk_(disk), content_(std::move(content)), life_(life) {}
    Status Append(const leveldb::Slice& data) override { return disk_.append(*content_, data, life_); }
    Status Close() override { return Status::OK(); }
    Status Flush() override { return Status::OK(); }
    Status Sync() override { return disk_.sync(*content_, life_); }

private:
    FaultyDisk& disk_;
    const std::shared_ptr<FaultyDisk::Content> content_;
    const int life_;
};

class Reader : public leveldb::SequentialFile, public leveldb::RandomAccessFile {
public:
    explicit Reader(std::string bytes) : bytes_(std::move(bytes)) {}
    Status Read(std::size_t n, leveldb::Slice* result, char* scratch) override {
        const Status status = Read(at_, n, result, scratch);
        at_ += result->size();
        return status;
    }
    Status Skip(std::uint64_t n) override {
        at_ = std::min<std::size_t>(bytes_.size(), at_ + n);
        return Status::OK();
    }
    Status Read(std::uint64_t at, std::size_t n, leveldb::Slice* result, char* scratch) const override {
        const std::size_t begin = std::min<std::size_t>(at, bytes_.size());
        const std::size_t size = std::min(n, bytes_.size() - begin);
        std::memcpy(scratch, bytes_.data() + begin, size);
        *result = leveldb::Slice(scratch, size);
        return Status::OK();
    }

private:
    const std::string bytes_;
    std::size_t at_ = 0;
};

class Lock : public leveldb::FileLock {};

Status refused() {
    return Status::IOError("no space left on device");
}
}  // namespace

FaultyDisk::FaultyDisk() : leveldb::EnvWrapper(leveldb::Env::Default()) {}

control::DiskBackend FaultyDisk::backend() {
    return {this, [this](const std::string& folder) { return syncNames(folder); }};
}

int FaultyDisk::changes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return changes_;
}

void FaultyDisk::losePowerBehind(int changes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    powerUntil_ = changes_ + changes;
}

bool FaultyDisk::lostPower() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return changes_ > powerUntil_;
}

Status FaultyDisk::change() {
    if (changes_ > powerUntil_) return Status::IOError("no power");
    if (++changes_ > powerUntil_) return Status::IOError("no power");
    refuses_ = refuses_ || changes_ > takesUntil_;
    return Status::OK();
}

void FaultyDisk::tear(Content& content, std::mt19937& chance) {
    const std::size_t end = content.bytes.size(), begin = std::min(content.synced, end);
    enum { none, all, prefix, sectors };
    switch (chance() % 4) {
        case none:
            content.bytes.resize(begin);
            break;
        case prefix:
            if (end > begin) content.bytes.resize(begin + chance() % (end - begin));
            break;
        case sectors:
            for (std::size_t at = begin; at < end;) {
                const std::size_t next = std::min(end, at - at % sectorBytes + sectorBytes);
                if (chance() % 2)
                    std::fill(content.bytes.begin() + long(at), content.bytes.begin() + long(next), '\0');
                at = next;
            }
            break;
        default:
            break;
    }
    content.synced = content.bytes.size();
}

void FaultyDisk::restart(unsigned seed) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::mt19937 chance(seed);
    std::set<std::string> paths, folders = folders_;
    for (const Names* names : {&names_, &syncedNames_})
        for (const auto& [path, content] : *names) paths.insert(path);
    for (const std::string& folder : folders)
        if (!syncedFolders_.count(folder) && chance() % 2) folders_.erase(folder);
    Names left;
    for (const std::string& path : paths) {
        const auto live = names_.find(path), synced = syncedNames_.find(path);
        const auto now = live == names_.end() ? nullptr : live->second;
        const auto before = synced == syncedNames_.end() ? nullptr : synced->second;
        const auto kept = now == before || chance() % 2 ? now : before;
        if (kept && folders_.count(control::parentDirectory(path))) left[path] = kept;
    }
    std::set<Content*> torn;
    for (auto& [path, content] : left)
        if (torn.insert(content.get()).second) tear(*content, chance);
    names_ = syncedNames_ = left;
    syncedFolders_ = folders_;
    powerUntil_ = 1 << 30;
    ++life_;
}

void FaultyDisk::refuse(bool refuses) {
    const std::lock_guard<std::mutex> lock(mutex_);
    refuses_ = refuses;
    takesUntil_ = 1 << 30;
}

void FaultyDisk::refuseBehind(int changes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    takesUntil_ = changes_ + changes;
}

bool FaultyDisk::refuses() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return refuses_;
}

void FaultyDisk::hang(bool hangs) {
    const std::lock_guard<std::mutex> lock(mutex_);
    hangs_ = hangs;
    changed_.notify_all();
}

void FaultyDisk::awaitHanging() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return hanging_ > 0; });
}

int FaultyDisk::syncs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return syncs_;
}

std::vector<std::string> FaultyDisk::files() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> paths;
    for (const auto& [path, content] : names_) paths.push_back(path);
    return paths;
}

void FaultyDisk::loseName(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex_);
    names_.erase(path);
    syncedNames_.erase(path);
}

void FaultyDisk::flip(const std::string& path, std::size_t at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string& bytes = names_.at(path)->bytes;
    bytes.at(at) = static_cast<char>(bytes[at] ^ 0x10);
}

std::size_t FaultyDisk::bytes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t sum = 0;
    for (const auto& [path, content] : names_) sum += content->bytes.size();
    return sum;
}

Status FaultyDisk::append(Content& content, const leveldb::Slice& data, int life) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (life != life_ || changes_ > powerUntil_) return Status::IOError("no power");
    content.bytes.append(data.data(), refuses_ ? data.size() / 2 : data.size());
    return refuses_ ? refused() : Status::OK();
}

Status FaultyDisk::sync(Content& content, int life) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (life != life_) return Status::IOError("no power");
    ++hanging_;
    if (hangs_) changed_.notify_all();
    changed_.wait(lock, [this] { return !hangs_; });
    --hanging_;
    const Status status = change();
    if (!status.ok()) return status;
    if (refuses_) return refused();
    ++syncs_;
    content.synced = content.bytes.size();
    return status;
}

Status FaultyDisk::syncNames(const std::string& folder) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Status status = change();
    if (!status.ok()) return status;
    if (refuses_) return refused();
    ++syncs_;
    std::erase_if(syncedNames_, [&](const auto& each) {
        return control::parentDirectory(each.first) == folder && !names_.count(each.first);
    });
    for (const auto& [path, content] : names_)
        if (control::parentDirectory(path) == folder) syncedNames_[path] = content;
    for (const std::string& each : folders_)
        if (control::parentDirectory(each) == folder) syncedFolders_.insert(each);
    return status;
}

Status FaultyDisk::NewSequentialFile(const std::string& path, leveldb::SequentialFile** made) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = names_.find(path);
    if (found == names_.end()) return Status::NotFound(path);
    *made = new Reader(found->second->bytes);
    return Status::OK();
}

Status FaultyDisk::NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** made) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = names_.find(path);
    if (found == names_.end()) return Status::NotFound(path);
    *made = new Reader(found->second->bytes);
    return Status::OK();
}

Status FaultyDisk::NewWritableFile(const std::string& path, leveldb::WritableFile** made) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!folders_.count(control::parentDirectory(path))) return Status::NotFound(path);
    const Status status = change();
    if (!status.ok()) return status;
    if (refuses_) return refused();
    const auto content = std::make_shared<Content>();
    names_[path] = content;
    *made = new Writer(*this, content, life_);
    return status;
}

Status FaultyDisk::NewAppendableFile(const std::string& path, leveldb::WritableFile**) {
    return Status::NotSupported(path);
}

bool FaultyDisk::FileExists(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return names_.count(path) || folders_.count(path);
}

Status FaultyDisk::GetChildren(const std::string& folder, std::vector<std::string>* names) {
    const std::lock_guard<std::mutex> lock(mutex_);
    names->clear();
    if (!folders_.count(folder)) return Status::NotFound(folder);
    for (const auto& [path, content] : names_)
        if (control::parentDirectory(path) == folder) names->push_back(path.substr(folder.size() + 1));
    return Status::OK();
}

Status FaultyDisk::RemoveFile(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!names_.count(path)) return Status::NotFound(path);
    const Status status = change();
    if (status.ok()) names_.erase(path);
    return status;
}

Status FaultyDisk::CreateDir(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (folders_.count(path)) return Status::IOError(path, "exists");
    const Status status = change();
    if (status.ok()) folders_.insert(path);
    return status;
}

Status FaultyDisk::RemoveDir(const std::string& path) {
    return Status::NotSupported(path);
}

Status FaultyDisk::GetFileSize(const std::string& path, std::uint64_t* size) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = names_.find(path);
    if (found == names_.end()) return Status::NotFound(path);
    *size = found->second->bytes.size();
    return Status::OK();
}

Status FaultyDisk::RenameFile(const std::string& from, const std::string& to) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = names_.find(from);
    if (found == names_.end()) return Status::NotFound(from);
    const Status status = change();
    if (!status.ok()) return status;
    names_[to] = found->second;
    names_.erase(from);
    return status;
}

Status FaultyDisk::LockFile(const std::string&, leveldb::FileLock** lock) {
    *lock = new Lock;
    return Status::OK();
}

Status FaultyDisk::UnlockFile(leveldb::FileLock* lock) {
    delete lock;
    return Status::OK();
}

}  // namespace granitereel::standins
