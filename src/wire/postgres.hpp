// Version 3 of PostgreSQL's wire protocol, as far as it is spoken here: where messages end, and the few that
// are written. Bodies are read in place.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace granitereel::postgres {

// The other side does not keep to the protocol.
struct Garbled : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The protocol's own limit on a startup message.
constexpr std::size_t longestStartup = 10'000;
// A value of 64 KiB takes twice that as hexadecimal digits in a statement; 16 KiB are left for the rest.
constexpr std::size_t longestMessage = 144 * 1024;

constexpr std::uint32_t version3 = 3 << 16, cancelRequest = 80877102, sslRequest = 80877103,
                        gssRequest = 80877104;

std::uint32_t number(std::string_view bytes);  // of the first four

// How long the first message is, its letter included; 0 while too little of it is there to tell.
std::size_t startupLength(std::string_view bytes);
std::size_t messageLength(std::string_view bytes);
inline std::string_view bodyOf(std::string_view message) {
    return message.substr(5);
}

// The text up to the next zero byte, taken off `from`.
std::string_view takeText(std::string_view& from);

// The text of a message's field, such as 'C' of an error. The whole body must be of that form.
std::string_view errorField(std::string_view body, char letter);
// The only column of a row; none if there are more, or it holds nothing.
std::optional<std::string_view> onlyColumn(std::string_view body);
// Whether a row's description names one column and nothing else.
bool describesOne(std::string_view body);
// Whether what is there of an answer's message, or of a row, can still become one.
bool mayBecomeAnswer(std::string_view begun);

void putMessage(std::string& to, char letter, std::string_view body);
void putSetting(std::string& to, std::string_view name, std::string_view value);
void putReady(std::string& to);
// `detail` goes in the field D where it is not empty.
void putError(std::string& to, std::string_view severity, std::string_view code, std::string_view words,
              std::string_view detail = {});
// The head of a Query message whose text, with its closing zero byte, has this length.
std::string queryHead(std::size_t textLength);
std::string startupMessage();
// Asks for TLS; the answer is one byte, S or N.
std::string sslRequestMessage();

}  // namespace granitereel::postgres
