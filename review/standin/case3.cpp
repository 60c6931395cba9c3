// The primary leaves as planned, by DELETE alone, and later the front's machine is stopped. TROUBLE: 1 both, 0 neither;
// "stop": only the machine is stopped; "leave": the primary leaves by winding_down first; "lost": the same, and a
// replica was lost for good some seconds before.
#include "deployment.hpp"

using namespace review;

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const std::string program = argv[1], trouble = argv[3];
    record.open(argv[2]);
    record.line("case 3, TROUBLE=%s", trouble.c_str());
    constexpr double drain = 7.0, grace = 6.0, slack = 0.2, deadline = 3.0;
    const bool loses = trouble == "lost", deletes = trouble == "1";
    const bool leaves = trouble == "leave" || loses || deletes, stops = trouble != "0";
    Deployment site(program, "i-p");
    site.deadline_ms = static_cast<int>(1000 * deadline);
    Service& service = site.service;
    site.addStore("i-p", 1);
    site.addStore("i-a", 2);
    site.addStore("i-b", 3);
    if (!site.startAll()) return record.line("the site doesn't start"), std::_Exit(2), 2;
    Writers writers(site, 2, 0.05);
    if (!Deployment::until(20, [&] { return writers.acknowledged() > 20; }))
        return record.line("no write is acknowledged"), std::_Exit(2), 2;
    sleepFor(3.0);
    if (loses) service.crash("i-a");
    sleepFor(5.0);
    if (leaves) {
        site.addStore("i-c", 4);  // the new store starts first
        record.line("store i-c: started");
        sleepFor(3.0);
        const auto sendDelete = [&] {
            {
                const std::lock_guard<std::mutex> lock(service.mutex);
                service.stores.at("i-p")->listed = false;
            }
            const bool acknowledged = site.storeCall("DELETE", "i-p", "");
            record.line("store i-p: DELETE %s", acknowledged ? "acknowledged" : "not acknowledged");
        };
        if (deletes) {
            sendDelete();
        } else {
            {
                const std::lock_guard<std::mutex> lock(service.mutex);
                service.stores.at("i-p")->standing = "winding_down";
            }
            if (!site.storeCall("PUT", "i-p", site.beatOf("i-p")))
                return record.line("not acknowledged"), std::_Exit(2), 2;
            record.line("store i-p: winding_down acknowledged");
        }
        sleepFor(drain + 1.0);
        if (!deletes) sendDelete();
        service.crash("i-p");
    } else {
        sleepFor(3.0 + drain + 1.0);
    }
    sleepFor(6.0);  // longer than contact_ms

    // Clients in open transactions while the machine is told to stop.
    std::atomic<int> answered{0}, lost{0};
    const double toldAt = seconds();
    if (stops) {
        record.line("SIGTERM to the machine of the front");
        site.process("proxy").signal(SIGTERM);
        site.process("agent").signal(SIGTERM);
    }
    std::vector<std::thread> clients;
    for (int number = 0; number < 4; ++number)
        clients.emplace_back([&, number] {
            Client client(site.front(), "desk");
            const std::string name = "t" + std::to_string(number);
            while (seconds() < toldAt + 1.8) sleepFor(0.005);
            const auto begun = client.ask(name + "b", "BEGIN");
            record.line("client %s: BEGIN at SIGTERM + 1.8 s, answered %s", name.c_str(),
                        begun.empty() ? "cut" : begun.front().c_str());
            while (seconds() < toldAt + 2.6 + 0.05 * number) sleepFor(0.005);
            const double sentAt = seconds();
            const auto lines = client.ask(name + "s", "READ t" + std::to_string(number), 8000);
            const double took = seconds() - sentAt;
            record.line("client %s: READ sent %.3f s after SIGTERM, %s after %.3f s", name.c_str(), sentAt - toldAt,
                        lines.empty() ? "the connection ends without an answer" : lines.front().c_str(), took);
            // Not counted: the deadline was reached, or no planned work any more.
            if (!lines.empty())
                ++answered;
            else if (!begun.empty() && took > slack && took < deadline && sentAt + took < toldAt + grace + 1.0)
                ++lost;
        });
    for (std::thread& each : clients) each.join();
    while (stops && seconds() < toldAt + grace) sleepFor(0.01);
    writers.stop();
    site.recordLogs("lead of svc");
    record.line("statements answered %d, taken and never answered %d, promotions %d", answered.load(), lost.load(),
                service.promotions);
    std::printf("answered %d, never answered %d, promotions %d\n", answered.load(), lost.load(), service.promotions);
    site.end();
    return lost ? 1 : answered == 4 ? 0 : 2;
}
