// HTTP/1.1 as a client reads it: a response's head, and its body in chunks or by length.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace granitereel::http {

struct Garbled : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A head of more than this is not waited for.
constexpr std::size_t longestHead = 16 * 1024;

// The length of the head with its empty line; 0 while it is not whole.
std::size_t headLength(std::string_view bytes);
int statusOf(std::string_view head);
// The value of a header; its name is given in small letters.
std::string_view headerOf(std::string_view head, std::string_view name);

// Takes a body apart as its bytes come, split anywhere.
class Body {
public:
    explicit Body(std::string_view head);
    // Appends to `to` what is content in `bytes`.
    void feed(std::string_view bytes, std::string& to);
    bool ended() const { return stage_ == Stage::ended; }

private:
    enum class Stage { size, content, contentEnd, trailer, untilClosed, ended } stage_;
    bool chunked_ = false;
    std::uint64_t left_ = 0;
    std::string line_;
};

}  // namespace granitereel::http
