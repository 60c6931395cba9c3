// What a member keeps on its disk, through losses of power, refusals, hangs and damage; and what its votes
// and acknowledgements wait for.
#include <gtest/gtest.h>

#include <filesystem>
#include <future>

#include "control/disk_writer.hpp"
#include "standins/control_world.hpp"
#include "standins/faulty_disk.hpp"

namespace {
using namespace granitereel;
using namespace granitereel::control;
using standins::FaultyDisk;
using World = standins::ControlWorld;

unsigned seedsOr(unsigned few) {
    const char* const more = std::getenv("SEEDS");
    return more ? static_cast<unsigned>(std::stoul(more)) : few;
}

// Lives of one member on one disk.
struct Lives {
    FaultyDisk under;
    std::unique_ptr<Disk> disk;
    int drawn = 0;
    std::string promisedAs;  // the last incarnation that a vote may have been given under
    int acknowledged = 0;

    bool open() {
        try {
            disk = std::make_unique<Disk>("/data/member", under.backend(),
                                          [this] { return std::to_string(++drawn); });
        } catch (const DiskError&) {
            return false;
        }
        return true;
    }
    // Each value is a third of LevelDB's buffer, so that a few of them bring about a compaction.
    bool write(int number) {
        const std::string value(350'000, static_cast<char>('a' + number % 26));
        try {
            disk->write({{"config", {{"edition", number}, {"body", value}}}});
        } catch (const DiskError&) {
            return false;
        }
        acknowledged = number;
        return true;
    }
    void live(int upTo) {
        if (!open()) return;
        promisedAs = disk->incarnation();
        for (int number = acknowledged + 1; number <= upTo && write(number);) ++number;
    }
    void losePower(unsigned seed) {
        disk.reset();
        under.restart(seed);
    }
    int held() const {
        const DiskRecords records = disk->readAll();
        const auto found = records.find("config");
        return found == records.end() ? 0 : found->second.at("edition").get<int>();
    }
    // The present state is the one that was promised, or it is known that one was lost.
    void judge(const std::string& when) const {
        if (promisedAs.empty()) return;
        if (disk->incarnation() == promisedAs) {
            EXPECT_GE(held(), acknowledged) << when;
        } else {
            EXPECT_TRUE(disk->stateWasLost()) << when;
        }
    }
};

TEST(Disk, KeepsWhatWasAcknowledgedThroughALossOfPowerAtAnyChange) {
    constexpr int writes = 20;
    int losses = 0;
    for (unsigned seed = 0; seed < seedsOr(3); ++seed) {
        for (int at = 0;; ++at) {
            Lives lives;
            lives.under.CreateDir("/data");
            lives.under.backend().syncDirectory("/");
            lives.under.losePowerBehind(at);
            lives.live(writes);
            if (!lives.under.lostPower()) {
                EXPECT_EQ(lives.held(), writes);
                EXPECT_GT(at, 80);  // there were compactions
                break;
            }
            lives.losePower(seed * 1000 + static_cast<unsigned>(at));
            const std::string when = "seed " + std::to_string(seed) + ", change " + std::to_string(at);
            ASSERT_TRUE(lives.open()) << when;
            lives.judge(when);
            losses += !lives.promisedAs.empty() && lives.disk->incarnation() != lives.promisedAs;
        }
    }
    // A loss of power alone never costs a disk: what it tears was not synced.
    EXPECT_EQ(losses, 0);
}

TEST(Disk, KeepsItThroughASecondLossOfPowerWhileItOpens) {
    for (unsigned seed = 0; seed < seedsOr(1); ++seed)
        for (int first = 0; first < 120; first += 17)
            for (int second = 0;; ++second) {
                Lives lives;
                lives.under.CreateDir("/data");
                lives.under.backend().syncDirectory("/");
                lives.under.losePowerBehind(first);
                lives.live(20);
                lives.losePower(seed + static_cast<unsigned>(first));
                lives.under.losePowerBehind(second);
                const bool opened = lives.open();
                const std::string when =
                    std::to_string(seed) + "/" + std::to_string(first) + "/" + std::to_string(second);
                if (!opened) {
                    lives.losePower(seed + static_cast<unsigned>(second));
                    ASSERT_TRUE(lives.open()) << when;
                }
                lives.judge(when);
                if (!lives.promisedAs.empty()) {
                    EXPECT_EQ(lives.disk->incarnation(), lives.promisedAs) << when;
                }
                if (opened) break;
            }
}

// Whatever name is gone, and wherever the power goes while a new state is made: no older state and no empty
// disk is taken for the present one, and no core is founded again.
TEST(Disk, CountsAStateThatLacksAFileAsLost) {
    std::set<std::string> lost;
    bool more = true;
    for (std::size_t file = 0; more; ++file)
        for (int power = 0;; ++power) {
            Lives lives;
            lives.under.CreateDir("/data");
            lives.under.backend().syncDirectory("/");
            lives.live(6);
            lives.disk.reset();
            const auto files = lives.under.files();
            more = file < files.size();
            if (!more) break;
            const std::string name = files[file];
            lives.under.loseName(name);
            lives.under.losePowerBehind(power);
            const bool opened = lives.open();
            if (!opened) {
                lives.losePower(static_cast<unsigned>(power));
                ASSERT_TRUE(lives.open()) << name << " " << power;
            }
            lives.judge(name + " " + std::to_string(power));
            const bool anew = lives.disk->incarnation() != lives.promisedAs;
            if (anew) {
                EXPECT_EQ(lives.held(), 0) << name;
                lost.insert(name.substr(name.find_last_of('.') + 1));
                lost.insert(name.substr(name.find_last_of('/') + 1).substr(0, 8));
            }
            if (opened) break;
        }
    for (const char* const kind : {"CURRENT", "MANIFEST", "log", "identity", "logs"})
        EXPECT_TRUE(lost.count(kind)) << kind;
}

TEST(Disk, CountsADamagedStateAsLost) {
    constexpr std::size_t insideFirstRecord = 20, insideValue = 1000;
    for (const char* const kind : {".log", "MANIFEST", ".ldb", "identity"}) {
        Lives lives;
        lives.under.CreateDir("/data");
        lives.live(10);
        // Opened again, the state has a new log; the damage stands before the last of its writes.
        lives.disk.reset();
        ASSERT_TRUE(lives.open());
        for (int write = 0; write < 3; ++write) lives.disk->write({{"small", write}});
        lives.disk.reset();
        for (const std::string& name : lives.under.files())
            if (name.find(kind) != std::string::npos)
                lives.under.flip(name, name.ends_with(".ldb") ? insideValue : insideFirstRecord);
        ASSERT_TRUE(lives.open());
        lives.judge(kind);
        EXPECT_NE(lives.disk->incarnation(), lives.promisedAs) << kind;
        EXPECT_TRUE(lives.disk->stateWasLost()) << kind;
        // It stays known through further restarts, and is told to the member.
        lives.disk.reset();
        ASSERT_TRUE(lives.open());
        EXPECT_TRUE(lives.disk->stateWasLost()) << kind;
        EXPECT_TRUE(lives.disk->readAll().count("after_loss")) << kind;
    }
}

TEST(Disk, CountsAnothersStateAsLost) {
    Lives lives;
    lives.under.CreateDir("/data");
    lives.live(2);
    lives.disk.reset();
    DurableEnv env(lives.under, lives.under.backend().syncDirectory);
    const std::string other = R"({"ready":true,"after_loss":false,"incarnation":"another"})";
    ASSERT_TRUE(replaceFile(env, "/data/member/identity", other).ok());
    ASSERT_TRUE(lives.open());
    EXPECT_NE(lives.disk->incarnation(), "another");
    EXPECT_TRUE(lives.disk->stateWasLost());
}

// The disk begins to refuse at any change of opening again, and takes bytes later.
TEST(Disk, LosesNothingByRefusingWhileItOpens) {
    for (int at = 0;; ++at) {
        Lives lives;
        lives.under.CreateDir("/data");
        lives.under.backend().syncDirectory("/");
        lives.live(4);
        lives.under.refuseBehind(at);
        for (int attempt = 0; attempt < 2; ++attempt) {
            try {
                lives.disk->reopen();
            } catch (const DiskError& error) {
                ASSERT_EQ(error.fault(), DiskFault::ioError) << at << ": " << error.what();
            }
        }
        const bool over = !lives.under.refuses();
        lives.under.refuse(false);
        lives.losePower(static_cast<unsigned>(at));
        ASSERT_TRUE(lives.open());
        EXPECT_EQ(lives.disk->incarnation(), lives.promisedAs) << at;
        EXPECT_EQ(lives.held(), 4) << at;
        if (over) break;
    }
}

TEST(DurableEnv, HasEachChangedNameOnDiskWhenItReturns) {
    for (unsigned seed = 0; seed < 16; ++seed) {
        FaultyDisk under;
        under.CreateDir("/data");
        under.backend().syncDirectory("/");
        DurableEnv env(under, under.backend().syncDirectory);
        auto make = [&env](const std::string& path) {
            leveldb::WritableFile* file = nullptr;
            EXPECT_TRUE(env.NewWritableFile(path, &file).ok());
            delete file;
        };
        auto left = [&under, seed] {
            under.restart(seed);
            return under.files();
        };
        EXPECT_TRUE(env.CreateDir("/data/in").ok());
        under.restart(seed);
        EXPECT_TRUE(under.FileExists("/data/in"));
        make("/data/in/a");
        EXPECT_EQ(left(), std::vector<std::string>{"/data/in/a"});
        EXPECT_TRUE(env.RenameFile("/data/in/a", "/data/in/b").ok());
        EXPECT_EQ(left(), std::vector<std::string>{"/data/in/b"});
        EXPECT_TRUE(env.RemoveFile("/data/in/b").ok());
        EXPECT_EQ(left(), std::vector<std::string>{});
    }
}

// What a writer reports, to be waited for with a bound.
struct Reports {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<DiskReport> all;

