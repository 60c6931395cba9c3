// The state of a member on its disk: LevelDB, each write synced before it returns.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace leveldb {
class DB;
}

namespace granitereel::control {

class Disk {
public:
    // Opens the state under the folder, which is made if it is missing. Throws std::runtime_error with the
    // cause.
    explicit Disk(const std::string& folder);
    ~Disk();
    std::map<std::string, nlohmann::json> all() const;
    // On disk when it returns. Throws std::runtime_error where the disk refuses.
    void write(const std::string& name, const nlohmann::json& body);

private:
    std::unique_ptr<leveldb::DB> db_;
};

}  // namespace granitereel::control
