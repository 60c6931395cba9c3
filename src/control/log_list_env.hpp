// Keeps a list of LevelDB's logs beside its state, so that a log that is gone is missed.
//
// LevelDB opens without complaint where a log is gone, with the state as it was before that log. The list is
// durable before the first write to a new log, and a log that is listed is not removed: LevelDB asks again
// after the next log has been made, whose list leaves it out.
#pragma once

#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "control/durable_env.hpp"

namespace granitereel::control {

class LogListEnv : public DurableEnv {
public:
    // `folder`: of the state; `list`: path of the list. `target` outlives this.
    LogListEnv(leveldb::Env& target, DirectorySync syncFunction, std::string stateDirectory,
               std::string listPath);

    leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** made) override;
    leveldb::Status RemoveFile(const std::string& path) override;

    // Reads the list. Not found where there is none; corruption where a log that it names is gone.
    leveldb::Status verifyListedLogs();
    // The state and its logs are about to be removed.
    void clearList();

private:
    leveldb::Status addToList(const std::string& name);
    // The name of a log in the folder; none for other files.
    std::optional<std::string> logName(const std::string& path) const;

    const std::string stateDirectory_, listPath_;
    std::mutex listMutex_;
    std::set<std::string> listed_, obsolete_;
};

}  // namespace granitereel::control
