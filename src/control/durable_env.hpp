// LevelDB environment that syncs the directory of a file after each change of its entries. Without it,
// power loss may keep or lose a created, renamed or removed file independently of whether its content was
// synced.
#pragma once

#include <leveldb/env.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace granitereel::control {

// Makes the entries of a directory durable.
using DirectorySync = std::function<leveldb::Status(const std::string& directory)>;

// fsync(2) of the directory.
leveldb::Status syncDirectory(const std::string& directory);

// The directory that contains the file or directory.
std::string parentDirectory(const std::string& path);

// A created, renamed or removed entry is durable when the call succeeds. A rename whose directory sync
// failed cannot be undone, and LevelDB would then remove the file that CURRENT may already point to. So no
// file is created, renamed or removed before that directory is synced.
class DurableEnv : public leveldb::EnvWrapper {
public:
    // `target` must outlive this object; EnvWrapper::target() returns it.
    DurableEnv(leveldb::Env& target, DirectorySync syncFunction);

    leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** made) override;
    leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** made) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    leveldb::Status RemoveFile(const std::string& path) override;
    leveldb::Status CreateDir(const std::string& path) override;
    leveldb::Status RemoveDir(const std::string& path) override;

private:
    // Syncs the directory of the last rename, now or on a retry.
    leveldb::Status syncPendingRename();
    // Syncs the parent directory if the operation succeeded; returns the first error.
    leveldb::Status syncParent(const leveldb::Status& operationStatus, const std::string& path);
    const DirectorySync syncDirectory_;
    std::mutex mutex_;               // LevelDB compacts on its own thread
    std::string unsyncedDirectory_;  // directory of a rename that is not synced yet; empty: none
};

// Replaces a small file atomically: afterwards the path holds either the old or the new content, also after
// power loss.
leveldb::Status replaceFile(DurableEnv& env, const std::string& path, const std::string& content);

// A LevelDB info log that discards everything.
std::unique_ptr<leveldb::Logger> nullLogger();

}  // namespace granitereel::control
