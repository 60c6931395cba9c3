// A disk in memory under LevelDB that loses power, refuses and hangs.
//
// After a loss of power a file holds what its last sync covered; what was appended later is there, missing or
// torn by sectors; and each name that was made, renamed or removed since its folder's last sync is kept or
// lost by itself.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/disk.hpp"

namespace granitereel::standins {

class FaultyDisk : public leveldb::EnvWrapper {
public:
    FaultyDisk();
    control::DiskBackend backend();

    // Changes are what a loss of power can fall between: files made, renamed, removed, synced; folders
    // synced.
    int changes() const;
    // The power goes instead of the change behind so many more.
    void losePowerBehind(int changes);
    bool lostPower() const;
    // Power is back; what is left is drawn from the seed.
    void restart(unsigned seed);

    // Takes no bytes: half of what is appended, then an error; no new file, no sync of a file or folder.
    void refuse(bool refuses);
    // Begins to refuse at the change behind so many more.
    void refuseBehind(int changes);
    bool refuses() const;
    // Syncs wait while it hangs.
    void hang(bool hangs);
    // Waits until a sync hangs.
    void awaitHanging();
    int syncs() const;

    // Damage by hand.
    std::vector<std::string> files() const;
    void loseName(const std::string& path);
    void flip(const std::string& path, std::size_t at);
    std::size_t bytes() const;

    leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** made) override;
    leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** made) override;
    leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** made) override;
    leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** made) override;
    bool FileExists(const std::string& path) override;
    leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override;
    leveldb::Status RemoveFile(const std::string& path) override;
    leveldb::Status CreateDir(const std::string& path) override;
    leveldb::Status RemoveDir(const std::string& path) override;
    leveldb::Status GetFileSize(const std::string& path, std::uint64_t* size) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    leveldb::Status LockFile(const std::string& path, leveldb::FileLock** lock) override;
    leveldb::Status UnlockFile(leveldb::FileLock* lock) override;

    struct Content {
        std::string bytes;
        std::size_t synced = 0;  // so many of them
    };
    leveldb::Status append(Content& content, const leveldb::Slice& data, int life);
    leveldb::Status sync(Content& content, int life);

private:
    using Names = std::map<std::string, std::shared_ptr<Content>>;
    leveldb::Status syncNames(const std::string& folder);
    leveldb::Status change();  // with the mutex held
    void tear(Content& content, std::mt19937& chance);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Names names_, syncedNames_;
    std::set<std::string> folders_, syncedFolders_;
    int changes_ = 0, powerUntil_ = 1 << 30, takesUntil_ = 1 << 30, syncs_ = 0, life_ = 0, hanging_ = 0;
    bool refuses_ = false, hangs_ = false;
};

}  // namespace granitereel::standins
