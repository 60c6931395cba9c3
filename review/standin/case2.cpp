// All processes are killed, and the primary is lost for good at the same moment. TROUBLE: 1 both, 0 neither;
// "killed": only the processes, "lost": only the primary.
#include "deployment.hpp"

using namespace review;

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const std::string program = argv[1], trouble = argv[3];
    record.open(argv[2]);
    record.line("case 2, TROUBLE=%s", trouble.c_str());
    constexpr double recovery = 12.0;  // guarantees.recovery_s
    Deployment site(program, "i-p");
    Service& service = site.service;
    site.addStore("i-p", 1);
    site.addStore("i-a", 2);
    site.addStore("i-b", 3);
    if (!site.startAll()) return record.line("the site doesn't start"), std::_Exit(2), 2;

    // Requests of the three kinds: fresh reads, bounded reads, writes and reads of own writes.
    std::mutex mutex;
    std::vector<std::pair<double, bool>> requests;  // when it was sent, whether it was served
    std::atomic<bool> stopping{false};
    std::vector<std::thread> clients;
    const char* const databases[] = {"desk", "board", "ledger", "desk"};
    for (int number = 0; number < 4; ++number)
        clients.emplace_back([&, number] {
            Client client(site.front(), databases[number]);
            for (int n = 0; !stopping; ++n) {
                const std::string id = "q" + std::to_string(number) + "x" + std::to_string(n);
                const bool write = number == 3 || (number == 2 && n % 5 == 0);
                const std::string text = write ? "WRITE t d" + std::to_string(n) : "READ t";
                const double sentAt = seconds();
                const auto lines = client.ask(id, text);
                const std::string answer =
                    lines.empty() ? "cut" : lines.size() > 1 ? lines[lines.size() - 2] : lines[0];
                const bool served = answer.rfind("DONE ", 0) == 0;
                record.line("client %d: %s %s sent at %.3f, answered %s", number, id.c_str(), text.c_str(), sentAt,
                            answer.c_str());
                if (served && write) service.clientRead(id);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    requests.emplace_back(sentAt, served);
                }
                sleepFor(served ? 0.03 : 0.1);
            }
        });
    auto share = [&](double from, double until) {
        const std::lock_guard<std::mutex> lock(mutex);
        int sent = 0, served = 0;
        for (const auto& [at, ok] : requests)
            if (at >= from && at < until) ++sent, served += ok;
        record.line("requests sent from %.3f to %.3f: %d, served %d", from, until, sent, served);
        std::printf("from %.1f to %.1f: %d sent, %d served\n", from, until, sent, served);
        return sent ? double(served) / sent : 0.0;
    };
    sleepFor(8.0);
    const double faultAt = seconds();
    const char* const names[] = {"control-0", "control-1", "control-2", "agent", "proxy"};
    if (trouble == "1" || trouble == "killed") {
        record.line("all processes are killed");
        for (const char* name : names) site.process(name).kill();
    }
    if (trouble == "1" || trouble == "lost") service.crash("i-p");
    sleepFor(1.0);
    if (trouble == "1" || trouble == "killed") {
        for (const char* name : names) site.start(name);
        record.line("all processes are started again");
    }
    const double backAt = seconds();
    while (seconds() < backAt + recovery + 12.0) sleepFor(0.05);
    stopping = true;
    for (std::thread& each : clients) each.join();
    const double before = share(faultAt - 6.0, faultAt), after = share(backAt + recovery, 1e9);
    for (int i = 0; i < Deployment::members; ++i) {
        const std::string state = http(site.control(i), "GET", "/state", "").body;
        record.line("GET /state of control-%d: %s", i, state.c_str());
    }
    site.recordLogs("lead of svc");
    const bool ended = site.processEnded();
    record.line("promotions %d; served before %.3f, later than recovery_s after the start %.3f", service.promotions,
                before, after);
    site.end();
    if (before < 0.25) return 2;
    return ended || after < 0.25 ? 1 : 0;
}
