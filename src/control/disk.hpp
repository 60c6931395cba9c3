// The state of a member on its disk: LevelDB in the folder "state", and beside it the files "identity", which
// says whose state that is, and "logs", which says what logs belong to it. The state opens cleanly under its
// identity or it counts as lost: it is then removed, and the member goes on as another, with an empty disk.
// docs/control-safety/disk.md has the argument.
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

// Records by name. A later write of a name replaces an earlier one.
using DiskRecords = std::map<std::string, nlohmann::json>;

// Where the files are: the machine's own, or a stand-in's.
struct DiskBackend {
    leveldb::Env* env = nullptr;
    DirectorySync syncDirectory;
};
DiskBackend systemDisk();

class Disk {
public:
    // A name that no earlier life of this or another member has had.
    using GenerateIncarnation = std::function<std::string()>;

    // Opens the state under the folder, which is made if it is missing. Throws DiskError (refuses) where the
    // disk takes no bytes: what it holds is as it was.
    Disk(std::string directory, DiskBackend backend, GenerateIncarnation generate);
    ~Disk();

    const std::string& incarnation() const { return identity_.incarnation; }
    // Whether a state once stood here and was lost (afterLossRecord).
    bool stateWasLost() const { return identity_.stateWasLost; }

    // Throws DiskError.
    DiskRecords readAll() const;
    // All of them in one write with one sync: on disk when it returns. Throws DiskError (refuses); whether
    // they are on disk is then open, and nothing more is taken before `reopen`.
    void write(const DiskRecords& records);
    // After a write that was refused. Throws DiskError: refuses, if it still does; lost, if what was written
    // before can't be shown to stand.
    void reopen();

private:
    struct Identity {
        bool ready = false;  // false: being made, nothing was promised under it yet
        bool stateWasLost = false;
        std::string incarnation;
    };
    std::string statePath() const { return directory_ + "/state"; }
    std::string identityPath() const { return directory_ + "/identity"; }
    void createDirectory();
    // None where there is no such file. Throws DiskError (lost) where it can't be understood.
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
