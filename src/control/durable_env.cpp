#include "control/durable_env.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace granitereel::control {

leveldb::Status syncDirectory(const std::string& directory) {
    const int descriptor = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return leveldb::Status::IOError(directory, std::strerror(errno));
    const int result = ::fsync(descriptor);
    const int cause = errno;
    ::close(descriptor);
    if (result != 0) return leveldb::Status::IOError(directory, std::strerror(cause));
    return leveldb::Status::OK();
}

std::string parentDirectory(const std::string& path) {
    const std::size_t end = path.find_last_not_of('/');
    const std::size_t slash = end == std::string::npos ? end : path.rfind('/', end);
    if (slash == std::string::npos) return ".";
    return slash == 0 ? "/" : path.substr(0, slash);
}

DurableEnv::DurableEnv(leveldb::Env& target, DirectorySync syncFunction)
    : leveldb::EnvWrapper(&target), syncDirectory_(std::move(syncFunction)) {}

leveldb::Status DurableEnv::syncPendingRename() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (unsyncedDirectory_.empty()) return leveldb::Status::OK();
    leveldb::Status status = syncDirectory_(unsyncedDirectory_);
    if (status.ok()) unsyncedDirectory_.clear();
    return status;
}

leveldb::Status DurableEnv::syncParent(const leveldb::Status& operationStatus, const std::string& path) {
    return operationStatus.ok() ? syncDirectory_(parentDirectory(path)) : operationStatus;
}

leveldb::Status DurableEnv::NewWritableFile(const std::string& path, leveldb::WritableFile** made) {
    *made = nullptr;
    leveldb::Status status = syncPendingRename();
    if (status.ok()) status = syncParent(target()->NewWritableFile(path, made), path);
    if (!status.ok()) delete std::exchange(*made, nullptr);
    return status;
}

leveldb::Status DurableEnv::NewAppendableFile(const std::string& path, leveldb::WritableFile** made) {
    *made = nullptr;
    leveldb::Status status = syncPendingRename();
    if (status.ok()) status = syncParent(target()->NewAppendableFile(path, made), path);
    if (!status.ok()) delete std::exchange(*made, nullptr);
    return status;
}

leveldb::Status DurableEnv::RenameFile(const std::string& from, const std::string& to) {
    leveldb::Status status = syncPendingRename();
    if (status.ok()) status = target()->RenameFile(from, to);
    if (!status.ok()) return status;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        unsyncedDirectory_ = parentDirectory(to);
    }
    return syncPendingRename();
}

leveldb::Status DurableEnv::RemoveFile(const std::string& path) {
    const leveldb::Status status = syncPendingRename();
    return status.ok() ? syncParent(target()->RemoveFile(path), path) : status;
}

leveldb::Status DurableEnv::CreateDir(const std::string& path) {
    return syncParent(target()->CreateDir(path), path);
}

leveldb::Status DurableEnv::RemoveDir(const std::string& path) {
    return syncParent(target()->RemoveDir(path), path);
}

leveldb::Status replaceFile(DurableEnv& env, const std::string& path, const std::string& content) {
    const std::string temporary = path + ".new";
    leveldb::WritableFile* opened = nullptr;
    // The temporary name need not be durable: its directory is synced after the rename.
    leveldb::Status status = env.target()->NewWritableFile(temporary, &opened);
    if (!status.ok()) return status;
    const std::unique_ptr<leveldb::WritableFile> file(opened);
    status = file->Append(content);
    if (status.ok()) status = file->Sync();
    if (status.ok()) status = file->Close();
    if (status.ok()) status = env.RenameFile(temporary, path);
    return status;
}

namespace {
class NullLogger : public leveldb::Logger {
public:
    void Logv(const char*, std::va_list) override {}
};
}  // namespace

std::unique_ptr<leveldb::Logger> nullLogger() {
    return std::make_unique<NullLogger>();
}

}  // namespace granitereel::control
