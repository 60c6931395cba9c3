#include "site.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace granitereel::standins {

namespace fs = std::filesystem;
using transport::endpointOf;
using transport::Stream;

Site::Site(int members, int port) : members_(members), port_(port) {
    folder_ =
        (fs::temp_directory_path() / ("site-" + std::to_string(port) + "-" + std::to_string(::getpid())))
            .string();
    fs::create_directories(folder_);
    for (const std::string& store : databases.names())
        listeners_.push_back(std::make_unique<transport::Listener>(
            loop, endpointOf("127.0.0.1:" + std::to_string(port_ + 10 + (store[1] - '0'))),
            [this, store](std::shared_ptr<Stream> stream) { serve(store, std::move(stream)); }));
    platform_ = std::make_unique<transport::HttpServer>(
        loop, endpointOf("127.0.0.1:" + std::to_string(port_ + 9)), 4096,
        [this](std::uint64_t call, const std::string&, const std::vector<std::string>&,
               const std::string& body) {
            const std::string store = nlohmann::json::parse(body).at("store_id");
            const bool promoted = databases.promote(store);
            if (promoted) ++promotions;
            platform_->respond(call, promoted ? 200 : 409, "");
            beat();
        });
    thread_ = std::thread([this] { loop.run(); });
    boost::asio::post(loop, [this] { beat(); });
}

Site::~Site() {
    processes_.clear();
    loop.stop();
    thread_.join();
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
}

void Site::serve(const std::string& store, std::shared_ptr<Stream> stream) {
    const int connection = databases.connect(store);
    open_[store][connection] = stream;
    const std::weak_ptr<Stream> weak = stream;
    stream->start(
        [this, connection, weak](std::string_view all) {
            std::size_t used = 0;
            for (std::size_t cut; (cut = all.find("\r\n", used)) != all.npos; used = cut + 2)
                if (const auto answer = databases.said(connection, std::string(all.substr(used, cut - used))))
                    if (const auto to = weak.lock()) to->send(*answer);
            return used;
        },
        [this, store, connection](bool) {
            databases.closed(connection);
            open_[store].erase(connection);
        });
}

// Each store tells a member of control of itself; whichever answers.
void Site::beat() {
    for (const std::string& store : databases.names())
        for (int member = 0; member < members_; ++member)
            transport::httpCall(
                loop, endpointOf(ip(member) + ":" + std::to_string(port_)), "PUT", "/stores/" + store, {},
                nlohmann::json{{"depot", "svc"},
                               {"address", "127.0.0.1:" + std::to_string(port_ + 10 + (store[1] - '0'))},
                               {"district", "here"},
                               {"berths", 10},
                               {"standing", "accepting"},
                               {"db_role", databases.roleOf(store)},
                               {"call_seq", ++seq_}}
                    .dump(),
                500, [](int) {});
    timer_.expires_after(std::chrono::milliseconds(200));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) beat();
    });
}

std::string Site::settings(const std::string& name) {
    const bool control = name.starts_with("control");
    const int machine = machineOf(name) - 1;
    const std::string path = folder_ + "/" + name + ".toml", data = folder_ + "/" + name;
    // Members beyond the first ones are newcomers.
    const bool first = !fs::exists(path) && (!control || machine < members_);
    std::ofstream out(path);
    const std::string p = std::to_string(port_);
    out << "station = \"" << name << "\"\nip_addr = \"" << ip(machine) << "\"\ndistrict = \""
        << (districts.count(name) ? districts.at(name) : "here")
        << "\"\nfirst_boot = " << (first ? "true" : "false") << "\nspare_ports = [" << port_ + 1 << ", "
        << port_ + 8 << "]\nseed_list = [";
    for (int i = 0; i < std::min(3, members_); ++i)
        out << (i ? ", " : "") << "\"" << ip(i) << ":" << p << "\"";
    out << "]\n";
    if (control) {
        fs::create_directories(data);
        out << "data_path = \"" << data << "\"\n";
    }
    out << "[listen_on]\n";
    if (control)
        out << "control_addr = \"" << ip(machine) << ":" << p << "\"\n";
    else
        out << "front_addr = \"" << ip(machine) << ":" << p << "\"\nready_addr = \"" << ip(machine) << ":"
            << port_ + 20 << "\"\n";
    out << "[platform_api]\naddress = \"127.0.0.1:" << port_ + 9 << "\"\nassignments = [\"promotion\"]\n"
        << "[guarantees]\ngrace_s = 4\ndrain_ms = 7000\n";
    return path;
}

int Site::machineOf(const std::string& name) const {
    constexpr int furtherFronts = 40;  // beyond any member
    const auto dash = name.find('-');
    if (dash == name.npos) return members_ + 1;
    const int number = std::stoi(name.substr(dash + 1));
    return 1 + number + (name.starts_with("control") ? 0 : furtherFronts);
}

Switchboard& Site::useSwitchboard() {
    std::promise<void> made;
    boost::asio::post(loop, [&] {
        switchboard_ = std::make_unique<Switchboard>(loop, std::to_string(port_ % 250), port_ + 1);
        made.set_value();
    });
    made.get_future().get();
    return *switchboard_;
}