    DiskWriter::Report sink() {
        return [this](DiskReport report) {
            const std::lock_guard<std::mutex> lock(mutex);
            all.push_back(std::move(report));
            changed.notify_all();
        };
    }
    bool await(DiskReport::Event event, std::uint64_t ticket) {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(20), [&] {
            return std::any_of(all.begin(), all.end(), [&](const auto& each) {
                return each.event == event && each.ticket >= ticket;
            });
        });
    }
    bool durable(std::uint64_t ticket) {
        const std::lock_guard<std::mutex> lock(mutex);
        return std::any_of(all.begin(), all.end(), [&](const auto& each) {
            return each.event == DiskReport::Event::durable && each.ticket >= ticket;
        });
    }
};

struct Written {
    Lives lives;
    Reports reports;
    std::unique_ptr<DiskWriter> writer;

    Written() {
        lives.under.CreateDir("/data");
        lives.under.backend().syncDirectory("/");
        lives.live(0);
        writer =
            std::make_unique<DiskWriter>(std::move(lives.disk), reports.sink(), std::chrono::milliseconds(1));
    }
};

TEST(DiskWriter, SharesOneSyncAmongAllThatWaitsWhileTheDiskHangs) {
    Written world;
    world.lives.under.hang(true);
    world.writer->submit({{"a", 1}}, 1);
    world.lives.under.awaitHanging();
    const int before = world.lives.under.syncs();
    for (std::uint64_t ticket = 2; ticket <= 50; ++ticket)
        world.writer->submit({{"b", ticket}, {"c" + std::to_string(ticket % 5), ticket}}, ticket);
    EXPECT_FALSE(world.reports.durable(1));
    world.lives.under.hang(false);
    ASSERT_TRUE(world.reports.await(DiskReport::Event::durable, 50));
    EXPECT_EQ(world.lives.under.syncs() - before, 2);
    world.writer.reset();
    world.lives.losePower(1);
    ASSERT_TRUE(world.lives.open());
    EXPECT_EQ(world.lives.disk->readAll().at("b"), 50);
    EXPECT_EQ(world.lives.disk->readAll().at("a"), 1);
}

TEST(DiskWriter, EndsInTimeAlthoughTheDiskHangs) {
    Written world;
    world.lives.under.hang(true);
    world.writer->submit({{"a", 1}}, 1);
    world.lives.under.awaitHanging();
    EXPECT_FALSE(world.writer->stop(std::chrono::milliseconds(1)));
    world.lives.under.hang(false);
    EXPECT_TRUE(world.writer->stop(std::chrono::seconds(20)));
}

TEST(DiskWriter, WritesWhatWasRefusedOnceTheDiskTakesItAndClaimsNothingBefore) {
    for (unsigned seed = 0; seed < seedsOr(12); ++seed) {
        Written world;
        world.writer->submit({{"a", 1}, {"b", 1}}, 1);
        ASSERT_TRUE(world.reports.await(DiskReport::Event::durable, 1));
        world.lives.under.refuse(true);
        world.writer->submit({{"a", 2}}, 2);
        ASSERT_TRUE(world.reports.await(DiskReport::Event::writeFailed, 2));
        world.writer->submit({{"c", 3}}, 3);
        EXPECT_FALSE(world.reports.durable(2));
        world.lives.under.refuse(false);
        ASSERT_TRUE(world.reports.await(DiskReport::Event::durable, 3));
        world.writer.reset();
        world.lives.losePower(seed);
        ASSERT_TRUE(world.lives.open());
        const DiskRecords records = world.lives.disk->readAll();
        EXPECT_EQ(world.lives.disk->incarnation(), world.lives.promisedAs);
        EXPECT_EQ(records.at("a"), 2);
        EXPECT_EQ(records.at("b"), 1);
        EXPECT_EQ(records.at("c"), 3);
    }
}

TEST(DiskWriter, SaysThatTheDiskIsLostWhereItDoesNotOpenCleanlyAgain) {
    Written world;
    world.lives.under.refuse(true);
    world.writer->submit({{"a", 2}}, 2);
    ASSERT_TRUE(world.reports.await(DiskReport::Event::writeFailed, 2));
    for (const std::string& name : world.lives.under.files())
        if (name.ends_with("CURRENT")) world.lives.under.loseName(name);
    world.lives.under.refuse(false);
    ASSERT_TRUE(world.reports.await(DiskReport::Event::lost, 2));
    EXPECT_FALSE(world.reports.durable(2));
    EXPECT_TRUE(world.writer->stop(std::chrono::seconds(20)));
    world.writer.reset();
    ASSERT_TRUE(world.lives.open());
    EXPECT_TRUE(world.lives.disk->stateWasLost());
    EXPECT_NE(world.lives.disk->incarnation(), world.lives.promisedAs);
}

// A configuration of 100 routes, changed CHANGES times (1,000) on this machine's own disk.
TEST(Disk, StaysSmallAndOpensFastAfterManyChanges) {
    const char* const more = std::getenv("CHANGES");
    const int changes = more ? std::stoi(more) : 1000;
    const auto folder =
        std::filesystem::temp_directory_path() / ("granitereel-disk-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    auto size = [&folder] {
        std::uintmax_t sum = 0;
        for (const auto& each : std::filesystem::recursive_directory_iterator(folder))
            if (each.is_regular_file()) sum += each.file_size();
        return sum;
    };
    nlohmann::json routes = nlohmann::json::array();
    for (int route = 0; route < 100; ++route)
        routes.push_back({{"label", "r-" + std::to_string(route)},
                          {"hostname", "h" + std::to_string(route)},
                          {"path_prefix", "/"},
                          {"mode", "own"},
                          {"deadline_ms", 1000},
                          {"target_ms", 200},
                          {"precedence", 1},
                          {"depot", "d"},
                          {"tries", 2},
                          {"staleness_ms", 2500}});
    std::uintmax_t largest = 0;
    auto disk = std::make_unique<Disk>(folder.string(), systemDisk(), [] { return std::string("1"); });
    for (int change = 1; change <= changes; ++change) {
        routes[static_cast<std::size_t>(change % 100)]["deadline_ms"] = 1000 + change;
        disk->write(
            {{"slot/config", {{"ar", change}, {"v", {{"edition", change}, {"itineraries", routes}}}}}});
        if (change % 100 == 0) largest = std::max(largest, size());
    }
    disk.reset();
    const auto begun = std::chrono::steady_clock::now();
    disk = std::make_unique<Disk>(folder.string(), systemDisk(), [] { return std::string("2"); });
    const auto records = disk->readAll();
    const auto took = std::chrono::steady_clock::now() - begun;
    EXPECT_EQ(records.at("slot/config").at("ar"), changes);
    EXPECT_EQ(disk->incarnation(), "1");
    EXPECT_LT(took, std::chrono::milliseconds(500));
    EXPECT_LT(largest, 32u << 20);  // a quarter of a disk of 128 MB
    std::cout << changes << " changes: at most " << largest << " bytes, opened in "
              << std::chrono::duration_cast<std::chrono::milliseconds>(took).count() << " ms\n";
    std::filesystem::remove_all(folder);
}

TEST(Members, AcknowledgeNothingBeforeAMajorityHasSyncedIt) {
    // The proposer's own disk, or the other voter's, takes long; the third voter is away.
    for (const int slow : {0, 1}) {
        World world(3, 0, 7);
        world.run(milliseconds(1500));
        world.kill(World::address(2));
        world.members[World::address(slow)].syncTakes = milliseconds(300);
        const auto call = world.put(World::address(0), 5, "kept");
        world.run(milliseconds(250));
        EXPECT_FALSE(world.taken(World::address(0), call)) << slow;
        world.run(milliseconds(600));
        EXPECT_TRUE(world.taken(World::address(0), call)) << slow;
    }
}

TEST(Members, GoOnWhileTheDiskOfOneHangs) {
    World world(3, 0, 9);
    world.run(milliseconds(1500));
    const std::string sick = World::address(1);
    world.members[sick].syncTakes = milliseconds(7000);
    world.put(World::address(0), 5, "a");
    for (int i = 0; i < 30; ++i) {
        world.run(milliseconds(200));
        EXPECT_GT(world.members[sick].control->state(world.now)["lease_left_ms"].get<int>(), 0) << i;
    }
    EXPECT_EQ(world.members[sick].control->state(world.now)["disk"], "slow");
    // What it can't hold is held by the two others.
    const auto call = world.put(sick, 6, "b");
    world.run(milliseconds(100));
    EXPECT_TRUE(world.taken(sick, call));
    world.members[sick].syncTakes = 0;
    world.run(milliseconds(2500));
    EXPECT_EQ(world.members[sick].control->state(world.now)["disk"], "ok");
}

TEST(Members, FoundNoCoreAgainAfterALostDisk) {
    World world(3, 0, 13);
    world.run(milliseconds(1500));
    for (int i = 0; i < 3; ++i) {
        const std::string name = World::address(i);
        world.kill(name, true);
        world.members[name].settings.firstBoot = true;  // the settings still say so
        world.members[name].disk["after_loss"] = true;
        world.start(name);
    }
    world.run(milliseconds(3000));
    for (auto& [name, m] : world.members) EXPECT_EQ(m.control->state(world.now)["epoch"], 0) << name;
}

struct DutyWorld : World {
    DutyWorld() : World(3, 0, 21) {
        for (auto& [name, m] : members) {
            m.settings.promotionsEnabled = true;
            kill(name);
            start(name);
        }
        run(milliseconds(1500));
    }
    // Who asks the store of a service that has no lead, within the time.
    std::set<std::string> askers(Nanoseconds time) {
        for (auto& [name, m] : members) m.storeAsks = 0;
        run(time);
        std::set<std::string> found;
        for (auto& [name, m] : members)
            if (m.storeAsks > 0) found.insert(name);
        return found;
    }
};

TEST(Members, NeitherVoteNorAcknowledgeNorOwnDutiesWhileTheDiskRefuses) {
    DutyWorld world;
    const std::string other = World::address(0);
    for (int store = 0; store < 2; ++store)
        world.members[other].control->handleCall(++world.lastCall, "PUT",
                                                 {"stores", "i-" + std::to_string(store)},
                                                 Json{{"depot", "svc"},
                                                      {"address", "10.9.0.1:80"},
                                                      {"db_role", store ? "branch_office" : "head_office"},
                                                      {"call_seq", 1}}
                                                     .dump(),
                                                 world.now);
    world.carry(other);
    world.run(milliseconds(500));
    const auto owners = world.askers(milliseconds(2600));
    ASSERT_EQ(owners.size(), 1u);
    const std::string sick = *owners.begin();
    World::Member& member = world.members[sick];
    member.log.clear();
    member.refuses = true;
    const std::string well = sick == World::address(0) ? World::address(1) : World::address(0);
    const auto first = world.put(well, 5, "a");
    world.run(milliseconds(400));
    EXPECT_TRUE(world.taken(well, first));
    EXPECT_EQ(member.control->state(world.now)["disk"], "refuses");
    const int writes = member.writes;
    const auto refused = world.put(sick, 6, "b");
    world.run(milliseconds(400));
    EXPECT_EQ(member.answers[refused].first, CallOutcome::notReady);
    const auto second = world.put(well, 7, "c");
    world.run(milliseconds(1000));
    EXPECT_TRUE(world.taken(well, second));
    EXPECT_EQ(member.writes, writes);  // no vote
    const auto later = world.askers(milliseconds(2600));
    EXPECT_FALSE(later.count(sick));
    EXPECT_EQ(later.size(), 1u);
    // Back by itself.
    member.refuses = false;
    world.run(milliseconds(1500));
    EXPECT_EQ(member.control->state(world.now)["disk"], "ok");
    EXPECT_EQ(std::count_if(member.log.begin(), member.log.end(),
                            [](const std::string& line) { return line.find("the disk is") == 0; }),
              2);
    EXPECT_EQ(world.askers(milliseconds(2600)), owners);
    const auto third = world.put(sick, 8, "d");
    world.run(milliseconds(400));
    EXPECT_TRUE(world.taken(sick, third));
}

// Slow syncs, kills between a write and its sync, power lost by all, refusals; by chance. The seed is the bug
// report.
TEST(Members, KeepWhatWasAcknowledgedThroughSlowAndRefusingDisks) {
    for (unsigned seed = 0; seed < seedsOr(12); ++seed) {
        World world(3, static_cast<int>(seed % 3), seed);
        const int size = static_cast<int>(world.members.size());
        std::mt19937 chance(seed + 5000);
        world.run(milliseconds(3500));
        std::uint64_t edition = 10, acknowledged = 0;
        for (int round = 0; round < 10; ++round) {
            for (auto& [name, m] : world.members) {
                m.syncTakes = milliseconds(static_cast<int>(chance() % 4 ? chance() % 40 : chance() % 400));
                m.refuses = chance() % 8 == 0;
            }
            const std::string at = World::address(static_cast<int>(chance() % size));
            ++edition;
            const auto call = world.put(at, edition, std::to_string(edition));
            world.run(milliseconds(static_cast<int>(chance() % 1200)));
            if (world.taken(at, call)) acknowledged = edition;
            const bool all = chance() % 2;
            const std::string victim = World::address(static_cast<int>(chance() % size));
            for (int i = 0; i < size; ++i)
                if (all || World::address(i) == victim) world.kill(World::address(i));
            for (auto& [name, m] : world.members) {
                m.syncTakes = 0;
                m.refuses = false;
                if (!m.control) world.start(name);
            }
            world.run(milliseconds(3000));
            const auto read = world.get(World::address(static_cast<int>(chance() % size)));
            ASSERT_TRUE(read || acknowledged == 0) << "seed " << seed << " round " << round;
            if (read) {
                EXPECT_GE(read->at("edition").get<std::uint64_t>(), acknowledged)
                    << "seed " << seed << " round " << round;
            }
        }
        EXPECT_GT(acknowledged, 10u) << "seed " << seed;
    }
}

TEST(Members, ShareSyncsAmongChangesThatComeTogether) {
    World world(3, 0, 31);
    world.run(milliseconds(1500));
    World::Member& voter = world.members[World::address(1)];
    voter.syncTakes = milliseconds(20);
    const int writes = voter.writes, syncs = voter.syncs;
    for (std::uint64_t change = 1; change <= 20; ++change) {
        world.put(World::address(0), change, "x");
        world.run(milliseconds(5));
    }
    world.run(milliseconds(500));
    std::cout << voter.writes - writes << " writes, " << voter.syncs - syncs << " syncs for 20 changes\n";
    EXPECT_LT(2 * (voter.syncs - syncs), voter.writes - writes);
}
}  // namespace
