// LevelDB's environment with the folder of a file synced after each change of its names: after a loss of
// power a file that was made, renamed or removed without it may be kept or lost by itself, whatever its
// content's own sync.
#pragma once

#include <leveldb/env.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace granitereel::control {

// Makes the names in a folder durable.
using DirectorySync = std::function<leveldb::Status(const std::string& directory)>;

// fsync(2) of the folder.
leveldb::Status syncDirectory(const std::string& directory);

// The folder that a file or folder is named in.
std::string parentDirectory(const std::string& path);

// A name that was made, renamed or removed is durable when the call has succeeded. After a rename whose sync
// failed there is no way back, and LevelDB removes the file that CURRENT may already lead to: so nothing is
// made, renamed or removed before that folder is synced.
class DurableEnv : public leveldb::EnvWrapper {
public:
    // `target` outlives this; it is given back by LevelDB's EnvWrapper::target().
    DurableEnv(leveldb::Env& target, DirectorySync syncFunction);

    leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** made) override;
    leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** made) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    leveldb::Status RemoveFile(const std::string& path) override;
    leveldb::Status CreateDir(const std::string& path) override;
    leveldb::Status RemoveDir(const std::string& path) override;

private:
    // Syncs the folder of a rename, now or when it is tried again.
    leveldb::Status syncPendingRename();
    // A changed name is durable, or the call failed.
    leveldb::Status syncParent(const leveldb::Status& operationStatus, const std::string& path);
    const DirectorySync syncDirectory_;
    std::mutex mutex_;               // LevelDB compacts on a thread of its own
    std::string unsyncedDirectory_;  // the folder of such a rename; empty: none
};

// Writes a small file whole: afterwards the path holds either what it held before or the new content, also
// after a loss of power.
leveldb::Status replaceFile(DurableEnv& env, const std::string& path, const std::string& content);

// A log of LevelDB's own doings that keeps nothing: no file, no bytes.
std::unique_ptr<leveldb::Logger> nullLogger();

}  // namespace granitereel::control
