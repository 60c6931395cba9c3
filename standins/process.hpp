// A process of the program, started, watched by its log, and stopped, resumed or ended by its id.
#pragma once

#undef NDEBUG
#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace granitereel::standins {

// Starts `program` with these words; `output` reads what it writes to standard output and error. `prepare` runs
// in the child between fork and exec.
inline pid_t startProgram(const char* program, std::vector<std::string> words, std::FILE*& output,
                          void (*prepare)(const char*) = nullptr) {
    int ends[2];
    const bool piped = ::pipe2(ends, O_CLOEXEC) == 0;
    assert(piped);
    std::vector<char*> argv{const_cast<char*>(program)};
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a failed test leaves no front behind
        ::dup2(ends[1], 1);
        ::dup2(ends[1], 2);
        // Connections of the test that a child held open would not end with the test's own.
        ::close_range(3, ~0U, CLOSE_RANGE_CLOEXEC);
        if (prepare) prepare(argv[0]);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    ::close(ends[1]);
    output = ::fdopen(ends[0], "r");
    return child;
}

class Process {
public:
    Process(const char* program, std::vector<std::string> words, std::string name) : name_(std::move(name)) {
        std::FILE* output = nullptr;
        // From this thread, as the child ends with the thread that started it.
        pid_ = startProgram(program, std::move(words), output);
        reader_ = std::thread([this, output] { read(output); });
    }
    ~Process() {
        signal(SIGKILL);
        signal(SIGCONT);
        end();
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int which) const {
        if (pid_ > 0) ::kill(pid_, which);
    }
    // Waits for its end: its exit code, or the signal's number below 0.
    int end() {
        if (pid_ > 0) {
            int status = 0;
            ::waitpid(pid_, &status, 0);
            pid_ = 0;
            code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        }
        if (reader_.joinable()) reader_.join();
        return code_;
    }
    // Whether it has not ended yet; its end is then at hand by end().
    bool running() {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) == 0) return pid_ > 0;
        pid_ = 0;
        code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        return false;
    }
    int kill() {
        signal(SIGKILL);
        return end();
    }
    // Waits, `seconds` at most, for a line from number `from` on that holds the text; returns its number.
    std::size_t logged(const std::string& text, std::size_t from = 0, int seconds = 30) {
        std::unique_lock hold(lock_);
        std::size_t at = from, found = 0;
        const auto there = [&] {
            for (; at < lines_.size(); ++at)
                if (lines_[at].find(text) != std::string::npos) return found = at, true;
            return false;
        };
        const bool came = came_.wait_for(hold, std::chrono::seconds(seconds), there);
        if (!came) std::fprintf(stderr, "%s: never logged '%s'\n", name_.c_str(), text.c_str());
        assert(came);
        return found;
    }
    std::string line(std::size_t number) const {
        const std::lock_guard hold(lock_);
        return lines_.at(number);
    }
    std::size_t lines() const {
        const std::lock_guard hold(lock_);
        return lines_.size();
    }
    int count(const std::string& text, std::size_t from = 0) const {
        const std::lock_guard hold(lock_);
        int n = 0;
        for (std::size_t i = from; i < lines_.size(); ++i) n += lines_[i].find(text) != std::string::npos;
        return n;
    }
    pid_t pid() const { return pid_; }

private:
    void read(std::FILE* output) {
        char* line = nullptr;
        std::size_t room = 0;
        for (ssize_t n; (n = ::getline(&line, &room, output)) > 0;) {
            if (std::getenv("TRACE")) std::fprintf(stderr, "%s %.*s", name_.c_str(), int(n), line);
            const std::lock_guard hold(lock_);
            lines_.emplace_back(line, static_cast<std::size_t>(n));
            came_.notify_all();
        }
        std::free(line);
        std::fclose(output);
    }

    const std::string name_;
    pid_t pid_ = 0;
    int code_ = 0;
    mutable std::mutex lock_;
    std::condition_variable came_;
    std::vector<std::string> lines_;
    std::thread reader_;
};

}  // namespace granitereel::standins
