// Writes what a Front does as the actions of the simulator's wire.
#pragma once

#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

#include "router.hpp"

namespace granitereel::adapter {

inline void quote(std::string& to, std::string_view text) {
    to += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            to += '\\';
            to += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(c));
            to += escaped;
        } else {
            to += c;
        }
    }
    to += '"';
}

// Nanoseconds as the wire's milliseconds, without loss.
inline std::string wireTime(Nanoseconds time) {
    char text[32];
    const Nanoseconds whole = time / 1'000'000, part = time % 1'000'000;
    std::snprintf(text, sizeof text, "%lld.%06lld", static_cast<long long>(whole),
                  static_cast<long long>(part));
    return text;
}

inline std::string base64(std::string_view bytes) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[bits >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

class Reply final : public RouterOutput {
public:
    // The actions since the last call, as the items of a JSON array.
    std::string drain() {
        std::string text;
        text.swap(text_);
        return text;
    }

    void startAttempt(const std::string& id, const std::string& store, Nanoseconds within) override {
        open("Deliver").field("id", id).field("store", store);
        if (within > 0) raw("allow-for-ms", wireTime(within));
        close();
    }
    void reject(const std::string& id, Nanoseconds comeBackAfter) override {
        open("PushBack").field("id", id);
        if (comeBackAfter > 0) raw("cool-down-ms", wireTime(comeBackAfter));
        close();
    }
    void reportIndeterminate(const std::string& id) override { open("Lose").field("id", id).close(); }
    void cancel(const std::string& id, int launchNo) override {
        open("StopAttempt").field("id", id).raw("send-no", std::to_string(launchNo)).close();
    }
    void probe(const std::string& store) override { open("Sample").field("store", store).close(); }
    void closeIdleConnections(const std::string& store) override {
        open("HangUp").field("store", store).close();
    }
    void subscribeToList(bool on) override {
        open("StreamChanges").raw("want", on ? "true" : "false").close();
    }
    void requestList() override { open("Refresh").close(); }
    void send(std::optional<int> front, const std::string& bytes) override {
        open("Announce").raw("target", front ? std::to_string(*front) : "\"*\"").field("body", base64(bytes));
        close();
    }
    void wakeAt(Nanoseconds when, std::int64_t handle) override {
        open("WakeAt").raw("when-ms", wireTime(when)).raw("handle", std::to_string(handle)).close();
    }
    void log(const std::string& line) override { open("NoteDown").field("words", line).close(); }
    void panic(std::string_view why) { open("Panic").field("words", why).close(); }

private:
    Reply& open(std::string_view name) {
        if (!text_.empty()) text_ += ',';
        text_ += "{\"t\":";
        quote(text_, name);
        return *this;
    }
    Reply& raw(std::string_view name, std::string_view value) {
        text_ += ',';
        quote(text_, name);
        text_ += ':';
        text_ += value;
        return *this;
    }
    Reply& field(std::string_view name, std::string_view value) {
        raw(name, "");
        quote(text_, value);
        return *this;
    }
    void close() { text_ += '}'; }

    std::string text_;
};

}  // namespace granitereel::adapter
