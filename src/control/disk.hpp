// The persistent state of a member: LevelDB in the directory "state", and beside it the files "identity"
// (whose state it is) and "logs" (which log files belong to it). A state that does not open cleanly under
// its identity counts as lost: it is removed, and the member continues under a new incarnation with an
// empty disk. Voting on a state that silently lost promises could let two values be chosen. See
// docs/control-safety/disk.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "control/disk_error.hpp"
#include "control/log_list_env.hpp"

namespace leveldb {
class DB;
}

namespace granitereel::control {

// Records by name. A later write replaces an earlier one of the same name.
using DiskRecords = std::map<std::string, nlohmann::json>;

// The file system in use: the machine's own or a test double.
struct DiskBackend {
    leveldb::Env* env = nullptr;
    DirectorySync syncDirectory;
};
DiskBackend systemDisk();

class Disk {
public:
    // Returns a name that no earlier incarnation of any member has had.
    using GenerateIncarnation = std::function<std::string()>;

    // Opens the state in the directory, which is created if missing. Throws DiskError (ioError) if the disk
    // does not accept writes; its content is unchanged then.
    Disk(std::string directory, DiskBackend backend, GenerateIncarnation generate);
    ~Disk();

    const std::string& incarnation() const { return identity_.incarnation; }
    // Whether an earlier state here was lost (afterLossRecord).
    bool stateWasLost() const { return identity_.stateWasLost; }

    // Throws DiskError.
    DiskRecords readAll() const;
    // Writes all records in one batch with one sync; they are durable when it returns. Throws DiskError
    // (ioError); it is then unknown whether they are durable, and nothing more is accepted before `reopen`.
    void write(const DiskRecords& records);
    // Recovers from a failed write. Throws DiskError: ioError if the disk still fails; lost if earlier
    // synced writes are not provably intact.
    void reopen();

private:
    struct Identity {
        bool ready = false;  // false: still being created, no vote was given under it
        bool stateWasLost = false;
        std::string incarnation;
    };
    std::string statePath() const { return directory_ + "/state"; }
    std::string identityPath() const { return directory_ + "/identity"; }
    void createDirectory();
    // Nothing if the file is missing. Throws DiskError (lost) if it is malformed.
    std::optional<Identity> readIdentity();
    void writeIdentity();
    bool stateDirectoryHasFiles();
    void createState();
    void removeState();
    void openExisting();
    void truncateTornTails();
    void truncateTornTail(const std::string& path);
    void open(bool createNew);

    const std::string directory_;
    LogListEnv env_;
    const GenerateIncarnation generateIncarnation_;
    const std::unique_ptr<leveldb::Logger> logger_ = nullLogger();
    Identity identity_;
    std::unique_ptr<leveldb::DB> db_;
};

}  // namespace granitereel::control
