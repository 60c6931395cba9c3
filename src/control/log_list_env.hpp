// Keeps a list of LevelDB's log files beside the state, so that a missing log is detected.
//
// LevelDB opens without an error if a log file is missing, with the state as of before that log;
// acknowledged votes would be forgotten. The list is durable before the first write to a new log, and a
// listed log is not removed: LevelDB asks again after it has created the next log, whose list omits the old
// one.
#pragma once

#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "control/durable_env.hpp"

namespace granitereel::control {

class LogListEnv : public DurableEnv {
public:
    // `stateDirectory`: directory of the database; `listPath`: path of the list. `target` must outlive this
    // object.
    LogListEnv(leveldb::Env& target, DirectorySync syncFunction, std::string stateDirectory,
               std::string listPath);

    leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** made) override;
    leveldb::Status RemoveFile(const std::string& path) override;

    // Reads the list. NotFound if there is none; Corruption if a listed log is missing.
    leveldb::Status verifyListedLogs();
    // Empties the list before the state and its logs are removed.
    void clearList();

private:
    leveldb::Status addToList(const std::string& name);
    // The name of a log file in the state directory; nothing for other files.
    std::optional<std::string> logName(const std::string& path) const;

    const std::string stateDirectory_, listPath_;
    std::mutex listMutex_;
    std::set<std::string> listed_, obsolete_;
};

}  // namespace granitereel::control
