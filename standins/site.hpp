// A small site on loopback: stores that call control with beats and speak the wire, the platform's
// promotions, and the real processes of the system, each on an address of its own.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <map>
#include <memory>
#include <thread>

#include "databases.hpp"
#include "process.hpp"
#include "standins/switchboard.hpp"
#include "transport/http.hpp"
#include "transport/stream.hpp"

namespace granitereel::standins {

class Site {
public:
    // `members`: of control. `port`: the first of some tens that are this site's alone.
    Site(int members, int port);
    ~Site();

    // Processes by name: "control-0", ..., "agent", "proxy"; a control of a number above `members` is a
    // newcomer at an address of its own. Further fronts are "agent-0", "proxy-0", ... A wipe takes the
    // member's disk.
    void start(const std::string& name);
    // From now on the links of processes that start go by a switchboard.
    Switchboard& useSwitchboard();
    // The last byte of the address of the process's machine.
    int machineOf(const std::string& name) const;
    Process& process(const std::string& name) const { return *processes_.at(name); }
    void signal(const std::string& name, int number);
    // Its exit code; the process must have been told to end.
    int end(const std::string& name);
    void wipe(const std::string& name);
    // Where a member keeps its state.
    std::string dataPath(const std::string& name) const { return folder_ + "/" + name; }
    // Waits until it has logged the text, in line `from` or later.
    void logged(const std::string& name, const std::string& text, std::size_t from = 0);
    // How many lines it has logged so far.
    std::size_t lines(const std::string& name) const;

    // Runs in the site's own thread, with its databases.
    template <class What>
    auto with(What what) {
        std::promise<decltype(what(databases))> done;
        boost::asio::post(loop, [&] { done.set_value(what(databases)); });
        return done.get_future().get();
    }
    // Waits until it holds; false where it does not in time.
    bool until(std::function<bool()> holds, int within_ms = 15'000);

    // HTTP to a member of control: the status, 0 for none.
    int put(int member, const std::string& path, const std::string& body);
    int ready();
    // The same without waiting, and no matter who comes first: `done` is called in the site's own thread.
    void order(int member, const std::string& body, int within_ms, std::function<void(int status)> done);
    // The body of a 200 from a member of control; else empty.
    std::string get(int member, const std::string& path);
    std::string frontAddress(const std::string& proxy = "proxy") const;
    std::string configuration(int edition, const std::string& more = "") const;

    boost::asio::io_context loop{1};
    Databases databases{"svc", 3, 1};
    // The districts of processes that are in another than "here"; said before they start.
    std::map<std::string, std::string> districts;
    int berthCap = 40;
    std::atomic<int> promotions{0};

private:
    std::string ip(int machine) const {
        return "127.7." + std::to_string(port_ % 250) + "." + std::to_string(machine + 1);
    }
    std::string settings(const std::string& name);
    void beat();
    void serve(const std::string& store, std::shared_ptr<transport::Stream> stream);

    int members_, port_;
    std::string folder_;
    std::map<std::string, std::unique_ptr<Process>> processes_;
    std::vector<std::unique_ptr<transport::Listener>> listeners_;
    std::unique_ptr<transport::HttpServer> platform_;
    std::unique_ptr<Switchboard> switchboard_;
    std::map<std::string, std::map<int, std::shared_ptr<transport::Stream>>> open_;
    boost::asio::steady_timer timer_{loop};
    int seq_ = 0, asked_ = 0;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{loop.get_executor()};
    std::thread thread_;
};

// A client of the wire, on a socket that waits.
class WireClient {
public:
    WireClient(const std::string& address, const std::string& database);
    ~WireClient();
    // Sends the line and reads to READY; empty where the connection ends first.
    std::vector<std::string> ask(const std::string& line);
    void send(const std::string& bytes);
    std::vector<std::string> answer();

private:
    int socket_ = -1;
    std::string in_;
};

}  // namespace granitereel::standins
