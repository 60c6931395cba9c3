#include "postgres.hpp"

namespace granitereel::postgres {

namespace {
void putNumber(std::string& to, std::uint32_t n) {
    for (int shift = 24; shift >= 0; shift -= 8) to += static_cast<char>(n >> shift & 0xff);
}
}  // namespace

std::uint32_t number(std::string_view bytes) {
    std::uint32_t n = 0;
    for (int i = 0; i < 4; ++i) n = n << 8 | static_cast<unsigned char>(bytes.at(i));
    return n;
}

std::size_t startupLength(std::string_view bytes) {
    if (bytes.size() < 4) return 0;
    const std::size_t length = number(bytes);
    if (length < 8 || length > longestStartup) throw Garbled("startup message of a false length");
    return length;
}

std::size_t messageLength(std::string_view bytes) {
    if (bytes.size() < 5) return 0;
    const std::size_t length = number(bytes.substr(1));
    if (length < 4 || length > longestMessage) throw Garbled("message of a false length");
    return length + 1;
}

std::string_view takeText(std::string_view& from) {
    const std::size_t end = from.find('\0');
    if (end == std::string_view::npos) throw Garbled("text without an end");
    const std::string_view text = from.substr(0, end);
    from.remove_prefix(end + 1);
    return text;
}

std::string_view errorField(std::string_view body, char letter) {
    std::string_view found;
    while (!body.empty() && body[0] != '\0') {
        const char name = body[0];
        body.remove_prefix(1);
        const std::string_view text = takeText(body);
        if (name == letter && found.empty()) found = text;
    }
    if (body.size() != 1) throw Garbled("fields without their end");
    return found;
}

bool describesOne(std::string_view body) {
    if (body.size() < 2 || body[0] != 0 || body[1] != 1) return false;
    body.remove_prefix(2);
    const std::size_t end = body.find('\0');
    return end != std::string_view::npos && body.size() == end + 1 + 18;
}

bool mayBecomeAnswer(std::string_view begun) {
    if (begun.empty()) return true;
    if (std::string_view("TDCEZSNRK").find(begun[0]) == std::string_view::npos) return false;
    if (begun.size() < 5) return true;
    // Only a row may be long; of the rest an error with all its words is the longest.
    const std::size_t length = messageLength(begun);
    if (begun[0] != 'D') return length <= longestStartup;
    // The length of a row and that of its only column tell the same.
    return begun.size() < 11 || (begun[5] == 0 && begun[6] == 1 && number(begun.substr(7)) + 11 == length);
}

std::optional<std::string_view> onlyColumn(std::string_view body) {
    if (body.size() < 6 || body[0] != 0 || body[1] != 1) return {};
    const std::size_t length = number(body.substr(2));
    if (length != body.size() - 6) return {};
    return body.substr(6);
}

void putMessage(std::string& to, char letter, std::string_view body) {
    to += letter;
    putNumber(to, static_cast<std::uint32_t>(body.size() + 4));
    to += body;
}

void putSetting(std::string& to, std::string_view name, std::string_view value) {
    std::string body(name);
    body += '\0';
    body += value;
    body += '\0';
    putMessage(to, 'S', body);
}

void putReady(std::string& to) {
    putMessage(to, 'Z', "I");
}

void putError(std::string& to, std::string_view severity, std::string_view code, std::string_view words,
              std::string_view detail) {
    std::string body;
    auto field = [&](char letter, std::string_view text) {
        body += letter;
        body += text;
        body += '\0';
    };
    field('S', severity);
    field('V', severity);
    field('C', code);
    field('M', words);
    if (!detail.empty()) field('D', detail);
    body += '\0';
    putMessage(to, 'E', body);
}

std::string queryHead(std::size_t textLength) {
    std::string head = "Q";
    putNumber(head, static_cast<std::uint32_t>(textLength + 4));
    return head;
}

std::string sslRequestMessage() {
    std::string message;
    putNumber(message, 8);
    putNumber(message, sslRequest);
    return message;
}

std::string startupMessage() {
    using namespace std::string_view_literals;
    constexpr std::string_view names = "user\0client\0database\0core\0\0"sv;
    std::string message;
    putNumber(message, static_cast<std::uint32_t>(8 + names.size()));
    putNumber(message, version3);
    message += names;
    return message;
}

}  // namespace granitereel::postgres
