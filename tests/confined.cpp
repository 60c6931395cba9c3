// The front starts and serves under what the platform's page allows a front (`deploy/balancer.toml`, `run`):
// one process, linked dynamically against the C library, no other programs, no fork, io_uring, splice or
// sendfile, sockets only TCP and UDP over IPv4, no Unix socket, and no thread that runs on without waiting.
// The filter is the test's own, set in the child before the program is started, as the platform sets its own.
#include <fcntl.h>
#include <sched.h>
#include <seccomp.h>
#include <sys/sendfile.h>
#include <sys/syscall.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include "bench.hpp"

using namespace granitereel;

namespace {

// Refuses what the page refuses, with the errors it names: ENOSYS, and EINVAL for splice. A further exec is
// refused as starting another program would be: only the call with the test's own path pointer passes, and
// that pointer means nothing once the program has replaced the test's memory.
void confine(const char* program) {
    // Under the address sanitizer the leak check at exit runs in a clone without CLONE_THREAD, which the filter
    // refuses as the platform would; the front's exit code would then tell of the check, not of the front.
    ::setenv("ASAN_OPTIONS", "detect_leaks=0", 1);
    scmp_filter_ctx filter = seccomp_init(SCMP_ACT_ALLOW);
    if (!filter) ::_exit(126);
    auto rule = [&](int error, int call, std::vector<scmp_arg_cmp> args) {
        const unsigned n = unsigned(args.size());
        if (seccomp_rule_add_array(filter, SCMP_ACT_ERRNO(error), call, n, args.data()) != 0) ::_exit(126);
    };
    for (const int call : {SCMP_SYS(fork), SCMP_SYS(vfork), SCMP_SYS(clone3), SCMP_SYS(io_uring_setup),
                           SCMP_SYS(io_uring_enter), SCMP_SYS(io_uring_register), SCMP_SYS(sendfile),
                           SCMP_SYS(socketpair)})
        rule(ENOSYS, call, {});
    rule(EINVAL, SCMP_SYS(splice), {});
    // Threads are clones with CLONE_THREAD; a clone without it is a new process.
    rule(ENOSYS, SCMP_SYS(clone), {SCMP_A0(SCMP_CMP_MASKED_EQ, CLONE_THREAD, 0)});
    rule(EAFNOSUPPORT, SCMP_SYS(socket), {SCMP_A0(SCMP_CMP_NE, AF_INET)});
    rule(EPROTONOSUPPORT, SCMP_SYS(socket),
         {SCMP_A0(SCMP_CMP_EQ, AF_INET), SCMP_A1(SCMP_CMP_MASKED_EQ, 0xf, SOCK_RAW)});
    rule(ENOSYS, SCMP_SYS(execve), {SCMP_A0(SCMP_CMP_NE, reinterpret_cast<std::uintptr_t>(program))});
    rule(ENOSYS, SCMP_SYS(execveat), {});
    if (seccomp_load(filter) != 0) ::_exit(126);
    seccomp_release(filter);
}

// The filter refuses what it should: else the front's test below would prove nothing.
void filterRefuses() {
    const pid_t child = ::fork();
    if (child == 0) {
        confine("none");
        const bool refused =
            ::fork() < 0 && errno == ENOSYS && ::socket(AF_UNIX, SOCK_STREAM, 0) < 0 &&
            ::socket(AF_INET6, SOCK_STREAM, 0) < 0 && ::syscall(SYS_io_uring_setup, 1, nullptr) < 0 &&
            errno == ENOSYS && ::sendfile(1, 0, nullptr, 1) < 0 && errno == ENOSYS &&
            ::splice(0, nullptr, 1, nullptr, 1, 0) < 0 && errno == EINVAL &&
            ::execl("/bin/true", "true", nullptr) < 0;
        int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const bool allowed = fd >= 0 && ::close(fd) == 0;
        std::thread thread([] {});  // threads still begin
        thread.join();
        ::_exit(refused && allowed ? 0 : 1);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

// Processor time of each thread of `pid`, in clock ticks.
std::map<std::string, long> threadTimes(pid_t pid) {
    std::map<std::string, long> times;
    for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
        std::ifstream stat(task.path() / "stat");
        std::string all((std::istreambuf_iterator<char>(stat)), {});
        std::istringstream rest(all.substr(all.rfind(')') + 2));
        std::string field;
        long user = 0, system = 0;
        for (int i = 3; i <= 15 && rest >> field; ++i) {
            if (i == 14) user = std::stol(field);
            if (i == 15) system = std::stol(field);
        }
        times[task.path().filename()] = user + system;
    }
    return times;
}

// Under the filter the front starts, serves, reloads its config and ends with 0; it is one process linked
// against the C library, and at rest none of its threads keeps running.
void servesConfined() {
    Stage stage{Stage::Later{}};
    stage.prepare = confine;
    stage.begin();
    End client = stage.client();
    client.hello().ask(statement("a", "look"));
    End store = stage.replica.accept();
    store.welcome().asked();
    store.give("confined", "replica");
    assert(client.answer() == "confined");

    std::ifstream maps("/proc/" + std::to_string(stage.program) + "/maps");
    const std::string mapped((std::istreambuf_iterator<char>(maps)), {});
    assert(mapped.find("/libc.so") != std::string::npos);

    // A thread that spins would use about all of the second; waiting ones use next to nothing. A tenth of it
    // leaves room for a loaded machine and still tells a spinning thread.
    const long ticks = ::sysconf(_SC_CLK_TCK);
    const auto before = threadTimes(stage.program);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (const auto& [thread, time] : threadTimes(stage.program)) {
        const long used = time - (before.count(thread) ? before.at(thread) : 0);
        assert(used * 10 < ticks);
    }

    stage.reload(stage.config(stage.discovery));
    stage.follow();
    client.ask(statement("b", "look"));
    store.asked();
    store.give("again", "replica");
    assert(client.answer() == "again");
    ::kill(stage.program, SIGTERM);
    stage.logged("leaving");
    assert(stage.exitCode() == 0);
}

}  // namespace

int main() {
    filterRefuses();
    servesConfined();
}
