// A replica leaves by DELETE and serves on; the other replica receives nothing for a while, and the primary
// crashes meanwhile. TROUBLE: 1 all of it, 0 nothing of it; "stays": all of it, but the replica doesn't leave.
#include "deployment.hpp"

using namespace review;

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const std::string program = argv[1], trouble = argv[3];
    record.open(argv[2]);
    record.line("case 1, TROUBLE=%s", trouble.c_str());
    constexpr double drain = 7.0;       // guarantees.drain_ms
    constexpr double deafFor = 6.0;     // replica_lag: 7 s at most
    constexpr double crashFor = 7.0;    // srv_crash: 7 s at most
    Deployment site(program, "i-p");
    Service& service = site.service;
    site.addStore("i-p", 1);
    site.addStore("i-a", 2);
    site.addStore("i-b", 3);
    if (!site.startAll()) return record.line("the site doesn't start"), 2;
    Writers writers(site, 4, 0.02);
    if (!Deployment::until(20, [&] { return writers.acknowledged() > 40; }))
        return record.line("no write is acknowledged"), std::_Exit(2), 2;
    sleepFor(4.0);
    const double leftAt = seconds();
    std::thread leaving;
    if (trouble == "1") {
        {
            const std::lock_guard<std::mutex> lock(service.mutex);
            service.stores.at("i-b")->listed = false;
        }
        if (!site.storeCall("DELETE", "i-b", "")) return record.line("DELETE not acknowledged"), std::_Exit(2), 2;
        record.line("store i-b: DELETE acknowledged; it serves on for drain_ms and 1 s, then ends");
        leaving = std::thread([&] {
            sleepFor(drain + 1.0);
            service.crash("i-b");
            // Its log passes to a new store at its address.
            std::vector<Service::Entry> log;
            {
                const std::lock_guard<std::mutex> lock(service.mutex);
                log = service.stores.at("i-b")->log;
            }
            sleepFor(0.5);
            site.addStore("i-c", 3, log);
            record.line("store i-c: started at the address of i-b, with its log");
        });
    }
    sleepFor(3.0);
    if (trouble != "0") service.setDeaf("i-a", true);
    sleepFor(1.0);
    if (trouble != "0") service.crash("i-p");
    const double crashedAt = seconds();
    while (seconds() < crashedAt + deafFor - 1.0) sleepFor(0.01);
    if (trouble != "0") service.setDeaf("i-a", false);
    while (seconds() < crashedAt + crashFor) sleepFor(0.01);
    if (trouble != "0") service.restart("i-p");
    while (seconds() < leftAt + 24.0) sleepFor(0.05);
    if (leaving.joinable()) leaving.join();
    writers.stop();
    site.recordLogs("lead of svc");
    const bool crashed = site.processEnded();
    std::size_t lost = 0;
    int promotions = 0;
    {
        const std::lock_guard<std::mutex> lock(service.mutex);
        lost = service.lost.size();
        promotions = service.promotions;
    }
    record.line("acknowledged %d, promotions %d, acknowledged writes missing in the promoted log %zu",
                writers.acknowledged(), promotions, lost);
    std::printf("acknowledged %d, promotions %d, lost %zu\n", writers.acknowledged(), promotions, lost);
    site.end();
    return crashed || lost ? 1 : 0;
}