void Site::start(const std::string& name) {
    const std::string command = name.substr(0, name.find('-'));
    std::vector<std::string> words{switchboard_ ? SWITCHED_PROGRAM : SYSTEM_PROGRAM, command, "--settings",
                                   settings(name)};
    if (switchboard_) {
        const auto environment = switchboard_->environmentOf(machineOf(name));
        words.insert(words.begin(), environment.begin(), environment.end());
    }
    processes_[name] = std::make_unique<Process>("/usr/bin/env", std::move(words), name);
}

void Site::signal(const std::string& name, int number) {
    processes_.at(name)->signal(number);
}

int Site::end(const std::string& name) {
    const int code = processes_.at(name)->end();
    processes_.erase(name);
    return code;
}

void Site::wipe(const std::string& name) {
    fs::remove_all(folder_ + "/" + name);
}

void Site::logged(const std::string& name, const std::string& text, std::size_t from) {
    processes_.at(name)->logged(text, from);
}

std::size_t Site::lines(const std::string& name) const {
    return processes_.at(name)->lines();
}

bool Site::until(std::function<bool()> holds, int within_ms) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(within_ms);
    while (std::chrono::steady_clock::now() < end) {
        if (holds()) return true;
        std::this_thread::yield();
    }
    return holds();
}

int Site::put(int member, const std::string& path, const std::string& body) {
    std::promise<int> done;
    boost::asio::post(loop, [&] {
        transport::httpCall(loop, endpointOf(ip(member) + ":" + std::to_string(port_)), "PUT", path, {}, body,
                            1500, [&](int status) { done.set_value(status); });
    });
    return done.get_future().get();
}

int Site::ready() {
    std::promise<int> done;
    boost::asio::post(loop, [&] {
        transport::httpCall(loop, endpointOf(ip(members_) + ":" + std::to_string(port_ + 20)), "GET",
                            "/ready", {}, "", 500, [&](int status) { done.set_value(status); });
    });
    return done.get_future().get();
}

void Site::order(int member, const std::string& body, int within_ms, std::function<void(int)> done) {
    boost::asio::post(loop, [this, member, body, within_ms, done = std::move(done)] {
        transport::httpCall(loop, endpointOf(ip(member) + ":" + std::to_string(port_)), "PUT", "/config", {},
                            body, within_ms, done);
    });
}

std::string Site::get(int member, const std::string& path) {
    const auto where = endpointOf(ip(member) + ":" + std::to_string(port_));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval wait{2, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    std::string all;
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n";
    if (::connect(socket, where.data(), static_cast<socklen_t>(where.size())) == 0 &&
        ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
        char bytes[16384];
        for (ssize_t n; (n = ::recv(socket, bytes, sizeof bytes, 0)) > 0;)
            all.append(bytes, static_cast<std::size_t>(n));
    }
    ::close(socket);
    const auto head = all.find("\r\n\r\n");
    return all.starts_with("HTTP/1.1 200") && head != all.npos ? all.substr(head + 4) : "";
}

std::string Site::frontAddress(const std::string& proxy) const {
    return ip(machineOf(proxy) - 1) + ":" + std::to_string(port_);
}

std::string Site::configuration(int edition, const std::string& more) const {
    nlohmann::json routes = nlohmann::json::array();
    auto route = [&](const std::string& name, const char* mode) {
        routes.push_back({{"label", name},
                          {"hostname", name},
                          {"path_prefix", "/"},
                          {"mode", mode},
                          {"depot", "svc"},
                          {"deadline_ms", 2000},
                          {"target_ms", 200},
                          {"precedence", 1},
                          {"tries", 2},
                          {"staleness_ms", 1500}});
    };
    route("primary", "head_office");
    route("bounded", "age_bounded");
    if (!more.empty()) route(more, "own");
    return nlohmann::json{{"edition", edition},
                          {"itineraries", routes},
                          {"depots", {{{"label", "svc"}, {"berth_cap", berthCap}, {"sync_replicas", 1}}}},
                          {"limits", {{"tx_idle_ms", 3000}}}}
        .dump();
}

WireClient::WireClient(const std::string& address, const std::string& database) {
    const auto where = endpointOf(address);
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval wait{6, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    if (::connect(socket_, where.data(), static_cast<socklen_t>(where.size())) == 0)
        ask("GREET " + database + " u");
}

WireClient::~WireClient() {
    ::close(socket_);
}

void WireClient::send(const std::string& bytes) {
    [[maybe_unused]] const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::vector<std::string> WireClient::answer() {
    std::vector<std::string> lines;
    for (;;) {
        for (std::size_t cut; (cut = in_.find("\r\n")) != in_.npos;) {
            lines.push_back(in_.substr(0, cut));
            in_.erase(0, cut + 2);
            if (lines.back().starts_with("READY ")) return lines;
        }
        char bytes[4096];
        const auto n = ::recv(socket_, bytes, sizeof bytes, 0);
        if (n <= 0) return {};
        in_.append(bytes, static_cast<std::size_t>(n));
    }
}

std::vector<std::string> WireClient::ask(const std::string& line) {
    send(line + "\r\n");
    return answer();
}

}  // namespace granitereel::standins
