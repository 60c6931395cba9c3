#include "control/log_list_env.hpp"

#include <sstream>
#include <utility>

namespace granitereel::control {

LogListEnv::LogListEnv(leveldb::Env& target, DirectorySync syncFunction, std::string stateDirectory,
                       std::string listPath)
    : DurableEnv(target, std::move(syncFunction)),
      stateDirectory_(std::move(stateDirectory)),
      listPath_(std::move(listPath)) {}

std::optional<std::string> LogListEnv::logName(const std::string& path) const {
    if (!path.ends_with(".log") || parentDirectory(path) != stateDirectory_) return std::nullopt;
    return path.substr(stateDirectory_.size() + 1);
}

leveldb::Status LogListEnv::NewWritableFile(const std::string& path, leveldb::WritableFile** made) {
    leveldb::Status status = DurableEnv::NewWritableFile(path, made);
    const auto log = logName(path);
    if (!status.ok() || !log) return status;
    status = addToList(*log);
    if (!status.ok()) delete std::exchange(*made, nullptr);
    return status;
}

leveldb::Status LogListEnv::addToList(const std::string& name) {
    const std::lock_guard<std::mutex> lock(listMutex_);
    std::set<std::string> next = listed_;
    for (const std::string& old : obsolete_) next.erase(old);
    next.insert(name);
    std::string text;
    for (const std::string& each : next) text += each + "\n";
    // Either list may be on disk until the call has succeeded.
    listed_.insert(name);
    leveldb::Status status = replaceFile(*this, listPath_, text);
    if (!status.ok()) return status;
    listed_ = std::move(next);
    obsolete_.clear();
    return status;
}

leveldb::Status LogListEnv::RemoveFile(const std::string& path) {
    if (const auto log = logName(path)) {
        const std::lock_guard<std::mutex> lock(listMutex_);
        if (listed_.count(*log)) {
            obsolete_.insert(*log);
            return leveldb::Status::OK();
        }
    }
    return DurableEnv::RemoveFile(path);
}

leveldb::Status LogListEnv::verifyListedLogs() {
    std::string text;
    if (!FileExists(listPath_)) return leveldb::Status::NotFound(listPath_);
    leveldb::Status status = leveldb::ReadFileToString(this, listPath_, &text);
    if (!status.ok()) return status;
    std::istringstream lines(text);
    std::set<std::string> found;
    for (std::string name; std::getline(lines, name);) {
        if (!FileExists(stateDirectory_ + "/" + name))
            return leveldb::Status::Corruption("log file is missing", name);
        found.insert(name);
    }
    if (found.empty()) return leveldb::Status::Corruption("the log list is empty");
    const std::lock_guard<std::mutex> lock(listMutex_);
    listed_ = std::move(found);
    obsolete_.clear();
    return status;
}

void LogListEnv::clearList() {
    const std::lock_guard<std::mutex> lock(listMutex_);
    listed_.clear();
    obsolete_.clear();
}

}  // namespace granitereel::control
